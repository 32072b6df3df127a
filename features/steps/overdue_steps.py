"""Steps on schedules with many overdue occurrences."""

from collections import Counter
from functools import partial
from itertools import count

import msgspec
from behave import given, then, when

from features.steps.scheduling_world import make_job, plain
from wagtailcleat.resources import Resources
from wagtailcleat.scheduling.held_ends import HeldEnds
from wagtailcleat.scheduling.job_records import record_of
from wagtailcleat.scheduling.models import (
    JobRecord,
    RunEnd,
    RunKey,
    Start,
    Step,
    TaskKey,
)

INTERVAL_SECONDS = 60.0
EPOCHS_BETWEEN = 1
LATE_TRIES = 9
"""Rounds for which a run goes on, longer than until its occurrence is begun."""


def _schedule(world, name, count, tasks):
    """Return a job half of whose occurrences are overdue."""
    step = Step(tasks, Resources(0.01, 1, 0), 0.1)
    return make_job(
        name,
        step,
        occurrences=2 * count,
        first_at=world.wall_now - (count - 0.5) * INTERVAL_SECONDS,
        interval=INTERVAL_SECONDS,
    )


@given('job "{name}" with {count:d} overdue occurrences of {tasks:d} task')
@given('job "{name}" with {count:d} overdue occurrences of {tasks:d} tasks')
def step_overdue(context, name, count, tasks):
    world = context.world
    world.submit(_schedule(world, name, count, tasks))
    context.most_open = _open_occurrences(world, name)


@given('another job "{name}" of {count:d} tasks with {cores:d} cores')
def step_other(context, name, count, cores):
    context.world.submit(make_job(name, plain(count, cores=float(cores))))


@given(
    'job "{name}" of {count:d} occurrences, the last of which is due in {seconds:d} s,'
    " without a beginning"
)
def step_no_beginning(context, name, count, seconds):
    world = context.world
    interval = (world.wall_now + seconds) / (count - 1)
    job = make_job(name, plain(1), occurrences=count, interval=interval)
    world.submit(job)
    context.most_open = _open_occurrences(world, name)


def _open_occurrences(world, name):
    entry = world.scheduler.job_table.entry_by_id[name]
    return len({occurrence for occurrence, _ in entry.tasks_by_step})


def _rounds(context, count, *, commit):
    world = context.world
    for _ in range(count):
        world.round(commit=commit)
        world.end_all(RunEnd.SUCCEEDED)
        context.most_open = max(context.most_open, _open_occurrences(world, "s"))


@when("a worker lists {what} of its occurrence {occurrence:d}")
def step_lists_ahead(context, what, occurrence):
    world = context.world
    worker = context.ahead_worker = next(iter(world.worker_by_node.values()))
    run = context.ahead = RunKey(TaskKey("s", occurrence, 0, 0), 1)
    worker.running[run] = Start(run, "")
    if "success" in what:
        worker.end(run, RunEnd.SUCCEEDED)
    if "not stop" in what:
        worker.end = partial(_end_late, run, worker.end, count(1))


def _end_late(late, end, tries, run, how, checkpoint=""):
    """Let a worker end its runs, and one of them only after some tries."""
    if run != late or (how is RunEnd.SUCCEEDED and next(tries) > LATE_TRIES):
        end(run, how, checkpoint)


@then("that worker has no ends left to acknowledge")
def step_no_ends_left(context):
    _rounds(context, 2, commit=True)
    context.world.round()
    numbers = [ended.key for ended in context.ahead_worker.ended]
    assert context.ahead not in numbers, numbers


@then('the occurrences of job "{name}" have succeeded, each once')
def step_each_once(context, name):
    entry = context.world.scheduler.job_table.entry_by_id[name]
    assert entry.occurrences_done > context.ahead.task.occurrence
    started = Counter(key.task for _, key in context.world.starts)
    assert max(started.values()) == 1, started.most_common(3)
    assert context.ahead.task not in started


