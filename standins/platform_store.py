"""The platform's key-value store, as its published pages describe it.

It counts every entry of a transaction against the limit, and can lose answers, carry
writes out late, refuse, stay silent and forget its history.
"""

import asyncio
import base64
import contextlib
from typing import Any

import cyclopts
import msgspec
from tornado.iostream import StreamClosedError

from standins.keyspace import Keyspace, KeyValue
from standins.serving import (
    CommonFaults,
    FaultsHandler,
    FaultyHandler,
    Record,
    RecordHandler,
    Switches,
    listen,
    run,
)

MAX_ENTRIES = 32
MAX_PAGE = 500
MAX_PAGE_BYTES = 1_000_000
PART_SECONDS = 0.05
"""Between two parts of an answer that leaves slowly."""
MAX_WAIT_SECONDS = 30.0
MILLISECONDS = 1000
OWN_HOSTS = ("127.0.2.1", "127.0.2.2")
"""Addresses for the first two entries alone, so that one can be turned away."""
OPERATORS = ("op/", "servers/")


class Faults(CommonFaults):
    """Fault switches of the store."""

    busy: bool = False
    """Every call is answered 503."""
    late_seconds: float = 0.0
    """Writes get no answer and are carried out after this time."""
    turned_away: str = ""
    """Calls to this one of its addresses are answered 503."""
    granted: list[str] = []
    """Workers that the advice service grants; asked at the store's own port."""
    refused_bodies: bool = False
    """Every write is answered 429."""
    bytes_per_second: int = 0
    """Lists and watches are answered at this rate; 0: at once."""
    refused_pages: int = 0
    """So many calls for a later page of a list are answered 503."""
    stall_after_bytes: int = 0
    """Lists and watches fall silent after so many bytes; 0: never."""


class State:
    """The keys, and who waits for changes."""

    def __init__(self) -> None:
        """Start empty."""
        self.keyspace = Keyspace()
        self.changed = asyncio.Event()
        self.record = Record()
        self.forgotten = 0
        """Changes up to this revision are not known any more."""
        self.late: set[asyncio.Task[None]] = set()

    def announce(self) -> None:
        """Wake the watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def changes(
        self, prefix: bytes, after: int, seconds: float
    ) -> tuple[list[dict[str, Any]], int]:
        """Wait for changes under a prefix; return them and the revision they reach."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while not (events := self._events(prefix, after)) and loop.time() < end:
            # A change may be written while the timeout is on its way here. Without
            # another look the revision would cover it and the events would lack it.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(end - loop.time()):
                    await self.changed.wait()
        return events, self.keyspace.revision

    def _events(self, prefix: bytes, after: int) -> list[dict[str, Any]]:
        shown = []
        for event in self.keyspace.since(after + 1):
            if not event.kv.key.startswith(prefix):
                continue
            if event.is_delete:
                key = event.kv.key.decode()
                shown.append(
                    {"key": key, "rev": event.kv.mod_revision, "tombstone": True}
                )
            else:
                shown.append(_item(event.kv))
        return shown


def _item(found: KeyValue) -> dict[str, Any]:
    return {
        "key": found.key.decode(),
        "value": base64.b64encode(found.value).decode(),
        "rev": found.mod_revision,
        "created": found.create_revision,
        "lease": 0,
    }


def _page(found: list[KeyValue]) -> list[dict[str, Any]]:
    items: list[dict[str, Any]] = []
    size = 0
    for kv in found[:MAX_PAGE]:
        item = _item(kv)
        size += len(item["value"])
        if items and size > MAX_PAGE_BYTES:
            break
        items.append(item)
    return items


def _end(prefix: str) -> bytes:
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return bytes(raw)


class StoreHandler(FaultyHandler):
    """What every call to the store shares."""

    state: State

    async def prepare(self) -> None:
        """Suffer the faults, or refuse."""
        await super().prepare()
        away = self.request.host_name == self.switches.now.turned_away
        if (self.switches.now.busy or away) and not self._finished:
            self.answer({"error": "busy"}, 503)

    async def answer_slowly(self, body: Any) -> None:
        """Answer with JSON as fast as the link of this answer is."""
        data = msgspec.json.encode(body)
        self.set_header("Content-Type", "application/json")
        self.set_header("Content-Length", str(len(data)))
        part = int(self.switches.now.bytes_per_second * PART_SECONDS) or len(data)
        stall = self.switches.now.stall_after_bytes or len(data)
        for first in range(0, min(len(data), stall), part):
            self.write(data[first : min(first + part, stall)])
            with contextlib.suppress(StreamClosedError):
                await self.flush()
            if self.gone.is_set():
                return
            if first + part < len(data):
                await asyncio.sleep(PART_SECONDS)
        if stall < len(data):
            await self.gone.wait()
            return
        self.finish()


class AdviseHandler(StoreHandler):
    """`POST /advise`."""

    def post(self) -> None:
        """Grant the named workers that may run a step."""
        body = msgspec.json.decode(self.request.body)
        granted = [
            [worker, f"{body['step']}/{worker}"]
            for worker in body["workers"]
            if worker in self.switches.now.granted
        ]
        self.answer({"granted": granted, "validMs": 3000})


