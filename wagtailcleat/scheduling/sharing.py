"""Admission of filling tasks to VMs that run serving tasks.

Placement rounds ask it for admission; the `Scheduler` passes it each report. `pacing`
throttles and evicts the tasks that were admitted. The utilization that a filling task
adds to a serving one is estimated by pair of images (`interference`) and ranges from
nothing to far too much. Filling tasks are placed where they add least. Tasks of an
image that is not profiled beside the serving image are admitted one at a time, while
the load is low.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from wagtailcleat.ids import JobId, NodeId
from wagtailcleat.scheduling.interference import Interference, Reading
from wagtailcleat.scheduling.models import Step
from wagtailcleat.scheduling.ranking import Lateness
from wagtailcleat.scheduling.reasons import Margin
from wagtailcleat.scheduling.vms import HostedRun, Vm

MOST_ADDED = {Lateness.IN_TIME: 0.12, Lateness.LATE: 0.05, Lateness.TOO_LATE: 0.03}
"""Utilization that a VM's filling tasks together may add to a serving task."""
STARVED_ADDED = 0.2
"""The same limit for the admission of a task of a starved job."""
AIM_LOAD = 0.65
"""Target load of serving tasks, by which the room for filling tasks is computed.

The margin between it and 1 covers changes between two reports.
"""
PREDICTION_SECONDS = 0.4
"""How far ahead the load of serving tasks is predicted.

The time until the next report, and until an order takes effect.
"""
RESIDUAL_LASTING = 0.6
"""Share of a VM's excess utilization over the prediction that is assumed to persist."""
MIN_START_PACE = 0.5
"""Pace, as a share, that the room must allow for a task that adds much to start."""
OVER_TARGET_LOAD = 0.95
"""Reported load from which a serving run counts as over its target."""
ADMISSION_PAUSE_SECONDS = 1.0
"""How long tasks that add much are kept out after a serving run was over its target."""
PROFILING_INTERVAL_SECONDS = 0.7
"""Shortest time between two starts of unprofiled images on one VM.

A report must show the effect of the first before the second starts.
"""
MIN_ADDED = 0.03
"""Added utilization below which a task is admitted freely and not throttled."""


class ServingJob(NamedTuple):
    """A job of serving tasks, with their image."""

    id: JobId
    image: str


@dataclass
class VmState:
    """Sharing state of one VM."""

    version: int = -1
    """The VM's version for which `added_by_image` and `serving_jobs` were computed."""
    added_by_image: dict[str, float] = field(default_factory=dict)
    """Most utilization that the filling runs add at full pace, by serving image."""
    serving_jobs: set[ServingJob] = field(default_factory=set)
    room_by_job: dict[ServingJob, float] = field(default_factory=dict)
    """Utilization that may be added to each serving job's own, by the last report."""
    over_target_since: float | None = None
    """Since when a serving run has been over its target, if one is."""
    last_over_target_at: float = -1e9
    """When a serving run was last reported over its target."""
    last_profiling_at: float = -1e9
    """When a task of an unprofiled image last started."""
    acted_at: float = -1e9
    """When filling runs were last throttled or evicted."""


