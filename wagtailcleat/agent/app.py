"""`wagtailcleat-agent`: the composition root of the program beside an endpoint."""

import asyncio
from pathlib import Path
from typing import Annotated

import cyclopts
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from wagtailcleat.agent.attempts import Attempts
from wagtailcleat.agent.commitments import Commitments
from wagtailcleat.agent.interference import Interference
from wagtailcleat.agent.metrics import add_agent_metrics
from wagtailcleat.agent.neighbours import NeighbourWatch
from wagtailcleat.agent.services import Services
from wagtailcleat.batch.holders import Holder, read_epoch
from wagtailcleat.batch.journal import Journal
from wagtailcleat.batch.owner import Owner
from wagtailcleat.batch.ownership import Ownership
from wagtailcleat.batch.shard import Shard
from wagtailcleat.clock import Clock, boot_time, wall_time
from wagtailcleat.command_line import run_program
from wagtailcleat.configuration.models import placed, zone_is_out
from wagtailcleat.daemon import run_daemon
from wagtailcleat.ids import ShardId, VmName, ZoneName
from wagtailcleat.introspection import Introspection
from wagtailcleat.logs import part_logger
from wagtailcleat.metrics import add_node_metrics
from wagtailcleat.node import Node, make_node
from wagtailcleat.platform.worker import Worker, WorkerUnreachable
from wagtailcleat.process import (
    bind,
    bound_port,
)
from wagtailcleat.resources import NOTHING, Resources
from wagtailcleat.settings import AgentSettings
from wagtailcleat.wire.attempts import RenewGrants
from wagtailcleat.wire.handshake import Role
from wagtailcleat.wire.jobs import CancelJob, ListJobs, NotOwner, ShowJob, SubmitJob
from wagtailcleat.wire.membership import Member, Members, MemberState
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.results import Done
from wagtailcleat.wire.takeover import StepDown

log = part_logger("agent")

CAPACITY_RETRY_SECONDS = 1.0
ANNOUNCE_SECONDS = 1.0
ANSWERS_SENT_SECONDS = 2.0
ANSWERS_POLL_SECONDS = 0.01
OWNERS_ORDERS = (SubmitJob, ShowJob, ListJobs, CancelJob, RenewGrants)

app = cyclopts.App(name="wagtailcleat-agent", help=__doc__)


