"""Throttling and eviction of filling tasks on VMs that run serving tasks.

The `Scheduler` asks for actions on a VM after each of its reports, and carries them
out. Filling tasks that add much utilization are throttled to the room that is left: a
new pace is set. A task that would be throttled to a small part of its pace is evicted
instead, and continues from its checkpoint where there is room. While a serving task is
over its target, the filling tasks that add most are evicted at once.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from wagtailcleat.scheduling.sharing import (
    AIM_LOAD,
    MIN_ADDED,
    ServingJob,
    Sharing,
    filling_runs,
    reported_load,
    serving_runs,
    share_of_vm,
)
from wagtailcleat.scheduling.vms import HostedRun, Vm

FULL_PACE = 100
"""Percent."""
TIGHT_SECONDS = 1.5
"""How long a run is assumed to remain throttled.

The load of serving tasks swings within some 10 s, and is high for a part of that.
"""
STOP_SECONDS = 0.8
"""How long a serving run may be over its target before any filling task is evicted.

Until then only those are evicted that can continue elsewhere.
"""
EVICT_ALL_SECONDS = 1.8
"""How long a serving run may be over its target before all filling tasks are evicted.

Their estimates no longer count then. The users allow 4 s.
"""
MIN_ACTION_INTERVAL_SECONDS = 0.3
"""Shortest time between two reports of a VM that lead to actions."""
MIN_PACE = 10
"""Pace in percent below which a run is not worth its memory."""
MIN_PACE_DECREASE = 10
"""Smallest decrease of a pace that is ordered, in percentage points."""
MIN_PACE_INCREASE = 15
"""Smallest increase that is ordered, in percentage points."""
MAX_PACE_INCREASE = 35
"""Largest increase, in percentage points: the load may be about to rise again."""

MayMove = Callable[[HostedRun, Sequence[HostedRun]], bool]
"""Returns whether a run may be evicted to continue on another VM.

