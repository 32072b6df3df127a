"""Properties of throttling, moves and stored checkpoints, checked by hypothesis."""

from collections import Counter
from math import sqrt
from statistics import fmean

from behave import then
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from features.steps.scheduling_world import (
    MOVE_SECONDS,
    REPORT_SECONDS,
    SchedulingWorld,
    SimulatedWorker,
    filling,
    make_job,
    serving,
)
from wagtailcleat.resources import Resources
from wagtailcleat.scheduling.interference import MIN_VARIANCE, Estimate
from wagtailcleat.scheduling.job_table import JobTable
from wagtailcleat.scheduling.models import Step
from wagtailcleat.scheduling.pacing import FULL_PACE, eviction_pace, pace_actions
from wagtailcleat.scheduling.progress import (
    BURST_SECONDS,
    CHECKPOINT_OVERHEAD_BYTES,
    LINK_SHARE_OF_CHECKPOINTS,
    MAX_UNSAVED_CORE_SECONDS,
    CheckpointSaver,
)
from wagtailcleat.scheduling.sharing import MIN_ADDED, filling_runs, share_of_vm

VMS = 3
CORES = 16.0
ROUNDS = 12
TARGET_SECONDS = 0.02
IMAGES = ("fill-0", "fill-1", "fill-2")
TICK_SECONDS = 0.1
SAVING_TICKS = 1_800
SAVING_ROUND_SECONDS = 10.0
"""Time in which the link's share carries one record of each job."""
MOST_DELAY = 1.5 * SAVING_ROUND_SECONDS
"""Longest that a job's turn is late because others have theirs at the same time."""
MOST_UNSAVED = 1.2
"""Unsaved work, as a multiple of the least that the link's share allows."""
ROUNDING = 1e-6
EVICTION_PACE = eviction_pace(MOVE_SECONDS)
LOADS_UNDER_TARGET = st.floats(0.25, 0.94)

FLEETS = st.fixed_dictionaries(
    {
        "added": st.lists(st.floats(0.0, 4.0), min_size=6, max_size=6),
        "jobs": st.lists(
            st.tuples(st.integers(0, 2), st.integers(1, 6), st.booleans()),
            min_size=1,
            max_size=5,
        ),
        "loads": st.lists(LOADS_UNDER_TARGET, min_size=ROUNDS, max_size=ROUNDS),
    }
)


def _check(count, prop):
    given(FLEETS)(
        settings(
            max_examples=count,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        )(prop)
    )()


