"""Rebuilds the attempt table from the worker's task list after an agent restart."""

import asyncio
from collections.abc import Awaitable, Callable

from wagtailcleat.agent.attempt_table import Attempt, AttemptTable, Phase
from wagtailcleat.agent.shard_owners import ShardOwners
from wagtailcleat.ids import Epoch, ShardId
from wagtailcleat.platform.worker import (
    TaskState,
    Worker,
    WorkerTask,
    WorkerUnreachable,
)
from wagtailcleat.settings import Timing
from wagtailcleat.wire.task_ids import shard_of

RETRY_SECONDS = 0.5

ReadEpoch = Callable[[ShardId], Awaitable[Epoch | None]]


class AttemptRecovery:
    """Adopts the tasks of a previous incarnation and restores their shards' epochs."""

    def __init__(
        self,
        table: AttemptTable,
        owners: ShardOwners,
        worker: Worker,
        *,
        timing: Timing,
        read_epoch: ReadEpoch,
    ) -> None:
        """Fill `table` with the tasks of `worker`.

        Parameters: `read_epoch` reads a shard's epoch from the store, or returns
        None if it can't.
        """
        self._table = table
        self._owners = owners
        self._worker = worker
        self._timing = timing
        self._read_epoch = read_epoch

    async def run(self) -> None:
        """Adopt the worker's tasks; return once the epoch of each shard is known.

        A start that a previous incarnation sent may reach the worker after the task
        list was read. Its lease is no longer than a reservation, so the list is read
        a second time after that period.
        """
        await self._adopt_tasks()
        await asyncio.sleep(self._timing.reservation)
        await self._adopt_tasks()
        self._table.is_complete = True
        while self._owners.shards_without_epoch:
            await self._restore_epochs()
            await asyncio.sleep(RETRY_SECONDS)

    async def _restore_epochs(self) -> None:
        # The previous incarnation may have accepted a message of a newer owner, and
        # its memory of that epoch is lost. Without the epoch, an older owner that
        # still grants could renew a task that the newer owner has already assigned to
        # another VM.
        for shard in list(self._owners.shards_without_epoch):
            epoch = await self._read_epoch(shard)
            if epoch is not None:
                self._owners.accept(shard, epoch, None)

    async def _adopt_tasks(self) -> None:
        tasks = await self._worker.tasks()
        while isinstance(tasks, WorkerUnreachable):
            await asyncio.sleep(RETRY_SECONDS)
            tasks = await self._worker.tasks()
        for task in tasks:
            if task.attempt not in self._table.attempt_by_id:
                self._adopt(task)

    def _adopt(self, task: WorkerTask) -> None:
        table, shard = self._table, shard_of(task.attempt)
        attempt = Attempt(task.attempt, shard, Phase.RUNNING, table.clock())
        attempt.grant_until = task.lease_until
        self._owners.mark_epoch_unknown(shard)
        table.attempt_by_id[task.attempt] = attempt
        if task.state is TaskState.RUNNING:
            table.commitments.adopt(task.attempt, task.size)
        else:
            table.end(attempt, task)
