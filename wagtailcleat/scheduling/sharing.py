"""Who fills beside tasks that serve, and at what pace.

What a filling task adds to the utilization of a serving one is known by pair of images
(`interference`) and goes from nothing to far too much. Filling tasks go where they add
least; one whose image was not seen there yet may try while the load is low, one at a
time. At each report those that add much are paced after the room that is left, and
while a target is missed those that add most leave.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from wagtailcleat.ids import JobId, NodeId
from wagtailcleat.scheduling.interference import Interference, Reading
from wagtailcleat.scheduling.models import Step
from wagtailcleat.scheduling.order import Lateness
from wagtailcleat.scheduling.reasons import Margin
from wagtailcleat.scheduling.vms import Hosted, Vm

FULL_PACE = 100
MOST_ADDED = {Lateness.IN_TIME: 0.12, Lateness.LATE: 0.05, Lateness.TOO_LATE: 0.03}
"""Utilization that all filling tasks on a VM may add to a serving one there."""
STARVED_ADDED = 0.2
"""The same where a job that had no turn is admitted all the same."""
AIM_LOAD = 0.65
"""Load up to which tasks that add much work on, and below which unknown images may
come; the rest up to 1 is for what changes between two reports."""
AHEAD_SECONDS = 0.4
"""How far ahead the load of serving tasks is predicted when paces are set: until the
next report, and for an order to act."""
RESIDUAL_LASTING = 0.6
"""Share of what a VM's serving tasks have beyond the expected that is taken to last."""
START_PACE = 0.5
"""Pace, as a share, that the room must allow a task that adds much to start."""
OVER_LOAD = 0.95
"""Reported load from which the filling tasks that add most are paced down."""
OVER_SECONDS = 1.0
"""How long nobody is admitted on a VM after a serving run there was over its target."""
STOP_SECONDS = 0.8
"""How long a serving run may be over its target before what adds most to it leaves;
until then it is paced."""
BLAME_SECONDS = 1.8
"""How long a serving run may be over its target before all that fills beside it stops
working, whatever is known of it; the users allow 4 s."""
ACT_SECONDS = 0.3
"""Shortest time between two measures on one VM."""
PROFILING_SECONDS = 0.7
"""Shortest time between two starts of unprofiled images on one VM: a report must show
the first."""
SLOWEST_PACE = 10
"""Pace in percent below which a run is not worth its memory."""
PACE_DOWN = 10
"""Smallest step down that is ordered, in percent."""
PACE_UP = 15
"""Smallest step up that is ordered."""
PACE_RISE = 35
"""Largest step up: the load may be about to swing the other way."""
LEAST_ADDED = 0.03
"""Utilization that a run adds below which its pace is left alone."""


class ServingJob(NamedTuple):
    """A job whose tasks serve, and their image."""

    id: JobId
    image: str


@dataclass
class Measure:
    """What to do with a run that fills: a pace, or away from this VM."""

    hosted: Hosted
    pace: int
    why: str
    """The serving image that binds, and how much too much or how much room there is."""


@dataclass
class _View:
    """What was worked out of one VM."""

    version: int = -1
    added_by_image: dict[str, float] = field(default_factory=dict)
    """Utilization that fills at full pace add, at most, by serving image."""
    serving_jobs: set[ServingJob] = field(default_factory=set)
    room_by_job: dict[ServingJob, float] = field(default_factory=dict)
    """Utilization that may be added to each serving job's own until the next report."""
    over_since: float | None = None
    over_at: float = -1e9
    profiling_at: float = -1e9
    measured_at: float = -1e9


