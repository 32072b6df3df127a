"""Carry out the leader's orders for the runs of one worker.

`Hosting` passes it the orders, and notifies it of each list of runs.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from wagtailcleat.clock import Clock
from wagtailcleat.cluster.worker_incarnation import (
    WorkerIncarnation,
    is_list_complete,
    is_listed,
)
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.runs import OtherIncarnation, StartOutcome
from wagtailcleat.scheduling.models import Pace, Refusal, RunKey, Start

log = part_logger("hosting")

RETRY_PAUSE_SECONDS = 0.1
"""Pause after a stop that failed."""
FRESH_LISTS = 2
"""Lists to wait for until one shows the effect of an order.

The list that was in progress when the order was answered may not show it.
"""


class RunOrders:
    """The orders that are being carried out, and the outcomes to report.

    `unsettled_by_run` has the starts whose outcome is not known yet, `refusal_by_run`
    the runs that were not started.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        current: Callable[[], WorkerIncarnation | None],
        may_start: Callable[[], bool],
        renew_lease: Callable[[WorkerIncarnation, float], float | None],
        on_change: Callable[[], None],
    ) -> None:
        """Create it without orders.

        Parameters: `current` returns the worker's present incarnation; `may_start`
        returns whether it may be given a run now; `renew_lease` returns until when a
        run's lease may last, and counts with it, or returns None; `on_change` is called
        when there is something to report.
        """
        self.unsettled_by_run: dict[RunKey, Start] = {}
        self.refusal_by_run: dict[RunKey, Refusal] = {}
        self._clock = clock
        self._current = current
        self._may_start = may_start
        self._renew_lease = renew_lease
        self._on_change = on_change
        self._listed = asyncio.Condition()
        self._work: set[asyncio.Task[None]] = set()

    def __repr__(self) -> str:
        """Show the number of starts in doubt."""
        return f"<RunOrders: {len(self.unsettled_by_run)} unsettled>"

    async def notify_listed(self) -> None:
        """Let the orders in progress look at a new list of runs."""
        async with self._listed:
            self._listed.notify_all()

    def cancel(self) -> None:
        """Cancel the orders in progress; the worker's incarnation has ended."""
        for task in self._work:
            task.cancel()
        self.unsettled_by_run.clear()
        self.refusal_by_run.clear()

    def lose_runs(self) -> None:
        """Cancel the orders in progress; their runs have ended or never ran."""
        for task in self._work:
            task.cancel()
        for key in list(self.unsettled_by_run):
            self._refuse(key, Refusal.NEVER_RAN, "its worker's leases have lapsed")

    def start(self, start: Start, born: int) -> None:
        """Start a run in the background; reports contain its outcome.

        Parameters: `born` is the incarnation of the worker that is to run it.
        """
        if start.key in self.unsettled_by_run:
            return
        why_not = self._why_not(start, born)
        self.unsettled_by_run[start.key] = start
        if why_not:
            self._refuse(start.key, Refusal.NOT_ALLOWED, why_not)
        else:
            self._spawn(self._start(start))

    def stop(self, key: RunKey) -> None:
        """Stop a run, or prevent it from starting."""
        self._spawn(self._stop(key))

    def pace(self, pace: Pace) -> None:
        """Limit a run to a share of its processor time."""
        self._spawn(self._pace(pace))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._work.add(task)
        task.add_done_callback(self._work.discard)

    def _why_not(self, start: Start, born: int) -> str:
        """Return why a run must not be started; empty if it may."""
        incarnation = self._current()
        if incarnation is None or incarnation.born != born:
            return "it was ordered for another incarnation of the worker"
        known = [running.key for running in incarnation.running]
        if any(key.task == start.key.task for key in [*known, *self.unsettled_by_run]):
            return "another run of its task is not known to have ended here"
        return ""

    def _refuse(self, key: RunKey, why: Refusal, shown_by: str = "answer") -> None:
        self.unsettled_by_run.pop(key, None)
        self.refusal_by_run[key] = why
        log.info(
            "Run did not start",
            extra={"run": str(key), "why": why.value, "shown_by": shown_by},
        )
        self._on_change()

    async def _start(self, start: Start) -> None:
        incarnation = self._current()
        if (
            incarnation is None
            or not incarnation.lists_answered
            or incarnation.runs_lost
            or not self._may_start()
        ):
            self._refuse(start.key, Refusal.NOT_ALLOWED)
            return
        now = self._clock()
        until = self._renew_lease(incarnation, now)
        if until is None:
            self._refuse(start.key, Refusal.NOT_ALLOWED)
            return
        outcome = await incarnation.worker.start(
            start, until=until + incarnation.clock_ahead
        )
        if isinstance(outcome, Refusal):
            self._refuse(start.key, outcome)
        elif isinstance(outcome, OtherIncarnation):
            self._refuse(start.key, Refusal.NEVER_RAN)
        elif outcome is StartOutcome.STARTED:
            await self._wait_until_listed(incarnation, start.key)
        else:
            log.info(
                "Start was not answered",
                extra={
                    "run": str(start.key),
                    "lease_left": round(until - self._clock(), 3),
                    "fence": incarnation.worker.fence,
                },
            )
            await self._resolve_unknown_start(incarnation, start.key)

    async def _wait_until_listed(
        self, incarnation: WorkerIncarnation, key: RunKey
    ) -> bool:
        """Wait for a list that must contain the run; return whether it does."""
        wanted = incarnation.lists_answered + FRESH_LISTS
        async with self._listed:
            await self._listed.wait_for(
                lambda: (
                    is_list_complete(incarnation, wanted) or is_listed(incarnation, key)
                )
            )
        self.unsettled_by_run.pop(key, None)
        return is_listed(incarnation, key)

    async def _resolve_unknown_start(
        self, incarnation: WorkerIncarnation, key: RunKey
    ) -> None:
        # The start may be carried out seconds later. After a stop, the worker refuses
        # the run if it has not started yet, and ends it otherwise.
        async with self._listed:
            if is_listed(incarnation, key):
                self.unsettled_by_run.pop(key, None)
                return
        await self._stop(key)
        wanted = incarnation.lists_answered + FRESH_LISTS
        async with self._listed:
            await self._listed.wait_for(lambda: is_list_complete(incarnation, wanted))
        if is_listed(incarnation, key):
            self.unsettled_by_run.pop(key, None)
        else:
            self._refuse(key, Refusal.NEVER_RAN, "stop and lists")

    async def _stop(self, key: RunKey) -> None:
        incarnation = self._current()
        while incarnation is not None and incarnation is self._current():
            if await incarnation.worker.stop(key):
                return
            await asyncio.sleep(RETRY_PAUSE_SECONDS)

    async def _pace(self, pace: Pace) -> None:
        incarnation = self._current()
        if incarnation is not None:
            await incarnation.worker.pace(pace.key, pace.percent)
