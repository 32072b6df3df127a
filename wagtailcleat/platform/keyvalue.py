"""Client of the platform's key-value store.

Outcomes are the values of `wagtailcleat.storage`. Each key of a write has a compare
on its own revision, so a write that is carried out late, or sent twice by the HTTP
library on a connection that broke, changes nothing that was written meanwhile.
"""

import asyncio
import base64
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from wagtailcleat.clock import Clock
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.exchange import Exchange, NoAnswer, Reply
from wagtailcleat.platform.fields import BodyError, flag, rows, text, whole
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
TOO_MANY = 429
UNAVAILABLE = 503
MAX_TXN_ENTRIES = 32
"""Compares, puts and deletes that the store takes in one transaction, all counted."""
INVALID = (400, 403, 413)
WATCH_SLACK_SECONDS = 0.5
"""What a watch may take beyond its waiting time before it counts as silent."""
PAGE_TRIES = 5
"""How often a page of a list is asked for, once the first page has come."""
PAGE_RETRY_SECONDS = 0.2


LOOK_KEY = "wagtailcleat/look"
LOOK_SECONDS = 0.25
"""How often a store that does not answer is asked again: callers are refused
meanwhile, and each look is a call that is paid for."""
AWAY_SECONDS = 0.3
"""How long a failure lasts before it counts as an outage, not as one lost call."""


