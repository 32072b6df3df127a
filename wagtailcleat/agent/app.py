"""`wagtailcleat-agent`: composition root of the agent, one on each endpoint VM."""

import asyncio
from pathlib import Path
from typing import Annotated

import cyclopts
from tornado.httpserver import HTTPServer

from wagtailcleat.agent.attempts import Attempts
from wagtailcleat.agent.commitments import Commitments
from wagtailcleat.agent.graceful_shutdown import announce_leave, flush_answers
from wagtailcleat.agent.interference import InterferenceController
from wagtailcleat.agent.metrics import add_agent_metrics, by_resource
from wagtailcleat.agent.neighbours import NeighbourMonitor
from wagtailcleat.agent.services import Services
from wagtailcleat.agent.shard_hosting import ShardHosting
from wagtailcleat.agent.state_server import state_application
from wagtailcleat.batch.holders import read_epoch
from wagtailcleat.clock import Clock, boot_time, wall_time
from wagtailcleat.command_line import run_program
from wagtailcleat.configuration.models import placed, zone_is_out
from wagtailcleat.daemon import run_daemon
from wagtailcleat.ids import VmName, ZoneName
from wagtailcleat.logs import part_logger
from wagtailcleat.metrics import add_node_metrics
from wagtailcleat.node import Node, make_node
from wagtailcleat.platform.worker import Worker, WorkerUnreachable
from wagtailcleat.process import bind, bound_port
from wagtailcleat.resources import NOTHING, Resources
from wagtailcleat.settings import AgentSettings
from wagtailcleat.wire.handshake import Role

log = part_logger("agent")

CAPACITY_RETRY_SECONDS = 1.0

app = cyclopts.App(name="wagtailcleat-agent", help=__doc__)