class Agent:
    """One running agent: its VM's services and attempts, and a share of shards."""

    def __init__(
        self,
        settings: AgentSettings,
        *,
        clock: Clock = boot_time,
        wall_clock: Clock = wall_time,
    ) -> None:
        """Wire everything; nothing runs yet."""
        self._wall_clock = wall_clock
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
            closed=self.closed,
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
            closed=self.closed,
            must_leave=self.must_leave,
            read_epoch=lambda shard: read_epoch(node.store, shard),
        )
        self.neighbours = NeighbourWatch(
            Interference(),
            self.attempts,
            self.commitments,
            self.services,
            self.worker,
        )
        self.ownership = Ownership(
            node.store,
            node.view,
            node.supervisor.supervisor("ownership"),
            shards=settings.shards,
            clock=node.clock,
            timing=settings.timing,
            rng=node.rng("ownership"),
            make_owner=self._make_owner,
            announce=self._announce_shards,
            closed=self.closed,
            may_own=self._may_own,
        )
        node.dispatch.add(self.services.handlers())
        node.dispatch.add(self.attempts.handlers())
        node.dispatch.add_plain(dict.fromkeys(OWNERS_ORDERS, self._owners_order))
        node.dispatch.add_plain({StepDown: self._step_down})
        node.gossiper.on_configuration(self._configured)
        self._add_sections()

    def closed(self) -> str:
        """Return why nothing new starts here now; empty where it may."""
        if self.leaving:
            return "the agent leaves"
        if not self.node.fresh():
            return "this process was paused and is hearing its peers anew"
        return self.must_leave()

    def must_leave(self) -> str:
        """Return why tasks that run here may not stay; empty where they may."""
        zone = ZoneName(self._settings.zone)
        if zone_is_out(self.node.in_force.configuration, zone):
            return f"availability zone '{zone}' is out of service"
        return ""

    def start(self) -> dict[str, int]:
        """Serve; return the ports."""
        node = self.node
        server = HTTPServer(_state_application(node.introspection))
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
        """Announce the leave, finish requests, hand tasks and shards on, then end."""
        self.leaving = True
        self.services.note_closed()
        log.info("Leaving")
        stay_until = await self._announce_leave()
        try:
            async with asyncio.timeout(self._settings.timing.drain):
                await self.services.drained()
                await self.attempts.drain("its VM is being replaced")
        except TimeoutError:
            log.warning("Not everything was drained in time")
        await self.ownership.give_up()
        await asyncio.sleep(stay_until - self.node.clock())
        await self._answers_sent()
        await self.node.leave()
        self.services.close()
        self.worker.close()

    async def _announce_leave(self) -> float:
        # Entries hear it over the streams they hold, at once: what they sent before
        # they acknowledged it came before the acknowledgement, so after that none
        # of them has a request on its way here.
        node = self.node
        node.view.change_me(node.clock(), state=MemberState.LEAVING)
        news = Members([], [node.view.me])
        entries = [s for s in node.listener.streams if s.peer_role is Role.ENTRY]
        told = [stream.call(news, timeout=ANNOUNCE_SECONDS) for stream in entries]
        announced_at = node.clock()
        try:
            async with asyncio.timeout(ANNOUNCE_SECONDS):
                answers = await asyncio.gather(*told, node.gossiper.announce())
        except TimeoutError:
            answers = [None]
        if all(isinstance(answer, Done) for answer in answers[: len(told)]):
            return announced_at
        # An entry that did not acknowledge may have written requests into a silent
        # connection. It finds that out and asks here what became of them; if this
        # process were gone by then, nobody could tell that they have not run.
        log.warning("Not every entry acknowledged that this agent leaves")
        timing = self._settings.timing
        return announced_at + timing.silence + 3 * timing.ping + timing.connect

    async def _answers_sent(self) -> None:
        # An answer that has left the services may still be in a stream's buffer;
        # closing the stream would lose it, and its caller be told nothing for sure.
        for stream in list(self.node.listener.streams):
            stream.go_away()
        try:
            async with asyncio.timeout(ANSWERS_SENT_SECONDS):
                while self.node.listener.streams:  # noqa: ASYNC110
                    await asyncio.sleep(ANSWERS_POLL_SECONDS)
        except TimeoutError:
            log.warning("Not every answer has left this process")

    # ---- what runs

    async def _read_capacity(self) -> None:
        while True:
            capacity = await self.worker.capacity()
            if not isinstance(capacity, WorkerUnreachable):
                self._worker_capacity = capacity
                self._configured()
                return
            await asyncio.sleep(CAPACITY_RETRY_SECONDS)

    async def _check_services(self) -> None:
        while True:
            await self.services.check()
            serving = sorted(self.services.answering)
            if serving != sorted(self.node.view.me.services):
                await self.node.change_me(services=serving)
            await asyncio.sleep(self._settings.timing.endpoint_check)

    async def _run_attempts(self) -> None:
        # What runs is watched and renewed from the start: its grants may be short.
        attempts = self.attempts
        await asyncio.gather(attempts.rebuild(), attempts.watch(), attempts.renew())

    def _configured(self) -> None:
        configuration = self.node.in_force.configuration
        on_vm = placed(configuration, VmName(self._settings.vm))
        held = self.commitments
        if on_vm is None:
            self.services.configure([])
            held.capacity, held.for_services = NOTHING, NOTHING
            held.known = configuration.revision > 0
        else:
            self.services.configure(on_vm.services)
            held.for_services = on_vm.for_services
            if self._worker_capacity is not None:
                held.capacity = on_vm.vm.capacity.smaller(self._worker_capacity)
                held.known = True
        self.attempts.request_poll()

    def _free(self) -> Resources:
        return self.commitments.free(self.node.clock())

    # ---- shards

    def _make_owner(
        self, shard: ShardId, journal: Journal, earlier: list[Holder]
    ) -> Owner:
        node = self.node
        held = Shard(
            shard,
            self._settings.shards,
            journal,
            node.view,
            node.in_force,
            node.peers,
            node.clock,
            self._wall_clock,
            self._settings.timing,
            node.rng(f"shard/{shard}"),
            self.ownership.may_grant_until,
        )
        return Owner(held, earlier)

    def _may_own(self, member: Member) -> bool:
        # An agent in a zone that is out takes no shards: were it counted among
        # those that should, a shard might be left without an owner.
        return not zone_is_out(self.node.in_force.configuration, member.zone)

    def _announce_shards(self) -> None:
        shards = sorted(self.ownership.owner_by_shard)
        change = self.node.change_me
        self.node.supervisor.once("announce", lambda: change(shards=shards))

    async def _owners_order(self, message: AnyMessage) -> AnyMessage:
        shard = message.spec.shard if isinstance(message, SubmitJob) else message.shard  # type: ignore[union-attr]
        owner = self.ownership.owner_by_shard.get(shard)
        if owner is None:
            known = self.node.view.owner(shard)
            return NotOwner(known.node if known else "")
        return await owner.order(message)

    async def _step_down(self, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, StepDown)
        return self.ownership.step_down(message)

    def _add_sections(self) -> None:
        add = self.node.introspection.add
        add("vm", lambda: self._settings.vm)
        add("closed", self.closed)
        add("requests_in_flight", lambda: self.services.in_flight)
        add("tasks_running", lambda: len(self.attempts.running()))
        add("free", lambda: _resources(self._free()))
        add("services", self.services.dump)
        add("ledger", lambda: len(self.services.ledger))
        add("attempts", self.attempts.dump)
        add("neighbours", self.neighbours.dump)
        add("shards", self._shards)
        add_node_metrics(self.node.introspection, self.node)
        add_agent_metrics(
            self.node.introspection,
            self.services,
            self.attempts,
            self.commitments,
            self.ownership,
            self.neighbours.control,
            self.node.clock,
        )

    def _shards(self) -> dict[str, object]:
        owners = self.ownership.owner_by_shard
        return {str(shard): owner.dump() for shard, owner in owners.items()}


