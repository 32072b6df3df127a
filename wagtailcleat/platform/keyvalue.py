"""Client of the platform's key-value store; entries and agents of `cluster` use it.

Calls return the outcomes of `wagtailcleat.storage`: a store that does not answer is a
value, not an exception. Each key of a write is compared with its expected revision. So
a write that is carried out late, or that a caller repeats, does not overwrite newer
values.
"""

import asyncio
import base64
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from wagtailcleat.clock import Clock
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.fields import (
    BodyError,
    get_boolean,
    get_integer,
    get_list,
    get_text,
)
from wagtailcleat.platform.http_client import HttpClient, NoAnswer, Reply
from wagtailcleat.storage import (
    Absent,
    Changes,
    Compare,
    Conflict,
    Event,
    Found,
    HistoryGone,
    Listing,
    Txn,
    Unavailable,
    Unknown,
    Written,
)

log = part_logger("store")

OK = 200
NOT_FOUND = 404
CONDITION_FAILED = 412
HISTORY_GONE = 410
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
MAX_TXN_ENTRIES = 32
"""Limit of the store for compares, puts and deletes together in one transaction."""
INVALID_CODES = (400, 403, 413)
WATCH_MARGIN_SECONDS = 0.5
"""Time beyond the requested wait after which an unanswered watch counts as failed."""
PAGE_ATTEMPTS = 5
"""Attempts to read a page of a list, after the first page has been read."""
PAGE_RETRY_SECONDS = 0.2

PROBE_KEY = "wagtailcleat/look"
PROBE_INTERVAL_SECONDS = 0.25
"""Interval between probes of a store that does not answer.

Callers are refused until a probe succeeds, but each probe is a call that costs money.
"""
OUTAGE_AFTER_SECONDS = 0.3
"""A failure that lasts this long is an outage; a shorter one may be one lost call."""


