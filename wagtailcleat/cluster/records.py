"""What the leader stores: the progress of jobs, and which agents may run tasks."""

import asyncio
from collections.abc import Callable, Iterable

import msgspec

from wagtailcleat.clock import Clock
from wagtailcleat.cluster.keys import (
    LEADER_KEY,
    ProcessInfo,
    agent_key,
    cancel_key,
    encode,
    job_key,
    record_key,
)
from wagtailcleat.cluster.leader_lease import LeaderLease
from wagtailcleat.ids import JobId, NodeId
from wagtailcleat.platform.keyvalue import MAX_TXN_ENTRIES, KeyValueStore
from wagtailcleat.scheduling.book import JobEntry, record_of
from wagtailcleat.scheduling.scheduler import Scheduler
from wagtailcleat.storage import Compare, Conflict, Txn, WriteOutcome, Written

COMMIT_INTERVAL_SECONDS = 0.03
"""Pause between two writes of records, which gathers the ends of that time.

A write costs the same for one record as for thirty, and calls are priced.
"""
RETRY_PAUSE_SECONDS = 0.2
"""Pause after a write that failed."""
RECORDS_PER_WRITE = (MAX_TXN_ENTRIES - 1) // 3
"""Each record is a compare and a put, and the job is a put where it has ended; one
compare more is the leader's own key."""
SPEC_KEPT_BYTES = 100
"""A spec up to this size is not worth a put of its own when its job has ended."""
BYTES_PER_WRITE = 128 * 1024
"""Records of one write in all, but for one that is larger by itself.

A write that takes longer than a call may is repeated whole, and may never be answered.
"""
JOBS_PER_DELETE = (MAX_TXN_ENTRIES - 1) // 3
"""Each job has up to three keys."""
AGENTS_PER_WRITE = (MAX_TXN_ENTRIES - 1) // 2
"""Each agent is a compare, and a put or a delete; one compare is the leader's own."""
EXPIRY_MARGIN_SECONDS = 30.0
"""How much longer than promised the state of an ended job is kept."""


