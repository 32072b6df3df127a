"""Steps on lasting tasks whose runs end soon, again and again."""

from behave import given, then, when

from features.steps.scheduling_world import (
    REPORT_SECONDS,
    SchedulingWorld,
    SimulatedWorker,
)
from wagtailcleat.cluster.keys import MAX_EPOCH
from wagtailcleat.platform.http_client import Reply
from wagtailcleat.platform.runs import RunList, _parse_run_list
from wagtailcleat.scheduling.job_records import record_of
from wagtailcleat.scheduling.models import RunEnd
from wagtailcleat.scheduling.placement_rounds import RUNS_PER_EPOCH

JOB = "w"


def _starts(world):
    return [key.run for _, key in world.starts if key.task.job == JOB]


def _start_times(context, seconds):
    """Let each run fail at once; return when runs started, in seconds."""
    world = context.world
    times = []
    begun_at = world.now
    while world.now < begun_at + seconds:
        before = len(_starts(world))
        world.end_all(RunEnd.FAILED)
        now = world.now
        world.round()
        times += [now] * (len(_starts(world)) - before)
    return times


@given("its last {count:d} runs have failed at once")
def step_failed(context, count):
    entry = context.world.scheduler.job_table.entry_by_id[JOB]
    entry.tasks_by_step[0, 0][0].short_runs = count


@when("its worker fails each run, and the next leader knows of none of them")
def step_next_leader(context):
    world = context.world
    task = world.scheduler.job_table.entry_by_id[JOB].tasks_by_step[0, 0][0]
    context.highest = task.highest_run
    job, record = task.entry.job, record_of(task.entry)
    for worker in world.worker_by_node.values():
        worker.running.clear()
        worker.ended.clear()
    world.lead(2)
    world.scheduler.job_table.add(
        job, now=world.now, wall_now=world.wall_now, record=record
    )
    world.round()


@then('the next run of job "w" has a higher number than all before')
def step_higher(context):
    run = _starts(context.world)[-1]
    assert run > context.highest > 1_000, (run, context.highest)


@when("its runs fail at once for {seconds:d} s")
def step_fail(context, seconds):
    context.times = _start_times(context, seconds)


@then("it was started at most {count:d} times")
def step_at_most(context, count):
    assert 3 < len(context.times) <= count, len(context.times)


@then("no pause between two starts was longer than {seconds:d} s")
def step_pauses(context, seconds):
    times = context.times
    longest = max(b - a for a, b in zip(times, times[1:], strict=False))
    assert longest <= seconds, longest


@when("its run goes on for {seconds:d} s, and then fails")
def step_goes_on(context, seconds):
    world = context.world
    started = len(_starts(world))
    while not world.running_nodes(JOB):
        world.round()
    for _ in range(int(seconds / REPORT_SECONDS) + 1):
        world.round()
    assert len(_starts(world)) <= started + 1
    world.end_all(RunEnd.FAILED)


@then("it is started again within {seconds:d} s")
def step_again(context, seconds):
    world = context.world
    begun_at = world.now
    before = len(_starts(world))
    while len(_starts(world)) == before:
        assert world.now < begun_at + seconds, "it is not started"
        world.round()


def _next_leader(world):
    """Let the next leader restore the job; the workers' lists stay as they are."""
    entry = world.scheduler.job_table.entry_by_id[JOB]
    record = record_of(entry)
    world.lead(world.scheduler.epoch + 1)
    world.scheduler.job_table.add(
        entry.job, now=world.now, wall_now=world.wall_now, record=record
    )


@when("its runs fail at once for {seconds:d} s, and the leader changes each second")
def step_fail_and_change(context, seconds):
    world = context.world
    context.times = []
    context.most_by_one_leader = 0
    for _ in range(seconds):
        before = len(_starts(world))
        context.times += _start_times(context, 1)
        started = len(_starts(world)) - before
        context.most_by_one_leader = max(context.most_by_one_leader, started)
        _next_leader(world)


@then("each run has a higher number than all before")
def step_each_higher(context):
    runs = _starts(context.world)
    pairs = zip(runs, runs[1:], strict=False)
    assert len(runs) > 3 and all(a < b for a, b in pairs), runs


@then("it was started at most {count:d} times by each leader")
def step_at_most_each(context, count):
    assert 0 < context.most_by_one_leader <= count, context.most_by_one_leader


@when(
    "its runs fail at once for {seconds:d} s, and the leader changes then, and {hears}"
)
def step_fail_then_change(context, seconds, hears):
    world = context.world
    _start_times(context, seconds)
    while not world.running_nodes(JOB):
        world.round()
    assert _starts(world)[-1] > world.scheduler.epoch * RUNS_PER_EPOCH
    if hears == "hears of the last run":
        world.end_all(RunEnd.FAILED)
    else:
        assert hears == "hears that the last run is in progress", hears
    _next_leader(world)
    world.round()
    world.end_all(RunEnd.FAILED)
    _start_times(context, 5)


@given("{count:d} VMs of {cores:d} cores, and the leader of epoch 2^33")
def step_last_epoch(context, count, cores):
    workers = [SimulatedWorker(f"vm-{n}", cores=cores) for n in range(count)]
    context.world = SchedulingWorld(workers, epoch=MAX_EPOCH)


@then("its workers' lists with these numbers are read")
def step_lists_read(context):
    runs = _starts(context.world)
    task = f"{'ab' * 8}.0.0.0"
    for run in runs:
        assert int(float(run)) == run, run
        body = {
            "clockMs": 1,
            "running": [[task, run, "", 0]],
            "finished": [[1, task, run, "failed", ""]],
        }
        assert isinstance(_parse_run_list(Reply(200, body)), RunList), run
    assert len(runs) > 3, runs