def _build(fleet):
    """Return a fleet in which serving and filling jobs run."""
    workers = [SimulatedWorker(f"vm-{n}", cores=CORES) for n in range(VMS)]
    world = SchedulingWorld(workers)
    estimates = world.scheduler.sharing.interference.added_by_pair
    for number, added in enumerate(fleet["added"]):
        pair = (f"watch-{number % 2}", IMAGES[number // 2])
        estimates[pair] = Estimate(added, MIN_VARIANCE)
    for number in range(2):
        step = serving(4, cores=2.0, image=f"watch-{number}")
        world.submit(make_job(f"serving-{number}", step))
    world.round()
    for number, (image, count, saves) in enumerate(fleet["jobs"]):
        step = filling(count, cores=1.5, image=IMAGES[image], checkpointable=saves)
        job = make_job(
            f"job-{number}", step, priority=2, accepted_at=world.wall_now, stretch=9.0
        )
        world.submit(job)
    return world


def _report_loads(world, load):
    for worker in world.worker_by_node.values():
        for key in worker.running:
            if key.task.job.startswith("serving"):
                worker.figure_by_run[key] = load * TARGET_SECONDS


def _working(world):
    """Return the number of working runs of each filling job."""
    return Counter(
        hosted.key.task.job
        for vm in world.scheduler.vm_by_node.values()
        for hosted in filling_runs(vm)
    )


@then("in {count:d} random fleets no job loses its last working run to a move")
def step_keeps_one(context, count):
    def prop(fleet):
        world = _build(fleet)
        for load in fleet["loads"]:
            _report_loads(world, load)
            for worker in world.worker_by_node.values():
                before = _working(world)
                world.report(worker)
                after = _working(world)
                lost = [job for job in before if not after[job]]
                assert not lost, lost
            world.round()

    _check(count, prop)


@then(
    "in {count:d} random fleets each VM's runs have a sufficient pace after the actions"
)
def step_sufficient(context, count):
    def prop(fleet):
        world = _build(fleet)
        scheduler = world.scheduler
        for load in fleet["loads"]:
            _report_loads(world, load)
            world.round()
            for vm in scheduler.vm_by_node.values():
                _check_paces(scheduler, vm, world.now + REPORT_SECONDS)

    _check(count, prop)


def _check_paces(scheduler, vm, now):
    sharing = scheduler.sharing
    actions = pace_actions(sharing, vm, scheduler._may_move, EVICTION_PACE, now)
    if not actions:
        return
    assert all(0 <= action.pace <= FULL_PACE for action in actions), actions
    evicted = [action.hosted for action in actions if not action.pace]
    staying = [run for run in filling_runs(vm) if run not in evicted]

    def added(image, run):
        estimate = sharing.interference.estimate(image, run.step.image)
        return estimate.conservative * share_of_vm(vm, run.step)

    def allowed_pace(job):
        total = sum(added(job.image, run) for run in staying)
        return FULL_PACE * room_by_job[job] / total if total else FULL_PACE

    room_by_job = sharing.room_by_job(vm, now)
    tightest = min(room_by_job, key=allowed_pace, default=None)
    if tightest is None or allowed_pace(tightest) >= EVICTION_PACE - ROUNDING:
        return
    movable = [
        run
        for run in staying
        if run.pace
        and added(tightest.image, run) >= MIN_ADDED
        and scheduler._may_move(run, evicted)
    ]
    assert not movable, (allowed_pace(tightest), movable)


@then(
    "in {count:d} random fleets two leaders with the same reports give the same orders"
)
def step_same(context, count):
    def prop(fleet):
        worlds = [_build(fleet), _build(fleet)]
        for load in fleet["loads"]:
            for world in worlds:
                _report_loads(world, load)
                world.round()
        first, second = worlds
        assert first.starts == second.starts
        for node, worker in first.worker_by_node.items():
            other = second.worker_by_node[node]
            assert worker.pace_by_run == other.pace_by_run
            assert list(worker.running) == list(other.running)

    _check(count, prop)


@then(
    "with {count:d} random loads each job has its turn in the link's share,"
    " and little work is unsaved"
)
def step_saver(context, count):
    @settings(max_examples=count, deadline=None)
    @given(
        st.lists(st.floats(1.0, 60.0), min_size=2, max_size=12),
        st.integers(20, 2_000),
    )
    @example([1.0, 48.0, 48.0, 48.0, 52.0, 52.0], 20)
    @example([1.0] + [60.0] * 11, 20)
    @example([60.0] + [1.0] * 11, 20)
    @example([10.0] * 12, 20)
    def prop(cores, checkpoint_bytes):
        size = checkpoint_bytes + CHECKPOINT_OVERHEAD_BYTES
        entries = _entries_with_checkpoints(cores, checkpoint_bytes)
        rate = size * len(cores) / SAVING_ROUND_SECONDS / LINK_SHARE_OF_CHECKPOINTS
        saver = CheckpointSaver(rate)
        turns = [_turn_seconds(used, cores) for used in cores]
        stored_at = [0.0] * len(cores)
        stored = 0
        unsaved = []
        for tick in range(1, SAVING_TICKS + 1):
            seconds = tick * TICK_SECONDS
            for entry, used in zip(entries, cores, strict=True):
                entry.add_unsaved(used * TICK_SECONDS, seconds)
            versions = [entry.version for entry in entries]
            stored += saver.mark_due(entries, seconds)
            for number, entry in enumerate(entries):
                interval = seconds - stored_at[number]
                assert interval <= turns[number] + MOST_DELAY, (number, seconds)
                if entry.version > versions[number]:
                    stored_at[number] = seconds
            unsaved.append(sum(entry.unsaved_core_seconds for entry in entries))
            most = LINK_SHARE_OF_CHECKPOINTS * rate * (seconds + BURST_SECONDS) + size
            assert stored * size <= most, (stored, seconds)
        # Half of a turn's work is unsaved on average.
        least = sum(used * turn for used, turn in zip(cores, turns, strict=True)) / 2
        mean = fmean(unsaved[SAVING_TICKS // 3 :])
        assert mean <= MOST_UNSAVED * least, (mean, least)

    prop()


def _entries_with_checkpoints(cores, checkpoint_bytes):
    table = JobTable()
    for number, used in enumerate(cores):
        step = Step(1, Resources(used, 100, 0), 600.0, checkpointable=True)
        entry = table.add(make_job(f"{number:016x}", step), now=0.0, wall_now=0.0)
        task = next(entry.tasks())
        table.mark_placed(task, 1, "vm-1")
        table.update_checkpoint(task, 1, "x" * checkpoint_bytes)
    return list(table.open_by_id.values())


def _turn_seconds(used, cores):
    """Return the interval at which a job is stored if the least work is unsaved.

    Work times age is then the same for all jobs when they are stored, so the intervals
    are as the inverse roots of the cores, and they add up to the link's share.
    """
    records_per_second = len(cores) / SAVING_ROUND_SECONDS
    interval = sum(sqrt(other / used) for other in cores) / records_per_second
    return max(interval, MAX_UNSAVED_CORE_SECONDS / used)
