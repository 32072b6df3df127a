"""Steps on messages between leader and agents that are lost or late."""

from behave import given, then, when

from features.steps.scheduling_world import make_job, plain
from wagtailcleat.platform.http_client import Reply
from wagtailcleat.platform.runs import _parse_run_list
from wagtailcleat.scheduling.models import (
    JobRecord,
    JobState,
    RunEnd,
    RunKey,
    TaskKey,
    TaskRecord,
)

ROUNDS = 3


def _rounds(world, count=ROUNDS):
    for _ in range(count):
        world.round()


def _members(world, job):
    return [
        (worker, key)
        for worker in world.worker_by_node.values()
        for key in worker.running
        if key.task.job == job
    ]


@when(
    "it succeeds, and the orders that acknowledge that are lost with their connection"
)
def step_ack_lost(context):
    world = context.world
    world.end_all()
    for worker in world.worker_by_node.values():
        world.report(worker)
    world.commit()
    lost = world.decide()
    assert [orders for _, orders in lost if orders.acknowledged], lost
    for worker in world.worker_by_node.values():
        worker.session += 1


@then("no worker lists an end")
def step_none_listed(context):
    listed = [w.ended for w in context.world.worker_by_node.values() if w.ended]
    assert not listed, listed


@given('a gang "{name}" of {count:d} tasks with {attempts:d} attempts')
def step_gang_attempts(context, name, count, attempts):
    context.job = name
    context.count = count
    context.world.submit(make_job(name, plain(count, gang=True), attempts=attempts))
    _rounds(context.world)


def _fail_members(context, positions):
    """Fail some members of the gang; the others end with them."""
    members = _members(context.world, context.job)
    assert len(members) == context.count, members
    for worker, key in members:
        failed = key.task.position in positions
        worker.end(key, RunEnd.FAILED if failed else RunEnd.BROKEN)
    _rounds(context.world)


@when("its first member fails, and then, in its next run, its second one")
def step_in_turn(context):
    _fail_members(context, {0})
    _fail_members(context, {1})


@when("two of its members fail in one run")
def step_two_fail(context):
    _fail_members(context, {0, 1})


@then('job "{name}" has ended as failed, and runs no more')
def step_ended_failed(context, name):
    entry = context.world.scheduler.job_table.entry_by_id[name]
    _rounds(context.world)
    assert entry.state is JobState.FAILED, entry.state
    assert not _members(context.world, name)


@then("all its members run again")
def step_all_again(context):
    assert len(_members(context.world, context.job)) == context.count


@given("this leader has started it {count:d} times more")
def step_started_often(context, count):
    # Those runs are assumed to fail at once: each only uses up a number.
    world = context.world
    (worker, key), *_ = _members(world, context.job)
    world.scheduler.job_table.find_task(key.task).highest_run = count
    worker.end(key, RunEnd.FAILED)
    _rounds(world)
    (worker, key), *_ = _members(world, context.job)
    assert key.run == count + 1, key


@when("its run ends, and a new leader gets a report of that")
def step_ends_at_change(context):
    world = context.world
    ((worker, key),) = _members(world, context.job)
    worker.end(key, RunEnd.FAILED)
    context.execute_steps(
        "When a new leader restores the jobs and gets the reports of all agents"
    )
    _rounds(world)


@then('no two runs of job "{name}" have one number')
def step_one_number(context, name):
    started = [key.run for _, key in context.world.starts if key.task.job == name]
    assert len(started) == len(set(started)), started
    assert len(_members(context.world, name)) == 1


@given(
    'job "{name}" of 1 task with {attempts:d} attempts, whose run {run:d} has failed,'
    " as leader 1 stored"
)
def step_failed_run(context, name, attempts, run):
    context.job = name
    record = JobRecord(JobState.RUNNING, [], [TaskRecord(0, 0, 0, [run])])
    context.stored = (make_job(name, plain(1), attempts=attempts), record)


@when("leader 2 restores it, and its run fails")
def step_restored_fails(context):
    world = context.world
    world.lead(2)
    job, record = context.stored
    world.scheduler.job_table.add(
        job, now=world.now, wall_now=world.wall_now, record=record
    )
    _rounds(world)
    world.end_all(RunEnd.FAILED)
    _rounds(world)


@given("its run has failed, and that was acknowledged")
def step_failed_acknowledged(context):
    world = context.world
    worker = context.second
    worker.end(context.second_key, RunEnd.FAILED)
    world.report(worker)
    worker.ended = []
    key = TaskKey(context.job, 0, 0, 0)
    task = world.scheduler.job_table.find_task(key)
    assert RunKey(key, context.second_key.run).run in task.failed_runs


@when("its run succeeds, and its worker's full list omits that end")
def step_end_omitted(context):
    worker = context.world.worker_by_node[context.node]
    for key in list(worker.running):
        worker.end(key, RunEnd.SUCCEEDED)
    context.omitted_ends, worker.ended = worker.ended, []
    worker.has_all_ends = False


@when("the list includes that end")
def step_end_included(context):
    worker = context.world.worker_by_node[context.node]
    worker.ended = context.omitted_ends
    worker.has_all_ends = True


def _end_rows(count):
    return [
        [n, f"00ff00ff00ff00ff.0.0.{n}", 1, "done", ""] for n in range(1, count + 1)
    ]


@then("a list of {most:d} ends counts as complete, and one of {more:d} does not")
def step_complete(context, most, more):
    for count, is_whole in ((most, True), (more, False)):
        body = {"clockMs": 1000, "running": [], "finished": _end_rows(count)}
        answer = _parse_run_list(Reply(200, body))
        assert answer.has_all_ends is is_whole, count


@when("the worker lists {count:d} ends and its port refuses {refused:d} connections")
def step_lists_ends(context, count, refused):
    world = context.hosting_world
    world.ends = _end_rows(count)
    world.until(lambda: not world.hosting.has_all_ends)
    world.refuse(refused)


@then("its list counts as complete once its runs count as lost")
def step_complete_again(context):
    world = context.hosting_world
    world.until(lambda: not world.hosting.running)
    assert world.hosting.has_all_ends


@given("its run has succeeded, and that was acknowledged")
def step_succeeded_acknowledged(context):
    world = context.world
    world.end_all()
    _rounds(world)
    (worker,) = world.worker_by_node.values()
    assert worker.acknowledged == 1, worker


@when("its worker restarts, and the first report after that has no list")
def step_restarts_unlisted(context):
    (worker,) = context.world.worker_by_node.values()
    worker.restart()
    worker.unlisted = True


@when('job "{name}" is cancelled')
def step_cancelled(context, name):
    world = context.world
    world.scheduler.cancel(name, now=world.now, wall_now=world.wall_now)


@then("no end of the worker's new incarnation was acknowledged")
def step_none_acknowledged(context):
    (worker,) = context.world.worker_by_node.values()
    assert worker.acknowledged == 0, worker.acknowledged
