"""The leader's view of the VMs: their capacity, runs and free resources.

The `Scheduler` updates it from reports; placement and sharing read it.
"""

import math
from collections import Counter
from dataclasses import dataclass, field

from wagtailcleat.ids import NodeId, ServiceName, ZoneName
from wagtailcleat.resources import NOTHING, ROUNDING_CORES, Resources
from wagtailcleat.scheduling.models import RunKey, Step, WorkerInfo, WorkerState
from wagtailcleat.scheduling.reasons import StartReason

FAILURES_TO_AVOID = 2
"""Consecutive failed runs after which a VM is avoided.

Tasks also fail through their own fault, but seldom twice in a row.
"""
FAILURES_TO_QUARANTINE = 3
"""Consecutive failed runs after which a VM is quarantined: nothing starts there.

A VM on which every run fails soon has room again. Avoiding it helps only while other
VMs have room; after that a waiting task would use up all its attempts there.
"""
AVOID_SECONDS = 6.0
"""How long a VM is avoided or quarantined after its last failure; then it is tried."""

SILENT_WORKER_SECONDS = 2.0
"""How long a worker that runs nothing must not answer until it counts as absent.

Longer than most silences of workers that are there: each change costs two writes.
"""
PERCENT = 100
SLOW_SPEED = 0.4
"""Speed below which a VM is avoided.

Estimates are off by a fifth to a half, while a VM that has become slow runs at a sixth
of its speed or stands still.
"""
SLOW_VM_AVOID_SECONDS = 2.5
"""How long a VM is avoided after it was last measured as slow; then it is tried."""
SPEED_WEIGHT = 0.3
"""Weight of one measurement of progress; reports are a third of a second apart."""
EXPECTED_SERVING_USE = 0.45
"""Share of its committed cores that a serving run uses on average."""


@dataclass(eq=False)
class HostedRun:
    """A run that occupies resources of a VM until its end is listed."""

    key: RunKey
    step: Step
    ordered_at: float
    order_number: int = 0
    """Number of the orders that contained its start; 0: learned from a report."""
    session: int = 0
    """Number of the agent connection on which the start was sent."""
    sent: bool = True
    """False until the orders that contain its start are sent."""
    listed: bool = False
    """Whether the worker has listed the run."""
    stopping: bool = False
    stop_at: float = 0.0
    """When a stop was last ordered."""
    percent: int = 0
    """Progress of the run when it was last measured."""
    progressed_at: float = 0.0
    """When its progress was last measured; before that, when its start was sent."""
    first_percent: int = 0
    """Progress when the worker first listed the run."""
    worked_seconds: float = 0.0
    """Time since then, as if the run had worked with all of its cores."""
    checkpoint_at: float = 0.0
    """When its last new checkpoint was reported; before that, when it was ordered."""
    measurement: float = 0.0
    """The last measurement in a report, see `Running`."""
    pace: int = 100
    """Percentage of its processor time that the run may use."""
    pace_is_known: bool = True
    """False for a run of an earlier leader, which may have throttled it."""
    reason: StartReason | None = None
    """Why the run was started; None if an earlier leader started it."""

    @property
    def work_share(self) -> float:
        """Share of its cores that the run works with, by its last measurement."""
        if not self.step.fills:
            return 1.0
        cores = self.step.size.cores
        return min(1.0, self.measurement / cores) if cores else 1.0


