"""The stand-in for the platform's key-value store, after the platform's documentation.

It runs as a process. Conditions, puts and removals of a transaction all count towards
its limit. Its fault switches lose answers, delay writes, refuse calls and stall
answers; it can also forget its history.
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
    FaultInjectingHandler,
    FaultsHandler,
    Record,
    RecordHandler,
    Switches,
    listen,
    run,
)

MAX_ENTRIES = 32
MAX_PAGE = 500
MAX_PAGE_BYTES = 1_000_000
CHUNK_INTERVAL_SECONDS = 0.05
"""Between two chunks of an answer whose rate is limited."""
MAX_WAIT_SECONDS = 30.0
MILLISECONDS = 1000
ENTRY_HOSTS = ("127.0.2.1", "127.0.2.2")
"""Addresses each used by one of the first two entries, so that one can be refused."""
OPERATOR_PREFIXES = ("op/", "servers/")


class Faults(CommonFaults):
    """Fault switches of the store."""

    busy: bool = False
    """Answer every call 503."""
    late_seconds: float = 0.0
    """Execute writes after this delay and do not answer them; 0: at once."""
    turned_away: str = ""
    """Answer calls to this address of the store 503."""
    granted: list[str] = []
    """Workers that the advice service grants; it is served on the store's port."""
    refused_bodies: bool = False
    """Answer every write 429."""
    bytes_per_second: int = 0
    """Send the answers of lists and watches at this rate; 0: no limit."""
    refused_pages: int = 0
    """Answer this many calls for a later page of a list 503."""
    stall_after_bytes: int = 0
    """Stall the answers of lists and watches after this many bytes; 0: never."""


class State:
    """The keys, the record and the notification of waiting watches."""

    def __init__(self) -> None:
        """Start empty."""
        self.keyspace = Keyspace()
        self.changed = asyncio.Event()
        self.record = Record()
        self.forgotten_revision = 0
        """A watch from before this revision is refused, as its history is lost."""
        self.delayed_writes: set[asyncio.Task[None]] = set()

    def wake_watches(self) -> None:
        """Wake the waiting watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def changes(
        self, prefix: bytes, after: int, seconds: float
    ) -> tuple[list[dict[str, Any]], int]:
        """Wait up to `seconds` for changes after the revision `after` under `prefix`.

        Return the changes and the revision up to which they are complete.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while not (events := self._events(prefix, after)) and loop.time() < end:
            # A change may be committed between the timeout and this task's next step.
            # Unless the events are read again, the returned revision would include
            # that change and the events would not.
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


def _range_end(prefix: str) -> bytes:
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return bytes(raw)


class StoreHandler(FaultInjectingHandler):
    """The base class of the store's handlers."""

    state: State

    async def prepare(self) -> None:
        """Apply the fault switches; answer 503 if they say so."""
        await super().prepare()
        is_turned_away = self.request.host_name == self.switches.current.turned_away
        if (self.switches.current.busy or is_turned_away) and not self._finished:
            self.answer({"error": "busy"}, 503)

    async def answer_slowly(self, body: Any) -> None:
        """Answer with JSON at the rate, and up to the stall, that the switches set."""
        data = msgspec.json.encode(body)
        self.set_header("Content-Type", "application/json")
        self.set_header("Content-Length", str(len(data)))
        chunk_bytes = int(
            self.switches.current.bytes_per_second * CHUNK_INTERVAL_SECONDS
        ) or len(data)
        stall = self.switches.current.stall_after_bytes or len(data)
        for first in range(0, min(len(data), stall), chunk_bytes):
            self.write(data[first : min(first + chunk_bytes, stall)])
            with contextlib.suppress(StreamClosedError):
                await self.flush()
            if self.disconnected.is_set():
                return
            if first + chunk_bytes < len(data):
                await asyncio.sleep(CHUNK_INTERVAL_SECONDS)
        if stall < len(data):
            await self.disconnected.wait()
            return
        self.finish()