@dataclass
class Sharing:
    """What was learnt of images that share VMs, and of the VMs."""

    interference: Interference = field(default_factory=Interference)
    _view_by_node: dict[NodeId, _View] = field(default_factory=dict)

    def forget_vm(self, node: NodeId) -> None:
        """Drop what is kept of a VM that is gone."""
        self._view_by_node.pop(node, None)

    # ---- learning

    def observe(self, vm: Vm, now: float) -> None:
        """Learn from the latest report of a VM."""
        view = self._view(vm)
        shares = _used_shares(vm)
        view.room_by_job = {}
        for job, load in _reported_loads(vm):
            reading = Reading(job.id, job.image, load, shares, now)
            error = self.interference.learn(reading)
            room = self._room_of(job, now) - RESIDUAL_LASTING * error
            view.room_by_job[job] = room
        over = any(load_of(hosted) >= OVER_LOAD for hosted in _serving(vm))
        if not over:
            view.over_since = None
            return
        view.over_at = now
        if view.over_since is None:
            view.over_since = now

    # ---- admission

    def added(self, vm: Vm, step: Step) -> float:
        """Return the most utilization that a task of a filling step adds on a VM."""
        share = _share(vm, step)
        return max(
            (
                self.interference.added(serving, step.image).cautious * share
                for serving in self._added(vm)
            ),
            default=0.0,
        )

    def admits(
        self, vm: Vm, step: Step, now: float, lateness: Lateness = Lateness.IN_TIME
    ) -> bool:
        """Tell whether a task of a filling step may start on a VM.

        Parameters: `lateness` of its job; a result that is of less use may add less.
        """
        if not vm.serving:
            return True
        if self.added(vm, step) < LEAST_ADDED and not self.unprofiled(vm, step.image):
            return True
        view = self._view(vm)
        if now - view.over_at < OVER_SECONDS:
            return False
        if self.unprofiled(vm, step.image):
            calm = now - view.profiling_at >= PROFILING_SECONDS
            return calm and self._has_room(vm, step, 1.0, now)
        return self.bears(vm, step, MOST_ADDED[lateness]) and self._has_room(
            vm, step, START_PACE, now
        )

    def margin(self, vm: Vm, step: Step, now: float) -> Margin:
        """Return what a task of a filling step meets on a VM, for the log."""
        room_by_job = self._room(vm, now)
        if not room_by_job:
            return Margin()
        share = _share(vm, step)
        added_by_image = self._added(vm)

        def left(job: ServingJob) -> float:
            adds = self.interference.added(job.image, step.image).cautious * share
            return room_by_job[job] - added_by_image[job.image] - adds

        job = min(room_by_job, key=left)
        estimate = self.interference.added(job.image, step.image)
        return Margin(
            job.image,
            estimate.cautious * share,
            estimate.variance,
            room_by_job[job] - added_by_image[job.image],
            now - vm.listed_at,
        )

    def _has_room(self, vm: Vm, step: Step, pace: float, now: float) -> bool:
        """Tell whether a task of a filling step could work at a pace for now."""
        added_by_image = self._added(vm)
        added = self.interference.added
        share = pace * _share(vm, step)
        return all(
            added_by_image[job.image] + added(job.image, step.image).cautious * share
            <= room
            for job, room in self._room(vm, now).items()
        )

    def admitted(self, vm: Vm, step: Step, now: float) -> None:
        """Note that a task of a filling step starts on a VM."""
        if vm.serving and self.unprofiled(vm, step.image):
            self._view(vm).profiling_at = now

    def bears(self, vm: Vm, step: Step, most: float) -> bool:
        """Tell whether one task more adds at most `most`, with those that are there."""
        share = _share(vm, step)
        estimate = self.interference.added
        return all(
            added + estimate(serving, step.image).cautious * share <= most
            for serving, added in self._added(vm).items()
        )

    def unprofiled(self, vm: Vm, image: str) -> bool:
        """Tell whether an image was not seen yet beside one that serves on a VM."""
        estimate = self.interference.added
        return any(not estimate(serving, image).known for serving in self._added(vm))

    # ---- pace

    def measures(self, vm: Vm, now: float) -> list[Measure]:
        """Return what to do on a VM now that its runs have been reported."""
        fills = list(_fills(vm))
        view = self._view(vm)
        if not fills or now - view.measured_at < ACT_SECONDS:
            return []
        if view.over_since is not None and now - view.over_since >= STOP_SECONDS:
            measures = self._evict(vm, view, fills, now)
        else:
            measures = self._follow_load(vm, fills, now)
        if measures:
            view.measured_at = now
        return measures

    def _evict(
        self, vm: Vm, view: _View, fills: list[Hosted], now: float
    ) -> list[Measure]:
        """Evict what adds most, until the worst run is expected to do well."""
        worst = max(_serving(vm), key=load_of, default=None)
        if worst is None or view.over_since is None:
            return []
        image = worst.step.image

        def added(run: Hosted) -> float:
            """Return what a run adds at full pace."""
            estimate = self.interference.added(image, run.step.image)
            return estimate.cautious * _share(vm, run.step)

        blamed = now - view.over_since >= BLAME_SECONDS
        utilization = self.interference.utilization
        too_much = utilization(image, load_of(worst)) - utilization(image, AIM_LOAD)
        working = [run for run in fills if run.pace]
        measures: list[Measure] = []
        for run in sorted(working, key=added, reverse=True):
            enough = too_much <= 0 or added(run) < LEAST_ADDED
            if not blamed and enough and measures:
                break
            too_much -= added(run) * run.pace / FULL_PACE
            measures.append(Measure(run, 0, f"{image} at {load_of(worst):.2f}"))
        return measures

    def _follow_load(self, vm: Vm, fills: list[Hosted], now: float) -> list[Measure]:
        room_by_job = self._room(vm, now)
        measures = []
        for run in fills:
            pace = self._pace(vm, run, room_by_job)
            why = self._least_room(room_by_job)
            if pace <= run.pace - PACE_DOWN:
                measures.append(Measure(run, pace, why))
            elif pace >= run.pace + PACE_UP or pace == FULL_PACE > run.pace:
                pace = min(pace, run.pace + PACE_RISE)
                measures.append(Measure(run, pace, why))
        return measures

    def _least_room(self, room_by_job: dict[ServingJob, float]) -> str:
        if not room_by_job:
            return "nobody serves"
        job, room = min(room_by_job.items(), key=lambda item: item[1])
        return f"{job.image} has room for {room:.2f}"

    def _room(self, vm: Vm, now: float) -> dict[ServingJob, float]:
        """Return the utilization that may be added soon to each serving job's own."""
        view = self._current(vm)
        reported = view.room_by_job
        return {
            job: reported[job] if job in reported else self._room_of(job, now)
            for job in view.serving_jobs
        }

    def _room_of(self, job: ServingJob, now: float) -> float:
        """Return the room beside tasks of a serving job, by what is known elsewhere."""
        aim = self.interference.utilization(job.image, AIM_LOAD)
        return aim - self.interference.own(job.id, job.image, now + AHEAD_SECONDS)

    def _pace(self, vm: Vm, run: Hosted, room_by_job: dict[ServingJob, float]) -> int:
        added_by_image = self._added(vm)
        share = _share(vm, run.step)
        part = 1.0
        for job, room in room_by_job.items():
            estimate = self.interference.added(job.image, run.step.image)
            if estimate.cautious * share >= LEAST_ADDED:
                part = min(part, room / added_by_image[job.image])
        return max(SLOWEST_PACE, int(FULL_PACE * part))

    # ---- what is kept of a VM

    def _view(self, vm: Vm) -> _View:
        return self._view_by_node.setdefault(vm.node, _View())

    def _added(self, vm: Vm) -> dict[str, float]:
        """Return what the fills at full pace add, at most, by serving image."""
        return self._current(vm).added_by_image

    def _current(self, vm: Vm) -> _View:
        """Return what was worked out of a VM, anew once it has changed or reported.

        Each waiting task asks for it. What is learnt elsewhere meanwhile counts from
        the next report on.
        """
        view = self._view(vm)
        if view.version == vm.version:
            return view
        share_by_image: dict[str, float] = {}
        for run in _fills(vm):
            image = run.step.image
            share = _share(vm, run.step)
            share_by_image[image] = share_by_image.get(image, 0.0) + share
        view.serving_jobs = {_job_of(hosted) for hosted in _serving(vm)}
        added = self.interference.added
        view.added_by_image = {
            serving: sum(
                added(serving, image).cautious * share
                for image, share in share_by_image.items()
            )
            for serving in {job.image for job in view.serving_jobs}
        }
        view.version = vm.version
        return view


