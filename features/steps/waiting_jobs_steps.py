"""Steps on the number of a queue's jobs of which no task has started."""

import msgspec
from behave import given, then, when

from features.steps.scheduling_world import HORIZON, make_job, plain
from features.steps.waiting_jobs_fuzz import QUEUES, run_waiting_histories
from wagtailcleat.scheduling.job_records import record_of
from wagtailcleat.scheduling.job_table import JobTable
from wagtailcleat.scheduling.models import (
    JobRecord,
    JobState,
    Refusal,
    RunEnd,
    TaskRecord,
)

QUEUE, OTHER_QUEUE = QUEUES
SETTLING_ROUNDS = 4


@given("{count:d} jobs of one task each are queued")
def step_queued(context, count):
    for number in range(count):
        job = make_job(f"w{number}", plain(1), queue=QUEUE, attempts=1)
        context.world.submit(job)


@given("the second VM is gone")
def step_second_gone(context):
    worker = context.world.worker_by_node["vm-2"]
    context.world.scheduler.mark_disconnected(worker.node)
    del context.world.worker_by_node[worker.node]
    context.gone = [worker.node]


def _take_without_starts(worker, orders):
    """Let an agent accept orders, with no start carried out; return the run keys."""
    worker.take(msgspec.structs.replace(orders, starts=[]))
    return [start.key for start in orders.starts]


def _report_all(world):
    for worker in world.worker_by_node.values():
        world.report(worker)


@when("the workers answer no start")
def step_unanswered(context):
    world = context.world
    for _ in range(SETTLING_ROUNDS):
        for node, orders in world.decide():
            worker = world.worker_by_node[node]
            worker.unsettled += _take_without_starts(worker, orders)
        _report_all(world)
    assert sum(len(w.unsettled) for w in world.worker_by_node.values()) == 4


@when("the starts in doubt are carried out")
def step_carried_out_late(context):
    for worker in context.world.worker_by_node.values():
        worker.running |= dict.fromkeys(worker.unsettled)
        worker.unsettled = []
    _report_all(context.world)


@when("the starts in doubt prove not to have run")
def step_never_ran(context):
    for worker in context.world.worker_by_node.values():
        worker.refused = [(key, Refusal.NEVER_RAN) for key in worker.unsettled]
        worker.unsettled = []
    _report_all(context.world)


@when("their starts are sent and do not arrive")
def step_not_arrived(context):
    assert sum(len(orders.starts) for _, orders in context.world.decide()) == 4


def _refuse_all(world):
    for _ in range(SETTLING_ROUNDS):
        for node, orders in world.decide():
            worker = world.worker_by_node[node]
            keys = _take_without_starts(worker, orders)
            worker.refused = [(key, Refusal.NO_ROOM) for key in keys]
        _report_all(world)
        for worker in world.worker_by_node.values():
            worker.refused = []
        world.now += 1.0


@when("each of their starts is refused")
def step_refused(context):
    _refuse_all(context.world)
    assert len(context.world.starts) >= 4, context.world.starts


@when("their starts are carried out")
def step_carried_out(context):
    context.world.round()
    _report_all(context.world)


@when("their workers crash, and refuse starts after that")
def step_crash(context):
    for worker in context.world.worker_by_node.values():
        worker.restart()
    _report_all(context.world)
    _refuse_all(context.world)


@when("their runs are stopped before the first list, and starts are refused after that")
def step_stopped_early(context):
    context.world.round()
    context.world.end_all(RunEnd.STOPPED)
    _report_all(context.world)
    _refuse_all(context.world)


@when(
    "one of the running jobs succeeds, the other fails, and a waiting one is cancelled"
)
def step_end_some(context):
    world = context.world
    running = [job for job in _entries(world) if world.running_nodes(job)]
    first, second = running
    world.end_all(RunEnd.SUCCEEDED, first)
    world.end_all(RunEnd.FAILED, second)
    waiting = next(job for job in _entries(world) if job not in running)
    world.scheduler.cancel(waiting, now=world.now, wall_now=world.wall_now)
    _report_all(world)
    states = {_entries(world)[job].state for job in (first, second, waiting)}
    assert states == {JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED}


@when("all of them are cancelled, and that is not stored yet")
def step_cancel_all(context):
    world = context.world
    for job in _entries(world):
        world.scheduler.cancel(job, now=world.now, wall_now=world.wall_now)


def _entries(world):
    return world.scheduler.job_table.entry_by_id


