"""A shard's log in the platform's store, with group commit and fencing by epoch.

The shard's owner commits through it. Every write compares the shard's epoch, which
serves as the fencing token: an owner that was paused past its lease can't commit
once another process has taken over. A write that assigns tasks also compares the
key of zones out, so that no task is placed in a zone after operators took it out.
"""

import asyncio
import json
from dataclasses import dataclass, field
from enum import Enum

from wagtailcleat.batch.record import (
    AnyEvent,
    Assigned,
    ShardRecord,
    decode_events,
    decode_snapshot,
    encode_events,
)
from wagtailcleat.configuration.keys import (
    ZONES_OUT,
    shard_epoch,
    shard_log,
    shard_log_entry,
    shard_snapshot,
    shard_snapshot_part,
)
from wagtailcleat.ids import Epoch, ShardId
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.store import Store
from wagtailcleat.storage import (
    Absent,
    Compare,
    Conflict,
    Found,
    Listing,
    Txn,
    Unavailable,
    Unknown,
    Written,
)

log = part_logger("journal")

MIN_ENTRIES_PER_SNAPSHOT = 100
MAX_ENTRIES_PER_SNAPSHOT = 1000
MAX_ENTRY_BYTES = 500_000
SNAPSHOT_PART_BYTES = 900_000
RETRY_PAUSE_SECONDS = 0.1


class CommitOutcome(Enum):
    """The result of committing events."""

    COMMITTED = "committed"
    ZONES_CHANGED = "zones_changed"
    """Not written: the zones out changed after the placement was decided."""
    FAILED = "failed"
    """Not written: the store does not answer."""
    DEPOSED = "deposed"
    """Not written and never will be: another process owns the shard."""
    UNKNOWN = "unknown"
    """In doubt: the events may be in the log, and another process may own the shard."""


@dataclass
class _QueuedCommit:
    """Events that wait to be written, and the future that gets the outcome."""

    events: list[AnyEvent]
    size: int
    done: asyncio.Future[CommitOutcome]


@dataclass
class Journal:
    """The log of one shard as one owner writes it, in one epoch.

    `record` is the committed state; `interval` is the least time between two writes
    in seconds. `deposed` is set, for good, once another process owns the shard.
    """

    store: Store
    shard: ShardId
    epoch: Epoch
    epoch_value: bytes
    record: ShardRecord
    zones_out: list[str]
    zones_revision: int
    interval: float
    snapshot_revision: int = 0
    snapshot_number: int = 0
    deposed: asyncio.Event = field(default_factory=asyncio.Event)
    _log_bytes: int = 0
    _snapshot_bytes: int = 0
    _queue: list[_QueuedCommit] = field(default_factory=list)
    _wake: asyncio.Event = field(default_factory=asyncio.Event)

    async def commit(self, events: list[AnyEvent]) -> CommitOutcome:
        """Write events and return the outcome once it is known or in doubt for good.

        A doubt is final once this owner is deposed or `run` is cancelled in a write.
        """
        if self.deposed.is_set():
            return CommitOutcome.DEPOSED
        done: asyncio.Future[CommitOutcome] = asyncio.get_running_loop().create_future()
        self._queue.append(_QueuedCommit(events, len(encode_events(events)), done))
        self._wake.set()
        return await asyncio.shield(done)

    async def run(self) -> None:
        """Write queued events, at most one entry per `interval`, until deposed."""
        try:
            while not self.deposed.is_set():
                await self._wake.wait()
                self._wake.clear()
                await self._write_next_entry()
                if self._snapshot_due():
                    await self._write_snapshot()
                if self._queue:
                    self._wake.set()
                await asyncio.sleep(self.interval)
        finally:
            deposed = self.deposed.is_set()
            _complete(
                self._queue, CommitOutcome.DEPOSED if deposed else CommitOutcome.FAILED
            )
            self._queue.clear()

    async def _write_next_entry(self) -> None:
        queued = self._dequeue()
        # If this task is cancelled during a write, the outcome is in doubt. Those
        # who wait for it must not be told that nothing was written.
        outcome = CommitOutcome.UNKNOWN
        try:
            if queued:
                outcome = await self._write(queued)
        finally:
            _complete(queued, outcome)

    def _dequeue(self) -> list[_QueuedCommit]:
        taken: list[_QueuedCommit] = []
        size = 0
        while self._queue and (not taken or size < MAX_ENTRY_BYTES):
            size += self._queue[0].size
            if taken and size > MAX_ENTRY_BYTES:
                break
            taken.append(self._queue.pop(0))
        return taken

    def _snapshot_due(self) -> bool:
        # A snapshot is due only once the log has grown to the size of the last
        # snapshot, so that snapshots stay a fixed share of the bytes written, also
        # for a large shard.
        entries = self.record.number - self.snapshot_number
        if entries < MIN_ENTRIES_PER_SNAPSHOT:
            return False
        log_outgrew_snapshot = self._log_bytes >= self._snapshot_bytes
        return log_outgrew_snapshot or entries >= MAX_ENTRIES_PER_SNAPSHOT

    async def _write(self, queued: list[_QueuedCommit]) -> CommitOutcome:
        events = [event for queued_commit in queued for event in queued_commit.events]
        number = self.record.number + 1
        has_assignments = any(isinstance(event, Assigned) for event in events)
        txn = self._entry_txn(number, events, has_assignments)
        unknown = False
        while True:
            outcome = await self.store.write(txn)
            if isinstance(outcome, Written):
                return self._apply_committed(number, events)
            if isinstance(outcome, Conflict):
                resolved = await self._resolve_conflict(
                    txn, number, events, has_assignments, unknown
                )
                if resolved is not None:
                    return resolved
            elif isinstance(outcome, Unavailable) and not unknown:
                return CommitOutcome.FAILED
            elif isinstance(outcome, Unknown):
                # The write may have taken effect or may do so later. Sending the
                # same transaction again is safe, since it requires that the log key
                # is absent.
                unknown = True
            await asyncio.sleep(RETRY_PAUSE_SECONDS)

    def _entry_txn(
        self, number: int, events: list[AnyEvent], has_assignments: bool
    ) -> Txn:
        entry = shard_log_entry(self.shard, number)
        compares = [
            Compare(shard_epoch(self.shard), value=self.epoch_value),
            Compare(entry, absent=True),
        ]
        if has_assignments:
            compares.append(Compare(ZONES_OUT, mod_revision=self.zones_revision))
        return Txn(compares, {entry: encode_events(events)})

    async def _resolve_conflict(
        self,
        txn: Txn,
        number: int,
        events: list[AnyEvent],
        has_assignments: bool,
        unknown: bool,
    ) -> CommitOutcome | None:
        entry = shard_log_entry(self.shard, number)
        stored = await self.store.get(entry)
        if isinstance(stored, Found):
            if stored.value == txn.puts[entry]:
                # Only an owner of this epoch can have written these bytes. The
                # answer was lost, and this loop sent the transaction again.
                return self._apply_committed(number, events)
            self.deposed.set()
            return CommitOutcome.UNKNOWN if unknown else CommitOutcome.DEPOSED
        epoch = await self.store.get(shard_epoch(self.shard))
        if isinstance(epoch, Unavailable) or isinstance(stored, Unavailable):
            return None
        if isinstance(epoch, Absent) or epoch.value != self.epoch_value:
            # The next owner may have read the entry and included it in a snapshot, so
            # an absent entry does not prove that it was not written.
            self.deposed.set()
            return CommitOutcome.UNKNOWN if unknown else CommitOutcome.DEPOSED
        if has_assignments and await self.refresh_zones():
            return CommitOutcome.ZONES_CHANGED
        return None

    async def refresh_zones(self) -> bool:
        """Read the zones out from the store; return whether they changed."""
        zones = await read_zones_out(self.store)
        if zones is None or zones[1] == self.zones_revision:
            return False
        self.zones_out, self.zones_revision = zones
        return True

    def _apply_committed(self, number: int, events: list[AnyEvent]) -> CommitOutcome:
        for event in events:
            self.record.apply(event)
        self.record.number = number
        self._log_bytes += len(encode_events(events))
        return CommitOutcome.COMMITTED

    async def _write_snapshot(self) -> None:
        # The answer may be lost and the write take effect late, after further
        # entries. So it deletes no entry beyond its own number, and it compares the
        # revision of the snapshot it replaces, lest it overwrite a newer one.
        number = self.record.number
        key = shard_snapshot(self.shard)
        parts = _split_snapshot(self.record.encode_snapshot())
        puts = {key: str(len(parts)).encode()}
        for index, part in enumerate(parts):
            puts[shard_snapshot_part(self.shard, index)] = part
        txn = Txn(
            [
                Compare(shard_epoch(self.shard), value=self.epoch_value),
                Compare(key, mod_revision=self.snapshot_revision),
            ],
            puts,
            delete_ranges=[
                (shard_log(self.shard), shard_log_entry(self.shard, number + 1))
            ],
        )
        outcome = await self.store.write(txn)
        if isinstance(outcome, Written):
            self.snapshot_revision = outcome.store_revision
            self.snapshot_number = number
            self._snapshot_bytes = sum(len(part) for part in parts)
            self._log_bytes = 0
            return
        found = await self.store.get(key)
        if isinstance(found, Found):
            self.snapshot_revision = found.mod_revision


