"""Recovers the attempts of an earlier process of this agent from the worker."""

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
    """Fills the table of attempts after a restart, and fences their shards."""

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

        Parameters: `read_epoch` reads a shard's epoch from the store.
        """
        self._table = table
        self._owners = owners
        self._worker = worker
        self._timing = timing
        self._read_epoch = read_epoch

    async def run(self) -> None:
        """Adopt what the worker runs, and return once each epoch is known.

        An order that an earlier process of this agent sent to the worker may
        arrive after the list was read. It carries a lease no longer than the
        reservation, so the list is read again once that has passed.
        """
        await self._adopt_tasks()
        await asyncio.sleep(self._timing.reservation)
        await self._adopt_tasks()
        self._table.complete = True
        while self._owners.unfenced:
            await self._fence()
            await asyncio.sleep(RETRY_SECONDS)

    async def _fence(self) -> None:
        # The earlier process of this agent may have accepted an order of a new owner,
        # and with its memory the epoch is lost. An older owner that still grants
        # must not renew what the new one may already have given to another VM.
        for shard in list(self._owners.unfenced):
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
        self._owners.require_epoch(shard)
        table.attempt_by_id[task.attempt] = attempt
        if task.state is TaskState.RUNNING:
            table.commitments.adopt(task.attempt, task.size)
        else:
            table.end(attempt, task)
