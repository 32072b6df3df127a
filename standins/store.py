"""The stand-in for the platform's key-value service with a JSON API, run as a process.

The rate limits count a transaction that may write, and each lease call, as a write.
All other calls, such as opening a watch, count as reads.
"""

import asyncio
import time
from collections import Counter, deque
from typing import Any

import cyclopts
import msgspec
from tornado.iostream import StreamClosedError

from standins.keyspace import Event, Keyspace, in_range
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
from standins.store_messages import (
    CreateWatch,
    GrantRequest,
    LeaseRequest,
    RangeRequest,
    TxnRequest,
    WatchRequest,
    WatchResult,
    event_answer,
)
from standins.transactions import (
    INVALID_ARGUMENT,
    NOT_FOUND,
    RefusedError,
    header,
    is_write,
    read_range,
    run_txn,
)
from wagtailcleat.clock import boot_time

TICK_SECONDS = 0.02
MAX_COUNTED_SECONDS = 7200
TOO_MANY_REQUESTS = 8
UNAVAILABLE = 14


class Faults(CommonFaults):
    """Fault switches of the store."""

    down: bool = False
    lose_answers_matching: str = ""
    writes_per_second: float = 0.0
    reads_per_second: float = 0.0
    leases_run_while_down: bool = True


class TokenBucket:
    """A token bucket that holds one second's worth."""

    def __init__(self) -> None:
        """Start with a full bucket."""
        self._tokens = float("inf")
        self._filled_at = 0.0

    def take(self, rate: float, now: float) -> bool:
        """Take one token at `rate` a second; a rate of 0 means no limit."""
        if not rate:
            return True
        refilled = self._tokens + (now - self._filled_at) * rate
        self._tokens = min(max(rate, 1.0), refilled)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class CallCounts:
    """Counts of calls, by path and by second."""

    def __init__(self) -> None:
        """Start with no call."""
        self.count_by_path: Counter[str] = Counter()
        self.by_second: deque[list[int]] = deque(maxlen=MAX_COUNTED_SECONDS)

    def add(self, path: str, write: bool, now: float) -> None:
        """Count one call."""
        self.count_by_path[path] += 1
        second = int(now)
        if not self.by_second or self.by_second[-1][0] != second:
            self.by_second.append([second, 0, 0])
        self.by_second[-1][2 if write else 1] += 1


class Store:
    """The keys, watches, rate limits and call counts of the store."""

    def __init__(self) -> None:
        """Start without keys and without faults."""
        self.keyspace = Keyspace()
        self.switches = Switches(Faults)
        self.calls = CallCounts()
        self.writes = Record()
        self.watches: set[WatchHandler] = set()
        self.read_bucket = TokenBucket()
        self.write_bucket = TokenBucket()
        self.answering = asyncio.Event()
        self.answering.set()
        self.background: asyncio.Task[None] | None = None
        self.keyspace.on_commit = self._on_commit
        self.switches.on_change = self._on_switches_change

    def show(self) -> dict[str, Any]:
        """Return calls, writes and watches, as the record shows them."""
        return {
            "calls_by_path": self.calls.count_by_path,
            "calls_by_second": list(self.calls.by_second),
            "writes": list(self.writes.rows),
            "watches": len(self.watches),
            "revision": self.keyspace.revision,
        }

    async def expire_leases(self) -> None:
        """Expire leases until the process ends."""
        while True:
            faults = self.switches.current
            if faults.leases_run_while_down or not faults.down:
                self.keyspace.expire(time.monotonic())
            await asyncio.sleep(TICK_SECONDS)

    def _on_commit(self, events: list[Event], cause: str) -> None:
        now = boot_time()
        for event in events:
            kv = event.kv
            key = kv.key.decode("utf-8", "replace")
            self.writes.add(now, key, kv.version, kv.mod_revision, cause)
        for watch in self.watches:
            watch.enqueue(events)

    def _on_switches_change(self, before: Faults, after: Faults) -> None:
        if after.hang:
            self.answering.clear()
        else:
            self.answering.set()
        if after.down:
            for watch in list(self.watches):
                watch.cut()
        elif before.down and not before.leases_run_while_down:
            self.keyspace.refresh_leases(time.monotonic())


class StoreHandler(FaultInjectingHandler):
    """The base class of the store's handlers; `kind` is the request type."""

    store: Store
    kind: type[Any]
    always_write = False

    async def prepare(self) -> None:
        """Decode and count the call; refuse it as the switches say."""
        try:
            self.call = msgspec.json.decode(
                self.request.body, type=self.kind, strict=False
            )
        except msgspec.MsgspecError as error:
            self.refuse(RefusedError(400, INVALID_ARGUMENT, str(error)))
            return
        write = self.always_write or (self.kind is TxnRequest and is_write(self.call))
        self.store.calls.add(self.request.path, write, boot_time())
        await super().prepare()
        if self._finished:
            return
        bucket = self.store.write_bucket if write else self.store.read_bucket
        faults = self.store.switches.current
        rate = faults.writes_per_second if write else faults.reads_per_second
        if faults.down:
            self.refuse(RefusedError(503, UNAVAILABLE, "etcdserver: no leader"))
        elif not bucket.take(rate, time.monotonic()):
            self.refuse(RefusedError(429, TOO_MANY_REQUESTS, "too many requests"))

    def refuse(self, refusal: RefusedError) -> None:
        """Answer with the code and message of the refusal."""
        body = {"code": refusal.code, "message": str(refusal)}
        self.answer(body, refusal.status)

    def answer_write(self, body: Any, keys: set[str]) -> None:
        """Answer a completed write, or lose that answer if the switches say so."""
        wanted = self.switches.current.lose_answers_matching
        touched = not wanted or any(wanted in key for key in keys)
        if touched and self.loses_answer():
            self.drop()
        else:
            self.answer(body)


