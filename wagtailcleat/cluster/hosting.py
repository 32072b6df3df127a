"""An agent's control of its worker: heartbeats, runs, their leases, and orders.

Only the agent gives orders to the worker. Each incarnation of the agent uses a higher
fencing token (`fence`) than those before, so the worker refuses a delayed start that an
earlier incarnation has sent. `agent_app` runs one `Hosting`.

A worker's runs are lost at once if its process has ended, else when all leases have
certainly lapsed. Starts in doubt are lost with the leases only: until then the worker,
or its next incarnation, may still carry them out.
"""

import asyncio
from collections.abc import Callable
from functools import partial

from wagtailcleat.clock import Clock
from wagtailcleat.cluster.fencing import FencingTokens
from wagtailcleat.cluster.local_addresses import is_local_address
from wagtailcleat.cluster.run_orders import RunOrders
from wagtailcleat.cluster.timing import (
    LIST_WAIT_SECONDS,
    RUN_CONTACT_LIMIT_SECONDS,
    RUN_LEASE_SECONDS,
    WORKER_CALL_SECONDS,
    WORKER_SILENT_SECONDS,
)
from wagtailcleat.cluster.worker_events import (
    log_begin,
    log_leave,
    log_loss,
    log_return,
)
from wagtailcleat.cluster.worker_incarnation import (
    MakeWorker,
    WorkerIncarnation,
    answers_steadily,
    leases_lapse_at,
    refusals_show_end,
    retry_pause,
    silent_seconds,
)
from wagtailcleat.cluster.worker_lists import first_list
from wagtailcleat.cluster.worker_succession import WorkerSuccession
from wagtailcleat.ids import ZoneName
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.heartbeats import Heartbeat
from wagtailcleat.platform.http_client import NoAnswer
from wagtailcleat.platform.runs import (
    OtherIncarnation,
    RunList,
    RunWorker,
    StaleFence,
)
from wagtailcleat.scheduling.models import (
    Ended,
    Running,
    WorkerInfo,
    WorkerState,
)

log = part_logger("hosting")

MIN_LIST_INTERVAL_SECONDS = 0.05
"""Shortest time between two lists.

The worker does not delay the answer if the list has an end, even one that is known.
"""


