"""Steps on ends that are listed to a new leader again, late or out of order."""

import msgspec
from behave import given, then, when

from features.steps.ended_runs_fuzz import (
    run_counted_histories,
    run_random_listings,
)
from features.steps.scheduling_world import (
    REPORT_SECONDS,
    make_job,
    plain,
)
from wagtailcleat.cluster.keys import decode
from wagtailcleat.scheduling.job_records import record_of
from wagtailcleat.scheduling.models import (
    JobRecord,
    JobState,
    Refusal,
    RunEnd,
    WorkerState,
)


def _records(world):
    """Return the jobs with the records that the leader would store now."""
    job_table = world.scheduler.job_table
    return [(entry.job, record_of(entry)) for entry in job_table.entry_by_id.values()]


def _restart_leader(context, stored=None):
    """Replace the leader by one that restores the old one's records."""
    world = context.world
    stored = stored or _records(world)
    context.epoch = getattr(context, "epoch", 1) + 1
    world.lead(context.epoch)
    world.scheduler.unreported_agents = set(world.worker_by_node)
    for worker in world.worker_by_node.values():
        worker.orders_taken = 0
        worker.session += 1
    for job, record in stored:
        entry = world.scheduler.job_table.add(
            job, now=world.now, wall_now=world.wall_now, record=record
        )
        entry.may_start_tasks = False


def _only_run(context):
    """Return the only run of the scenario's job, with its worker."""
    places = [
        (worker, key)
        for worker in context.world.worker_by_node.values()
        for key in worker.running
        if key.task.job == context.job
    ]
    runs = [(worker.node, str(key)) for worker, key in places]
    assert len(places) == 1, runs
    return places[0]


def _run_elsewhere(context, how, checkpoint=""):
    """End the only run, and let the next one start on the other VM.

    The first VM gets no acknowledgement of the end, and continues to list it.
    """
    world = context.world
    context.stored_before = _records(world)
    first, key = _only_run(context)
    first.end(key, how, checkpoint)
    first.state = WorkerState.DRAINING
    for worker in world.worker_by_node.values():
        world.report(worker)
    for node, orders in world.decide():
        if node != first.node:
            world.worker_by_node[node].take(orders)
    first.state = WorkerState.READY
    context.first = first
    context.first_key = key
    context.second, context.second_key = _only_run(context)
    assert context.second is not first


def _report_second_first(context):
    context.world.report(context.second)
    context.world.report(context.first)


def _rounds(world, count):
    for _ in range(count):
        world.round()


@given('job "{name}" of {count:d} checkpointable task runs')
def step_checkpointable(context, name, count):
    context.job = name
    context.world.submit(make_job(name, plain(count, checkpointable=True)))
    _rounds(context.world, 2)


@given('job "{name}" of {count:d} serving task runs')
def step_serving_runs(context, name, count):
    context.execute_steps(f'Given job "{name}" of {count} serving tasks')
    _rounds(context.world, 2)


@given('job "{name}" of {count:d} task with {attempts:d} attempts runs')
def step_attempts_run(context, name, count, attempts):
    context.job = name
    context.world.submit(make_job(name, plain(count), attempts=attempts))
    _rounds(context.world, 2)


@when(
    "its run is stopped, the next one lapses, and the one after is lost with its worker"
)
def step_other_ends(context):
    for how in (RunEnd.STOPPED, RunEnd.LAPSED):
        worker, key = _only_run(context)
        worker.end(key, how)
        _rounds(context.world, 2)
    worker, _ = _only_run(context)
    worker.restart()


@when("a start of it is refused")
def step_start_refused(context):
    world = context.world
    for worker in world.worker_by_node.values():
        world.report(worker)
    ((node, orders),) = [row for row in world.decide() if row[1].starts]
    worker = world.worker_by_node[node]
    worker.orders_taken = orders.number
    worker.refused = [(start.key, Refusal.NEVER_RAN) for start in orders.starts]
    world.report(worker)
    worker.refused = []
    _rounds(world, 2)


@given("it succeeds and runs again on the other VM")
def step_ends_well(context):
    _run_elsewhere(context, RunEnd.SUCCEEDED)


@given("it fails and runs again on the other VM")
def step_fails(context):
    _run_elsewhere(context, RunEnd.FAILED)


@given('it is stopped at checkpoint "{checkpoint}" and continues on the other VM')
def step_goes_on(context, checkpoint):
    _run_elsewhere(context, RunEnd.STOPPED, checkpoint)
    second = context.second.running[context.second_key]
    assert second.checkpoint == checkpoint, second


@when("a new leader learns of the later run first, and then of the earlier one's end")
def step_later_first(context):
    _restart_leader(context)
    _report_second_first(context)


@when("a leader that finds nothing of that stored learns of the later run first")
def step_nothing_stored(context):
    _restart_leader(context, context.stored_before)
    _report_second_first(context)


@when('the later run has reached checkpoint "{checkpoint}"')
def step_reached(context, checkpoint):
    context.second.checkpoint_by_run[context.second_key] = checkpoint


@when('the later run is stopped too, at checkpoint "{checkpoint}", and that is stored')
def step_stopped_too(context, checkpoint):
    world = context.world
    context.second.end(context.second_key, RunEnd.STOPPED, checkpoint)
    world.report(context.second)
    world.commit()


