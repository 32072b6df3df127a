"""`wagtailcleat-agent` on the platform: one runs on the VM of each worker."""

import asyncio
import contextlib
import itertools
import sys

from tornado.httpserver import HTTPServer

from wagtailcleat.clock import boot_time, wall_time
from wagtailcleat.cluster.following import Following
from wagtailcleat.cluster.hosting import Hosting
from wagtailcleat.cluster.last_report import report_once_more, reported_worker
from wagtailcleat.cluster.operator_watch import OperatorWatch
from wagtailcleat.cluster.program import CommonParts, make_common_parts, serve_metrics
from wagtailcleat.cluster.program import main as run
from wagtailcleat.cluster.settings import AgentSettings, split_address
from wagtailcleat.cluster.timing import (
    CLOCK_DRIFT_FACTOR,
    LAST_REPORT_SECONDS,
    STOP_MARGIN_SECONDS,
    ZONES_WATCH_SECONDS,
)
from wagtailcleat.ids import Epoch, NodeId, ZoneName
from wagtailcleat.introspection import Kind
from wagtailcleat.platform.heartbeats import (
    MAX_HEARTBEAT_BYTES,
    Rejections,
    heartbeat_application,
)
from wagtailcleat.scheduling.models import WorkerState
from wagtailcleat.wire.handshake import Role
from wagtailcleat.wire.scheduling import Leads, Orders, Report

MILLISECONDS = 1000


class Agent:
    """The composition of an agent."""

    def __init__(self, settings: AgentSettings) -> None:
        """Create the parts; nothing runs yet."""
        self.settings = settings
        self._report_numbers = itertools.count(1)
        self._created_at = boot_time()
        self.common: CommonParts = make_common_parts(settings, Role.AGENT)
        common = self.common
        self.operators = OperatorWatch(
            common.store, wait_seconds=ZONES_WATCH_SECONDS, zones_only=True
        )
        self.following = Following(
            store=common.store,
            peers=common.peers,
            clock=boot_time,
            entries=[
                (split_address(seed)[0], settings.peer_port) for seed in settings.seeds
            ],
            make_report=self._report,
            on_answer=self._answered,
            on_orders=self._take_orders,
            values=common.values,
        )
        self.hosting = Hosting(
            clock=boot_time,
            wall_clock=wall_time,
            own_host=settings.host,
            lease_limit=settings.run_lease_limit_ms / MILLISECONDS,
            may_start=self.following.may_act,
            leader_contact_at=lambda: self.following.contact_at,
            is_zone_out=lambda zone: zone in self.operators.zones_out,
            on_change=self.following.report_soon,
        )
        self.rejections = Rejections(clock=boot_time)
        self._leave_reported = asyncio.Event()
        """Set while the leader knows that the worker has left."""
        common.dispatch.add_plain({Leads: self.following.leader_announced})
        common.dispatch.add({Orders: self.following.orders})
        self._add_metrics()

    def __repr__(self) -> str:
        """Show the node."""
        return f"<Agent {self.settings.node}>"

    def start(self) -> None:
        """Start the background tasks and the servers."""
        supervisor = self.common.supervisor
        supervisor.spawn("operators", self.operators.run)
        supervisor.spawn("following", self.following.run)
        supervisor.spawn("hosting", self.hosting.run)
        host, port = split_address(self.settings.control)
        server = HTTPServer(
            heartbeat_application(
                self.hosting.take_heartbeat, self.hosting.leave, self.rejections
            ),
            max_body_size=MAX_HEARTBEAT_BYTES,
        )
        server.listen(port, host)
        serve_metrics(self.common, self.settings)

    def stop_fields(self) -> dict[str, int]:
        """Return the number of runs, which continue."""
        return {"runs": len(self.hosting.running)}

    async def stop(self) -> None:
        """Report what the leader does not know, then end without stopping the runs.

        Runs continue until their leases expire; the next incarnation adopts them. After
        a leave there may be none, and the leader would wait for the leases. A worker
        that drains will leave soon.
        """
        limit = self.settings.grace - STOP_MARGIN_SECONDS
        info = self.hosting.info
        is_draining = info is not None and info.state is WorkerState.DRAINING
        if is_draining or self.hosting.left:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(limit):
                    await self._leave_reported.wait()
        else:
            await report_once_more(
                self.hosting, self.following, seconds=min(limit, LAST_REPORT_SECONDS)
            )
        await self.common.supervisor.stop()
        self.common.close()

    def _report(self, epoch: Epoch, orders_taken: int) -> Report:
        hosting = self.hosting
        now = boot_time()
        return Report(
            NodeId(self.settings.node),
            self.common.identity.incarnation,
            ZoneName(self.settings.zone),
            self.settings.peer_host,
            self.settings.peer_port,
            reported_worker(hosting),
            hosting.left,
            hosting.listed,
            hosting.running,
            hosting.ended,
            list(hosting.orders.unsettled_by_run),
            list(hosting.orders.refusal_by_run.items()),
            hosting.silent_seconds(now),
            hosting.lease_seconds(now),
            orders_taken,
            epoch,
            number=next(self._report_numbers),
            has_all_ends=hosting.has_all_ends,
            listed_in_epoch=hosting.answers_steadily(now),
            up_seconds=(now - self._created_at) / CLOCK_DRIFT_FACTOR,
        )

    def _answered(self, report: Report) -> None:
        if report.left:
            self._leave_reported.set()
        else:
            self._leave_reported.clear()
        for key, _ in report.refused:
            self.hosting.orders.refusal_by_run.pop(key, None)

    def _take_orders(self, orders: Orders) -> None:
        for start in orders.starts:
            self.hosting.orders.start(start, orders.born)
        for key in orders.stops:
            self.hosting.orders.stop(key)
        for pace in orders.paces:
            self.hosting.orders.pace(pace)
        self.hosting.acknowledge(orders.born, orders.acknowledged)

    def _add_metrics(self) -> None:
        metric = self.common.introspection.metric
        metric(
            Kind.GAUGE,
            "runs",
            "Runs at the worker of this VM.",
            lambda: len(self.hosting.running),
        )
        metric(
            Kind.COUNTER,
            "heartbeats_rejected",
            "Heartbeats that are invalid, so that they name no worker.",
            lambda: self.rejections.count,
        )
        metric(
            Kind.GAUGE,
            "epoch",
            "Epoch of the leader that this agent follows.",
            lambda: self.following.epoch,
        )


def main() -> int:
    """Run the program."""
    return run(AgentSettings, Agent)


if __name__ == "__main__":
    sys.exit(main())