@when("a new leader restores the jobs")
def step_restore(context):
    world = context.world
    # Only what has been marked for the store is stored.
    stored = [
        (entry.job, record_of(entry) if entry.version or entry.store_revision else None)
        for entry in _entries(world).values()
    ]
    world.lead(world.scheduler.epoch + 1)
    nodes = {*world.worker_by_node, *getattr(context, "gone", [])}
    world.scheduler.unreported_agents = nodes
    for job, record in stored:
        entry = world.scheduler.job_table.add(
            job,
            now=world.now,
            wall_now=world.wall_now,
            record=record,
            store_revision=1 if record else 0,
        )
        entry.may_start_tasks = False
    for worker in world.worker_by_node.values():
        worker.session += 1
        worker.orders_taken = 0


@when("all agents but one have reported to it")
def step_but_one(context):
    workers = list(context.world.worker_by_node.values())
    context.last = workers.pop() if len(workers) > 1 else None
    for worker in workers:
        context.world.report(worker)
    assert len(context.world.scheduler.unreported_agents) == 1


@when("the last agent has reported to it")
def step_last(context):
    context.world.report(context.last)


@when("all agents have reported to it")
def step_all_reported(context):
    _report_all(context.world)


@when("the new leader has waited until leases have lapsed")
def step_lapsed(context):
    world = context.world
    world.now = world.claimed_at + HORIZON
    _report_all(world)
    given_up = world.scheduler.expire(
        now=world.now, predecessors_until=world.claimed_at
    )
    assert given_up == context.gone, given_up


@when("the runs are stopped at a checkpoint, and that is reported and stored")
def step_checkpoint_stored(context):
    for worker in context.world.worker_by_node.values():
        for key in list(worker.running):
            worker.end(key, RunEnd.STOPPED, checkpoint="first")
    _report_all(context.world)
    context.world.commit()


def _report_and_acknowledge(world):
    """Report and store everything, and acknowledge the ends."""
    _report_all(world)
    world.commit()
    for vm, orders in world.scheduler.orders(now=world.now):
        world.worker_by_node[vm.node].take(orders)
    assert not any(worker.ended for worker in world.worker_by_node.values())


@when("the runs are stopped, and all that is stored and acknowledged")
def step_stopped_stored(context):
    context.world.end_all(RunEnd.STOPPED)
    _report_and_acknowledge(context.world)


@when("the workers crash, and that is reported and stored")
def step_crash_stored(context):
    for worker in context.world.worker_by_node.values():
        worker.restart()
    _report_all(context.world)
    context.world.commit()


@when(
    "their starts are carried out, and the agents are silent until leases have lapsed"
)
def step_silent(context):
    world = context.world
    world.round()
    world.now += HORIZON
    assert world.scheduler.expire(now=world.now, predecessors_until=world.claimed_at)
    world.end_all(RunEnd.LAPSED)


@when("all that lapsed is reported, stored and acknowledged")
def step_lapsed_stored(context):
    _report_and_acknowledge(context.world)


@then("{count:d} jobs are waiting, and {shown:d} are shown as {state}")
@then("{count:d} job is waiting, and {shown:d} are shown as {state}")
def step_waiting(context, count, shown, state):
    step_waiting_only(context, count)
    states = [e.durable_state.value for e in _entries(context.world).values()]
    assert states.count(state) == shown, states


@then("{count:d} job is waiting")
def step_waiting_only(context, count):
    said = context.world.scheduler.job_table.waiting(QUEUE)
    assert said == count, f"{said} jobs are said to wait, not {count}"


@then("{count:d} jobs are waiting in another queue")
def step_other_queue(context, count):
    assert context.world.scheduler.job_table.waiting(OTHER_QUEUE) == count


@then("no record is written of them")
def step_no_record(context):
    versions = [entry.version for entry in _entries(context.world).values()]
    assert not any(versions), versions


@then("the record of each of them was written once")
def step_record_once(context):
    versions = [entry.version for entry in _entries(context.world).values()]
    assert versions == [1] * 4, versions


@then("the number of waiting jobs is not known")
def step_not_known(context):
    said = context.world.scheduler.job_table.waiting(QUEUE)
    assert said is None, f"{said} jobs are said to wait before all agents reported"


def _restored(record):
    table = JobTable()
    job = make_job("w0", plain(2), queue=QUEUE)
    table.add(job, now=0.0, wall_now=0.0, record=record, store_revision=1)
    return table.waiting(QUEUE)


@then("a record without progress restores a waiting job")
def step_no_progress(context):
    assert _restored(JobRecord(JobState.QUEUED)) == 1


@then("a record of an earlier version with progress restores a job that has begun")
def step_progress(context):
    queued = JobState.QUEUED
    assert _restored(JobRecord(queued, [(0, 0, [1])])) == 0
    assert _restored(JobRecord(queued, [], [TaskRecord(0, 0, 1, [1])])) == 0
    assert _restored(JobRecord(JobState.RUNNING)) == 0


@then("in {count:d} random histories the number of waiting jobs is right")
def step_histories(context, count):
    run_waiting_histories(count)
