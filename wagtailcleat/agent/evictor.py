"""Evicts attempts: checkpoints and stops them through the worker."""

import asyncio

from wagtailcleat.agent.attempt_table import Attempt, AttemptTable, Phase
from wagtailcleat.agent.eviction import select_evictions
from wagtailcleat.ids import AttemptId
from wagtailcleat.platform.worker import TaskState, Worker, WorkerTask
from wagtailcleat.resources import NOTHING, Resources


class Evictor:
    """Evicts one attempt, all of them, or as many as resources require."""

    def __init__(self, table: AttemptTable, worker: Worker) -> None:
        """Stop attempts of `table` through `worker`."""
        self._table = table
        self._worker = worker

    async def evict(self, attempt: Attempt, reason: str) -> None:
        """Checkpoint and stop an attempt; its end is reported to its owner later."""
        if attempt.phase is not Phase.RUNNING or attempt.eviction_reason:
            return
        attempt.eviction_reason = reason
        try:
            task = await self._worker.stop(attempt.id, checkpoint=True)
            if isinstance(task, WorkerTask) and task.state is not TaskState.RUNNING:
                self._table.end(attempt, task)
        finally:
            # If the worker's answer was lost or this call was cancelled, a later call
            # must not be skipped, but try again to stop the attempt.
            if attempt.report is None:
                attempt.eviction_reason = ""

    async def evict_all(self, reason: str) -> None:
        """Checkpoint and stop every running attempt."""
        await self._evict_each(self._table.running(), reason)

    async def preempt(self, size: Resources) -> None:
        """Evict attempts that are not urgent until an urgent one of `size` fits."""
        evictable = [a.id for a in self._table.in_eviction_order() if not a.urgent]
        commitments, now = self._table.commitments, self._table.clock()
        selected = select_evictions(commitments, evictable, size, now)
        await self._evict_ids(selected, "urgent work needs its room")

    async def enforce_capacity(self) -> None:
        """Drop reservations and evict attempts if the VM is overcommitted."""
        commitments, now = self._table.commitments, self._table.clock()
        if not commitments.is_overcommitted(now):
            return
        for attempt in self._table.reserved():
            self._table.discard(attempt.id, attempt.shard, "the VM holds less now")
        evictable = [attempt.id for attempt in self._table.in_eviction_order()]
        selected = select_evictions(commitments, evictable, NOTHING, now) or evictable
        await self._evict_ids(selected, "the VM holds less now")

    async def _evict_ids(self, attempt_ids: list[AttemptId], reason: str) -> None:
        by_id = self._table.attempt_by_id
        await self._evict_each([by_id[i] for i in attempt_ids if i in by_id], reason)

    async def _evict_each(self, attempts: list[Attempt], reason: str) -> None:
        await asyncio.gather(*(self.evict(attempt, reason) for attempt in attempts))