class RangeHandler(StoreHandler):
    """`/v3/kv/range`."""

    kind = RangeRequest

    def post(self) -> None:
        """Return the keys in the range."""
        self.answer(read_range(self.store.keyspace, self.call))


class TxnHandler(StoreHandler):
    """`/v3/kv/txn`."""

    kind = TxnRequest

    def post(self) -> None:
        """Execute a transaction; only the answer to one that wrote can be lost."""
        try:
            body, keys = run_txn(self.store.keyspace, self.call)
        except RefusedError as refusal:
            self.refuse(refusal)
            return
        if keys:
            self.answer_write(body, keys)
        else:
            self.answer(body)


class GrantHandler(StoreHandler):
    """`/v3/lease/grant`."""

    kind = GrantRequest
    always_write = True

    def post(self) -> None:
        """Grant a lease; return its id and TTL."""
        lease_id = self.store.keyspace.grant(self.call.TTL, time.monotonic())
        self.answer_write({"ID": str(lease_id), "TTL": str(self.call.TTL)}, set())


class KeepAliveHandler(StoreHandler):
    """`/v3/lease/keepalive`."""

    kind = LeaseRequest
    always_write = True

    def post(self) -> None:
        """Renew a lease; return its TTL, omitted if the lease does not exist."""
        ttl = self.store.keyspace.keep_alive(self.call.ID, time.monotonic())
        result = {"ID": str(self.call.ID)} | ({"TTL": str(ttl)} if ttl else {})
        self.answer_write({"result": result}, set())


class RevokeHandler(StoreHandler):
    """`/v3/lease/revoke`."""

    kind = LeaseRequest
    always_write = True

    def post(self) -> None:
        """Delete a lease and its keys."""
        lease = self.store.keyspace.lease_by_id.get(self.call.ID)
        if lease is None:
            self.refuse(RefusedError(404, NOT_FOUND, "requested lease not found"))
            return
        keys = {key.decode("utf-8", "replace") for key in lease.keys}
        self.store.keyspace.revoke(self.call.ID, "revoke")
        self.answer_write({}, keys)


class WatchHandler(StoreHandler):
    """`/v3/watch`: one JSON line for each revision that changes a watched key."""

    kind = WatchRequest

    def enqueue(self, events: list[Event]) -> None:
        """Queue the events of one revision for sending."""
        self.queue.put_nowait(events)

    def cut(self) -> None:
        """End the watch and close its connection."""
        self.disconnected.set()
        self.queue.put_nowait([])

    def on_connection_close(self) -> None:
        """End the watch when its client has disconnected."""
        super().on_connection_close()
        if hasattr(self, "queue"):
            self.queue.put_nowait([])

    async def post(self) -> None:
        """Send events until the client disconnects or the watch is cut."""
        self.queue: asyncio.Queue[list[Event]] = asyncio.Queue()
        create: CreateWatch = self.call.create_request
        keyspace = self.store.keyspace
        if 0 < create.start_revision <= keyspace.compacted_revision:
            await self._cancel()
            return
        if create.start_revision:
            self.queue.put_nowait(keyspace.since(create.start_revision))
        self.store.watches.add(self)
        try:
            await self._send(WatchResult(header(keyspace), created=True))
            while not self.disconnected.is_set():
                await self._send_events(create, await self.queue.get())
        except StreamClosedError:
            return
        finally:
            self.store.watches.discard(self)
        self.drop()

    async def _cancel(self) -> None:
        compacted = str(self.store.keyspace.compacted_revision)
        await self._send(
            WatchResult(
                header(self.store.keyspace), canceled=True, compact_revision=compacted
            )
        )
        self.finish()

    async def _send_events(self, create: CreateWatch, events: list[Event]) -> None:
        wanted = [
            event_answer(event)
            for event in events
            if in_range(event.kv.key, create.key, create.range_end)
            and event.kv.mod_revision >= create.start_revision
        ]
        await self.store.answering.wait()
        if wanted and not self.disconnected.is_set():
            result = WatchResult(header(self.store.keyspace), events=wanted)
            await self._send(result)

    async def _send(self, result: WatchResult) -> None:
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode({"result": result}) + b"\n")
        await self.flush()


HANDLER_BY_PATH = {
    "/v3/kv/range": RangeHandler,
    "/v3/kv/txn": TxnHandler,
    "/v3/lease/grant": GrantHandler,
    "/v3/lease/keepalive": KeepAliveHandler,
    "/v3/lease/revoke": RevokeHandler,
    "/v3/watch": WatchHandler,
}


def main(*, port: int = 0) -> None:
    """Serve the store on loopback."""

    async def start() -> dict[str, Any]:
        store = Store()
        state = {"switches": store.switches, "store": store}
        routes: list[Any] = [
            (path, handler, state) for path, handler in HANDLER_BY_PATH.items()
        ]
        routes.append(("/faults", FaultsHandler, {"switches": store.switches}))
        routes.append(("/record", RecordHandler, {"show": store.show}))
        store.background = asyncio.create_task(store.expire_leases())
        return {"port": listen(routes, port)}

    run(start)


if __name__ == "__main__":
    cyclopts.run(main)
