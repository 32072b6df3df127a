"""Simulation of batch tasks that share VMs with services, on virtual time.

The shard owner and the agents' batch parts are the product's own code; the worker
and the journal are models. `bench.batch_scenarios` runs it.
"""

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
from bench.services import OutcomeCounts, drive, service_measures
from bench.virtual_time import run_virtual
from standins.worker_tasks import State
from wagtailcleat.agent.attempts import Attempts
from wagtailcleat.agent.commitments import Commitments
from wagtailcleat.agent.interference import (
    Action,
    Evict,
    InterferenceController,
    Neighbour,
)
from wagtailcleat.agent.latency_window import LatencySummary
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
USAGE_LAG_SECONDS = 2.0
JOB_CLASSES = ("ledger", "render", "index", "crunch")
NO_PENALTY = 0.0
FIRST_VM = VmName("vm-0")
TIMING = Timing(grant=6.0, reservation=1.0, placement=0.2)

ApplyEvents = Callable[["BatchSimulation", float], None]


class EvictFirst(InterferenceController):
    """Baseline that evicts the largest neighbour on a breach, and learns nothing."""

    def step(
        self, latency_by_service: Any, neighbours: list[Neighbour]
    ) -> list[Action]:
        """Evict the largest neighbour while a service breaches its latency target."""
        is_breached = any(tail.breached for tail in latency_by_service.values())
        if not is_breached or not neighbours:
            return []
        self.evictions += 1
        largest = max(neighbours, key=lambda n: n.cores)
        return [Evict(largest.attempt, "a service is slow")]

    def refusal(self, *_: Any) -> str:
        """Return no refusal."""
        return ""

    def penalty(self, *_: Any) -> float:
        """Return the same penalty for every job class."""
        return NO_PENALTY


class NoControl(EvictFirst):
    """Baseline that neither throttles nor evicts."""

    def step(
        self,
        latency_by_service: dict[ServiceName, LatencySummary],
        neighbours: list[Neighbour],
    ) -> list[Action]:
        """Return no action."""
        return []


class DeclaredOnly(UsageEstimates):
    """Baseline that reserves the declared size of every task."""

    def estimate_size(
        self, team: TeamName, job_class: str, declared: Resources
    ) -> Resources:
        """Return the declared size."""
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
    neighbour_monitor: NeighbourMonitor
    is_zone_out: bool = False


@dataclass(frozen=True)
class BatchLoad:
    """The batch load of a scenario.

    `demand` is the cores of open tasks, as a multiple of the cores that services leave
    free; `usage_factor_range` is the range of the ratio of used to declared cores.
    """

    demand: float = 3.0
    usage_factor_range: tuple[float, float] = (1.0, 1.0)
    run_seconds: tuple[float, float] = (4.0, 8.0)
    classes: tuple[str, ...] = JOB_CLASSES
    cores: float = 2.0
    memory_mb: int = 4_000
    wave_period_seconds: float = 0.0
    """Period in seconds in which the demand rises and falls; 0 for constant demand."""
    usage_factor_per_class: bool = False
    """Whether all tasks of a job class have the same usage factor."""
    failing_command: str = ""
    """Command of one job in ten; empty for none."""