@when("a new leader learns of the earlier run's end only")
def step_earlier_only(context):
    _restart_leader(context)
    context.second.restart()
    context.world.report(context.first)
    context.world.report(context.second)


@when("the later run's worker crashes and comes back")
def step_later_crashes(context):
    context.second.restart()
    _rounds(context.world, 2)


@when("the earlier run's end is listed to the same leader under another number")
def step_other_number(context):
    world = context.world
    worker, key = context.first, context.first_key
    # Its agent was restarted meanwhile and gives this end the next number.
    worker.ends += 1
    (ended,) = worker.ended
    worker.ended = [type(ended)(worker.ends, key, ended.how, ended.checkpoint)]
    worker.session += 1
    world.report(worker)


@when("{seconds:d} s pass with all agents connected")
def step_seconds_in_touch(context, seconds):
    _rounds(context.world, round(seconds / REPORT_SECONDS))


@then('only the later run of job "{name}" continues')
def step_just_one(context, name):
    _rounds(context.world, 5)
    worker, key = _only_run(context)
    assert (worker, key) == (context.second, context.second_key), (worker, key)


@then('job "{name}" continues from checkpoint "{checkpoint}"')
def step_from_checkpoint(context, name, checkpoint):
    _rounds(context.world, 2)
    worker, key = _only_run(context)
    assert key.run > context.second_key.run, key
    assert worker.running[key].checkpoint == checkpoint, worker.running[key]


@then("it runs where it has not failed")
def step_not_where_failed(context):
    _rounds(context.world, 2)
    worker, key = _only_run(context)
    assert key.run > context.second_key.run, key
    assert worker is not context.first, worker.node


@then("the log says that the failure was known")
def step_log_known(context):
    events = [
        logged.event.value for logged in context.world.scheduler.take_logged_events()
    ]
    assert events.count("Failure was known") == 1, events


@given(
    'a stored job "{name}" of {count:d} task with {attempts:d} attempts,'
    " of which an earlier version counted {failures:d}"
)
def step_earlier_version(context, name, count, attempts, failures):
    context.job = name
    job = make_job(name, plain(count), attempts=attempts)
    row = [0, 0, 0, failures, ""]
    context.stored = [(job, msgspec.msgpack.encode(["running", [], [row], 0.0]))]


@when("a leader restores it")
def step_restores(context):
    stored = [(job, decode(data, JobRecord)) for job, data in context.stored]
    _restart_leader(context, stored)
    context.world.starts.clear()
    _rounds(context.world, 2)


@then('job "{name}" has failed after {count:d} start')
def step_failed_after(context, name, count):
    _rounds(context.world, 2)
    entry = context.world.scheduler.job_table.entry_by_id[name]
    assert entry.state is JobState.FAILED, entry.state
    assert len(context.world.starts) == count, context.world.starts


@when("its run fails, and is listed to the next leader again")
def step_fails_again(context):
    context.world.end_all(RunEnd.FAILED)
    for worker in context.world.worker_by_node.values():
        context.world.report(worker)
    _restart_leader(context)


@given('job "{name}" of {attempts:d} attempts is recurring, and its first task runs')
def step_recurring(context, name, attempts):
    world = context.world
    context.job = name
    job = make_job(
        name,
        plain(1),
        attempts=attempts,
        occurrences=2,
        first_at=world.wall_now,
        interval=1000.0,
    )
    world.submit(job)
    _rounds(world, 2)
    context.second, context.second_key = _only_run(context)
    context.stored_before = _records(world)


@given("its run has failed")
def step_has_failed(context):
    _end(context, RunEnd.FAILED)


@given("its run has succeeded")
def step_has_succeeded(context):
    _end(context, RunEnd.SUCCEEDED)


def _end(context, how):
    context.world.end_all(how)
    context.world.report(context.second)


@when("a leader whose clock is {seconds:d} s behind restores it")
def step_clock_behind(context, seconds):
    _clock_behind(context, seconds, _records(context.world))


@when("a leader whose clock is {seconds:d} s behind finds nothing of that stored")
def step_clock_behind_nothing(context, seconds):
    stored = [(job, None) for job, _ in context.stored_before]
    _clock_behind(context, seconds, stored)


def _clock_behind(context, seconds, stored):
    # The world has only one clock; it is set back to before the due time.
    context.world.now -= seconds
    _restart_leader(context, stored)
    context.world.starts.clear()


@when("each run in progress fails")
def step_each_run_fails(context):
    context.world.end_all(RunEnd.FAILED)
    context.world.round()


@then('job "{name}" keeps running and is not started again')
def step_runs_on(context, name):
    _rounds(context.world, 5)
    assert _only_run(context) == (context.second, context.second_key)


@then("the task that has succeeded is not started again")
def step_not_again(context):
    assert not context.world.starts, context.world.starts


@then("in {count:d} random orders of listed ends each failure counts once")
def step_random_listings(context, count):
    run_random_listings(count)


@then("in {count:d} random histories of leaders no more failures count than there were")
def step_counted_histories(context, count):
    run_counted_histories(count)


@then("no failure counts against the VM")
def step_no_failure(context):
    (vm,) = context.world.scheduler.vm_by_node.values()
    assert vm.failures == 0, vm.failures