class KeyHandler(StoreHandler):
    """`GET /kv-key`."""

    def get(self) -> None:
        """Return one key."""
        found = self.state.keyspace.get(self.get_query_argument("key").encode())
        revision = {"storeRevision": self.state.keyspace.revision}
        if found is None:
            self.answer(revision, 404)
        else:
            self.answer(_item(found) | revision)


class RangeHandler(StoreHandler):
    """`GET /kv-range`."""

    async def get(self) -> None:
        """Return a page of the keys under a prefix."""
        prefix = self.get_query_argument("prefix")
        after = self.get_query_argument("after", "")
        self.state.record.add("list", prefix, after)
        if after and self.switches.now.refused_pages > 0:
            self.switches.now.refused_pages -= 1
            self.answer({"error": "busy"}, 503)
            return
        keyspace = self.state.keyspace
        start = (after + "\0" if after else prefix).encode()
        found = keyspace.range(start, _end(prefix))
        items = _page(found)
        await self.answer_slowly(
            {
                "items": items,
                "hasMore": len(found) > len(items),
                "storeRevision": keyspace.revision,
            }
        )


class WatchHandler(StoreHandler):
    """`GET /kv-watch`."""

    async def get(self) -> None:
        """Return changes as soon as there are any."""
        prefix = self.get_query_argument("prefix").encode()
        after = int(self.get_query_argument("after"))
        wait = int(self.get_query_argument("waitMs")) / MILLISECONDS
        if after < self.state.forgotten:
            self.answer({"error": "forgotten"}, 410)
            return
        events, revision = await self.state.changes(
            prefix, after, min(wait, MAX_WAIT_SECONDS)
        )
        await self.answer_slowly({"events": events, "storeRevision": revision})


class TxnHandler(StoreHandler):
    """`POST /kv-txn`."""

    async def post(self) -> None:
        """Carry out a transaction, or none of it."""
        body = msgspec.json.decode(self.request.body)
        conditions = body.get("expectRev", [])
        puts = body.get("setKeys", [])
        removed = body.get("remove", [])
        if len(conditions) + len(puts) + len(removed) > MAX_ENTRIES:
            self.answer({"error": "too many entries"}, 400)
            return
        written = [put["key"] for put in puts] + removed
        if any(key.startswith(OPERATORS) for key in written) and not self._operator():
            self.answer({"error": "not yours to write"}, 403)
            return
        if self.switches.now.refused_bodies:
            self.answer({"error": "too many"}, 429)
            return
        late = self.switches.now.late_seconds
        if late:
            task = asyncio.create_task(self._later(late, conditions, puts, removed))
            self.state.late.add(task)
            self.drop()
            return
        answer, status = self._apply(conditions, puts, removed)
        if self.loses_answer():
            self.drop()
            return
        self.answer(answer, status)

    def _operator(self) -> bool:
        return self.request.headers.get("Operator") == "yes"

    async def _later(
        self, seconds: float, conditions: list[Any], puts: list[Any], removed: list[str]
    ) -> None:
        await asyncio.sleep(seconds)
        self._apply(conditions, puts, removed)

    def _apply(
        self, conditions: list[Any], puts: list[Any], removed: list[str]
    ) -> tuple[dict[str, Any], int]:
        keyspace = self.state.keyspace
        for condition in conditions:
            found = keyspace.get(condition["key"].encode())
            if (found.mod_revision if found else 0) != condition["rev"]:
                found_all = [keyspace.get(c["key"].encode()) for c in conditions]
                return {"items": [_item(f) for f in found_all if f]}, 412
        events = [
            keyspace.put(put["key"].encode(), base64.b64decode(put["value"]), 0)
            for put in puts
        ]
        for key in removed:
            events += keyspace.delete(key.encode(), b"")
        keyspace.commit(events, "txn")
        self.state.announce()
        return {"rev": keyspace.revision}, 200


class ForgetHandler(StoreHandler):
    """`POST /forget`: a switch of tests; the history is gone."""

    def post(self) -> None:
        """Forget the history."""
        self.state.forgotten = self.state.keyspace.revision
        self.answer({})


async def start(port: int = 0) -> dict[str, Any]:
    """Serve; return the port."""
    state = State()
    switches = Switches(Faults)
    parts = {"switches": switches, "state": state}
    routes = [
        ("/advise", AdviseHandler, parts),
        ("/kv-key", KeyHandler, parts),
        ("/kv-range", RangeHandler, parts),
        ("/kv-watch", WatchHandler, parts),
        ("/kv-txn", TxnHandler, parts),
        ("/forget", ForgetHandler, parts),
        ("/faults", FaultsHandler, {"switches": switches}),
        ("/record", RecordHandler, {"show": lambda: {"rows": list(state.record.rows)}}),
    ]
    return {"port": listen(routes, port, more_hosts=OWN_HOSTS)}


def main(*, port: int = 0) -> None:
    """Run the stand-in."""
    run(lambda: start(port))


if __name__ == "__main__":
    cyclopts.run(main)
