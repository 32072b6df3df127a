"""A scheduler with simulated agents and workers, for steps without processes."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from features.steps.start_rules import Capability, broken_rules
from wagtailcleat.resources import Resources
from wagtailcleat.scheduling.models import (
    Ended,
    Job,
    RunEnd,
    Running,
    Step,
    TaskKey,
    WorkerInfo,
    WorkerState,
)
from wagtailcleat.scheduling.options import SchedulingOptions
from wagtailcleat.scheduling.scheduler import Scheduler
from wagtailcleat.wire.scheduling import Orders, Report

SERVICE = "booking-core"
HORIZON = 5.0
STOP_AGAIN = 1.0
REPORT_SECONDS = 0.3
MOVE_SECONDS = 0.5
"""Time that a run loses if it is moved."""
WALL_START = 1_800_000_000.0


@dataclass
class SimulatedWorker:
    """A worker and its agent; runs end only when the test ends them."""

    node: str
    zone: str = "zilina-a"
    rack: str = "r1"
    labels: tuple[str, ...] = ("a", "r1")
    cores: float = 32.0
    memory_mb: int = 128_000
    service: str = SERVICE
    state: WorkerState = WorkerState.READY
    born: int = 1
    session: int = 1
    left: bool = False
    unknown: bool = False
    """Whether the agent was restarted and its worker has not reported to it."""
    unlisted: bool = False
    """Whether the worker has reported to the agent, without a list of its runs yet."""
    orders_taken: int = 0
    running: dict = field(default_factory=dict)
    """Starts by run key."""
    ended: list[Ended] = field(default_factory=list)
    ends: int = 0
    acknowledged: int = 0
    figure_by_run: dict = field(default_factory=dict)
    pace_by_run: dict = field(default_factory=dict)
    checkpoint_by_run: dict = field(default_factory=dict)
    percent_by_run: dict = field(default_factory=dict)
    refused: list = field(default_factory=list)
    unsettled: list = field(default_factory=list)
    has_all_ends: bool = True
    """Whether its list contains every end."""
    silent_seconds: float = 0.0
    """For how long the worker has not answered its agent."""
    up_seconds: float = 0.0
    """For how long its agent has run."""
    listed_in_epoch: bool = True
    """Whether its list was requested after it began to follow the leader."""

    @property
    def capability(self) -> Capability:
        """What decides which runs the worker may have."""
        capacity = Resources(self.cores, self.memory_mb, 0)
        return Capability(capacity, self.service, self.labels)

    def take(self, orders: Orders) -> None:
        """Carry out orders as an agent and its worker would."""
        if orders.number <= self.orders_taken:
            return
        self.orders_taken = orders.number
        for start in orders.starts:
            self.running[start.key] = start
        for key in orders.stops:
            self.end(key, RunEnd.STOPPED, checkpoint="saved")
        for pace in orders.paces:
            self.pace_by_run[pace.key] = pace.percent
        if orders.born == self.born:
            self.acknowledged = max(self.acknowledged, orders.acknowledged)
            self.ended = [e for e in self.ended if e.number > self.acknowledged]

    def end(self, key, how: RunEnd, checkpoint: str = "") -> None:
        """End a run."""
        if self.running.pop(key, None) is None:
            return
        self.ends += 1
        self.ended.append(Ended(self.ends, key, how, checkpoint))

    def restart(self) -> None:
        """Crash and restart without runs."""
        self.born += 1
        self.running.clear()
        self.ended = []
        self.ends = self.acknowledged = 0

    def report(self) -> Report:
        """Return what the agent reports now."""
        info = WorkerInfo(
            f"i-{self.node}",
            self.born,
            self.service,
            self.zone,
            self.state,
            self.capability.capacity,
            self.labels,
            self.rack,
        )
        running = [
            Running(
                key,
                self.checkpoint_by_run.get(key, ""),
                self.percent_by_run.get(key, 50),
                self.figure_by_run.get(key, 0.0),
            )
            for key in self.running
        ]
        return Report(
            node=self.node,
            incarnation=1,
            zone=self.zone,
            host="127.0.0.1",
            port=1,
            worker=None if self.left or self.unknown else info,
            left=self.left,
            listed=not (self.left or self.unknown or self.unlisted),
            running=[] if self.unknown or self.unlisted else running,
            ended=[] if self.unknown or self.unlisted else list(self.ended),
            unsettled=list(self.unsettled),
            refused=list(self.refused),
            silent_seconds=self.silent_seconds,
            lease_seconds=HORIZON,
            orders_taken=self.orders_taken,
            has_all_ends=self.has_all_ends,
            listed_in_epoch=self.listed_in_epoch,
            up_seconds=self.up_seconds,
        )


class SchedulingWorld:
    """A scheduler, its simulated workers, and the present time."""

    def __init__(
        self,
        workers: list[SimulatedWorker],
        *,
        epoch: int = 1,
        start_bytes_per_second: float = math.inf,
        move_seconds: float = MOVE_SECONDS,
        far_factor: float = 1.0,
    ) -> None:
        """Let every worker report once."""
        self.start_bytes_per_second = start_bytes_per_second
        self.options = SchedulingOptions(
            move_seconds=move_seconds, far_factor=far_factor
        )
        self.now = 100.0
        self.worker_by_node = {worker.node: worker for worker in workers}
        self.starts: list = []
        self.lead(epoch)
        for worker in workers:
            self.report(worker)

    @property
    def wall_now(self) -> float:
        """Wall clock seconds."""
        return WALL_START + self.now

    def lead(self, epoch: int) -> None:
        """Start as a new leader with an empty scheduler."""
        self.scheduler = Scheduler(
            epoch,
            lease_horizon=HORIZON,
            stop_retry_seconds=STOP_AGAIN,
            start_bytes_per_second=self.start_bytes_per_second,
            options=self.options,
        )
        self.claimed_at = self.now

    def submit(self, job: Job):
        """Submit a job."""
        return self.scheduler.job_table.add(job, now=self.now, wall_now=self.wall_now)

    def report(self, worker: SimulatedWorker) -> None:
        """Deliver a worker's report."""
        self._use_cores(worker)
        self.scheduler.process_report(
            worker.report(), worker.session, now=self.now, wall_now=self.wall_now
        )
        vm = self.scheduler.vm_by_node.get(worker.node)
        if vm is not None:
            vm.registered = True

    def _use_cores(self, worker: SimulatedWorker) -> None:
        """Let filling runs report the cores that their pace allows them."""
        for key in worker.running:
            entry = self.scheduler.job_table.entry_by_id.get(key.task.job)
            if entry is not None and entry.job.steps[key.task.step].fills:
                pace = worker.pace_by_run.get(key, 100) / 100
                cores = entry.job.steps[key.task.step].size.cores
                worker.figure_by_run[key] = pace * cores

    def job_of(self, task: TaskKey) -> Job:
        """Return the job of a task."""
        return self.scheduler.job_table.entry_by_id[task.job].job

    def deliver(self, worker: SimulatedWorker, orders: Orders) -> list[str]:
        """Let a worker carry out orders; return the rules that its starts broke.

        The agent refuses starts for another incarnation of its worker.
        """
        if orders.born != worker.born:
            worker.orders_taken = orders.number
            return []
        known = list(worker.running)
        worker.take(orders)
        found = []
        for start in orders.starts:
            if start.key in worker.running and start.key not in known:
                found += broken_rules(start.key, known, worker.capability, self.job_of)
                known.append(start.key)
        return found

    def decide(self, on_placed: Callable[[], None] = lambda: None) -> list:
        """Run a placement round; return the orders to send, with their nodes.

        Parameters: `on_placed` is called before the orders are made, which takes back
        starts that are to stop.
        """
        self.scheduler.expire(now=self.now, predecessors_until=self.claimed_at)
        self.scheduler.place(now=self.now, wall_now=self.wall_now)
        on_placed()
        sent = self.scheduler.orders(now=self.now)
        self.starts += [
            (vm.node, start.key) for vm, orders in sent for start in orders.starts
        ]
        return [(vm.node, orders) for vm, orders in sent]

    def round(self, *, commit: bool = True) -> None:
        """Report, decide and carry out the orders once; then let 0.3 s pass."""
        for worker in self.worker_by_node.values():
            self.report(worker)
        for node, orders in self.decide():
            self.worker_by_node[node].take(orders)
        if commit:
            self.commit()
        self.now += REPORT_SECONDS

    def commit(self) -> None:
        """Mark all progress as stored."""
        for entry in self.scheduler.job_table.entry_by_id.values():
            self.scheduler.committed(entry, entry.version)
        for held in self.scheduler.job_table.held_ends_by_id.values():
            held.committed = held.version

    def running_nodes(self, job: str) -> list[str]:
        """Return the nodes of a job's runs in progress, one for each run."""
        return [
            node
            for node, worker in self.worker_by_node.items()
            for key in worker.running
            if key.task.job == job
        ]

    def end_all(self, how: RunEnd = RunEnd.SUCCEEDED, job: str = "") -> None:
        """End all runs in progress, or those of one job."""
        for worker in self.worker_by_node.values():
            for key in list(worker.running):
                if not job or key.task.job == job:
                    worker.end(key, how)


def make_job(job: str, *steps: Step, accepted_at: float = WALL_START + 100, **more):
    """Return a job with `steps`."""
    values = {"queue": "seat-hold", "attempts": 4, "stretch": 2.0} | more
    return Job(
        id=job,
        service=SERVICE,
        spec="x",
        steps=steps,
        accepted_at=accepted_at,
        **values,
    )


def plain(count: int = 1, cores: float = 4.0, **more) -> Step:
    """Return a step of `count` tasks that are neither serving nor filling."""
    return Step(count, Resources(cores, 100, 0), 1.0, **more)


def serving(count: int = 1, cores: float = 6.0, image: str = "watch", **more) -> Step:
    """Return a step of long-running serving tasks."""
    more = {"long_running": True, "target_seconds": 0.02} | more
    return Step(count, Resources(cores, 100, 0), 1.0, image=image, **more)


def filling(count: int = 1, cores: float = 4.0, image: str = "build", **more) -> Step:
    """Return a step of filling tasks."""
    more = {"estimate_seconds": 3.0, "fills": True, "checkpointable": True} | more
    return Step(count, Resources(cores, 100, 0), **more, image=image)