class AdviseHandler(StoreHandler):
    """`POST /advise`."""

    def post(self) -> None:
        """Return a ticket for each named worker that is granted."""
        body = msgspec.json.decode(self.request.body)
        granted = [
            [worker, f"{body['step']}/{worker}"]
            for worker in body["workers"]
            if worker in self.switches.current.granted
        ]
        self.answer({"granted": granted, "validMs": 3000})


class KeyHandler(StoreHandler):
    """`GET /kv-key`."""

    def get(self) -> None:
        """Return one key, or 404 if it does not exist."""
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
        if after and self.switches.current.refused_pages > 0:
            self.switches.current.refused_pages -= 1
            self.answer({"error": "busy"}, 503)
            return
        keyspace = self.state.keyspace
        start = (after + "\0" if after else prefix).encode()
        found = keyspace.range(start, _range_end(prefix))
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
        """Return changes as soon as there are any, or none after the wait."""
        prefix = self.get_query_argument("prefix").encode()
        after = int(self.get_query_argument("after"))
        wait = int(self.get_query_argument("waitMs")) / MILLISECONDS
        if after < self.state.forgotten_revision:
            self.answer({"error": "forgotten"}, 410)
            return
        events, revision = await self.state.changes(
            prefix, after, min(wait, MAX_WAIT_SECONDS)
        )
        await self.answer_slowly({"events": events, "storeRevision": revision})


class TxnHandler(StoreHandler):
    """`POST /kv-txn`."""

    async def post(self) -> None:
        """Execute a transaction atomically."""
        body = msgspec.json.decode(self.request.body)
        conditions = body.get("expectRev", [])
        puts = body.get("setKeys", [])
        removed = body.get("remove", [])
        if len(conditions) + len(puts) + len(removed) > MAX_ENTRIES:
            self.answer({"error": "too many entries"}, 400)
            return
        written = [put["key"] for put in puts] + removed
        if (
            any(key.startswith(OPERATOR_PREFIXES) for key in written)
            and not self._is_operator()
        ):
            self.answer({"error": "not yours to write"}, 403)
            return
        if self.switches.current.refused_bodies:
            self.answer({"error": "too many"}, 429)
            return
        delay = self.switches.current.late_seconds
        if delay:
            task = asyncio.create_task(
                self._apply_later(delay, conditions, puts, removed)
            )
            self.state.delayed_writes.add(task)
            self.drop()
            return
        answer, status = self._apply(conditions, puts, removed)
        if self.loses_answer():
            self.drop()
            return
        self.answer(answer, status)

    def _is_operator(self) -> bool:
        return self.request.headers.get("Operator") == "yes"

    async def _apply_later(
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
        self.state.wake_watches()
        return {"rev": keyspace.revision}, 200


class ForgetHandler(StoreHandler):
    """`POST /forget`: a control for tests that discards the history."""

    def post(self) -> None:
        """Refuse watches from before the current revision."""
        self.state.forgotten_revision = self.state.keyspace.revision
        self.answer({})


async def start(port: int = 0) -> dict[str, Any]:
    """Serve the store on `port`; return the fields of the ready line."""
    state = State()
    switches = Switches(Faults)
    handler_arguments = {"switches": switches, "state": state}
    routes = [
        ("/advise", AdviseHandler, handler_arguments),
        ("/kv-key", KeyHandler, handler_arguments),
        ("/kv-range", RangeHandler, handler_arguments),
        ("/kv-watch", WatchHandler, handler_arguments),
        ("/kv-txn", TxnHandler, handler_arguments),
        ("/forget", ForgetHandler, handler_arguments),
        ("/faults", FaultsHandler, {"switches": switches}),
        ("/record", RecordHandler, {"show": lambda: {"rows": list(state.record.rows)}}),
    ]
    return {"port": listen(routes, port, more_hosts=ENTRY_HOSTS)}


def main(*, port: int = 0) -> None:
    """Serve the store on loopback."""
    run(lambda: start(port))


if __name__ == "__main__":
    cyclopts.run(main)
