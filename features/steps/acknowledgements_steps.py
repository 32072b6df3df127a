"""Steps on when the leader acknowledges ends of runs."""

from behave import given, then, when

from features.steps.doubtful_starts_fuzz import run_doubtful_histories
from features.steps.scheduling_world import HORIZON, make_job, plain
from wagtailcleat.scheduling.job_records import record_of
from wagtailcleat.scheduling.models import Ended, Refusal, RunEnd, WorkerState

JOB = "a"


def _submit(context, step):
    world = context.world
    context.entry = world.submit(make_job(JOB, step))
    world.round()


def _lose_first_runs(context):
    """Let the first run count as lost; the second start is ordered, and in doubt."""
    world = context.world
    started = [
        (worker, key)
        for worker in world.worker_by_node.values()
        for key in worker.running
    ]
    context.first_worker, context.first_run = started[0]
    for worker, _ in started:
        worker.running.clear()
        worker.state = WorkerState.DRAINING
    world.round()
    world.round()
    context.second_worker, context.second_run = next(
        (worker, key)
        for worker in world.worker_by_node.values()
        for key in worker.running
        if key.run != context.first_run.run
    )
    context.second_worker.running.clear()
    context.second_worker.unsettled = [context.second_run]


@given("a task whose first run was taken for lost, and whose second start is in doubt")
def step_task_in_doubt(context):
    _submit(context, plain(1))
    _lose_first_runs(context)


@given(
    "a gang whose first run was taken for lost,"
    " and one of whose second starts is in doubt"
)
def step_gang_in_doubt(context):
    _submit(context, plain(2, cores=4, gang=True))
    _lose_first_runs(context)


def _list_success(context):
    worker = context.first_worker
    worker.ends += 1
    worker.ended = [Ended(worker.ends, context.first_run, RunEnd.SUCCEEDED)]


def _rounds(context):
    for _ in range(3):
        context.world.round()


@when("the first run turns out to have succeeded")
def step_first_succeeded(context):
    _list_success(context)
    _rounds(context)


@then("that end is not acknowledged")
def step_not_acknowledged(context):
    assert context.first_worker.ended, "acknowledged"


@then("that end is acknowledged")
def step_acknowledged(context):
    assert not context.first_worker.ended, context.first_worker.ended


@when("the second start is known never to have run")
def step_second_never_ran(context):
    worker = context.second_worker
    worker.unsettled = []
    worker.refused = [(context.second_run, Refusal.NEVER_RAN)]
    _rounds(context)


@when("the VM of the second start is not heard of until its leases have lapsed")
def step_second_lost(context):
    world = context.world
    del world.worker_by_node[context.second_worker.node]
    world.scheduler.mark_disconnected(context.second_worker.node)
    ends_at = world.now + HORIZON + 1.0
    while world.now < ends_at:
        world.round()


@when(
    "a new leader learns of the first run's success before it hears of the second start"
)
def step_new_leader(context):
    world = context.world
    record = record_of(context.entry)
    world.lead(2)
    world.scheduler.unreported_agents = set(world.worker_by_node)
    context.unheard = world.worker_by_node.pop(context.second_worker.node)
    world.scheduler.job_table.add(
        context.entry.job, now=world.now, wall_now=world.wall_now, record=record
    ).may_start_tasks = False
    for worker in world.worker_by_node.values():
        worker.orders_taken = 0
    _list_success(context)
    _rounds(context)


@when("it hears of the second start")
def step_hears(context):
    worker = context.unheard
    worker.orders_taken = 0
    context.world.worker_by_node[worker.node] = worker
    _rounds(context)


@when("its run fails, and the next one goes on")
def step_fails(context):
    world = context.world
    context.first_worker = next(w for w in world.worker_by_node.values() if w.running)
    world.end_all(RunEnd.FAILED)
    _rounds(context)
    assert world.running_nodes(JOB), "its next run was not started"


@given("a job that has ended, one of whose ends a new leader may not acknowledge yet")
def step_ended_unacknowledged(context):
    world = context.world
    _submit(context, plain(1))
    context.first_worker, context.first_run = next(
        (worker, key)
        for worker in world.worker_by_node.values()
        for key in worker.running
    )
    context.first_worker.running.clear()
    context.second_worker = next(
        worker
        for worker in world.worker_by_node.values()
        if worker is not context.first_worker
    )
    _list_success(context)
    world.report(context.first_worker)
    world.commit()
    step_new_leader(context)
    assert context.first_worker.ended, "acknowledged"


@when("the job is deleted, and then the last agent reports")
def step_deleted(context):
    del context.world.scheduler.job_table.entry_by_id[JOB]
    step_hears(context)


@when("{count:d} random histories of starts in doubt are played")
def step_play(context, count):
    run_doubtful_histories(count)


@then("no task was started after an acknowledged end, and all ends were acknowledged")
def step_played(context):
    pass  # Each history checks it.