@dataclass
class StoreCounts:
    """Calls of this process by what they were, for the metrics."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    failed: int = 0


class KeyValueStore:
    """The platform's store."""

    def __init__(self, address: str, *, clock: Clock, call_seconds: float) -> None:
        """Call the store at `address`, an `ip:port`.

        Parameters: `call_seconds` bounds a write, and each wait for more of the
        answer to a read.
        """
        self.counts = StoreCounts()
        self.down_since: float | None = None
        self.answered_at = 0.0
        self._clock = clock
        self._call_seconds = call_seconds
        self._exchange = Exchange(address)
        self._watching = Exchange(address)

    def __repr__(self) -> str:
        """Show whether the store answers."""
        return f"<KeyValueStore {'up' if self.down_since is None else 'down'}>"

    def close(self) -> None:
        """Close all connections."""
        self._exchange.close()
        self._watching.close()

    async def keep_looking(self) -> None:
        """Ask for an answer now and then while there is none, for ever."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            if self.down_since is not None:
                await self.get(LOOK_KEY)

    def away(self, now: float) -> bool:
        """Tell whether the store is known not to serve this process at present."""
        return self.down_since is not None and now - self.down_since >= AWAY_SECONDS

    async def get(self, key: str) -> Found | Absent | Unavailable:
        """Return the value of `key`."""
        self.counts.reads += 1
        path = "/kv-key?" + urlencode({"key": key})
        reply = await self._read(path)
        if isinstance(reply, Reply) and reply.code == NOT_FOUND:
            return Absent(whole(reply.body, "storeRevision", default=0))
        if isinstance(reply, Reply) and reply.code == OK:
            return _found(reply.body)
        return Unavailable(_reason(reply))

    async def list(self, prefix: str) -> Listing | Unavailable:
        """Return all keys that begin with `prefix`.

        The pages are no snapshot; `store_revision` is that of the first, so that a
        watch from there misses nothing.
        """
        found: list[Found] = []
        revision = 0
        after = ""
        while True:
            reply = await self._page(prefix, after)
            if not isinstance(reply, Reply) or not _is_ok(reply):
                return Unavailable(_reason(reply))
            revision = revision or whole(reply.body, "storeRevision")
            page = [_found(item) for item in rows(reply.body, "items")]
            found += page
            if not page or not flag(reply.body, "hasMore"):
                return Listing(found, revision)
            after = page[-1].key

    async def _page(self, prefix: str, after: str) -> Reply | NoAnswer:
        query = {"prefix": prefix} | ({"after": after} if after else {})
        path = "/kv-range?" + urlencode(query)
        self.counts.reads += 1
        reply = await self._read(path)
        # A list that is begun anew each time a page is lost may never come to its end.
        tries = PAGE_TRIES if after else 1
        while tries > 1 and not _is_ok(reply):
            tries -= 1
            await asyncio.sleep(PAGE_RETRY_SECONDS)
            self.counts.reads += 1
            reply = await self._read(path)
        return reply

    async def write(self, txn: Txn) -> Written | Conflict | Unknown | Unavailable:
        """Carry out `txn`, all of it or nothing."""
        self.counts.writes += 1
        reply = await self._post("/kv-txn", _txn_body(txn))
        if not isinstance(reply, Reply):
            return Unknown("no answer")
        if reply.code == OK:
            return Written(whole(reply.body, "rev", default=0))
        if reply.code == CONDITION_FAILED:
            items = rows(reply.body, "items")
            return Conflict(tuple(_found(item) for item in items if _exists(item)))
        if reply.code in (TOO_MANY, UNAVAILABLE):
            return Unavailable(str(reply.code))
        if reply.code in INVALID:
            # It will not be taken later either: this is a fault of the caller's.
            log.error("The store calls a write invalid", extra={"code": reply.code})
            return Unavailable(str(reply.code))
        return Unknown(str(reply.code))

    async def changes(
        self, prefix: str, after: int, *, wait_seconds: float
    ) -> Changes | HistoryGone | Unavailable:
        """Wait for changes under `prefix` later than revision `after`."""
        self.counts.watches += 1
        query = {
            "prefix": prefix,
            "after": str(after),
            "waitMs": str(int(wait_seconds * 1000)),
        }
        reply = await self._watching.download(
            "/kv-watch?" + urlencode(query),
            first=wait_seconds + WATCH_SLACK_SECONDS,
            silence=self._call_seconds,
        )
        if isinstance(reply, Reply) and reply.code == HISTORY_GONE:
            return HistoryGone()
        if not isinstance(reply, Reply) or reply.code != OK:
            return Unavailable(_reason(reply))
        try:
            events = [_event(item) for item in rows(reply.body, "events")]
            return Changes(events, whole(reply.body, "storeRevision"))
        except BodyError as error:
            return Unavailable(error.message)

    async def _read(self, path: str) -> Reply | NoAnswer:
        reply = await self._exchange.download(path, silence=self._call_seconds)
        self._note(f"GET {path}", reply)
        return reply

    async def _post(self, path: str, body: dict[str, Any]) -> Reply | NoAnswer:
        reply = await self._exchange.call(
            "POST", path, body, timeout=self._call_seconds
        )
        self._note(f"POST {path}", reply)
        return reply

    def _note(self, call: str, reply: Reply | NoAnswer) -> None:
        now = self._clock()
        if isinstance(reply, Reply) and reply.code not in (TOO_MANY, UNAVAILABLE):
            self.answered_at = now
            if self.down_since is not None:
                seconds = round(now - self.down_since, 3)
                log.info("The store answers again", extra={"down_seconds": seconds})
            self.down_since = None
            return
        self.counts.failed += 1
        if self.down_since is None:
            self.down_since = now
            detail = self._exchange.failure if isinstance(reply, NoAnswer) else ""
            fields = {"call": call, "why": _reason(reply), "detail": detail}
            log.warning("The store does not answer", extra=fields)


def _is_ok(reply: Reply | NoAnswer) -> bool:
    return isinstance(reply, Reply) and reply.code == OK


def _reason(reply: Reply | NoAnswer) -> str:
    return str(reply.code) if isinstance(reply, Reply) else reply.value


def _exists(item: dict[str, Any]) -> bool:
    return whole(item, "rev", default=0) > 0


def _found(item: dict[str, Any]) -> Found:
    value = base64.b64decode(text(item, "value", default=""))
    return Found(text(item, "key"), value, whole(item, "rev", default=0))


def _event(item: dict[str, Any]) -> Event:
    if flag(item, "tombstone"):
        return Event(text(item, "key"), None, whole(item, "rev"))
    found = _found(item)
    return Event(found.key, found.value, found.mod_revision)


def _txn_body(txn: Txn) -> dict[str, Any]:
    puts = [
        {"key": key, "value": base64.b64encode(value).decode()}
        for key, value in txn.puts.items()
    ]
    return {
        "expectRev": [_condition(compare) for compare in txn.compares],
        "setKeys": puts,
        "remove": txn.deletes,
    }


def _condition(compare: Compare) -> dict[str, Any]:
    revision = 0 if compare.absent else compare.mod_revision or 0
    return {"key": compare.key, "rev": revision}