class Records:
    """The records of one epoch; each write holds only while its leader leads."""

    def __init__(
        self,
        lease: LeaderLease,
        scheduler: Scheduler,
        *,
        store: KeyValueStore,
        wall_clock: Clock,
        status_kept: float,
        on_progress: Callable[[], None],
    ) -> None:
        """Wire it.

        Parameters: `status_kept` in seconds; `on_progress` is called when ends may
        be acknowledged, or agents given work.
        """
        self.dirty = asyncio.Event()
        """Set when there may be something to write."""
        self.registered: set[NodeId] = set()
        """Agents that the store names."""
        self._revision_by_agent: dict[NodeId, int] = {}
        """Of each agent's key as last heard of; 0 or none: there is no such key."""
        self._lease = lease
        self._scheduler = scheduler
        self._store = store
        self._wall_clock = wall_clock
        self._status_kept = status_kept
        self._on_progress = on_progress
        self._committed = asyncio.Condition()
        self._failures_by_job: dict[JobId, int] = {}
        """How often the write of a record has failed since one was answered."""

    def __repr__(self) -> str:
        """Show how many records are to be written."""
        return f"<Records: {len(self._changed())} to write>"

    def restore_agent(self, node: NodeId, store_revision: int) -> None:
        """Note that the store names an agent."""
        self.registered.add(node)
        self._revision_by_agent[node] = store_revision

    async def wait_until_stored(self, entry: JobEntry, timeout: float) -> bool:
        """Wait until a job's present progress is stored; False after `timeout`."""
        version = entry.version
        try:
            async with asyncio.timeout(timeout), self._committed:
                await self._committed.wait_for(lambda: entry.committed >= version)
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Write what changes, for ever."""
        while True:
            await self.dirty.wait()
            self.dirty.clear()
            await asyncio.sleep(COMMIT_INTERVAL_SECONDS)
            await self._register_agents()
            await self._deregister_agents()
            while changed := self._changed():
                if not await self._write_records(self._next_batch(changed)):
                    # Agents are registered and struck all the same.
                    self.dirty.set()
                    await asyncio.sleep(RETRY_PAUSE_SECONDS)
                    break
            await self._delete_expired()

    def _changed(self) -> list[JobEntry]:
        entries = self._scheduler.book.entry_by_id.values()
        return [entry for entry in entries if entry.version > entry.committed]

    def _next_batch(self, changed: list[JobEntry]) -> list[JobEntry]:
        """Return those that have failed least, fewer at once the more they failed."""
        # A record that the store does not take must not hold up the others.
        failures = self._failures_by_job
        fewest = min(failures.get(entry.job.id, 0) for entry in changed)
        following = [e for e in changed if failures.get(e.job.id, 0) == fewest]
        return following[: max(1, RECORDS_PER_WRITE >> fewest)]

    def _count_failures(self, entries: list[JobEntry], *, failed: bool) -> None:
        failures = self._failures_by_job
        for entry in entries:
            if failed:
                failures[entry.job.id] = failures.get(entry.job.id, 0) + 1
            else:
                failures.pop(entry.job.id, None)

    def _discount_shared_failures(self) -> None:
        # What all records have failed alike was the store's fault, not theirs: after an
        # outage they go out in full writes again.
        failures = self._failures_by_job
        jobs = [entry.job.id for entry in self._changed()]
        fewest = min((failures.get(job, 0) for job in jobs), default=0)
        self._failures_by_job = {
            job: count - fewest for job, count in failures.items() if count > fewest
        }

    async def _register_agents(self) -> None:
        vms = [
            vm
            for vm in self._scheduler.vm_by_node.values()
            if not vm.registered and vm.present and vm.worker is not None
        ]
        new = [vm for vm in vms if vm.node not in self.registered]
        for first in range(0, len(new), AGENTS_PER_WRITE):
            batch = new[first : first + AGENTS_PER_WRITE]
            places = {
                agent_key(vm.node): encode(ProcessInfo(vm.host, vm.port, 0))
                for vm in batch
            }
            nodes = [vm.node for vm in batch]
            outcome = await self._store.write(
                Txn(self._agents_unchanged(nodes), places)
            )
            self._note_agents(nodes, outcome, registered=True)
            if isinstance(outcome, Written):
                self.registered.update(nodes)
        for vm in vms:
            vm.registered = vm.node in self.registered
        if vms:
            self._on_progress()
        if any(not vm.registered for vm in vms):
            self.dirty.set()

    async def _deregister_agents(self) -> None:
        # A next leader waits for each agent that the store names before it starts
        # work that was under way: one that is gone would hold all of it up.
        idle = {vm.node for vm in self._scheduler.idle_absent()}
        # What the store may still name counts, not what was last asked of it: a strike
        # that was not carried out must be tried again.
        registered = [node for node, at in self._revision_by_agent.items() if at]
        gone = [
            node
            for node in registered
            if node in idle or node not in self._scheduler.vm_by_node
        ]
        gone = [node for node in gone if node not in self._scheduler.unheard]
        if not gone:
            return
        batch = gone[:AGENTS_PER_WRITE]
        deletes = [agent_key(node) for node in batch]
        for node in batch:
            # From here on no start goes there until the store names it again.
            self.registered.discard(node)
            if node in self._scheduler.vm_by_node:
                self._scheduler.vm_by_node[node].registered = False
        outcome = await self._store.write(
            Txn(self._agents_unchanged(batch), deletes=deletes)
        )
        self._note_agents(batch, outcome, registered=False)
        if not isinstance(outcome, Written):
            self.dirty.set()
            await asyncio.sleep(RETRY_PAUSE_SECONDS)

    def _agents_unchanged(self, nodes: list[NodeId]) -> list[Compare]:
        # A delete without an answer may be carried out seconds later, when the agent is
        # back, is named again and has work: the next leader would not wait for it, and
        # would start the same work elsewhere. It must find the key as it was.
        revision_by_agent = self._revision_by_agent
        return [self._leader_unchanged()] + [
            Compare(
                agent_key(node),
                revision_by_agent.get(node, 0),
                absent=not revision_by_agent.get(node),
            )
            for node in nodes
        ]

    def _note_agents(
        self, nodes: list[NodeId], outcome: WriteOutcome, *, registered: bool
    ) -> None:
        if isinstance(outcome, Written):
            revision = outcome.store_revision if registered else 0
            self._revision_by_agent.update(dict.fromkeys(nodes, revision))
        elif isinstance(outcome, Conflict) and not self._lost_leadership(outcome):
            revision_by_key = {f.key: f.mod_revision for f in outcome.current}
            for node in nodes:
                found = revision_by_key.get(agent_key(node), 0)
                self._revision_by_agent[node] = found

    def _lost_leadership(self, conflict: Conflict) -> bool:
        revision_by_key = {f.key: f.mod_revision for f in conflict.current}
        if revision_by_key.get(LEADER_KEY) == self._lease.leader_revision:
            return False
        self._lease.stepped_down.set()
        return True

    def _leader_unchanged(self) -> Compare:
        return Compare(LEADER_KEY, self._lease.leader_revision)

    async def _write_records(self, changed: list[JobEntry]) -> bool:
        """Write the first of the changed records, as many as fit into one write."""
        entries, values = _batch(changed)
        versions = [entry.version for entry in entries]
        compares = [self._leader_unchanged()]
        puts = {}
        for entry, value in zip(entries, values, strict=True):
            key = record_key(entry.job.id)
            revision = entry.store_revision
            compares.append(Compare(key, revision, absent=revision == 0))
            puts[key] = value
            if entry.state.final and len(entry.job.spec) > SPEC_KEPT_BYTES:
                # Every new leader reads all jobs; nothing starts this one any more.
                ended = msgspec.structs.replace(entry.job, spec="")
                puts[job_key(entry.job.id)] = encode(ended)
        outcome = await self._store.write(Txn(compares, puts))
        self._count_failures(
            entries, failed=not isinstance(outcome, Written | Conflict)
        )
        if isinstance(outcome, Written):
            for entry, version in zip(entries, versions, strict=True):
                entry.store_revision = outcome.store_revision
                self._scheduler.committed(entry, version)
            self._discount_shared_failures()
            await self._notify_committed()
            return True
        if isinstance(outcome, Conflict):
            self._after_conflict(outcome, entries, versions, values)
            await self._notify_committed()
            return True
        return False

    def _after_conflict(
        self,
        conflict: Conflict,
        entries: list[JobEntry],
        versions: list[int],
        values: list[bytes],
    ) -> None:
        if self._lost_leadership(conflict):
            return
        found_by_key = {found.key: found for found in conflict.current}
        # An earlier write without an answer took effect after all.
        for entry, version, value in zip(entries, versions, values, strict=True):
            found = found_by_key.get(record_key(entry.job.id))
            entry.store_revision = found.mod_revision if found else 0
            if found is not None and found.value == value:
                self._scheduler.committed(entry, version)

    async def _notify_committed(self) -> None:
        self._on_progress()
        async with self._committed:
            self._committed.notify_all()

    async def _delete_expired(self) -> None:
        horizon = self._wall_clock() - self._status_kept - EXPIRY_MARGIN_SECONDS
        book = self._scheduler.book
        old = [
            entry
            for entry in book.entry_by_id.values()
            if entry.state.final
            and entry.committed >= entry.version
            and entry.ended_at < horizon
        ]
        if not old:
            return
        batch = old[:JOBS_PER_DELETE]
        txn = Txn(
            [self._leader_unchanged()], deletes=_keys(entry.job.id for entry in batch)
        )
        if isinstance(await self._store.write(txn), Written):
            for entry in batch:
                del book.entry_by_id[entry.job.id]


def _batch(changed: list[JobEntry]) -> tuple[list[JobEntry], list[bytes]]:
    """Return the first jobs whose records fit into one write, and these records."""
    values: list[bytes] = []
    size = 0
    for entry in changed[:RECORDS_PER_WRITE]:
        value = encode(record_of(entry))
        size += len(value)
        if values and size > BYTES_PER_WRITE:
            break
        values.append(value)
    return changed[: len(values)], values


def _keys(jobs: Iterable[JobId]) -> list[str]:
    return [key(job) for job in jobs for key in (job_key, cancel_key, record_key)]