@when(
    'a new leader restores job "{name}" with what is stored of it,'
    " and {count:d} such rounds pass"
)
def step_next_leader_with_ends(context, name, count):
    world = context.world
    table = world.scheduler.job_table
    entry, stored = table.entry_by_id[name], table.held_ends_by_id.get(name)
    world.lead(world.scheduler.epoch + EPOCHS_BETWEEN)
    for worker in world.worker_by_node.values():
        worker.orders_taken = 0
    now, wall_now = world.now, world.wall_now
    table = world.scheduler.job_table
    table.add(entry.job, now=now, wall_now=wall_now, record=record_of(entry))
    if stored is not None:
        held = table.held_ends_by_id[name] = HeldEnds(name)
        held.merge(stored.end_by_run.values())
        table.restore_ends(held, now=now, wall_now=wall_now)
    _rounds(context, count, commit=True)


@when("{count:d} rounds pass in which each run succeeds")
def step_rounds_succeed(context, count):
    context.first_starts = len(context.world.starts)
    _rounds(context, 1, commit=True)
    context.first_round = list(context.world.starts)
    _rounds(context, count - 1, commit=True)


@when("{count:d} rounds pass in which each run succeeds and no end is acknowledged")
def step_rounds_unacknowledged(context, count):
    _rounds(context, count, commit=False)


@when(
    'a new leader restores job "{name}" from its record, and {count:d} such rounds pass'
)
def step_next_leader(context, name, count):
    world = context.world
    entry = world.scheduler.job_table.entry_by_id[name]
    data = msgspec.msgpack.encode(record_of(entry))
    record = msgspec.msgpack.decode(data, type=JobRecord)
    world.lead(world.scheduler.epoch + EPOCHS_BETWEEN)
    world.scheduler.job_table.add(
        entry.job, now=world.now, wall_now=world.wall_now, record=record
    )
    _rounds(context, count, commit=True)


@when(
    'a leader restores job "{name}" with {count:d} overdue occurrences, which was'
    " cancelled"
)
def step_restore_cancelled(context, name, count):
    world = context.world
    table = world.scheduler.job_table
    now, wall_now = world.now, world.wall_now
    job = _schedule(world, name, count, 1)
    table.add(job, now=now, wall_now=wall_now, is_cancelled=True)
    context.most_open = _open_occurrences(world, name)
    world.scheduler.cancel(name, now=now, wall_now=wall_now)


@then('at no time more than {limit:d} occurrences of job "{name}" had tasks')
def step_at_most(context, limit, name):
    assert 0 < context.most_open <= limit, context.most_open


@then('no occurrence of job "{name}" had tasks')
def step_none(context, name):
    assert context.most_open == 0, context.most_open


@then('the occurrences of job "{name}" started in order, each once')
def step_in_order(context, name):
    started = [
        key.task.occurrence for _, key in context.world.starts if key.task.job == name
    ]
    assert started == list(range(len(started))), started
    assert len(started) > context.most_open, len(started)


@then('job "{name}" started in the first round')
def step_first_round(context, name):
    assert any(key.task.job == name for _, key in context.first_round)


@then('the record of job "{name}" has less than {size:d} bytes')
def step_record_size(context, name, size):
    entry = context.world.scheduler.job_table.entry_by_id[name]
    data = msgspec.msgpack.encode(record_of(entry))
    assert len(data) < size, len(data)


@then("all ends are acknowledged")
def step_acknowledged(context):
    world = context.world
    world.round()
    world.end_all()
    for _ in range(2):
        world.round()
    for worker in world.worker_by_node.values():
        listed = {end.key.task.occurrence for end in worker.ended}
        assert worker.acknowledged and 0 not in listed, listed


@then('job "{name}" has started {count:d} times')
def step_started(context, name, count):
    starts = [key for _, key in context.world.starts if key.task.job == name]
    assert len(starts) == count, starts