class Hosting:
    """The worker of this VM and its runs.

    `orders` carries out the leader's orders.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        wall_clock: Clock,
        own_host: str,
        lease_limit: float,
        may_start: Callable[[], bool],
        leader_contact_at: Callable[[], float],
        is_zone_out: Callable[[ZoneName], bool],
        on_change: Callable[[], None],
        make_worker: MakeWorker = RunWorker,
        is_local_address: Callable[[str], bool] = is_local_address,
    ) -> None:
        """Create it without a worker.

        Parameters: `own_host` is the address of this VM; `lease_limit` is the longest
        lease that the platform grants, in seconds; `may_start` returns whether the
        leader's orders may be carried out now; `leader_contact_at` returns when the
        leader was last reached; `is_zone_out`, whether operators have taken a zone out;
        `is_local_address`, whether an address is certainly of this VM; `make_worker`, a
        client of a worker; `on_change` is called when there is something to report.
        """
        self._clock = clock
        self._wall_clock = wall_clock
        self._lease = min(RUN_LEASE_SECONDS, lease_limit)
        self._may_start = may_start
        self._leader_contact_at = leader_contact_at
        self._is_zone_out = is_zone_out
        self._on_change = on_change
        self._make_worker = make_worker
        self._refusals_show_end = partial(
            refusals_show_end, own_host=own_host, is_local_address=is_local_address
        )
        self._fencing_tokens = FencingTokens()
        self._listing: asyncio.Task[bool] | None = None
        self._worker_known = asyncio.Event()
        self._succession = WorkerSuccession(
            begin=self._begin_incarnation,
            on_leave=self._stop_leaving,
            on_doubt=self.list_at_once,
            on_end=lambda _: self.orders.cancel(),
            on_change=on_change,
            is_local_address=is_local_address,
        )
        self.orders = RunOrders(
            clock=clock,
            current=lambda: self._incarnation,
            may_start=self._can_start,
            renew_lease=self._renew_lease,
            raise_fence=self._raise_fence,
            on_change=on_change,
        )

    def __repr__(self) -> str:
        """Show the worker and its number of runs."""
        return f"<Hosting {self.info and self.info.id}: {len(self.running)} runs>"

    @property
    def _incarnation(self) -> WorkerIncarnation | None:
        return self._succession.present

    @property
    def info(self) -> WorkerInfo | None:
        """The worker's description of itself; None until its first heartbeat."""
        return self._succession.info

    @property
    def left(self) -> bool:
        """Whether the worker has left, nothing of it runs, and no other has begun."""
        return self._succession.left

    @property
    def listed(self) -> bool:
        """Whether it is known what this incarnation of the worker runs."""
        return self._incarnation is not None and (
            self._incarnation.lists_answered > 0 or self._incarnation.runs_lost
        )

    @property
    def runs_lost(self) -> bool:
        """Whether the worker's runs count as lost since its last list."""
        return self._incarnation is not None and self._incarnation.runs_lost

    @property
    def running(self) -> list[Running]:
        """Runs in progress, as last listed."""
        return self._incarnation.running if self._incarnation else []

    @property
    def ended(self) -> list[Ended]:
        """Unacknowledged ends of runs, as last listed."""
        return self._incarnation.ended if self._incarnation else []

    @property
    def has_all_ends(self) -> bool:
        """Whether `ended` has every unacknowledged end."""
        return self._incarnation is None or self._incarnation.has_all_ends

    @property
    def refusals(self) -> int:
        """Number of connections that the worker's port has refused in a row."""
        return self._incarnation.refusals if self._incarnation else 0

    def silent_seconds(self, now: float) -> float:
        """Return for how many seconds the worker has not answered; 0 while it does."""
        incarnation = self._incarnation
        return 0.0 if incarnation is None else silent_seconds(incarnation, now)

    def answers_steadily(self, now: float) -> bool:
        """Return whether the runs listed last were all in progress a moment ago."""
        return bool(self._incarnation and answers_steadily(self._incarnation, now))

    def lease_seconds(self, now: float) -> float:
        """Return for how many seconds, at most, runs continue without a renewal."""
        if self._incarnation is None:
            return 0.0
        return max(0.0, self._incarnation.lease_until - now)

    async def take_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat; ignore one of an earlier incarnation of the worker."""
        self._succession.take_heartbeat(heartbeat, self._clock())

    async def leave(self, instance: str, born: int) -> None:
        """Handle the message that a worker leaves for good.

        It ends once that is acknowledged, or some seconds later. Until its end is known
        its runs count as in progress; they are ordered to stop. `born` is 0 if unknown.
        """
        self._succession.leave(instance, born)

    def _begin_incarnation(self, heartbeat: Heartbeat) -> WorkerIncarnation:
        worker = heartbeat.worker
        fence = self._fencing_tokens.first(worker.born, self._wall_clock())
        log_begin(worker, fence)
        now = self._clock()
        self._worker_known.set()
        return WorkerIncarnation(
            self._make_worker(
                heartbeat.address,
                worker.id,
                fence=fence,
                call_seconds=WORKER_CALL_SECONDS,
            ),
            worker.born,
            heartbeat.address,
            worker.id,
            listed_at=now,
            # An earlier incarnation of this agent may have granted leases.
            lease_until=now + self._lease,
        )

    def _stop_leaving(self, incarnation: WorkerIncarnation) -> None:
        unsettled = list(self.orders.unsettled_by_run)
        log_leave(incarnation, unsettled=len(unsettled), now=self._clock())
        for key in [*unsettled, *incarnation.take_runs_to_stop()]:
            self.orders.stop(key)

    async def run(self) -> None:
        """Renew leases and list runs until cancelled."""
        while True:
            await self._worker_known.wait()
            incarnation = self._incarnation
            if incarnation is None:
                self._worker_known.clear()
                continue
            started_at = self._clock()
            before = (incarnation.is_doubtful, self.orders.is_closed)
            listed = await self._list_unless_urgent(incarnation)
            if not listed and incarnation is self._incarnation:
                self._end_after_lease(incarnation)
            may_leave = not self.orders.unsettled_by_run
            self._succession.advance(self._clock(), may_leave=may_leave)
            if incarnation is not self._incarnation:
                continue
            if listed:
                await asyncio.sleep(
                    max(0.0, started_at + MIN_LIST_INTERVAL_SECONDS - self._clock())
                )
                continue
            if before != (incarnation.is_doubtful, self.orders.is_closed):
                # The next incarnation may have begun; a list shows that at once. Or
                # this agent ends, and has given up a list that waited.
                continue
            may_be_late = self.orders.may_be_late(self._clock())
            await asyncio.sleep(retry_pause(incarnation, may_be_late=may_be_late))

    async def _list_unless_urgent(self, incarnation: WorkerIncarnation) -> bool:
        """List the runs; return whether the list was answered.

        It is given up for a new one by `list_at_once`.
        """
        self._listing = asyncio.create_task(self._list_runs(incarnation))
        try:
            await asyncio.wait([self._listing])
        finally:
            self._listing.cancel()
        return not self._listing.cancelled() and self._listing.result()

    def list_at_once(self) -> None:
        """Give up the list that is waited for, and ask for another one."""
        if self._listing is not None:
            self._listing.cancel()

    def _raise_fence(self, incarnation: WorkerIncarnation) -> None:
        incarnation.worker.fence = self._fencing_tokens.next()

    async def _list_runs(self, incarnation: WorkerIncarnation) -> bool:
        until = self._renew_lease(incarnation, self._clock())
        is_urgent = not incarnation.is_confirmed or self.orders.has_doubts
        fence, answer = await first_list(
            incarnation,
            until=until,
            wait_seconds=0.0 if is_urgent else LIST_WAIT_SECONDS,
            is_current=lambda: self._incarnation is incarnation,
        )
        if self._incarnation is not incarnation:
            return False
        if isinstance(answer, RunList):
            return await self._apply_list(incarnation, answer, fence)
        if isinstance(answer, StaleFence) and fence == incarnation.worker.fence:
            incarnation.worker.fence = self._fencing_tokens.after_rejection()
            log.warning(
                "Fencing token was stale", extra={"fence": incarnation.worker.fence}
            )
        elif isinstance(answer, OtherIncarnation):
            incarnation.is_doubtful = incarnation.process_ended = True
            fields = {"worker": incarnation.instance}
            log.warning("Another incarnation of the worker answers", extra=fields)
        elif answer in (NoAnswer.REFUSED, NoAnswer.BROKEN):
            incarnation.is_doubtful = True
            if answer is NoAnswer.REFUSED:
                self._record_refusal(incarnation)
        return False

    def _record_refusal(self, incarnation: WorkerIncarnation) -> None:
        incarnation.refusals += 1
        if not self._refusals_show_end(incarnation):
            return  # Its runs may go on until their leases expire.
        incarnation.process_ended = True
        if incarnation.lists_answered and not incarnation.runs_lost:
            self._lose_runs(incarnation, "nobody listens at its port")
            self.orders.lose_started()

    def _lease_until(self, incarnation: WorkerIncarnation, now: float) -> float | None:
        if (
            incarnation.is_leaving
            or not incarnation.is_confirmed
            or now - incarnation.listed_at > WORKER_SILENT_SECONDS
        ):
            # A call that is not answered may still renew the leases, so the runs of a
            # silent worker would count as running for as long as it is silent.
            return None
        until = min(
            now + self._lease, self._leader_contact_at() + RUN_CONTACT_LIMIT_SECONDS
        )
        return until if until > now else None

    async def _apply_list(
        self, incarnation: WorkerIncarnation, answer: RunList, fence: int
    ) -> bool:
        now = self._clock()
        if answer.born and answer.born != incarnation.born:
            incarnation.is_doubtful = incarnation.process_ended = True
            log.warning("Worker has restarted", extra={"worker": incarnation.instance})
            return False
        self._fencing_tokens.accepted()
        unsettled = len(self.orders.unsettled_by_run)
        log_return(incarnation, answer, unsettled=unsettled, now=now)
        changed = incarnation.take_list(answer, fence=fence, now=now, lease=self._lease)
        if incarnation.is_leaving:
            for key in incarnation.take_runs_to_stop():
                self.orders.stop(key)
        if changed:
            self._on_change()
        await self.orders.notify_listed()
        return True

    def _end_after_lease(self, incarnation: WorkerIncarnation) -> None:
        # A worker that can't be reached kills its runs when their leases expire. A
        # start that it carries out later has an expired lease of its own, or a fencing
        # token below that of the next list, and is refused.
        if incarnation.leases_lapsed or self._clock() < leases_lapse_at(incarnation):
            return
        incarnation.leases_lapsed = True
        if not incarnation.lists_answered:
            return
        self._raise_fence(incarnation)
        if not incarnation.runs_lost:
            self._lose_runs(incarnation, "its leases have lapsed")
        self.orders.lose_all()

    def _lose_runs(self, incarnation: WorkerIncarnation, why: str) -> None:
        incarnation.runs_lost = True
        incarnation.running = []
        # Ends that its last list had no room for will never be listed.
        incarnation.has_all_ends = True
        unsettled = len(self.orders.unsettled_by_run)
        log_loss(incarnation, why, unsettled=unsettled, now=self._clock())
        self._on_change()

    def acknowledge(self, born: int, number: int) -> None:
        """Let the worker of birth time `born` delete its ends up to `number`."""
        incarnation = self._incarnation
        if incarnation is not None and incarnation.born == born:
            incarnation.acknowledged = max(incarnation.acknowledged, number)

    def _can_start(self) -> bool:
        info = self.info
        return (
            info is not None
            and info.state is WorkerState.READY
            and not self._is_zone_out(info.zone)
            and self._may_start()
        )

    def _renew_lease(self, incarnation: WorkerIncarnation, now: float) -> float | None:
        """Return until when leases may last from now on; None if they may not."""
        until = self._lease_until(incarnation, now)
        if until is not None:
            incarnation.lease_until = max(incarnation.lease_until, until)
        return until