@dataclass
class Sharing:
    """The interference model, and the sharing state of each VM."""

    interference: Interference = field(default_factory=Interference)
    _state_by_node: dict[NodeId, VmState] = field(default_factory=dict)

    def forget_vm(self, node: NodeId) -> None:
        """Drop the state of a VM that was removed."""
        self._state_by_node.pop(node, None)

    def observe(self, vm: Vm, now: float) -> None:
        """Update the model and the VM's state from the VM's latest report."""
        state = self.state(vm)
        shares = _used_shares(vm)
        state.room_by_job = {}
        for job, load in _reported_loads(vm):
            reading = Reading(job.id, job.image, load, shares, now)
            error = self.interference.learn(reading)
            room = self._predicted_room(job, now) - RESIDUAL_LASTING * error
            state.room_by_job[job] = room
        over = any(
            reported_load(hosted) >= OVER_TARGET_LOAD for hosted in serving_runs(vm)
        )
        if not over:
            state.over_target_since = None
            return
        state.last_over_target_at = now
        if state.over_target_since is None:
            state.over_target_since = now

    def max_added(self, vm: Vm, step: Step) -> float:
        """Return the most utilization that a task of a filling step adds on a VM.

        The maximum over the serving images that run there.
        """
        share = share_of_vm(vm, step)
        return max(
            (
                self.interference.estimate(serving, step.image).conservative * share
                for serving in self.added_by_image(vm)
            ),
            default=0.0,
        )

    def admits(
        self, vm: Vm, step: Step, now: float, lateness: Lateness = Lateness.IN_TIME
    ) -> bool:
        """Return whether a task of a filling step may start on a VM.

        Parameters: `lateness` is that of the task's job; a task whose result is less
        useful may add less utilization.
        """
        if not vm.serving_runs:
            return True
        if self.max_added(vm, step) < MIN_ADDED and not self.is_unprofiled(
            vm, step.image
        ):
            return True
        state = self.state(vm)
        if now - state.last_over_target_at < ADMISSION_PAUSE_SECONDS:
            return False
        if self.is_unprofiled(vm, step.image):
            is_due = now - state.last_profiling_at >= PROFILING_INTERVAL_SECONDS
            return is_due and self._has_room(vm, step, 1.0, now)
        return self.stays_within(vm, step, MOST_ADDED[lateness]) and self._has_room(
            vm, step, MIN_START_PACE, now
        )

    def margin(self, vm: Vm, step: Step, now: float) -> Margin:
        """Return the margin for a task of a filling step on a VM, for the log."""
        room_by_job = self.room_by_job(vm, now)
        if not room_by_job:
            return Margin()
        share = share_of_vm(vm, step)
        added_by_image = self.added_by_image(vm)

        def room_after_start(job: ServingJob) -> float:
            adds = (
                self.interference.estimate(job.image, step.image).conservative * share
            )
            return room_by_job[job] - added_by_image[job.image] - adds

        job = min(room_by_job, key=room_after_start)
        estimate = self.interference.estimate(job.image, step.image)
        return Margin(
            job.image,
            estimate.conservative * share,
            estimate.variance,
            room_by_job[job] - added_by_image[job.image],
            now - vm.listed_at,
        )

    def _has_room(self, vm: Vm, step: Step, pace: float, now: float) -> bool:
        """Return whether there is room for a filling step's task at a pace, a share."""
        added_by_image = self.added_by_image(vm)
        estimate = self.interference.estimate
        share = pace * share_of_vm(vm, step)
        return all(
            added_by_image[job.image]
            + estimate(job.image, step.image).conservative * share
            <= room
            for job, room in self.room_by_job(vm, now).items()
        )

    def record_start(self, vm: Vm, step: Step, now: float) -> None:
        """Record that a task of a filling step starts on a VM."""
        if vm.serving_runs and self.is_unprofiled(vm, step.image):
            self.state(vm).last_profiling_at = now

    def stays_within(self, vm: Vm, step: Step, most: float) -> bool:
        """Return whether the filling tasks and one more add at most `most` on a VM."""
        share = share_of_vm(vm, step)
        estimate = self.interference.estimate
        return all(
            added + estimate(serving, step.image).conservative * share <= most
            for serving, added in self.added_by_image(vm).items()
        )

    def is_unprofiled(self, vm: Vm, image: str) -> bool:
        """Return whether an image's effect on some serving image on a VM is unknown."""
        estimate = self.interference.estimate
        return any(
            not estimate(serving, image).is_known for serving in self.added_by_image(vm)
        )

    def room_by_job(self, vm: Vm, now: float) -> dict[ServingJob, float]:
        """Return the utilization that may be added to each serving job's own."""
        state = self._refreshed_state(vm)
        reported = state.room_by_job
        return {
            job: reported[job] if job in reported else self._predicted_room(job, now)
            for job in state.serving_jobs
        }

    def _predicted_room(self, job: ServingJob, now: float) -> float:
        """Return the room beside a serving job's tasks, predicted by the model."""
        aim = self.interference.utilization(job.image, AIM_LOAD)
        return aim - self.interference.expected_own(
            job.id, job.image, now + PREDICTION_SECONDS
        )

    def state(self, vm: Vm) -> VmState:
        """Return the sharing state of a VM."""
        return self._state_by_node.setdefault(vm.node, VmState())

    def added_by_image(self, vm: Vm) -> dict[str, float]:
        """Return the most that the filling runs add at full pace, by serving image."""
        return self._refreshed_state(vm).added_by_image

    def _refreshed_state(self, vm: Vm) -> VmState:
        """Return a VM's state, recomputed if the VM has changed or reported.

        It is cached because each waiting task reads it. What the model learns meanwhile
        from other VMs takes effect with the VM's next change or report.
        """
        state = self.state(vm)
        if state.version == vm.version:
            return state
        state.version = vm.version
        if not vm.serving_runs:
            state.serving_jobs, state.added_by_image = set(), {}
            return state
        share_by_image: dict[str, float] = {}
        for run in filling_runs(vm):
            image = run.step.image
            share = share_of_vm(vm, run.step)
            share_by_image[image] = share_by_image.get(image, 0.0) + share
        state.serving_jobs = {_serving_job(hosted) for hosted in serving_runs(vm)}
        estimate = self.interference.estimate
        state.added_by_image = {
            serving: sum(
                estimate(serving, image).conservative * share
                for image, share in share_by_image.items()
            )
            for serving in {job.image for job in state.serving_jobs}
        }
        return state