def _complete(queued: list[_QueuedCommit], outcome: CommitOutcome) -> None:
    for commit in queued:
        if not commit.done.done():
            commit.done.set_result(outcome)


def _split_snapshot(snapshot: bytes) -> list[bytes]:
    # A value in the store is limited to 1 MB, and a snapshot may be larger.
    starts = range(0, len(snapshot), SNAPSHOT_PART_BYTES)
    return [snapshot[start : start + SNAPSHOT_PART_BYTES] for start in starts]


async def read_zones_out(store: Store) -> tuple[list[str], int] | None:
    """Return the zones out and their key's revision, or None if the store fails."""
    found = await store.get(ZONES_OUT)
    if isinstance(found, Found):
        return json.loads(found.value), found.mod_revision
    return ([], 0) if isinstance(found, Absent) else None


@dataclass(frozen=True)
class LoadedShard:
    """A shard's committed state, and the revision and number of its snapshot."""

    record: ShardRecord
    snapshot_revision: int
    snapshot_number: int


async def load_shard(store: Store, shard: ShardId) -> LoadedShard | None:
    """Return a shard's committed state, or None if the store fails."""
    stored = await store.list(shard_snapshot(shard))
    if not isinstance(stored, Listing):
        return None
    value_by_key = {found.key: found for found in stored.found}
    head = value_by_key.get(shard_snapshot(shard))
    record, snapshot_revision = ShardRecord(), 0
    if head is not None:
        keys = [shard_snapshot_part(shard, i) for i in range(int(head.value))]
        record = decode_snapshot(b"".join(value_by_key[key].value for key in keys))
        snapshot_revision = head.mod_revision
    snapshot_number = record.number
    entries = await store.list(shard_log(shard))
    if not isinstance(entries, Listing):
        return None
    for entry in entries.found:
        number = int(entry.key.rsplit("/", 1)[1])
        if number <= record.number:
            continue
        for event in decode_events(entry.value):
            record.apply(event)
        record.number = number
    return LoadedShard(record, snapshot_revision, snapshot_number)
