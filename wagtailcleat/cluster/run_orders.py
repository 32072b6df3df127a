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
from wagtailcleat.platform.runs import (
    MAX_ORDER_CONNECTIONS,
    OtherIncarnation,
    StartOutcome,
)
from wagtailcleat.scheduling.models import Pace, Refusal, RunKey, Start

log = part_logger("hosting")

RETRY_PAUSE_SECONDS = 0.1
"""Pause after a stop or a pace that failed."""
PACE_ATTEMPTS = 10
"""Calls to set a pace; the run may have ended, or the worker may refuse it for good."""
LATE_CALL_SECONDS = 12.0
"""How long after it was sent a call may be carried out; the platform says seconds."""
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
        raise_fence: Callable[[WorkerIncarnation], None],
        on_change: Callable[[], None],
    ) -> None:
        """Create it without orders.

        Parameters: `current` returns the worker's present incarnation; `may_start`
        returns whether it may be given a run now; `renew_lease` returns until when a
        run's lease may last, and counts with it, or returns None; `raise_fence` lets
        later calls use a higher fencing token; `on_change` is called when there is
        something to report.
        """
        self.unsettled_by_run: dict[RunKey, Start] = {}
        self.refusal_by_run: dict[RunKey, Refusal] = {}
        self._started: set[RunKey] = set()
        """Runs that the worker has started, and that no list has shown yet."""
        self._in_doubt: set[RunKey] = set()
        """Runs whose start got no answer, and may still be carried out."""
        self._revoked: set[RunKey] = set()
        """Runs that were ordered to stop before their start was settled."""
        self._start_slots = asyncio.Semaphore(MAX_ORDER_CONNECTIONS)
        """Starts wait for one here, and not in the client: they can be revoked."""
        self._percent_by_run: dict[RunKey, int] = {}
        """The pace to set for each run whose pace the worker has not confirmed yet."""
        self._stopping: set[RunKey] = set()
        """Runs whose stop the worker has not confirmed yet."""
        self._clock = clock
        self._current = current
        self._may_start = may_start
        self._renew_lease = renew_lease
        self._raise_fence = raise_fence
        self._on_change = on_change
        self.is_closed = False
        """Whether no start is sent to the worker any more."""
        self._listed = asyncio.Condition()
        self._unanswered_at = clock()
        """When a start last got no answer; at first, an earlier process's may have."""
        self._work: set[asyncio.Task[None]] = set()

    def __repr__(self) -> str:
        """Show the number of starts in doubt."""
        return f"<RunOrders: {len(self.unsettled_by_run)} unsettled>"

    @property
    def has_doubts(self) -> bool:
        """Whether lists are needed soon: a start got no answer, or this agent ends."""
        return self.is_closed or bool(self._in_doubt)

    def may_be_late(self, now: float) -> bool:
        """Return whether a start that got no answer may still be carried out.

        Also one that is settled: the worker's next incarnation has not refused it.
        """
        return now < self._unanswered_at + LATE_CALL_SECONDS

    @property
    def calls_in_progress(self) -> int:
        """Number of orders that are being carried out."""
        return len(self._work)

    def close(self) -> None:
        """Send no start any more; those that wait and those that come are refused."""
        self.is_closed = True

    async def wait_until_settled(self) -> None:
        """Wait for the worker's next list, and for the outcome of each start sent.

        A start that the worker has answered is settled; it may not be listed yet.
        """
        incarnation = self._current()
        if incarnation is None:
            return
        wanted = incarnation.lists_answered + 1
        async with self._listed:
            await self._listed.wait_for(
                lambda: (
                    incarnation.lists_answered >= wanted
                    and self._started.issuperset(self.unsettled_by_run)
                )
            )

    async def notify_listed(self) -> None:
        """Let the orders in progress look at a new list of runs."""
        async with self._listed:
            self._listed.notify_all()

    def cancel(self) -> None:
        """Cancel the orders in progress; the worker's incarnation has ended."""
        self._cancel_work()
        self.unsettled_by_run.clear()
        self.refusal_by_run.clear()
        self._started.clear()
        self._in_doubt.clear()
        self._revoked.clear()

    def lose_started(self) -> None:
        """Give up the runs that have started; their worker's process has ended.

        Starts in doubt stay unsettled: the next process may still receive them.
        """
        for key in list(self._started):
            self._refuse(key, Refusal.NEVER_RAN, "its worker has ended")

    def lose_all(self) -> None:
        """Cancel the orders in progress; the leases of all their runs have lapsed."""
        self._cancel_work()
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
        incarnation = self._current()
        if why_not or incarnation is None:
            self._refuse(start.key, Refusal.NOT_ALLOWED, why_not)
            return
        # The leader counts with leases that are granted now. A start that waits, or is
        # sent again, must not get a later one: it may have given this agent up since.
        until = self._renew_lease(incarnation, self._clock())
        if until is None:
            self._refuse(start.key, Refusal.NOT_ALLOWED, "no lease may be granted")
        else:
            self._spawn(self._start(start, until))

    def stop(self, key: RunKey) -> None:
        """Stop a run, or prevent it from starting."""
        if key in self.unsettled_by_run:
            self._revoked.add(key)
        if key not in self._stopping:
            self._stopping.add(key)
            self._spawn(self._stop(key))

    def pace(self, pace: Pace) -> None:
        """Limit a run to a share of its processor time."""
        is_in_progress = pace.key in self._percent_by_run
        self._percent_by_run[pace.key] = pace.percent
        if not is_in_progress:
            self._spawn(self._pace(pace.key))

    def _cancel_work(self) -> None:
        for task in self._work:
            task.cancel()
        # A task that is cancelled before it has begun does not clean up.
        self._stopping.clear()
        self._percent_by_run.clear()

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

    def _settle(self, key: RunKey) -> None:
        self.unsettled_by_run.pop(key, None)
        self._started.discard(key)
        self._in_doubt.discard(key)
        self._revoked.discard(key)

    def _refuse(self, key: RunKey, why: Refusal, shown_by: str = "answer") -> None:
        self._settle(key)
        self.refusal_by_run[key] = why
        log.info(
            "Run did not start",
            extra={"run": str(key), "why": why.value, "shown_by": shown_by},
        )
        self._on_change()

    async def _start(self, start: Start, until: float) -> None:
        async with self._start_slots:
            incarnation = self._current()
            if incarnation is None or not self._may_send(start, incarnation, until):
                self._refuse(start.key, Refusal.NOT_ALLOWED, "it was not sent in time")
                return
            fence = incarnation.worker.fence
            outcome = await incarnation.worker.start(
                start, until=until + incarnation.clock_ahead
            )
        if outcome is Refusal.STALE and incarnation.worker.fence > fence:
            # The token was raised while the start was on its way: it has not run.
            await self._start(start, until)
        elif isinstance(outcome, Refusal):
            self._refuse(start.key, outcome)
        elif isinstance(outcome, OtherIncarnation):
            self._refuse(start.key, Refusal.NEVER_RAN)
        elif outcome is StartOutcome.STARTED:
            self._started.add(start.key)
            await self._wait_until_listed(incarnation, start.key)
        else:
            self._in_doubt.add(start.key)
            self._unanswered_at = self._clock()
            fields = {"run": str(start.key), "fence": fence}
            lease_left = round(until - self._clock(), 3)
            log.info(
                "Start was not answered", extra=fields | {"lease_left": lease_left}
            )
            await self._resolve_unknown_start(incarnation, start.key, fence)

    def _may_send(
        self, start: Start, incarnation: WorkerIncarnation, until: float
    ) -> bool:
        """Return whether a start with this lease may be sent now."""
        return (
            not self.is_closed
            and self._clock() < until
            and incarnation.is_confirmed
            and not incarnation.runs_lost
            and start.key not in self._revoked
            and self._may_start()
        )

    async def _wait_until_listed(
        self, incarnation: WorkerIncarnation, key: RunKey
    ) -> None:
        """Wait for a list that must contain the run."""
        wanted = incarnation.lists_answered + FRESH_LISTS
        async with self._listed:
            await self._listed.wait_for(
                lambda: (
                    is_list_complete(incarnation, wanted) or is_listed(incarnation, key)
                )
            )
        self._settle(key)

    async def _resolve_unknown_start(
        self, incarnation: WorkerIncarnation, key: RunKey, fence: int
    ) -> None:
        # The start may be carried out seconds later. Once the worker has answered a
        # list with a higher token, it refuses the start if it has not carried it out.
        if incarnation.worker.fence == fence:
            self._raise_fence(incarnation)
        async with self._listed:
            await self._listed.wait_for(
                lambda: (
                    (incarnation.listed_fence > fence and incarnation.has_all_ends)
                    or is_listed(incarnation, key)
                )
            )
        if is_listed(incarnation, key):
            self._settle(key)
        else:
            self._refuse(key, Refusal.NEVER_RAN, "list with a higher token")

    async def _stop(self, key: RunKey) -> None:
        incarnation = self._current()
        try:
            while incarnation is not None and incarnation is self._current():
                if await incarnation.worker.stop(key):
                    return
                await asyncio.sleep(RETRY_PAUSE_SECONDS)
        finally:
            self._stopping.discard(key)

    async def _pace(self, key: RunKey) -> None:
        incarnation = self._current()
        try:
            for _ in range(PACE_ATTEMPTS):
                percent = self._percent_by_run.get(key)
                if percent is None or incarnation is None:
                    return
                fence = incarnation.worker.fence
                confirmed = await incarnation.worker.pace(key, percent)
                if confirmed and self._percent_by_run.get(key) == percent:
                    return
                if not confirmed:
                    # It may be carried out after a later one, unless that has a higher
                    # token.
                    if incarnation.worker.fence == fence:
                        self._raise_fence(incarnation)
                    await asyncio.sleep(RETRY_PAUSE_SECONDS)
        finally:
            self._percent_by_run.pop(key, None)
