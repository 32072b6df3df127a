"""The JSON messages of the stand-in in `standins.store`.

Bytes are in base64, and 64-bit numbers are decimal strings.
"""

from typing import Literal

import msgspec

from standins.keyspace import Event, KeyValue


class Request(msgspec.Struct, forbid_unknown_fields=True):
    """A request; fields that the platform does not document are refused."""


class RangeRequest(Request):
    """Read a key or a range."""

    key: bytes
    range_end: bytes = b""
    limit: int = 0
    keys_only: bool = False


class PutRequest(Request):
    """Put a key."""

    key: bytes
    value: bytes = b""
    lease: int = 0


class DeleteRequest(Request):
    """Delete a key or a range."""

    key: bytes
    range_end: bytes = b""


class Operation(Request):
    """One operation of a transaction; exactly one field is set."""

    request_put: PutRequest | None = None
    request_range: RangeRequest | None = None
    request_delete_range: DeleteRequest | None = None


class Compare(Request):
    """One condition of a transaction."""

    key: bytes
    result: Literal["EQUAL", "GREATER", "LESS"] = "EQUAL"
    target: Literal["VERSION", "CREATE", "MOD", "VALUE"] = "VERSION"
    version: int = 0
    create_revision: int = 0
    mod_revision: int = 0
    value: bytes = b""


class TxnRequest(Request):
    """A transaction: `success` is executed if all conditions hold, else `failure`."""

    compare: list[Compare] = []
    success: list[Operation] = []
    failure: list[Operation] = []


class GrantRequest(Request):
    """Grant a lease."""

    TTL: int


class LeaseRequest(Request):
    """Renew or revoke a lease."""

    ID: int


class CreateWatch(Request):
    """The keys to watch, and the first revision; 0 means new changes only."""

    key: bytes
    range_end: bytes = b""
    start_revision: int = 0


class WatchRequest(Request):
    """Open a watch."""

    create_request: CreateWatch


class Answer(msgspec.Struct, omit_defaults=True):
    """An answer; fields with their zero value are omitted."""


class Header(Answer):
    """The header of an answer: the store's revision."""

    revision: str = "0"


class KvAnswer(Answer):
    """One key."""

    key: bytes
    value: bytes = b""
    create_revision: str = "0"
    mod_revision: str = "0"
    version: str = "0"
    lease: str = "0"


class RangeAnswer(Answer):
    """The keys read; `count` includes those beyond the limit."""

    header: Header
    kvs: list[KvAnswer] = []
    more: bool = False
    count: str = "0"


class EventAnswer(Answer):
    """One event of a watch."""

    kv: KvAnswer
    type: str = "PUT"


class WatchResult(Answer):
    """One message of a watch."""

    header: Header
    created: bool = False
    canceled: bool = False
    compact_revision: str = "0"
    events: list[EventAnswer] = []


def kv_answer(kv: KeyValue, keys_only: bool = False) -> KvAnswer:
    """Return a key as its JSON message."""
    return KvAnswer(
        kv.key,
        b"" if keys_only else kv.value,
        str(kv.create_revision),
        str(kv.mod_revision),
        str(kv.version),
        str(kv.lease),
    )


def event_answer(event: Event) -> EventAnswer:
    """Return an event as its JSON message."""
    return EventAnswer(kv_answer(event.kv), "DELETE" if event.is_delete else "PUT")