def _resources(amount: Resources) -> dict[str, object]:
    return {
        "cores": amount.cores,
        "memory_mb": amount.memory_mb,
        "accelerators": amount.accelerators,
    }


class _StateHandler(RequestHandler):
    def initialize(self, introspection: Introspection) -> None:
        self._introspection = introspection

    def get(self) -> None:
        """Answer with the state dump."""
        self.set_header("Content-Type", "application/json")
        self.finish(self._introspection.text() + "\n")


class _MetricsHandler(_StateHandler):
    def get(self) -> None:
        """Answer with all metrics of this process."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self._introspection.metrics())


def _state_application(introspection: Introspection) -> Application:
    own = {"introspection": introspection}
    return Application(
        [(r"/state", _StateHandler, own), (r"/metrics", _MetricsHandler, own)],
        log_function=lambda _: None,
    )


@app.default
def run(
    *,
    settings: Annotated[Path, cyclopts.Parameter(help="Settings file, JSON.")],
    check: Annotated[bool, cyclopts.Parameter(help="Only check the settings.")] = False,
) -> int:
    """Serve beside an endpoint: its requests, its VM's tasks, a share of shards."""
    return run_daemon(settings, AgentSettings, Agent, check=check)


def main() -> None:
    """Run the program."""
    run_program(app)


if __name__ == "__main__":
    main()
