"""A real leader with a simulated store, agents and workers in one process."""

import asyncio
import math

import msgspec

from features.steps.scheduling_world import SimulatedWorker
from wagtailcleat.cluster.keys import JOB_PREFIX, LEADER_KEY, encode, record_key
from wagtailcleat.cluster.leader import Leader
from wagtailcleat.cluster.leadership import NO_LEADER, LeaderLease
from wagtailcleat.cluster.records import DEFAULT_MAX_VALUE_BYTES
from wagtailcleat.platform.keyvalue import MAX_TXN_ENTRIES
from wagtailcleat.scheduling.models import Job, JobRecord
from wagtailcleat.storage import (
    Absent,
    Changes,
    Conflict,
    Event,
    Found,
    Listing,
    Txn,
    Unavailable,
    Unknown,
    Written,
)
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.results import Done

TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.005
VALID_SECONDS = 1000.0
POLLS_PER_WAIT = 8
"""Polls in one wait; together they take longer than two of the leader's rounds."""


class PretendedStore:
    """A store in memory whose lists, watches and answers can be delayed."""

    def __init__(self):
        """Start empty, and answer everything at once."""
        self.found_by_key = {}
        self.down_since = None
        self.revision = 0
        self.open = asyncio.Event()
        """Set while lists are answered."""
        self.open.set()
        self.lists_requested = 0
        self.delivers_changes = True
        """Whether watches deliver changes."""
        self.max_write_bytes = 0
        """Larger writes get no answer and are not applied; 0: no limit."""
        self.limits_single_writes = False
        """Whether the limit also holds for a write of a single key."""
        self.unanswered_writes = 0
        self.delays_deletes = False
        """Whether a write that deletes gets no answer and is kept for later."""
        self.delays_writes = False
        """Whether any write gets no answer and is kept for later."""
        self.is_silent = False
        """Whether no write is answered or carried out."""
        self.delayed_writes = []

    def put(self, key, value):
        """Write one key."""
        self.revision += 1
        self.found_by_key[key] = Found(key, value, self.revision)

    async def list(self, prefix):
        """Return the keys under a prefix, once lists are answered."""
        self.lists_requested += 1
        await self.open.wait()
        found = [f for key, f in self.found_by_key.items() if key.startswith(prefix)]
        return Listing(found, self.revision)

    async def get(self, key):
        """Return a key with its value, or its absence."""
        return self.found_by_key.get(key) or Absent(self.revision)

    def is_unavailable(self, now):
        """Return whether it is known not to answer."""
        return False

    async def changes(self, prefix, after, *, wait_seconds):
        """Wait until a key under a prefix has changed."""
        while True:
            found = [
                Event(f.key, f.value, f.mod_revision)
                for f in self.found_by_key.values()
                if f.key.startswith(prefix) and f.mod_revision > after
            ]
            if self.delivers_changes and found:
                return Changes(found, self.revision)
            await asyncio.sleep(POLL_SECONDS)

    async def write(self, txn: Txn):
        """Apply a write, or leave it without an answer."""
        if len(txn.compares) + len(txn.puts) + len(txn.deletes) > MAX_TXN_ENTRIES:
            return Unavailable("too many entries")
        if self.is_silent:
            return Unknown("no answer")
        if self.delays_writes or (txn.deletes and self.delays_deletes):
            self.delayed_writes.append(txn)
            return Unknown("no answer")
        size = sum(len(value) for value in txn.puts.values())
        bounded = self.limits_single_writes or len(txn.puts) > 1
        if self.max_write_bytes and bounded and size > self.max_write_bytes:
            self.unanswered_writes += 1
            return Unknown("no answer")
        return self.apply(txn)

    def apply_delayed(self):
        """Carry out the writes that were kept for later; return their outcomes."""
        delayed, self.delayed_writes = self.delayed_writes, []
        return [self.apply(txn) for txn in delayed]

    def apply(self, txn):
        """Apply a write if its compares hold."""
        for compare in txn.compares:
            found = self.found_by_key.get(compare.key)
            revision = found.mod_revision if found else 0
            if revision != (0 if compare.absent else compare.mod_revision):
                keys = [c.key for c in txn.compares if c.key in self.found_by_key]
                return Conflict(tuple(self.found_by_key[key] for key in keys))
        self.revision += 1
        for key in txn.deletes:
            self.found_by_key.pop(key, None)
        for key, value in txn.puts.items():
            self.found_by_key[key] = Found(key, value, self.revision)
        return Written(self.revision)