class BatchSimulation:
    """A simulated deployment: services, batch agents and the owner of one shard."""

    def __init__(
        self,
        profile: Profile,
        policy: Policy,
        batch: BatchLoad,
        clock: Clock,
        seed: int,
    ) -> None:
        """Build the deployment, the batch agents and the owner."""
        self.deployment: Deployment = build(profile, policy, clock, seed, services=2)
        self.batch = batch
        self.policy = policy
        self.clock = clock
        self.store = StoreModel()
        self.journal = JournalModel(self.store)
        self.agent_by_vm: dict[VmName, BatchAgent] = {}
        self.submitted_jobs = 0
        self.refused_jobs = 0
        self.seed = seed
        self.random = random.Random(f"{seed}/batch")
        self._services = [
            s.name for s in self.deployment.configuration.inventory.services
        ]
        for vm, agent in self.deployment.agent_by_vm.items():
            self.agent_by_vm[vm] = self._batch_agent(vm, agent)
        self.owner = self._make_owner(seed)

    def start(self) -> list[asyncio.Task[None]]:
        """Start every part; return their tasks."""
        parts: list[Any] = [self.owner.run(), self._submit_load()]
        for agent in self.agent_by_vm.values():
            attempts = agent.attempts
            parts += [
                agent.worker.tick(),
                agent.neighbour_monitor.run(),
                attempts.recover(),
            ]
            parts += [attempts.monitor(), attempts.renew()]
        return [asyncio.create_task(part) for part in parts]

    def set_zones_out(self, *zones: str) -> None:
        """Take `zones` out of service, and bring all others back."""
        revision = self.deployment.configuration.revision + 1
        services = len(self._services)
        self.deployment.configuration = configuration_of(
            self.deployment.profile, services, revision=revision, zones_out=zones
        )
        self.journal.new_zones_out = list(zones)
        self.deployment.apply(self.deployment.configuration)
        for vm, agent in self.agent_by_vm.items():
            model = self.deployment.agent_by_vm[vm]
            agent.is_zone_out = model.member.zone in zones
            model.closed_reason = "its zone is out" if agent.is_zone_out else ""
            agent.attempts.request_poll()

    def free_cores(self) -> float:
        """Return the cores not committed to services on the VMs that take tasks."""
        return sum(
            a.worker.standin.capacity.cores - a.commitments.for_services.cores
            for a in self.agent_by_vm.values()
            if not a.is_zone_out and a.worker.up
        )

    def useful_core_seconds(self) -> float:
        """Return the core seconds that tasks have run so far."""
        return sum(a.worker.useful_core_seconds for a in self.agent_by_vm.values())

    def _batch_agent(self, vm: VmName, agent: AgentModel) -> BatchAgent:
        deployment, clock = self.deployment, self.clock
        on_vm = placed(deployment.configuration, vm)
        assert on_vm is not None
        worker = WorkerModel(on_vm.vm.capacity, USAGE_LAG_SECONDS, clock)
        commitments = Commitments(True, on_vm.vm.capacity, on_vm.for_services)

        def closed_reason() -> str:
            return "its zone is out" if self.agent_by_vm[vm].is_zone_out else ""

        async def read_epoch(_: ShardId) -> Any:
            return self.journal.epoch

        attempts = Attempts(
            worker,  # type: ignore[arg-type]
            commitments,
            self._view_of(agent),
            deployment.peers(agent.member.zone),  # type: ignore[arg-type]
            vm=vm,
            incarnation=agent.member.incarnation,
            clock=clock,
            timing=TIMING,
            closed_reason=closed_reason,
            evict_all_reason=closed_reason,
            read_epoch=read_epoch,
        )
        control = CONTROL_BY_NAME[self.policy.control]()
        neighbour_monitor = NeighbourMonitor(
            control,
            attempts,
            commitments,
            agent.services,
            worker,  # type: ignore[arg-type]
        )
        self._connect_interference(agent, worker, commitments)
        self._add_batch_handlers(agent, attempts)
        return BatchAgent(vm, worker, attempts, commitments, neighbour_monitor)

    def _view_of(self, agent: AgentModel) -> View:
        view = View(agent.member, random.Random(agent.member.node))
        others = [a.member for a in self.deployment.agent_by_vm.values()]
        view.merge_all(others, self.clock())
        return view

    def _connect_interference(
        self, agent: AgentModel, worker: WorkerModel, commitments: Commitments
    ) -> None:
        instance = agent.instance
        number = self._services.index(instance.service.name)

        def slowdown_factor() -> float:
            load = min(1.0, instance.slots.in_use / self.deployment.profile.slots)
            return worker.slowdown_factor(number, load, commitments.for_services.cores)

        agent.endpoint.slowdown_factor = slowdown_factor

    def _add_batch_handlers(self, agent: AgentModel, attempts: Attempts) -> None:
        handlers = attempts.handlers()
        next_handle = agent.server.handle
        caller: Any = SimpleNamespace(peer=NodeId("agent-vm-0"))

        async def handle(message: AnyMessage) -> AnyMessage:
            handler = handlers.get(type(message))
            if handler is not None:
                return await handler(caller, message, None)  # type: ignore[arg-type]
            if isinstance(message, RenewGrants):
                return await self.owner.order(message)
            return await next_handle(message)

        agent.server.handle = handle

    def _make_owner(self, seed: int) -> Owner:
        entry = self.deployment.entries[0]
        shard = Shard(
            SHARD,
            1,
            self.journal,  # type: ignore[arg-type]
            entry.view,
            entry.in_force,
            self.deployment.peers(self.deployment.profile.zones[0]),  # type: ignore[arg-type]
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

    async def _submit_load(self) -> None:
        while True:
            record = self.journal.record
            cores = self.batch.cores * record.open_task_count()
            if cores < self._target_demand() * self.free_cores():
                await self.submit()
            else:
                await asyncio.sleep(0.1)

    def _target_demand(self) -> float:
        if not self.batch.wave_period_seconds:
            return self.batch.demand
        phase = (
            self.clock()
            % self.batch.wave_period_seconds
            / self.batch.wave_period_seconds
        )
        return self.batch.demand * (1.5 if phase < 0.5 else 0.1)

    async def submit(self) -> None:
        """Submit one job of four tasks."""
        job_class = self.batch.classes[self.submitted_jobs % len(self.batch.classes)]
        seconds = self.random.uniform(*self.batch.run_seconds)
        usage_factor = self._usage_factor(job_class)
        self.submitted_jobs += 1
        used = f"{self.batch.cores * usage_factor:.2f}:{self.batch.memory_mb}"
        command = f"sleep:{seconds:.2f}:{used}"
        if self.batch.failing_command and self.submitted_jobs % 10 == 0:
            command = self.batch.failing_command
        spec = JobSpec(
            id=JobId(f"{SHARD}.{TEAM}.{job_class}-{self.submitted_jobs}"),
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

    def _usage_factor(self, job_class: str) -> float:
        rng = self.random
        if self.batch.usage_factor_per_class:
            rng = random.Random(f"{self.seed}/off/{job_class}")
        low, high = self.batch.usage_factor_range
        return low * (high / low) ** rng.random()

    def kill(self, vm: VmName) -> None:
        """Stop a VM, its agent and its tasks for good."""
        agent = self.agent_by_vm[vm]
        agent.worker.up = False
        for task in agent.worker.standin.running():
            agent.worker.standin.end(task, State.FAILED, self.clock())
        agent.worker.standin.task_by_id.clear()
        self.deployment.agent_by_vm[vm].server.up = False

    async def cancel_half(self) -> None:
        """Cancel every second job that is open."""
        open_jobs = [j for j in self.journal.record.job_by_id if self._is_open(j)]
        for job in open_jobs[::2]:
            await self.owner.order(CancelJob(job, SHARD))

    def _is_open(self, job: JobId) -> bool:
        return self.journal.record.is_open(job)


def run_batch(
    profile: Profile,
    policy: Policy,
    batch: BatchLoad,
    *,
    load: float,
    seconds: float,
    seed: int,
    warm_up: float,
    events: ApplyEvents | None = None,
) -> dict[str, float]:
    """Run services and batch tasks on the same VMs; return the measures.

    Parameters: `load` is the request rate as a share of the capacity; `seconds` and
    `warm_up` are virtual time, and the first `warm_up` seconds are not measured.
    """

    async def main(clock: Clock) -> dict[str, float]:
        simulation = BatchSimulation(profile, policy, batch, clock, seed)
        tasks = simulation.start() if batch.demand else []
        if events is not None:
            tasks.append(asyncio.create_task(_apply_events(simulation, events)))
        useful_reading = asyncio.create_task(_useful_after_warm_up(simulation, warm_up))
        available_reading = asyncio.create_task(
            _available(simulation, warm_up, seconds)
        )
        outcomes = await drive(
            simulation.deployment, load, seconds, seed, warm_up, services=2
        )
        useful_before = await useful_reading
        available = await available_reading
        measures = _measures(simulation, outcomes, seconds - warm_up, useful_before)
        measures["of_available"] = measures["batch_core_seconds"] / available
        for task in tasks:
            task.cancel()
        return measures

    return run_virtual(main)


async def _useful_after_warm_up(simulation: BatchSimulation, warm_up: float) -> float:
    await asyncio.sleep(warm_up)
    return simulation.useful_core_seconds()


async def _available(
    simulation: BatchSimulation, warm_up: float, seconds: float
) -> float:
    """Return the core seconds that were free for tasks after the warm-up."""
    step = 0.1
    total = 0.0
    await asyncio.sleep(warm_up)
    while simulation.clock() < seconds:
        total += simulation.free_cores() * step
        await asyncio.sleep(step)
    return total


async def _apply_events(simulation: BatchSimulation, events: ApplyEvents) -> None:
    while True:
        events(simulation, simulation.clock())
        await asyncio.sleep(0.1)


def _measures(
    simulation: BatchSimulation,
    outcomes: OutcomeCounts,
    seconds: float,
    useful_before: float,
) -> dict[str, float]:
    record = simulation.journal.record
    totals = [job.totals() for job in record.job_by_id.values()]
    agents = simulation.agent_by_vm.values()
    services = service_measures(simulation.deployment, outcomes, seconds)
    return {
        "p50_ms": services["p50_ms"],
        "p99_ms": services["p99_ms"],
        "in_time_share": services["in_time_share"],
        "batch_core_seconds": simulation.useful_core_seconds() - useful_before,
        "tasks_done": sum(t.count_by_state.get(TaskState.SUCCEEDED, 0) for t in totals),
        "evictions": sum(total.evictions for total in totals),
        "starts": sum(agent.worker.started for agent in agents),
        "throttles": sum(a.neighbour_monitor.controller.throttles for a in agents),
        "overuse_share": sum(a.worker.overuse_seconds for a in agents)
        / (len(simulation.agent_by_vm) * simulation.clock()),
        "refused_jobs": simulation.refused_jobs,
        "failed_jobs": sum(job.stopped for job in record.job_by_id.values()),
        "cancelled_jobs": sum(job.cancelled for job in record.job_by_id.values()),
        "started_on_first_vm": simulation.agent_by_vm[FIRST_VM].worker.started,
    }
