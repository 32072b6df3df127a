"""`wagtailcleat-entry` on the platform: serve callers, and lead if elected."""

import asyncio
import sys

from tornado.httpserver import HTTPServer

from wagtailcleat.clock import boot_time, wall_time
from wagtailcleat.cluster.keys import ProcessInfo
from wagtailcleat.cluster.leader import Leader
from wagtailcleat.cluster.leader_lease import LeaderLease
from wagtailcleat.cluster.leadership import Leadership
from wagtailcleat.cluster.metrics import CallerMetrics, register_scheduler_metrics
from wagtailcleat.cluster.operator_watch import OperatorWatch
from wagtailcleat.cluster.program import CommonParts, make_common_parts, serve_metrics
from wagtailcleat.cluster.program import main as run
from wagtailcleat.cluster.settings import EntrySettings, split_address
from wagtailcleat.cluster.submissions import Submissions
from wagtailcleat.cluster.timing import (
    CANCEL_ANSWER_SECONDS,
    CONFIGURATION_WATCH_SECONDS,
    STOP_MARGIN_SECONDS,
)
from wagtailcleat.draining_server import DrainingServer
from wagtailcleat.errors import Code
from wagtailcleat.introspection import Kind
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.advice import AdviceService
from wagtailcleat.platform.calls import CallsInProgress
from wagtailcleat.platform.submissions import caller_server, ready_server
from wagtailcleat.wire.answer_writer import AnswerWriter
from wagtailcleat.wire.handshake import Role
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.results import Refused
from wagtailcleat.wire.scheduling import (
    CancelSteps,
    CountWaiting,
    JobStored,
    KeepFollowing,
    Leads,
    Report,
    ShowState,
    StoreJob,
    Submitted,
    TakeOver,
    WhoLeads,
)
from wagtailcleat.wire.streams import Stream

log = part_logger("entry")

BALANCER_NOTICE_SECONDS = 2.3
"""How long the balancer takes to notice that an entry is no longer ready.

It asks once a second, and sends no new connections after two failures.
"""
MIN_CLOSE_SECONDS = 0.1
"""Shortest time for which a stop waits for requests in progress, and for the end of
connections whose request it has given up."""
BYTES_PER_MEGABIT = 125_000