class PretendedStream:
    """A connection that an agent opened to the leader."""

    def __init__(self, worker, opened_at):
        """Create a connection whose orders go to `worker`."""
        self.worker = worker
        self.opened_at = opened_at
        self.closed = False

    async def call(self, orders, *, timeout):
        """Deliver orders to the worker."""
        self.worker.take(orders)
        return Done()

    def close(self, reason):
        """End the connection."""
        self.closed = True


class _Leadership:
    leader = NO_LEADER

    async def maintain_entries(self, lease, *, restored):
        return math.inf


class _Peers:
    async def call(self, host, port, message, *, timeout):
        """Fail, as if no process could be reached."""
        return Lost(sent=False, reason="no process")


class LeaderWorld:
    """One leader, and agents that report when a step says so."""

    def __init__(self, count=2):
        """Start without a leader, with agents that have not reported."""
        self.loop = asyncio.new_event_loop()
        self.store = PretendedStore()
        self.store.put(LEADER_KEY, b"mine")
        self.workers = [SimulatedWorker(f"vm-{n}") for n in range(1, count + 1)]
        self.streams_opened = 0
        self.reports_made = 0
        self.incarnation_by_node = {}
        self.stream_by_node = {}
        self.leader = None
        self.work = None
        self.max_value_bytes = DEFAULT_MAX_VALUE_BYTES
        self.rounds_counted = 0
        """Number of rounds in which a leader was allowed to act."""
        self.now = 100.0
        self.wall_now = 1_800_000_000.0

    def lead(self, epoch=2):
        """Start a leader."""
        revision = self.store.found_by_key[LEADER_KEY].mod_revision
        lease = LeaderLease(
            epoch,
            revision,
            0,
            self.now + VALID_SECONDS,
            renewed_at=self.now,
            claimed_at=self.now,
            predecessors_until=self.now,
        )
        self.leader = Leader(
            lease,
            store=self.store,
            peers=_Peers(),
            leadership=_Leadership(),
            clock=lambda: self.now,
            wall_clock=lambda: self.wall_now,
            status_kept=1000.0,
            zones_out=self._zones_out,
            max_value_bytes=self.max_value_bytes,
        )
        self.work = self.loop.create_task(self.leader.run())

    def _zones_out(self):
        # A leader that may act asks for the zones once in each round.
        self.rounds_counted += 1
        return frozenset()

    def store_job(self, job: Job, record: JobRecord | None = None):
        """Store a job, and its progress record if given."""
        self.store.put(JOB_PREFIX + job.id, encode(job))
        if record is not None:
            self.store.put(record_key(job.id), encode(record))

    def until(self, condition):
        """Wait until a condition is true."""
        ends_at = self.loop.time() + TIMEOUT_SECONDS
        while not condition():
            assert self.loop.time() < ends_at, "condition not met in time"
            self.pause()

    def pause(self):
        """Let the leader run for a moment."""
        self.loop.run_until_complete(asyncio.sleep(POLL_SECONDS))

    def open(self, worker):
        """Open a connection of an agent."""
        self.streams_opened += 1
        stream = PretendedStream(worker, float(self.streams_opened))
        self.stream_by_node[worker.node] = stream
        return stream

    def report(self, worker, *, stream=None, report=None):
        """Deliver a report, by default a new one on the agent's latest connection."""
        stream = stream or self.stream_by_node.get(worker.node) or self.open(worker)
        report = report or self.make_report(worker)
        return self.loop.run_until_complete(self.leader.report(stream, report, None))

    def make_report(self, worker):
        """Return a new report of an agent."""
        self.reports_made += 1
        return msgspec.structs.replace(
            worker.report(),
            number=self.reports_made,
            epoch=self.leader.lease.epoch,
            incarnation=self.incarnation_by_node.get(worker.node, 1),
        )

    def rounds(self, count=3):
        """Let every agent report `count` times, and the leader decide after each."""
        for _ in range(count):
            for worker in self.workers:
                self.report(worker)
            self.wait_rounds()

    def wait_rounds(self):
        """Wait until the leader has decided at least once without a new report."""
        before = self.rounds_counted
        for _ in range(POLLS_PER_WAIT):
            self.pause()
        self.until(lambda: self.rounds_counted > before)
        # The orders of the last round are sent by separate tasks.
        self.pause()

    def runs(self, job):
        """Return the runs of a job with the nodes that they are on."""
        return [
            (worker.node, key)
            for worker in self.workers
            for key in worker.running
            if key.task.job == job
        ]

    def close(self):
        """Stop the leader."""
        if self.work is not None:
            self.work.cancel()
            self.loop.run_until_complete(
                asyncio.gather(self.work, return_exceptions=True)
            )
        self.loop.close()