The second argument has the runs that are evicted with it.
"""


@dataclass
class PaceAction:
    """An action on a filling run: a new pace, or eviction from the VM."""

    hosted: HostedRun
    pace: int
    """In percent; 0 evicts the run, or stops its work if it has no checkpoints."""
    why: str
    """The most restrictive serving image, with its load or its room."""


def eviction_pace(move_seconds: float) -> float:
    """Return the pace in percent below which a run is evicted rather than throttled.

    Below it a run loses more time than the `move_seconds` that pass until it continues
    elsewhere. It is 0 or less if a move never pays.
    """
    return FULL_PACE * (1 - move_seconds / TIGHT_SECONDS)


def pace_actions(
    sharing: Sharing, vm: Vm, may_move: MayMove, eviction_pace: float, now: float
) -> list[PaceAction]:
    """Return the actions on a VM's filling runs after a report.

    Parameters: `eviction_pace` in percent, see the function of that name.
    """
    filling = list(filling_runs(vm))
    state = sharing.state(vm)
    if not filling or now - state.acted_at < MIN_ACTION_INTERVAL_SECONDS:
        return []
    actions: list[PaceAction] = []
    if state.over_target_since is not None:
        over_seconds = now - state.over_target_since
        actions = _evict(sharing, vm, filling, may_move, over_seconds)
    if not actions:
        actions = _adjust(sharing, vm, filling, may_move, eviction_pace, now)
    if actions:
        state.acted_at = now
    return actions


def _evict(
    sharing: Sharing,
    vm: Vm,
    filling: Iterable[HostedRun],
    may_move: MayMove,
    over_seconds: float,
) -> list[PaceAction]:
    """Evict the runs that add most, until the worst serving run should recover."""
    worst = max(serving_runs(vm), key=reported_load, default=None)
    if worst is None:
        return []
    image = worst.step.image

    def added(run: HostedRun) -> float:
        return _added(sharing, vm, image, run)

    utilization = sharing.interference.utilization
    too_much = utilization(image, reported_load(worst)) - utilization(image, AIM_LOAD)
    evicted: list[HostedRun] = []
    for run in sorted(filling, key=added, reverse=True):
        enough = too_much <= 0 or added(run) < MIN_ADDED
        if over_seconds < EVICT_ALL_SECONDS and enough and evicted:
            break
        if run.pace and (over_seconds >= STOP_SECONDS or may_move(run, evicted)):
            too_much -= added(run) * run.pace / FULL_PACE
            evicted.append(run)
    why = f"{image} at {reported_load(worst):.2f}"
    return [PaceAction(run, 0, why) for run in evicted]


def _adjust(
    sharing: Sharing,
    vm: Vm,
    filling: list[HostedRun],
    may_move: MayMove,
    eviction_pace: float,
    now: float,
) -> list[PaceAction]:
    """Set the paces that the room allows, and evict runs until no pace is too low."""
    room_by_job = sharing.room_by_job(vm, now)
    added_by_image = dict(sharing.added_by_image(vm))
    why = _describe_least_room(room_by_job)
    staying = list(filling)
    evicted: list[HostedRun] = []
    while True:
        tightest, pace = _tightest(room_by_job, added_by_image)
        if tightest is None or pace >= eviction_pace:
            break
        run = _run_to_move(sharing, vm, tightest.image, staying, evicted, may_move)
        if run is None:
            break
        staying.remove(run)
        evicted.append(run)
        for image in added_by_image:
            added_by_image[image] -= _added(sharing, vm, image, run)
    actions = [PaceAction(run, 0, why) for run in evicted]
    for run in staying:
        pace = _target_pace(sharing, vm, run, room_by_job, added_by_image)
        if not run.pace_is_known or pace <= run.pace - MIN_PACE_DECREASE:
            actions.append(PaceAction(run, pace, why))
        elif pace >= run.pace + MIN_PACE_INCREASE or pace == FULL_PACE > run.pace:
            pace = min(pace, run.pace + MAX_PACE_INCREASE)
            actions.append(PaceAction(run, pace, why))
    return actions


def _tightest(
    room_by_job: dict[ServingJob, float], added_by_image: dict[str, float]
) -> tuple[ServingJob | None, float]:
    """Return the serving job whose room allows the lowest pace, and that pace."""
    tightest: ServingJob | None = None
    lowest: float = FULL_PACE
    for job, room in room_by_job.items():
        added = added_by_image[job.image]
        pace = FULL_PACE * room / added if added > 0 else FULL_PACE
        if pace < lowest:
            tightest, lowest = job, pace
    return tightest, lowest


def _run_to_move(
    sharing: Sharing,
    vm: Vm,
    image: str,
    staying: Iterable[HostedRun],
    evicted: Sequence[HostedRun],
    may_move: MayMove,
) -> HostedRun | None:
    """Return the run that adds most to a serving image, of those that may move."""

    def added(run: HostedRun) -> float:
        return _added(sharing, vm, image, run)

    candidates = [run for run in staying if run.pace and added(run) >= MIN_ADDED]
    for run in sorted(candidates, key=added, reverse=True):
        if may_move(run, evicted):
            return run
    return None


def _target_pace(
    sharing: Sharing,
    vm: Vm,
    run: HostedRun,
    room_by_job: dict[ServingJob, float],
    added_by_image: dict[str, float],
) -> int:
    part = 1.0
    for job, room in room_by_job.items():
        if _added(sharing, vm, job.image, run) >= MIN_ADDED:
            part = min(part, room / added_by_image[job.image])
    return max(MIN_PACE, int(FULL_PACE * part))


def _added(sharing: Sharing, vm: Vm, image: str, run: HostedRun) -> float:
    """Return the utilization that a run adds at full pace to a serving image."""
    estimate = sharing.interference.estimate(image, run.step.image)
    return estimate.conservative * share_of_vm(vm, run.step)


def _describe_least_room(room_by_job: dict[ServingJob, float]) -> str:
    if not room_by_job:
        return "nobody serves"
    job, room = min(room_by_job.items(), key=lambda item: item[1])
    return f"{job.image} has room for {room:.2f}"