@dataclass(eq=False)
class Vm:
    """A VM whose agent has reported at least once."""

    node: NodeId
    host: str
    port: int
    zone: ZoneName
    heard_at: float
    """When its agent last reported."""
    worker: WorkerInfo | None = None
    listed: bool = False
    """Whether its agent's last report contained the list of the worker's runs."""
    listed_at: float = 0.0
    """When its agent last reported that list."""
    was_listed: bool = False
    """Whether an earlier report to this leader contained such a list."""
    is_connected: bool = False
    """Whether the agent is connected."""
    registered: bool = False
    """Whether the agent is in the store, so that a next leader will wait for it."""
    silent_seconds: float = 0.0
    """How long the worker has not answered its agent; 0: it answers."""
    may_act_until: float = math.inf
    """Until when its agent may carry out orders, by the answer to its last report."""
    session: int = 0
    """Number of the agent's connection."""
    orders_sent: int = 0
    """Number of the last orders sent to the agent."""
    hosted_by_run: dict[RunKey, HostedRun] = field(default_factory=dict)
    committed: Resources = NOTHING
    """Committed resources; a filling run commits only memory and accelerators."""
    filling_cores: float = 0.0
    """Cores that the filling runs would use at full pace."""
    serving_by_image: Counter[str] = field(default_factory=Counter)
    """Number of serving runs by image."""
    serving_cores: float = 0.0
    """Cores that the serving runs have committed."""
    failures: int = 0
    """Number of consecutive failed runs."""
    failed_at: float = 0.0
    """When a run last failed."""
    changed_at: float = 0.0
    """When the set of runs or the pace of a run last changed."""
    speed: float = 1.0
    """Moving average of the runs' progress, as a share of their estimated progress."""
    speed_at: float = -1e9
    """When the speed was last measured."""
    closed_until: float = -1e9
    """Until when nothing starts on the VM, because its agent refused a start."""
    version: int = 0
    """Increases with each change that may affect room or load on the VM."""

    def __repr__(self) -> str:
        """Show the VM, its number of runs and its committed resources."""
        return f"<Vm {self.node}: {len(self.hosted_by_run)} runs, {self.committed}>"

    @property
    def service(self) -> ServiceName | None:
        """The service to whose pool the VM belongs."""
        return self.worker.service if self.worker else None

    @property
    def rack(self) -> str:
        """The VM's rack; empty if unknown."""
        return self.worker.rack if self.worker else ""

    @property
    def capacity(self) -> Resources:
        """All resources of the VM."""
        return self.worker.capacity if self.worker else NOTHING

    @property
    def free(self) -> Resources:
        """Resources that are not committed."""
        return self.capacity - self.committed

    @property
    def spare_cores(self) -> float:
        """Cores expected to be idle, including those that serving runs do not use."""
        unused = self.serving_cores * (1 - EXPECTED_SERVING_USE)
        return self.capacity.cores - self.committed.cores + unused - self.filling_cores

    @property
    def serving_runs(self) -> int:
        """Number of serving runs."""
        return self.serving_by_image.total()

    def has_room(self, room: Resources) -> bool:
        """Return whether `room` is free.

        Called for each VM and waiting task, so it compares without creating objects.
        """
        held, committed = self.capacity, self.committed
        return (
            room.cores <= held.cores - committed.cores + ROUNDING_CORES
            and room.memory_mb <= held.memory_mb - committed.memory_mb
            and room.accelerators <= held.accelerators - committed.accelerators
        )

    def mark_changed(self, now: float) -> None:
        """Record that the set of runs or the pace of a run has changed."""
        self.changed_at = now
        self.version += 1

    @property
    def has_worker(self) -> bool:
        """Whether its agent is in touch, and its worker answers or did so just now."""
        return (
            self.is_connected
            and self.worker is not None
            and self.silent_seconds < SILENT_WORKER_SECONDS
        )

    @property
    def is_usable(self) -> bool:
        """Whether the VM may be given work, by its agent's last report."""
        return (
            self.is_connected
            and self.registered
            and self.listed
            and self.worker is not None
            and self.worker.state is WorkerState.READY
            and self.silent_seconds == 0.0
        )

    def is_avoided(self, now: float) -> bool:
        """Return whether runs on the VM failed repeatedly or were slow recently."""
        fails = self.failures >= FAILURES_TO_AVOID
        if fails and now < self.failed_at + AVOID_SECONDS:
            return True
        return self.speed < SLOW_SPEED and now < self.speed_at + SLOW_VM_AVOID_SECONDS

    def is_quarantined(self, now: float) -> bool:
        """Return whether nothing may start on the VM, because its last runs all failed.

        After `AVOID_SECONDS` a single run is admitted to test the VM. Others follow
        once it succeeds or has run for as long as that.
        """
        if self.failures < FAILURES_TO_QUARANTINE:
            return False
        if now < self.failed_at + AVOID_SECONDS:
            return True
        return any(
            self.failed_at < run.ordered_at and now < run.ordered_at + AVOID_SECONDS
            for run in self.hosted_by_run.values()
        )

    def record_progress(
        self,
        step: Step,
        percent: int,
        expected_seconds: float,
        now: float,
        since: float,
    ) -> None:
        """Update the speed with a run's progress by `percent` points since `since`.

        Only runs with their own processors count: others also depend on their
        neighbours.

        Parameters: `expected_seconds` is what a task of the step takes.
        """
        if step.fills or step.target_seconds or step.gang or now <= since:
            return
        speed = percent / PERCENT * expected_seconds / (now - since)
        self.speed += SPEED_WEIGHT * (min(speed, 1.0) - self.speed)
        self.speed_at = now

    def host_run(self, hosted: HostedRun) -> None:
        """Add a run and commit its resources."""
        if hosted.key in self.hosted_by_run:
            return
        self.version += 1
        self.hosted_by_run[hosted.key] = hosted
        self.committed += committed_resources(hosted.step)
        if hosted.step.fills:
            self.filling_cores += hosted.step.size.cores
        if hosted.step.target_seconds:
            self.serving_by_image[hosted.step.image] += 1
            self.serving_cores += hosted.step.size.cores

    def drop_run(self, key: RunKey) -> HostedRun | None:
        """Remove a run, free its resources and return it, or return None."""
        hosted = self.hosted_by_run.pop(key, None)
        if hosted is None:
            return None
        self.version += 1
        self.committed -= committed_resources(hosted.step)
        if hosted.step.fills:
            self.filling_cores -= hosted.step.size.cores
        if hosted.step.target_seconds:
            self._drop_serving(hosted.step)
        return hosted

    def _drop_serving(self, step: Step) -> None:
        self.serving_cores -= step.size.cores
        self.serving_by_image[step.image] -= 1
        if not self.serving_by_image[step.image]:
            del self.serving_by_image[step.image]

    def record_success(self) -> None:
        """Record that a run succeeded on the VM."""
        self.failures = 0

    def record_failure(self, now: float) -> None:
        """Record that a run failed on the VM."""
        self.failures += 1
        self.failed_at = now


def is_same_worker(before: WorkerInfo, now: WorkerInfo | None) -> bool:
    """Return whether what was placed on a worker before may be started on it now."""
    return now is not None and _placement_basis(before) == _placement_basis(now)


def _placement_basis(worker: WorkerInfo) -> tuple[object, ...]:
    return (
        worker.id,
        worker.born,
        worker.service,
        worker.capacity,
        worker.labels,
    )


def committed_resources(step: Step) -> Resources:
    """Return the resources that a task of a step commits."""
    if step.fills:
        return Resources(0.0, step.size.memory_mb, step.size.accelerators)
    return step.size
