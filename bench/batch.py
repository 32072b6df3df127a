"""Batch beside services: the owner, the agents' attempts and their control."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

from bench.batch_fakes import JournalModel, StoreModel, WorkerModel
from bench.deployment import (
    TEAM,
    AgentModel,
    Deployment,
    build,
    configuration_of,
)
from bench.policies import Control, Fitting, Policy
from bench.profiles import Profile
from bench.services import Seen, drive, service_measures
from bench.virtual_time import run_virtual
from standins.worker_tasks import State
from wagtailcleat.agent.attempts import Attempts
from wagtailcleat.agent.commitments import Commitments
from wagtailcleat.agent.interference import (
    Action,
    Evict,
    InterferenceController,
    LatencySummary,
    Neighbour,
)
from wagtailcleat.agent.neighbours import NeighbourMonitor
from wagtailcleat.batch.owner import Owner
from wagtailcleat.batch.record import TaskState
from wagtailcleat.batch.shard import Shard
from wagtailcleat.batch.usage_estimates import UsageEstimates
from wagtailcleat.clock import Clock
from wagtailcleat.configuration.models import placed
from wagtailcleat.ids import (
    JobId,
    NodeId,
    ServiceName,
    ShardId,
    TeamName,
    VmName,
)
from wagtailcleat.membership.view import View
from wagtailcleat.resources import Resources
from wagtailcleat.settings import Timing
from wagtailcleat.wire.attempts import RenewGrants
from wagtailcleat.wire.jobs import CancelJob, JobSpec, SubmitJob, TaskSpec
from wagtailcleat.wire.messages import AnyMessage

SHARD = ShardId(0)
LAG_SECONDS = 2.0
CLASSES = ("ledger", "render", "index", "crunch")
FIRST_PENALTY = 0.0
FIRST_VM = VmName("vm-0")
TIMING = Timing(grant=6.0, reservation=1.0, placement=0.2)

Events = Callable[["World", float], None]


class EvictFirst(InterferenceController):
    """The baseline: on a breach the largest neighbour goes, and nothing is learned."""

    def step(
        self, latency_by_service: Any, neighbours: list[Neighbour]
    ) -> list[Action]:
        """Evict the largest neighbour of a service that is slow."""
        slow = any(tail.breached for tail in latency_by_service.values())
        if not slow or not neighbours:
            return []
        self.evictions += 1
        largest = max(neighbours, key=lambda n: n.cores)
        return [Evict(largest.attempt, "a service is slow")]

    def refusal(self, *_: Any) -> str:
        """Refuse nothing."""
        return ""

    def penalty(self, *_: Any) -> float:
        """Tell nothing."""
        return FIRST_PENALTY


class NoControl(EvictFirst):
    """The baseline: nothing is done."""

    def step(
        self,
        latency_by_service: dict[ServiceName, LatencySummary],
        neighbours: list[Neighbour],
    ) -> list[Action]:
        """Do nothing."""
        return []


class DeclaredOnly(UsageEstimates):
    """The baseline: sizes are taken as declared."""

    def estimate_size(
        self, team: TeamName, job_class: str, declared: Resources
    ) -> Resources:
        """Return what was declared."""
        return declared


CONTROL_BY_NAME = {
    Control.STEPS: InterferenceController,
    Control.EVICT_FIRST: EvictFirst,
    Control.NONE: NoControl,
}


@dataclass
class BatchAgent:
    """The batch parts of one agent."""

    vm: VmName
    worker: WorkerModel
    attempts: Attempts
    commitments: Commitments
    watch: NeighbourMonitor
    zone_out: bool = False


@dataclass(frozen=True)
class Batch:
    """The batch load of a scenario.

    `demand` is the share of the VMs' cores left by services that the jobs ask for
    at one time; `off` the range by which what tasks really use differs from what
    is declared.
    """

    demand: float = 3.0
    off: tuple[float, float] = (1.0, 1.0)
    run_seconds: tuple[float, float] = (4.0, 8.0)
    classes: tuple[str, ...] = CLASSES
    cores: float = 2.0
    memory_mb: int = 4_000
    waves: float = 0.0
    """Where set, the demand comes and goes with this period, in seconds."""
    off_by_class: bool = False
    """Whether all tasks of a class are off by the same factor."""
    failing_tasks: str = ""
    """Where set, the command of one job in ten."""


class World:
    """Services, batch agents and the owner of one shard."""

    def __init__(
        self, profile: Profile, policy: Policy, batch: Batch, clock: Clock, seed: int
    ) -> None:
        """Wire it all."""
        self.made: Deployment = build(profile, policy, clock, seed, services=2)
        self.batch = batch
        self.policy = policy
        self.clock = clock
        self.store = StoreModel()
        self.journal = JournalModel(self.store)
        self.agent_by_vm: dict[VmName, BatchAgent] = {}
        self.jobs = 0
        self.refused_jobs = 0
        self.seed = seed
        self.random = random.Random(f"{seed}/batch")
        self._services = [s.name for s in self.made.configuration.inventory.services]
        for vm, agent in self.made.agent_by_vm.items():
            self.agent_by_vm[vm] = self._batch_agent(vm, agent)
        self.owner = self._make_owner(seed)

    def start(self) -> list[asyncio.Task[None]]:
        """Run every part."""
        parts: list[Any] = [self.owner.run(), self._feed()]
        for agent in self.agent_by_vm.values():
            attempts = agent.attempts
            parts += [agent.worker.tick(), agent.watch.run(), attempts.recover()]
            parts += [attempts.monitor(), attempts.renew()]
        return [asyncio.create_task(part) for part in parts]

    def zones_out(self, *zones: str) -> None:
        """Take zones out of service, or bring all back."""
        revision = self.made.configuration.revision + 1
        services = len(self._services)
        self.made.configuration = configuration_of(
            self.made.profile, services, revision=revision, zones_out=zones
        )
        self.journal.new_zones_out = list(zones)
        self.made.apply(self.made.configuration)
        for vm, agent in self.agent_by_vm.items():
            model = self.made.agent_by_vm[vm]
            agent.zone_out = model.member.zone in zones
            model.closed_because = "its zone is out" if agent.zone_out else ""
            agent.attempts.request_poll()

    def free_cores(self) -> float:
        """Return the cores that services leave, where tasks may run."""
        return sum(
            a.worker.standin.capacity.cores - a.commitments.for_services.cores
            for a in self.agent_by_vm.values()
            if not a.zone_out and a.worker.up
        )

    def useful(self) -> float:
        """Return the core seconds of tasks that ran so far."""
        return sum(a.worker.useful_seconds for a in self.agent_by_vm.values())

    # ---- wiring

    def _batch_agent(self, vm: VmName, agent: AgentModel) -> BatchAgent:
        made, clock = self.made, self.clock
        on_vm = placed(made.configuration, vm)
        assert on_vm is not None
        worker = WorkerModel(on_vm.vm.capacity, LAG_SECONDS, clock)
        commitments = Commitments(True, on_vm.vm.capacity, on_vm.for_services)

        def why() -> str:
            return "its zone is out" if self.agent_by_vm[vm].zone_out else ""

        async def read_epoch(_: ShardId) -> Any:
            return self.journal.epoch

        attempts = Attempts(
            worker,  # type: ignore[arg-type]
            commitments,
            self._view_of(agent),
            made.peers(agent.member.zone),  # type: ignore[arg-type]
            vm=vm,
            incarnation=agent.member.incarnation,
            clock=clock,
            timing=TIMING,
            closed_reason=why,
            evict_all_reason=why,
            read_epoch=read_epoch,
        )
        control = CONTROL_BY_NAME[self.policy.control]()
        watch = NeighbourMonitor(
            control,
            attempts,
            commitments,
            agent.services,
            worker,  # type: ignore[arg-type]
        )
        self._let_interfere(agent, worker, commitments)
        self._serve_batch(agent, attempts)
        return BatchAgent(vm, worker, attempts, commitments, watch)

    def _view_of(self, agent: AgentModel) -> View:
        view = View(agent.member, random.Random(agent.member.node))
        others = [a.member for a in self.made.agent_by_vm.values()]
        view.merge_all(others, self.clock())
        return view

    def _let_interfere(
        self, agent: AgentModel, worker: WorkerModel, commitments: Commitments
    ) -> None:
        instance = agent.instance
        number = self._services.index(instance.service.name)

        def pressure() -> float:
            load = min(1.0, instance.slots.in_use / self.made.profile.slots)
            return worker.pressure(number, load, commitments.for_services.cores)

        agent.endpoint.pressure = pressure

    def _serve_batch(self, agent: AgentModel, attempts: Attempts) -> None:
        handlers = attempts.handlers()
        before = agent.server.handle
        caller: Any = SimpleNamespace(peer=NodeId("agent-vm-0"))

        async def handle(message: AnyMessage) -> AnyMessage:
            handler = handlers.get(type(message))
            if handler is not None:
                return await handler(caller, message, None)  # type: ignore[arg-type]
            if isinstance(message, RenewGrants):
                return await self.owner.order(message)
            return await before(message)

        agent.server.handle = handle

    def _make_owner(self, seed: int) -> Owner:
        entry = self.made.entries[0]
        shard = Shard(
            SHARD,
            1,
            self.journal,  # type: ignore[arg-type]
            entry.view,
            entry.in_force,
            self.made.peers(self.made.profile.zones[0]),  # type: ignore[arg-type]
            self.clock,
            self.clock,
            TIMING,
            random.Random(f"{seed}/owner"),
            lambda: self.clock() + TIMING.grant,
        )
        if not self.policy.learning:
            shard.usage_estimates = DeclaredOnly()
        if self.policy.fitting is Fitting.FIRST_FIT:
            shard.penalties.level = lambda *_: 0  # type: ignore[method-assign]
            shard.penalties.expected_slowdown = lambda *_: None  # type: ignore[method-assign]
        return Owner(shard, [])

    # ---- the batch load

    async def _feed(self) -> None:
        while True:
            record = self.journal.record
            cores = self.batch.cores * record.open_task_count()
            if cores < self._wanted() * self.free_cores():
                await self.submit()
            else:
                await asyncio.sleep(0.1)

    def _wanted(self) -> float:
        if not self.batch.waves:
            return self.batch.demand
        part = self.clock() % self.batch.waves / self.batch.waves
        return self.batch.demand * (1.5 if part < 0.5 else 0.1)

    async def submit(self) -> None:
        """Submit one job of four tasks."""
        job_class = self.batch.classes[self.jobs % len(self.batch.classes)]
        seconds = self.random.uniform(*self.batch.run_seconds)
        off = self._off(job_class)
        self.jobs += 1
        used = f"{self.batch.cores * off:.2f}:{self.batch.memory_mb}"
        command = f"sleep:{seconds:.2f}:{used}"
        if self.batch.failing_tasks and self.jobs % 10 == 0:
            command = self.batch.failing_tasks
        spec = JobSpec(
            id=JobId(f"{SHARD}.{TEAM}.{job_class}-{self.jobs}"),
            team=TeamName(TEAM),
            shard=SHARD,
            tasks=4,
            task=TaskSpec(
                command, Resources(self.batch.cores, self.batch.memory_mb), seconds
            ),
            deadline=self.clock() + 600,
            job_class=job_class,
        )
        answer = await self.owner.order(SubmitJob(spec))
        if type(answer).__name__ == "Refused":
            self.refused_jobs += 1
            await asyncio.sleep(0.5)

    def _off(self, job_class: str) -> float:
        rng = self.random
        if self.batch.off_by_class:
            rng = random.Random(f"{self.seed}/off/{job_class}")
        low, high = self.batch.off
        return low * (high / low) ** rng.random()

    def kill(self, vm: VmName) -> None:
        """Let a VM and everything on it end."""
        agent = self.agent_by_vm[vm]
        agent.worker.up = False
        for task in agent.worker.standin.running():
            agent.worker.standin.end(task, State.FAILED, self.clock())
        agent.worker.standin.task_by_id.clear()
        self.made.agent_by_vm[vm].server.up = False

    async def cancel_half(self) -> None:
        """Cancel every second job that is open."""
        jobs = [j for j in self.journal.record.job_by_id if self._open(j)]
        for job in jobs[::2]:
            await self.owner.order(CancelJob(job, SHARD))

    def _open(self, job: JobId) -> bool:
        return self.journal.record.is_open(job)


def run_batch(
    profile: Profile,
    policy: Policy,
    batch: Batch,
    *,
    load: float,
    seconds: float,
    seed: int,
    warm_up: float,
    events: Events | None = None,
) -> dict[str, float]:
    """Run services and batch beside each other, and return the measures."""

    async def main(clock: Clock) -> dict[str, float]:
        world = World(profile, policy, batch, clock, seed)
        tasks = world.start() if batch.demand else []
        if events is not None:
            tasks.append(asyncio.create_task(_happen(world, events)))
        at_start = asyncio.create_task(_note_start(world, warm_up))
        available_so_far = asyncio.create_task(_available(world, warm_up, seconds))
        seen = await drive(world.made, load, seconds, seed, warm_up, services=2)
        useful_before = await at_start
        available = await available_so_far
        measures = _measures(world, seen, seconds - warm_up, useful_before)
        measures["of_available"] = measures["batch_core_seconds"] / available
        for task in tasks:
            task.cancel()
        return measures

    return run_virtual(main)


async def _note_start(world: World, warm_up: float) -> float:
    await asyncio.sleep(warm_up)
    return world.useful()


async def _available(world: World, warm_up: float, seconds: float) -> float:
    """Return the core seconds that tasks could have had."""
    step = 0.1
    total = 0.0
    await asyncio.sleep(warm_up)
    while world.clock() < seconds:
        total += world.free_cores() * step
        await asyncio.sleep(step)
    return total


async def _happen(world: World, events: Events) -> None:
    while True:
        events(world, world.clock())
        await asyncio.sleep(0.1)


def _measures(
    world: World, seen: Seen, seconds: float, useful_before: float
) -> dict[str, float]:
    record = world.journal.record
    totals = [job.totals() for job in record.job_by_id.values()]
    agents = world.agent_by_vm.values()
    services = service_measures(world.made, seen, seconds)
    return {
        "p50_ms": services["p50_ms"],
        "p99_ms": services["p99_ms"],
        "in_time_share": services["in_time_share"],
        "batch_core_seconds": world.useful() - useful_before,
        "tasks_done": sum(t.count_by_state.get(TaskState.SUCCEEDED, 0) for t in totals),
        "evictions": sum(total.evictions for total in totals),
        "starts": sum(agent.worker.started for agent in agents),
        "throttles": sum(a.watch.controller.throttles for a in agents),
        "overuse_share": sum(a.worker.overuse_seconds for a in agents)
        / (len(world.agent_by_vm) * world.clock()),
        "refused_jobs": world.refused_jobs,
        "failed_jobs": sum(job.stopped for job in record.job_by_id.values()),
        "cancelled_jobs": sum(job.cancelled for job in record.job_by_id.values()),
        "started_on_first_vm": world.agent_by_vm[FIRST_VM].worker.started,
    }