class Agent:
    """One agent process: its VM's services and attempts, and the shards it owns."""

    def __init__(
        self,
        settings: AgentSettings,
        *,
        clock: Clock = boot_time,
        wall_clock: Clock = wall_time,
    ) -> None:
        """Create and connect all parts; `start` runs them."""
        self.commitments = Commitments()
        self.leaving = False
        self.node: Node = make_node(
            settings,
            Role.AGENT,
            vm=settings.vm,
            free=self._free,
            clock=clock,
            wall_clock=wall_clock,
        )
        node = self.node
        self._settings = settings
        self._worker_capacity: Resources | None = None
        self.worker = Worker(settings.worker)
        self.services = Services(
            settings.endpoints_by_service,
            incarnation=node.view.me.incarnation,
            clock=node.clock,
            timing=settings.timing,
            closed_reason=self.closed_reason,
            wait_for_fresh_view=node.wait_for_fresh_view,
            close_older=node.listener.close_older,
            max_answer_bytes=settings.max_answer_bytes,
            kept_answer_bytes=settings.kept_answer_bytes,
        )
        self.attempts = Attempts(
            self.worker,
            self.commitments,
            node.view,
            node.peers,
            vm=VmName(settings.vm),
            incarnation=node.view.me.incarnation,
            clock=node.clock,
            timing=settings.timing,
            closed_reason=self.closed_reason,
            evict_all_reason=self.evict_all_reason,
            read_epoch=lambda shard: read_epoch(node.store, shard),
        )
        self.neighbours = NeighbourMonitor(
            InterferenceController(),
            self.attempts,
            self.commitments,
            self.services,
            self.worker,
        )
        self._shards = ShardHosting(
            node, settings, wall_clock=wall_clock, closed_reason=self.closed_reason
        )
        self.ownership = self._shards.ownership
        node.dispatch.add(self.services.handlers())
        node.dispatch.add(self.attempts.handlers())
        node.dispatch.add_plain(self._shards.by_message())
        node.gossiper.on_configuration(self._apply_configuration)
        self._add_sections()

    def closed_reason(self) -> str:
        """Return why no new request, task or shard is accepted; empty if they are."""
        if self.leaving:
            return "the agent leaves"
        if not self.node.is_view_fresh():
            return "this process was paused and is hearing its peers anew"
        return self.evict_all_reason()

    def evict_all_reason(self) -> str:
        """Return why all running tasks must be evicted; empty if they may stay."""
        zone = ZoneName(self._settings.zone)
        if zone_is_out(self.node.in_force.configuration, zone):
            return f"availability zone '{zone}' is out of service"
        return ""

    def start(self) -> dict[str, int]:
        """Start all background tasks and servers; return the listening ports."""
        node = self.node
        server = HTTPServer(state_application(node.introspection))
        sockets = bind(self._settings.host, self._settings.http_port)
        server.add_sockets(sockets)  # type: ignore[arg-type]
        node.start()
        spawn = node.supervisor.spawn
        spawn("capacity", self._read_capacity)
        spawn("services", self._check_services)
        spawn("attempts", self._run_attempts)
        spawn("neighbours", self.neighbours.run)
        if self._settings.owns_shards:
            spawn("ownership", self.ownership.run)
        return {"peer_port": node.view.me.port, "http_port": bound_port(sockets)}

    async def stop(self) -> None:
        """Shut down gracefully; drain for at most `timing.drain` seconds.

        Announce the leave, finish service requests, evict tasks, release the shards,
        deliver the outstanding answers, and close everything.
        """
        self.leaving = True
        self.services.record_closing()
        log.info("Agent is shutting down")
        timing = self._settings.timing
        stay_until = await announce_leave(self.node, timing)
        try:
            async with asyncio.timeout(timing.drain):
                await self.services.drain()
                await self.attempts.drain("its VM is being replaced")
        except TimeoutError:
            log.warning("Agent did not drain within the drain timeout")
        await self.ownership.give_up()
        await asyncio.sleep(stay_until - self.node.clock())
        await flush_answers(self.node)
        await self.node.leave()
        self.services.close()
        self.worker.close()

    async def _read_capacity(self) -> None:
        while True:
            capacity = await self.worker.capacity()
            if not isinstance(capacity, WorkerUnreachable):
                self._worker_capacity = capacity
                self._apply_configuration()
                return
            await asyncio.sleep(CAPACITY_RETRY_SECONDS)

    async def _check_services(self) -> None:
        while True:
            await self.services.check_endpoints()
            serving = sorted(self.services.answering)
            if serving != sorted(self.node.view.me.services):
                await self.node.change_me(services=serving)
            await asyncio.sleep(self._settings.timing.endpoint_check)

    async def _run_attempts(self) -> None:
        # Grants of recovered tasks may expire soon, so renewal runs during recovery.
        attempts = self.attempts
        await asyncio.gather(attempts.recover(), attempts.monitor(), attempts.renew())

    def _apply_configuration(self) -> None:
        configuration = self.node.in_force.configuration
        on_vm = placed(configuration, VmName(self._settings.vm))
        commitments = self.commitments
        if on_vm is None:
            self.services.configure([])
            commitments.capacity, commitments.for_services = NOTHING, NOTHING
            commitments.is_known = configuration.revision > 0
        else:
            self.services.configure(on_vm.services)
            commitments.for_services = on_vm.for_services
            if self._worker_capacity is not None:
                capacity = on_vm.vm.capacity.smaller(self._worker_capacity)
                commitments.capacity = capacity
                commitments.is_known = True
        self.attempts.request_poll()

    def _free(self) -> Resources:
        return self.commitments.free(self.node.clock())

    def _add_sections(self) -> None:
        add = self.node.introspection.add
        add("vm", lambda: self._settings.vm)
        add("closed", self.closed_reason)
        add("requests_in_flight", lambda: self.services.in_flight)
        add("tasks_running", lambda: len(self.attempts.running()))
        add("free", lambda: by_resource(self._free()))
        add("services", self.services.dump)
        add("ledger", lambda: len(self.services.ledger))
        add("attempts", self.attempts.dump)
        add("neighbours", self.neighbours.dump)
        add("shards", self._shards.dump)
        add_node_metrics(self.node.introspection, self.node)
        add_agent_metrics(
            self.node.introspection,
            self.services,
            self.attempts,
            self.commitments,
            self.ownership,
            self.neighbours.controller,
            self.node.clock,
        )


@app.default
def run(
    *,
    settings: Annotated[Path, cyclopts.Parameter(help="Settings file, JSON.")],
    check: Annotated[bool, cyclopts.Parameter(help="Only check the settings.")] = False,
) -> int:
    """Serve requests and run tasks on one endpoint VM; own a share of the shards."""
    return run_daemon(settings, AgentSettings, Agent, check=check)


def main() -> None:
    """Run the command line."""
    run_program(app)


if __name__ == "__main__":
    main()