class Entry:
    """The composition of an entry."""

    def __init__(self, settings: EntrySettings) -> None:
        """Create the parts; nothing runs yet."""
        self.settings = settings
        self.common: CommonParts = make_common_parts(settings, Role.ENTRY)
        self.leader: Leader | None = None
        self.stopping = False
        common = self.common
        place = ProcessInfo(
            settings.peer_host,
            settings.peer_port,
            int(common.identity.incarnation),
            settings.cpu_share * settings.cpu_speed,
        )
        self.operators = OperatorWatch(
            common.store, wait_seconds=CONFIGURATION_WATCH_SECONDS
        )
        self.leadership = Leadership(
            common.identity,
            place,
            store=common.store,
            peers=common.peers,
            clock=boot_time,
            lead=self._lead,
            silent_claim_seconds=settings.silent_claim_seconds,
            values=common.values,
        )
        self.submissions = Submissions(
            store=common.store,
            peers=common.peers,
            leadership=self.leadership,
            leader=lambda: self.leader,
            clock=boot_time,
            max_value_bytes=settings.value_bytes,
        )
        common.dispatch.add_plain(
            {
                WhoLeads: self.leadership.who_leads,
                Leads: self.leadership.leader_announced,
                KeepFollowing: self.leadership.keep_following,
                TakeOver: self.leadership.take_over,
                Submitted: self._submitted,
                StoreJob: self._store_job,
                ShowState: self._show_state,
                CancelSteps: self._cancel,
                CountWaiting: self._count,
            }
        )
        common.dispatch.add({Report: self._report})
        self.advice = AdviceService(settings.advice) if settings.advice else None
        self.metrics = CallerMetrics()
        self.calls = CallsInProgress()
        self._front: DrainingServer | None = None
        self._ready: HTTPServer | None = None
        self._add_metrics()

    def __repr__(self) -> str:
        """Show the node."""
        return f"<Entry {self.settings.node}>"

    def start(self) -> None:
        """Start the background tasks and the servers."""
        supervisor = self.common.supervisor
        supervisor.spawn("operators", self.operators.run)
        supervisor.spawn("leadership", self.leadership.run)
        self._front = caller_server(
            self.submissions,
            queues=lambda: self.operators.queues,
            clock=boot_time,
            wall_clock=wall_time,
            note=self.metrics.record,
            calls=self.calls,
        )
        self._ready = ready_server(self.ready)
        for server, address in (
            (self._front, self.settings.front),
            (self._ready, self.settings.ready),
        ):
            host, port = split_address(address)
            server.listen(port, host, backlog=512)
        serve_metrics(self.common, self.settings)

    def ready(self) -> bool:
        """Return whether the balancer should send new connections."""
        return self.operators.queues is not None and not self.stopping

    def stop_fields(self) -> dict[str, int]:
        """Return the calls in progress, and those whose connection ended before."""
        reasons = self.calls.count_by_reason
        return {"in_progress": len(self.calls.open), "unanswered": reasons.total()}

    async def stop(self) -> None:
        """Hand over leadership, answer requests, then end.

        The port stays open until the balancer has noticed. A request that is still in
        progress `STOP_MARGIN_SECONDS` before the end of the grace period is answered
        without its outcome.
        """
        assert self._front and self._ready
        self.stopping = True
        self.calls.is_stopping = True
        end = boot_time() + self.settings.grace - STOP_MARGIN_SECONDS
        # Each entry that does not answer delays the hand-over.
        stepping_down = asyncio.create_task(self.leadership.step_down())
        await asyncio.sleep(min(BALANCER_NOTICE_SECONDS, max(0.0, end - boot_time())))
        self._ready.stop()
        await self._front.drain(max(MIN_CLOSE_SECONDS, end - boot_time()))
        await asyncio.wait([stepping_down], timeout=max(0.0, end - boot_time()))
        stepping_down.cancel()
        given_up = self.calls.give_up()
        if given_up:
            log.warning(
                "Requests still in progress at the end of the grace period",
                extra={"given_up": given_up},
            )
        await self._front.drain(MIN_CLOSE_SECONDS)
        self.calls.is_closing = True
        await self._front.close_all_connections()
        self.common.close()

    async def _lead(self, lease: LeaderLease) -> None:
        leader = Leader(
            lease,
            store=self.common.store,
            peers=self.common.peers,
            leadership=self.leadership,
            clock=boot_time,
            wall_clock=wall_time,
            status_kept=self.settings.status_kept,
            zones_out=lambda: self.operators.zones_out,
            advice=self.advice,
            link_bytes_per_second=self.settings.link_mbps * BYTES_PER_MEGABIT,
            max_value_bytes=self.settings.value_bytes,
            options=self.settings.scheduling_options,
            values=self.common.values,
        )
        self.leader = leader
        count_restart = self.common.supervisor.count_restart
        try:
            await leader.run(count_restart)
        except Exception:
            # Leadership goes on after it, with another claim.
            count_restart("leading")
            raise
        finally:
            self.leader = None

    async def _report(
        self, stream: Stream, message: AnyMessage, answer_writer: AnswerWriter
    ) -> AnyMessage:
        leader = self.leader
        if leader is None:
            return _not_leading()
        return await leader.report(stream, message, answer_writer)

    async def _submitted(self, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, Submitted)
        leader = self.leader
        return _not_leading() if leader is None else await leader.submitted(message)

    async def _store_job(self, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, StoreJob)
        outcome = await self.submissions.store(message.id, message.job)
        return JobStored(outcome.value)

    async def _show_state(self, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, ShowState)
        leader = self.leader
        if leader is None or not leader.ready:
            return _not_leading()
        return leader.state(message)

    async def _cancel(self, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, CancelSteps)
        leader = self.leader
        if leader is None or not leader.ready:
            return _not_leading()
        return await leader.cancel(message, CANCEL_ANSWER_SECONDS)

    async def _count(self, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, CountWaiting)
        leader = self.leader
        return _not_leading() if leader is None else leader.waiting(message)

    def _add_metrics(self) -> None:
        self.metrics.register(self.common.introspection)
        self.calls.register(self.common.introspection)
        register_scheduler_metrics(
            self.common.introspection,
            lambda: self.leader.scheduler if self.leader else None,
        )
        self.common.introspection.labelled(
            Kind.COUNTER,
            "states_told",
            "Answers to questions for a job's state, by what they rest on.",
            "basis",
            lambda: self.submissions.job_states.count_by_basis,
        )
        metric = self.common.introspection.metric
        metric(
            Kind.GAUGE,
            "leads",
            "1 while this entry leads.",
            lambda: self.leader is not None,
        )
        metric(
            Kind.GAUGE,
            "restoring",
            "1 while this entry leads and does not know yet what is stored.",
            lambda: self.leader is not None and not self.leader.ready,
        )
        self.common.introspection.add(
            "unreadable_jobs",
            lambda: self.leader.jobs.why_by_unreadable if self.leader else {},
        )
        metric(
            Kind.GAUGE,
            "unreadable_jobs",
            "Stored jobs that this leader can't decode; they are kept and don't run.",
            lambda: len(self.leader.jobs.why_by_unreadable) if self.leader else 0,
        )
        metric(
            Kind.GAUGE,
            "epoch",
            "Epoch of the leader that this entry follows.",
            lambda: self.leadership.leader.epoch,
        )
        metric(
            Kind.GAUGE,
            "configuration_version",
            "Version of the configuration in force here; 0: none.",
            lambda: self.operators.queues.version if self.operators.queues else 0,
        )
        metric(
            Kind.GAUGE,
            "configuration_age_seconds",
            "Seconds since the store last told what operators want.",
            lambda: boot_time() - self.operators.heard_at,
        )


def _not_leading() -> Refused:
    return Refused(Code.UNAVAILABLE.value, "this entry does not lead")


def main() -> int:
    """Run the program."""
    return run(EntrySettings, Entry)


if __name__ == "__main__":
    sys.exit(main())
