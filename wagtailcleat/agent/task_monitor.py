"""Polls the worker: records ends, renews leases and evicts tasks that must stop."""

import asyncio
from collections.abc import Callable

from wagtailcleat.agent.attempt_table import Attempt, AttemptTable, Phase
from wagtailcleat.agent.evictor import Evictor
from wagtailcleat.ids import AttemptId
from wagtailcleat.platform.worker import (
    TaskState,
    Worker,
    WorkerTask,
    WorkerUnreachable,
)
from wagtailcleat.settings import Timing

POLL_SHARE_OF_GRANT = 0.05
MAX_POLL_SECONDS = 0.5
STOP_MARGIN_SHARE_OF_GRANT = 0.1
MAX_STOP_MARGIN_SECONDS = 2.0


class TaskMonitor:
    """Keeps the attempt table consistent with the worker's task list."""

    def __init__(
        self,
        table: AttemptTable,
        evictor: Evictor,
        worker: Worker,
        *,
        timing: Timing,
        evict_all_reason: Callable[[], str],
    ) -> None:
        """Poll `worker` for the attempts in `table`.

        Parameters: `evict_all_reason` returns why all tasks must be evicted, or an
        empty string.
        """
        self._table = table
        self._evictor = evictor
        self._worker = worker
        self._timing = timing
        self._evict_all_reason = evict_all_reason
        self._poll_requested = asyncio.Event()

    def request_poll(self) -> None:
        """Request a poll without delay, after a new configuration."""
        self._poll_requested.set()

    async def run(self) -> None:
        """Poll at intervals and on request, until cancelled."""
        while True:
            await self.poll()
            pause = min(MAX_POLL_SECONDS, self._timing.grant * POLL_SHARE_OF_GRANT)
            try:
                async with asyncio.timeout(pause):
                    await self._poll_requested.wait()
            except TimeoutError:
                continue
            self._poll_requested.clear()

    async def poll(self) -> None:
        """Update the attempts from the worker's task list once."""
        self._drop_expired_reservations()
        if not self._table.running():
            return
        await self._evict_excess()
        listed_at = self._table.clock()
        tasks = await self._worker.tasks()
        if isinstance(tasks, WorkerUnreachable):
            return
        task_by_attempt = {task.attempt: task for task in tasks}
        await asyncio.gather(
            *(
                self._update(attempt, task_by_attempt.get(attempt.id), listed_at)
                for attempt in self._table.running()
            )
        )
        await self._renew_leases(task_by_attempt)

    async def _evict_excess(self) -> None:
        # While tasks run, operators may take the zone out of service, reduce the VM's
        # capacity or place a service on it.
        reason = self._evict_all_reason()
        if reason:
            await self._evictor.evict_all(reason)
        else:
            await self._evictor.enforce_capacity()

    async def _update(
        self, attempt: Attempt, task: WorkerTask | None, listed_at: float
    ) -> None:
        if task is None:
            if not self._may_be_unlisted(attempt, listed_at):
                self._table.end(attempt, WorkerTask(attempt.id, TaskState.LAPSED))
            return
        if task.state is not TaskState.RUNNING:
            self._table.end(attempt, task)
            return
        attempt.phase = Phase.RUNNING
        grant = self._timing.grant
        margin = min(grant * STOP_MARGIN_SHARE_OF_GRANT, MAX_STOP_MARGIN_SECONDS)
        if self._table.clock() > attempt.grant_until - margin:
            await self._evictor.evict(attempt, "its grant is ending")

    def _may_be_unlisted(self, attempt: Attempt, listed_at: float) -> bool:
        # A start may still reach the worker until its lease has expired.
        if attempt.phase is Phase.STARTING and listed_at < attempt.reserved_until:
            return True
        # The task may have been started after the worker made the list.
        return attempt.phase_since >= listed_at

    async def _renew_leases(self, task_by_attempt: dict[AttemptId, WorkerTask]) -> None:
        # If an earlier renewal did not reach the worker, its lease would expire before
        # the grant.
        grant_until_by_attempt = {
            attempt.id: attempt.grant_until
            for attempt in self._table.running()
            if (task := task_by_attempt.get(attempt.id)) is not None
            and task.lease_until < attempt.grant_until
        }
        if grant_until_by_attempt:
            await self._worker.renew(grant_until_by_attempt)

    def _drop_expired_reservations(self) -> None:
        now = self._table.clock()
        for attempt in self._table.reserved():
            if now > attempt.reserved_until:
                self._table.discard(attempt.id, attempt.shard, "not started in time")
