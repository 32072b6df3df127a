"""A whole leader with a store, agents and workers in one process, without network."""

import asyncio

import msgspec

from features.steps.scheduling_world import SimulatedWorker
from wagtailcleat.cluster.keys import JOB_PREFIX, LEADER_KEY, encode, record_key
from wagtailcleat.cluster.leader import Leader
from wagtailcleat.cluster.leadership import NOBODY, Office
from wagtailcleat.scheduling.models import Job, JobRecord
from wagtailcleat.storage import (
    Absent,
    Changes,
    Conflict,
    Event,
    Found,
    Listing,
    Txn,
    Unknown,
    Written,
)
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.results import Done

SECONDS = 10.0
LOOK_SECONDS = 0.005
VALID_SECONDS = 1000.0
LOOKS = 8
"""So many looks take longer than two of the leader's rounds."""


class PretendedStore:
    """A store whose lists, watches and answers can be held back."""

    def __init__(self):
        """Hold nothing, and answer everything at once."""
        self.found_by_key = {}
        self.revision = 0
        self.open = asyncio.Event()
        """Set while lists are answered."""
        self.open.set()
        self.asked_lists = 0
        self.watched = True
        """Whether watches tell of anything."""
        self.most_bytes = 0
        """Writes of more get no answer and are not carried out; 0: any are taken."""
        self.single_too = False
        """Whether this holds for a write of a single key too."""
        self.refused_writes = 0
        self.holds_deletes = False
        """Whether a write that deletes gets no answer, and is carried out late."""
        self.late = []

    def put(self, key, value):
        """Write one key."""
        self.revision += 1
        self.found_by_key[key] = Found(key, value, self.revision)

    async def list(self, prefix):
        """Return what a prefix holds, once lists are answered."""
        self.asked_lists += 1
        await self.open.wait()
        found = [f for key, f in self.found_by_key.items() if key.startswith(prefix)]
        return Listing(found, self.revision)

    async def get(self, key):
        """Return a key's value."""
        return self.found_by_key.get(key) or Absent(self.revision)

    async def changes(self, prefix, after, *, wait_seconds):
        """Wait until a prefix has changed."""
        while True:
            found = [
                Event(f.key, f.value, f.mod_revision)
                for f in self.found_by_key.values()
                if f.key.startswith(prefix) and f.mod_revision > after
            ]
            if self.watched and found:
                return Changes(found, self.revision)
            await asyncio.sleep(LOOK_SECONDS)

    async def write(self, txn: Txn):
        """Carry a write out, or hold it back without an answer."""
        if txn.deletes and self.holds_deletes:
            self.late.append(txn)
            return Unknown("no answer")
        size = sum(len(value) for value in txn.puts.values())
        bounded = self.single_too or len(txn.puts) > 1
        if self.most_bytes and bounded and size > self.most_bytes:
            self.refused_writes += 1
            return Unknown("no answer")
        return self.carry_out(txn)

    def carry_out(self, txn):
        """Carry a write out if its compares hold."""
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
        """Take orders for `worker`."""
        self.worker = worker
        self.opened_at = opened_at
        self.closed = False

    async def call(self, orders, *, timeout):
        """Let the agent take orders."""
        self.worker.take(orders)
        return Done()

    def close(self, reason):
        """End the connection."""
        self.closed = True


class _Leadership:
    leader = NOBODY

    async def look_after_entries(self, office, *, restored):
        return None


class _Peers:
    async def call(self, host, port, message, *, timeout):
        """Reach nobody."""
        return Lost(sent=False, reason="nobody there")


class LeaderWorld:
    """One leader, and agents that report when they are told to."""

    def __init__(self, count=2):
        """Begin with agents that have not reported, and no leader."""
        self.loop = asyncio.new_event_loop()
        self.store = PretendedStore()
        self.store.put(LEADER_KEY, b"mine")
        self.workers = [SimulatedWorker(f"vm-{n}") for n in range(1, count + 1)]
        self.streams_opened = 0
        self.reports_made = 0
        self.life_by_node = {}
        self.stream_by_node = {}
        self.leader = None
        self.work = None
        self.rounds_decided = 0
        """How many rounds the leaders have decided, while they were acting."""
        self.now = 100.0

    def lead(self, epoch=2):
        """Let a leader begin."""
        revision = self.store.found_by_key[LEADER_KEY].mod_revision
        office = Office(
            epoch,
            revision,
            0,
            self.now + VALID_SECONDS,
            renewed_at=self.now,
            claimed_at=self.now,
            predecessors_until=self.now,
        )
        self.leader = Leader(
            office,
            store=self.store,
            peers=_Peers(),
            leadership=_Leadership(),
            clock=lambda: self.now,
            wall_clock=lambda: 1_800_000_000.0,
            status_kept=1000.0,
            zones_out=self._zones_out,
        )
        self.work = self.loop.create_task(self.leader.run())

    def _zones_out(self):
        # A leader asks for these once in each round.
        self.rounds_decided += 1
        return frozenset()

    def store_job(self, job: Job, record: JobRecord | None = None):
        """Store a job, with its progress if there is any."""
        self.store.put(JOB_PREFIX + job.id, encode(job))
        if record is not None:
            self.store.put(record_key(job.id), encode(record))

    def until(self, condition):
        """Wait for a condition."""
        ends_at = self.loop.time() + SECONDS
        while not condition():
            assert self.loop.time() < ends_at, "waited in vain"
            self.pause()

    def pause(self):
        """Let the leader work for a moment."""
        self.loop.run_until_complete(asyncio.sleep(LOOK_SECONDS))

    def open(self, worker):
        """Open a connection of an agent."""
        self.streams_opened += 1
        stream = PretendedStream(worker, float(self.streams_opened))
        self.stream_by_node[worker.node] = stream
        return stream

    def report(self, worker, *, stream=None, report=None):
        """Deliver a report, on the agent's newest connection if none is given."""
        stream = stream or self.stream_by_node.get(worker.node) or self.open(worker)
        report = report or self.made(worker)
        return self.loop.run_until_complete(self.leader.report(stream, report, None))

    def made(self, worker):
        """Return the report that an agent makes now."""
        self.reports_made += 1
        return msgspec.structs.replace(
            worker.report(),
            number=self.reports_made,
            epoch=self.leader.office.epoch,
            incarnation=self.life_by_node.get(worker.node, 1),
        )

    def rounds(self, count=3):
        """Let every agent report some times, and the leader decide."""
        for _ in range(count):
            for worker in self.workers:
                self.report(worker)
            self.pass_rounds()

    def pass_rounds(self):
        """Let the leader decide a few times without a report."""
        before = self.rounds_decided
        for _ in range(LOOKS):
            self.pause()
        self.until(lambda: self.rounds_decided > before)
        # What the last round decided is sent by tasks of its own.
        self.pause()

    def runs(self, job):
        """Return what runs of a job."""
        return [
            (worker.node, key)
            for worker in self.workers
            for key in worker.running
            if key.task.job == job
        ]

    def close(self):
        """End the leader."""
        if self.work is not None:
            self.work.cancel()
            self.loop.run_until_complete(
                asyncio.gather(self.work, return_exceptions=True)
            )
        self.loop.close()
