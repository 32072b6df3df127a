"""Write the progress of jobs, and the agents that may run tasks, to the store.

Used by `leader`, for one epoch.
"""

import asyncio
import math
from collections.abc import Callable

import msgspec

from wagtailcleat.clock import Clock
from wagtailcleat.cluster.held_ends import HeldEndsWriter
from wagtailcleat.cluster.keys import (
    LEADER_KEY,
    ProcessInfo,
    agent_key,
    encode,
    job_key,
    keys_of_job,
    record_key,
)
from wagtailcleat.cluster.leader_lease import LeaderLease, is_later_claim
from wagtailcleat.ids import JobId, NodeId
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.keyvalue import MAX_TXN_ENTRIES, KeyValueStore
from wagtailcleat.scheduling.job_entry import JobEntry
from wagtailcleat.scheduling.job_records import record_of, without_checkpoints
from wagtailcleat.scheduling.progress import CheckpointSaver
from wagtailcleat.scheduling.scheduler import Scheduler
from wagtailcleat.storage import Compare, Conflict, Txn, WriteOutcome, Written

log = part_logger("leader")

COMMIT_INTERVAL_SECONDS = 0.03
"""Pause between two writes of records, so that one write has all ends of that time.

A write costs the same for one record as for thirty, and calls are charged.
"""
RETRY_PAUSE_SECONDS = 0.2
"""Pause after a write that failed."""
RECORDS_PER_WRITE = (MAX_TXN_ENTRIES - 1) // 3
"""Each record takes a compare and a put, and a put of the job if it has ended.

One more compare is for the leader key.
"""
DEFAULT_MAX_VALUE_BYTES = 1_048_576
SPEC_KEPT_BYTES = 100
"""A spec up to this size is not worth a put to remove it when its job has ended."""
BYTES_PER_WRITE = 128 * 1024
"""Size limit of the records in one write; a larger record is written alone.

A write that exceeds the time limit of a call is repeated whole, and may never be
answered.
"""
JOBS_PER_DELETE = (MAX_TXN_ENTRIES - 1) // 5
"""Each job has up to four keys and a compare; one more is for the leader key."""
AGENTS_PER_WRITE = (MAX_TXN_ENTRIES - 1) // 2
"""Each agent takes a compare and a put or delete; one compare is for the leader key."""
EXPIRY_MARGIN_SECONDS = 30.0
"""How much longer than `status_kept` the state of an ended job is kept."""


