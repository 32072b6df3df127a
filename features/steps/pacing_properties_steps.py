"""Properties of throttling, moves and stored checkpoints, checked by hypothesis."""

from collections import Counter

from behave import then
from hypothesis import HealthCheck, given, settings
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
    CheckpointSaver,
)
from wagtailcleat.scheduling.sharing import MIN_ADDED, filling_runs, share_of_vm

VMS = 3
CORES = 16.0
ROUNDS = 12
TARGET_SECONDS = 0.02
IMAGES = ("fill-0", "fill-1", "fill-2")
TICK_SECONDS = 0.1
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
    "with {count:d} random loads on a link each job is stored,"
    " and within the link's share"
)
def step_saver(context, count):
    @settings(max_examples=count, deadline=None)
    @given(
        st.lists(st.floats(1.0, 60.0), min_size=2, max_size=12),
        st.integers(20, 2_000),
    )
    def prop(cores, checkpoint_bytes):
        table, size = JobTable(), checkpoint_bytes + CHECKPOINT_OVERHEAD_BYTES
        for number, used in enumerate(cores):
            step = Step(1, Resources(used, 100, 0), 600.0, checkpointable=True)
            entry = table.add(make_job(f"{number:016x}", step), now=0.0, wall_now=0.0)
            task = next(entry.tasks())
            table.mark_placed(task, 1, "vm-1")
            table.update_checkpoint(task, 1, "x" * checkpoint_bytes)
        # A tenth of the jobs' records fit into the link's share each second.
        rate = size * len(cores) / 10 / LINK_SHARE_OF_CHECKPOINTS
        saver = CheckpointSaver(rate)
        stored = 0
        entries = list(table.open_by_id.values())
        seconds = 0.0
        while min(entry.version for entry in entries) < 1:
            seconds += TICK_SECONDS
            assert seconds < 60.0, [entry.version for entry in entries]
            for entry, used in zip(entries, cores, strict=True):
                entry.add_unsaved(used * TICK_SECONDS, seconds)
            stored += saver.mark_due(entries, seconds)
        most = LINK_SHARE_OF_CHECKPOINTS * rate * (seconds + BURST_SECONDS) + size
        assert stored * size <= most, (stored, seconds)

    prop()