@dataclass
class StoreCounts:
    """Numbers of calls of this process by kind, for the metrics."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    failed: int = 0


class KeyValueStore:
    """Client of the key-value store."""

    def __init__(self, address: str, *, clock: Clock, call_seconds: float) -> None:
        """Create a client of the store at `address`, an `ip:port`.

        Parameters: `call_seconds` limits a write, and each wait for more of the
        answer to a read.
        """
        self.counts = StoreCounts()
        self.down_since: float | None = None
        self.answered_at = 0.0
        self._clock = clock
        self._call_seconds = call_seconds
        self._client = HttpClient(address)
        self._watch_client = HttpClient(address)

    def __repr__(self) -> str:
        """Return a text that says whether the store answers."""
        return f"<KeyValueStore {'up' if self.down_since is None else 'down'}>"

    def close(self) -> None:
        """Close all connections."""
        self._client.close()
        self._watch_client.close()

    async def probe_while_unavailable(self) -> None:
        """Probe the store at intervals while it does not answer; never return."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            if self.down_since is not None:
                await self.get(PROBE_KEY)

    def is_unavailable(self, now: float) -> bool:
        """Return whether this process has an outage of the store, at `now` in seconds.

        A failure counts as an outage after `OUTAGE_AFTER_SECONDS`.
        """
        return (
            self.down_since is not None
            and now - self.down_since >= OUTAGE_AFTER_SECONDS
        )

    async def get(self, key: str) -> Found | Absent | Unavailable:
        """Return the value and revision of `key`."""
        self.counts.reads += 1
        path = "/kv-key?" + urlencode({"key": key})
        reply = await self._read(path)
        if isinstance(reply, Reply) and reply.code == NOT_FOUND:
            return Absent(get_integer(reply.body, "storeRevision", default=0))
        if not isinstance(reply, Reply) or reply.code != OK:
            return Unavailable(_reason(reply))
        try:
            return _found(reply.body)
        except BodyError as error:
            return Unavailable(error.message)

    async def list(self, prefix: str) -> Listing | Unavailable:
        """Return all keys that begin with `prefix`.

        The pages are not one snapshot. `store_revision` is that of the first page, so
        a watch from there receives all later changes.
        """
        found: list[Found] = []
        revision = 0
        after = ""
        while True:
            reply = await self._page(prefix, after)
            if not isinstance(reply, Reply) or not _is_ok(reply):
                return Unavailable(_reason(reply))
            try:
                revision = revision or get_integer(reply.body, "storeRevision")
                page = [_found(item) for item in get_list(reply.body, "items")]
            except BodyError as error:
                return Unavailable(error.message)
            found += page
            if not page or not get_boolean(reply.body, "hasMore"):
                return Listing(found, revision)
            after = page[-1].key

    async def _page(self, prefix: str, after: str) -> Reply | NoAnswer:
        query = {"prefix": prefix} | ({"after": after} if after else {})
        path = "/kv-range?" + urlencode(query)
        self.counts.reads += 1
        reply = await self._read(path)
        # If each lost page restarted the whole list, a long list might never complete.
        attempts_left = PAGE_ATTEMPTS if after else 1
        while attempts_left > 1 and not _is_ok(reply):
            attempts_left -= 1
            await asyncio.sleep(PAGE_RETRY_SECONDS)
            self.counts.reads += 1
            reply = await self._read(path)
        return reply

    async def write(self, txn: Txn) -> Written | Conflict | Unknown | Unavailable:
        """Carry out `txn` atomically; `Unknown` means that it may take effect later."""
        self.counts.writes += 1
        reply = await self._post("/kv-txn", _txn_body(txn))
        if not isinstance(reply, Reply):
            return Unknown("no answer")
        try:
            if reply.code == OK:
                return Written(get_integer(reply.body, "rev"))
            if reply.code == CONDITION_FAILED:
                items = [_found(item) for item in get_list(reply.body, "items")]
                return Conflict(tuple(found for found in items if found.mod_revision))
        except BodyError as error:
            return Unknown(error.message)
        if reply.code in (TOO_MANY_REQUESTS, UNAVAILABLE):
            return Unavailable(str(reply.code))
        if reply.code in INVALID_CODES:
            # A retry would be rejected too: the calling code has a bug.
            log.error(
                "The store rejected a write as invalid", extra={"code": reply.code}
            )
            return Unavailable(str(reply.code))
        return Unknown(str(reply.code))

    async def changes(
        self, prefix: str, after: int, *, wait_seconds: float
    ) -> Changes | HistoryGone | Unavailable:
        """Wait for changes under `prefix` after revision `after`.

        The store waits up to `wait_seconds` for the first change.
        """
        self.counts.watches += 1
        query = {
            "prefix": prefix,
            "after": str(after),
            "waitMs": str(int(wait_seconds * 1000)),
        }
        reply = await self._watch_client.download(
            "/kv-watch?" + urlencode(query),
            first_timeout=wait_seconds + WATCH_MARGIN_SECONDS,
            idle_timeout=self._call_seconds,
        )
        if isinstance(reply, Reply) and reply.code == HISTORY_GONE:
            return HistoryGone()
        if not isinstance(reply, Reply) or reply.code != OK:
            return Unavailable(_reason(reply))
        try:
            events = [_event(item) for item in get_list(reply.body, "events")]
            return Changes(events, get_integer(reply.body, "storeRevision"))
        except BodyError as error:
            return Unavailable(error.message)

    async def _read(self, path: str) -> Reply | NoAnswer:
        reply = await self._client.download(path, idle_timeout=self._call_seconds)
        self._record_reply(f"GET {path}", reply)
        return reply

    async def _post(self, path: str, body: dict[str, Any]) -> Reply | NoAnswer:
        reply = await self._client.call("POST", path, body, timeout=self._call_seconds)
        self._record_reply(f"POST {path}", reply)
        return reply

    def _record_reply(self, call: str, reply: Reply | NoAnswer) -> None:
        now = self._clock()
        if isinstance(reply, Reply) and reply.code not in (
            TOO_MANY_REQUESTS,
            UNAVAILABLE,
        ):
            self.answered_at = now
            if self.down_since is not None:
                seconds = round(now - self.down_since, 3)
                log.info("The store answers again", extra={"down_seconds": seconds})
            self.down_since = None
            return
        self.counts.failed += 1
        if self.down_since is None:
            self.down_since = now
            detail = self._client.last_error if isinstance(reply, NoAnswer) else ""
            fields = {"call": call, "why": _reason(reply), "detail": detail}
            log.warning("The store does not answer", extra=fields)


def _is_ok(reply: Reply | NoAnswer) -> bool:
    return isinstance(reply, Reply) and reply.code == OK


def _reason(reply: Reply | NoAnswer) -> str:
    return str(reply.code) if isinstance(reply, Reply) else reply.value


def _item(item: object) -> dict[str, Any]:
    if not isinstance(item, dict):
        raise BodyError("an item is no object")
    return item


def _found(raw: object) -> Found:
    item = _item(raw)
    try:
        value = base64.b64decode(get_text(item, "value", default=""), validate=True)
    except ValueError as error:
        raise BodyError(f"value: {error}") from None
    return Found(
        get_text(item, "key"),
        value,
        get_integer(item, "rev", default=0),
        get_integer(item, "created", default=0),
    )


def _event(raw: object) -> Event:
    item = _item(raw)
    if get_boolean(item, "tombstone"):
        return Event(get_text(item, "key"), None, get_integer(item, "rev"))
    found = _found(item)
    return Event(found.key, found.value, found.mod_revision)


def _txn_body(txn: Txn) -> dict[str, Any]:
    puts = [
        {"key": key, "value": base64.b64encode(value).decode()}
        for key, value in txn.puts.items()
    ]
    return {
        "expectRev": [_expected_revision(compare) for compare in txn.compares],
        "setKeys": puts,
        "remove": txn.deletes,
    }


def _expected_revision(compare: Compare) -> dict[str, Any]:
    revision = 0 if compare.absent else compare.mod_revision or 0
    return {"key": compare.key, "rev": revision}