def _used_shares(vm: Vm) -> dict[str, float]:
    """Return the share of a VM's cores that each filling image uses."""
    share_by_image: dict[str, float] = {}
    if not vm.capacity.cores:
        return share_by_image
    for run in vm.hosted_by_run.values():
        if run.step.fills and run.listed and run.figure:
            share = run.figure / vm.capacity.cores
            image = run.step.image
            share_by_image[image] = share_by_image.get(image, 0.0) + share
    return share_by_image


def _reported_loads(vm: Vm) -> list[tuple[ServingJob, float]]:
    """Return each serving job with the mean load that its tasks on a VM report."""
    loads_by_job: dict[ServingJob, list[float]] = {}
    for hosted in _serving(vm):
        if hosted.figure:
            loads_by_job.setdefault(_job_of(hosted), []).append(load_of(hosted))
    return [(job, sum(loads) / len(loads)) for job, loads in loads_by_job.items()]


def _job_of(hosted: Hosted) -> ServingJob:
    return ServingJob(hosted.key.task.job, hosted.step.image)


def load_of(hosted: Hosted) -> float:
    """Return a serving run's reported tail latency as a share of its target."""
    return hosted.figure / hosted.step.target_seconds


def shares(step: Step) -> bool:
    """Tell whether tasks of a step slow others, or are slowed by them."""
    return step.fills or step.target_seconds > 0


def _share(vm: Vm, step: Step) -> float:
    """Return the share of a VM's cores that a task of a step can work on."""
    return step.size.cores / vm.capacity.cores if vm.capacity.cores else 1.0


def _serving(vm: Vm) -> Iterator[Hosted]:
    for hosted in vm.hosted_by_run.values():
        if hosted.step.target_seconds and not hosted.stopping:
            yield hosted


def _fills(vm: Vm) -> Iterator[Hosted]:
    for hosted in vm.hosted_by_run.values():
        if hosted.step.fills and not hosted.stopping:
            yield hosted