def _used_shares(vm: Vm) -> dict[str, float]:
    """Return the share of a VM's cores that each filling image uses, as reported."""
    share_by_image: dict[str, float] = {}
    if not vm.capacity.cores:
        return share_by_image
    for run in vm.hosted_by_run.values():
        if run.step.fills and run.listed and run.measurement:
            share = run.measurement / vm.capacity.cores
            image = run.step.image
            share_by_image[image] = share_by_image.get(image, 0.0) + share
    return share_by_image


def _reported_loads(vm: Vm) -> list[tuple[ServingJob, float]]:
    """Return each serving job on a VM with the mean load that its tasks report."""
    loads_by_job: dict[ServingJob, list[float]] = {}
    for hosted in serving_runs(vm):
        if hosted.measurement:
            loads_by_job.setdefault(_serving_job(hosted), []).append(
                reported_load(hosted)
            )
    return [(job, sum(loads) / len(loads)) for job, loads in loads_by_job.items()]


def _serving_job(hosted: HostedRun) -> ServingJob:
    return ServingJob(hosted.key.task.job, hosted.step.image)


def reported_load(hosted: HostedRun) -> float:
    """Return a serving run's reported tail latency as a share of its target."""
    return hosted.measurement / hosted.step.target_seconds


def affects_sharing(step: Step) -> bool:
    """Return whether a step's tasks interfere with others or are interfered with."""
    return step.fills or step.target_seconds > 0


def share_of_vm(vm: Vm, step: Step) -> float:
    """Return the share of a VM's cores that a task of a step can use."""
    return step.size.cores / vm.capacity.cores if vm.capacity.cores else 1.0


def serving_runs(vm: Vm) -> Iterator[HostedRun]:
    """Yield the serving runs of a VM that are not being stopped."""
    for hosted in vm.hosted_by_run.values():
        if hosted.step.target_seconds and not hosted.stopping:
            yield hosted


def filling_runs(vm: Vm) -> Iterator[HostedRun]:
    """Yield the filling runs of a VM that are not being stopped."""
    for hosted in vm.hosted_by_run.values():
        if hosted.step.fills and not hosted.stopping:
            yield hosted