class Records:
    """Writes records for one epoch's leader.

    Each write is conditional on the leader key, so it fails once another leader has
    claimed.
    """

    def __init__(
        self,
        lease: LeaderLease,
        scheduler: Scheduler,
        *,
        store: KeyValueStore,
        clock: Clock,
        wall_clock: Clock,
        status_kept: float,
        on_progress: Callable[[], None],
        link_bytes_per_second: float = math.inf,
        max_value_bytes: int = DEFAULT_MAX_VALUE_BYTES,
    ) -> None:
        """Create it with nothing to write.

        Parameters: `status_kept` is how long the state of an ended job is kept, in
        seconds; `on_progress` is called when ends may be acknowledged, or agents may
        be given work; `link_bytes_per_second` is the rate of this VM's link;
        `max_value_bytes` is the size of the largest value that the store takes.
        """
        self.dirty = asyncio.Event()
        """Set when there may be something to write."""
        self.registered: set[NodeId] = set()
        """Agents that are registered in the store."""
        self._revision_by_agent: dict[NodeId, int] = {}
        """Last known revision of each agent's key; 0 or absent: there is no key."""
        self._lease = lease
        self._scheduler = scheduler
        self._store = store
        self._clock = clock
        self._wall_clock = wall_clock
        self._checkpoint_saver = CheckpointSaver(link_bytes_per_second)
        self._status_kept = status_kept
        self._on_progress = on_progress
        self._committed = asyncio.Condition()
        self._max_value_bytes = max_value_bytes
        self._held = HeldEndsWriter(
            scheduler.job_table, lease, store, max_value_bytes, self._lost_leadership
        )
        self._failures_by_job: dict[JobId, int] = {}
        """Failed writes of each job's record, less those that all records share."""

    def __repr__(self) -> str:
        """Show how many records are to be written."""
        return f"<Records: {len(self._changed())} to write>"

    def restore_agent(self, node: NodeId, store_revision: int) -> None:
        """Add an agent that is already registered, at the revision of its key."""
        self.registered.add(node)
        self._revision_by_agent[node] = store_revision

    async def wait_until_stored(self, entry: JobEntry, timeout: float) -> bool:
        """Wait until a job's progress is stored; return False after `timeout` seconds.

        Progress that is made later is not waited for.
        """
        version = entry.version
        try:
            async with asyncio.timeout(timeout), self._committed:
                await self._committed.wait_for(lambda: entry.committed >= version)
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Write changes until cancelled."""
        while True:
            await self.dirty.wait()
            self.dirty.clear()
            await asyncio.sleep(COMMIT_INTERVAL_SECONDS)
            await self._register_agents()
            await self._deregister_agents()
            open_jobs = self._scheduler.job_table.open_by_id.values()
            self._checkpoint_saver.mark_due(open_jobs, self._clock())
            version_by_job = {e.job.id: e.version for e in self._changed()}
            while changed := self._changed_before(version_by_job):
                if not await self._write_records(self._next_batch(changed)):
                    # The next iteration registers and deregisters agents even so.
                    self.dirty.set()
                    await asyncio.sleep(RETRY_PAUSE_SECONDS)
                    break
            if self._changed():
                # What changes all the time must not keep the rest from its turn.
                self.dirty.set()
            if not await self._held.write(self._on_progress):
                self.dirty.set()
                await asyncio.sleep(RETRY_PAUSE_SECONDS)
            await self._delete_expired()

    def _changed(self) -> list[JobEntry]:
        entries = self._scheduler.job_table.entry_by_id.values()
        return [entry for entry in entries if entry.version > entry.committed]

    def _changed_before(self, version_by_job: dict[JobId, int]) -> list[JobEntry]:
        """Return the jobs of which these versions are not stored yet."""
        return [
            entry
            for entry in self._changed()
            if entry.committed < version_by_job.get(entry.job.id, 0)
        ]

    def _next_batch(self, changed: list[JobEntry]) -> list[JobEntry]:
        """Return the jobs with the fewest failures; each failure halves their number.

        A record that the store does not accept must not delay the others.
        """
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
        # Failures that all records share were an outage of the store and not caused by
        # a record: after an outage, writes have their full size again.
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
            if not vm.registered and vm.has_worker
        ]
        new = [vm for vm in vms if vm.node not in self.registered]
        for first in range(0, len(new), AGENTS_PER_WRITE):
            batch = new[first : first + AGENTS_PER_WRITE]
            value_by_key = {
                agent_key(vm.node): encode(ProcessInfo(vm.host, vm.port, 0))
                for vm in batch
            }
            nodes = [vm.node for vm in batch]
            outcome = await self._store.write(
                Txn(self._agents_unchanged(nodes), value_by_key)
            )
            self._update_agent_revisions(nodes, outcome, registered=True)
            if isinstance(outcome, Written):
                self.registered.update(nodes)
        for vm in vms:
            vm.registered = vm.node in self.registered
        if vms:
            self._on_progress()
        if any(not vm.registered for vm in vms):
            self.dirty.set()

    async def _deregister_agents(self) -> None:
        # A new leader waits for each registered agent before it starts work again that
        # was running: an agent that is gone would delay all of it.
        idle = {vm.node for vm in self._scheduler.idle_vms_without_worker()}
        # The agents that may still be registered count, not those that were last sent
        # to the store: a delete that was not carried out must be tried again.
        registered = [node for node, at in self._revision_by_agent.items() if at]
        departed = [
            node
            for node in registered
            if node in idle or node not in self._scheduler.vm_by_node
        ]
        departed = [
            node for node in departed if node not in self._scheduler.unreported_agents
        ]
        if not departed:
            return
        batch = departed[:AGENTS_PER_WRITE]
        deletes = [agent_key(node) for node in batch]
        for node in batch:
            # From now on the agent gets no starts until it is registered again.
            self.registered.discard(node)
            if node in self._scheduler.vm_by_node:
                self._scheduler.vm_by_node[node].registered = False
        outcome = await self._store.write(
            Txn(self._agents_unchanged(batch), deletes=deletes)
        )
        self._update_agent_revisions(batch, outcome, registered=False)
        if not isinstance(outcome, Written):
            self.dirty.set()
            await asyncio.sleep(RETRY_PAUSE_SECONDS)

    def _agents_unchanged(self, nodes: list[NodeId]) -> list[Compare]:
        # A delete that was not answered may be carried out seconds later, when the
        # agent is back, registered again and has work. The next leader would not wait
        # for it, and would start the same work elsewhere. So each write is conditional
        # on the last known revision of the keys.
        revision_by_agent = self._revision_by_agent
        return [self._leader_unchanged()] + [
            Compare(
                agent_key(node),
                revision_by_agent.get(node, 0),
                absent=not revision_by_agent.get(node),
            )
            for node in nodes
        ]

    def _update_agent_revisions(
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
        """Return whether a write failed because the leader key has changed."""
        found_by_key = {found.key: found for found in conflict.current}
        leader = found_by_key.get(LEADER_KEY)
        if leader is not None and leader.mod_revision == self._lease.leader_revision:
            return False
        if is_later_claim(leader, self._lease.epoch):
            self._lease.stepped_down.set()
        return True

    def _leader_unchanged(self) -> Compare:
        return Compare(LEADER_KEY, self._lease.leader_revision)

    def _batch(self, changed: list[JobEntry]) -> tuple[list[JobEntry], list[bytes]]:
        """Return the first jobs whose records fit into one write, and the records."""
        values: list[bytes] = []
        size = 0
        for entry in changed[:RECORDS_PER_WRITE]:
            value = self._encode_record(entry)
            size += len(value)
            if values and size > BYTES_PER_WRITE:
                break
            values.append(value)
        return changed[: len(values)], values

    def _encode_record(self, entry: JobEntry) -> bytes:
        record = record_of(entry)
        value = encode(record)
        excess = len(value) - self._max_value_bytes
        if excess > 0:
            value = encode(without_checkpoints(record, excess))
            fields = {"job": entry.job.id, "excess": excess, "bytes": len(value)}
            log.warning("Checkpoints are left out of a large record", extra=fields)
        return value

    async def _write_records(self, changed: list[JobEntry]) -> bool:
        """Write the first of the changed records, as many as fit into one write.

        Return False if the write failed or is in doubt.
        """
        entries, values = self._batch(changed)
        versions = [entry.version for entry in entries]
        compares = [self._leader_unchanged()]
        puts = {}
        for entry, value in zip(entries, values, strict=True):
            compares.append(_record_unchanged(entry))
            puts[record_key(entry.job.id)] = value
            if entry.state.final and len(entry.job.spec) > SPEC_KEPT_BYTES:
                # Every new leader reads all jobs, and no task of this one starts again.
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
            is_leader = self._after_conflict(outcome, entries, versions, values)
            await self._notify_committed()
            return is_leader
        return False

    def _after_conflict(
        self,
        conflict: Conflict,
        entries: list[JobEntry],
        versions: list[int],
        values: list[bytes],
    ) -> bool:
        """Adopt what is stored; return False if the leader key has changed."""
        if self._lost_leadership(conflict):
            return False
        found_by_key = {found.key: found for found in conflict.current}
        # An earlier write that was not answered may have taken effect.
        for entry, version, value in zip(entries, versions, values, strict=True):
            found = found_by_key.get(record_key(entry.job.id))
            entry.store_revision = found.mod_revision if found else 0
            if found is not None and found.value == value:
                self._scheduler.committed(entry, version)
        return True

    async def _notify_committed(self) -> None:
        self._on_progress()
        async with self._committed:
            self._committed.notify_all()

    async def _delete_expired(self) -> None:
        horizon = self._wall_clock() - self._status_kept - EXPIRY_MARGIN_SECONDS
        job_table = self._scheduler.job_table
        old = [
            entry
            for entry in job_table.entry_by_id.values()
            if entry.state.final
            and entry.committed >= entry.version
            and entry.ended_at < horizon
        ]
        if not old:
            return
        batch = old[:JOBS_PER_DELETE]
        # A delete that was not answered may be carried out later, when another job has
        # been accepted under the same id.
        compares = [self._leader_unchanged()] + [_record_unchanged(e) for e in batch]
        deletes = [key for entry in batch for key in keys_of_job(entry.job.id)]
        outcome = await self._store.write(Txn(compares, deletes=deletes))
        if isinstance(outcome, Conflict) and not self._lost_leadership(outcome):
            # An earlier delete that was not answered may have taken effect.
            revision_by_key = {f.key: f.mod_revision for f in outcome.current}
            for entry in batch:
                found = revision_by_key.get(record_key(entry.job.id), 0)
                entry.store_revision = found
            batch = [entry for entry in batch if not entry.store_revision]
        elif not isinstance(outcome, Written):
            return
        for entry in batch:
            if job_table.entry_by_id.get(entry.job.id) is entry:
                job_table.remove(entry.job.id)


def _record_unchanged(entry: JobEntry) -> Compare:
    revision = entry.store_revision
    return Compare(record_key(entry.job.id), revision, absent=revision == 0)
