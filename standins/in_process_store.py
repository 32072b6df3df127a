"""A store client that reads a keyspace directly, for nodes on virtual time."""

import asyncio
from collections.abc import Callable

import msgspec

from standins.keyspace import Keyspace
from standins.store_messages import TxnRequest
from standins.transactions import run_txn
from wagtailcleat.platform.store import _range_end, _txn_body
from wagtailcleat.storage import (
    Absent,
    Conflict,
    Event,
    Found,
    Listing,
    Txn,
    Unavailable,
    Unknown,
    Written,
)

LATENCY_SECONDS = 0.003


class InProcessStore:
    """Has the interface of `wagtailcleat.platform.store.Store`, on one keyspace."""

    def __init__(self, keyspace: Keyspace) -> None:
        """Use `keyspace`, without faults."""
        self.keyspace = keyspace
        self.changed = asyncio.Event()
        self.down = False
        self.lose_answers = 0

    async def get(self, key: str) -> Found | Absent | Unavailable:
        """Return the value of `key`."""
        await asyncio.sleep(LATENCY_SECONDS)
        if self.down:
            return Unavailable("down")
        found = self.keyspace.get(key.encode())
        if found is None:
            return Absent(self.keyspace.revision)
        return Found(key, found.value, found.mod_revision)

    async def list(self, prefix: str) -> Listing | Unavailable:
        """Return all keys that begin with `prefix`."""
        await asyncio.sleep(LATENCY_SECONDS)
        if self.down:
            return Unavailable("down")
        kvs = self.keyspace.range(prefix.encode(), _range_end(prefix))
        found = [Found(kv.key.decode(), kv.value, kv.mod_revision) for kv in kvs]
        return Listing(found, self.keyspace.revision)

    async def write(self, txn: Txn) -> Written | Conflict | Unknown | Unavailable:
        """Execute `txn`; return `Unknown` for an answer that is to be lost."""
        await asyncio.sleep(LATENCY_SECONDS)
        if self.down:
            return Unavailable("down")
        raw = _txn_body(txn)
        body, keys = run_txn(
            self.keyspace, msgspec.convert(raw, TxnRequest, strict=False)
        )
        await asyncio.sleep(LATENCY_SECONDS)
        if keys and self.lose_answers:
            self.lose_answers -= 1
            return Unknown("the answer was lost")
        succeeded = msgspec.to_builtins(body).get("succeeded")
        return Written(self.keyspace.revision) if succeeded else Conflict()

    async def watch(
        self, prefix: str, start_revision: int, on_event: Callable[[Event], None]
    ) -> None:
        """Call `on_event` for each change until the store goes down."""
        seen = start_revision
        while not self.down:
            for event in self.keyspace.since(seen):
                seen = max(seen, event.kv.mod_revision + 1)
                key = event.kv.key.decode()
                if key.startswith(prefix):
                    value = None if event.is_delete else event.kv.value
                    on_event(Event(key, value, event.kv.mod_revision))
            self.changed.clear()
            await self.changed.wait()
