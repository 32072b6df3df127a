"""Steps on runs that a new leader has heard of, while another agent is silent."""

from behave import given, then, when

from features.steps.scheduling_steps import next_question, record_of, restored
from features.steps.scheduling_world import HORIZON, make_job, plain
from wagtailcleat.scheduling.models import RunEnd

TICKET_SECONDS = 5.0

END_BY_WORD = {
    "fails": RunEnd.FAILED,
    "lapses": RunEnd.LAPSED,
    "succeeds": RunEnd.SUCCEEDED,
}


@given('job "{name}" of 1 task, and then of 1 task, of which the first runs')
def step_two_steps(context, name):
    _run(context, make_job(name, plain(1), plain(1, after=(0,))))


@given('a gang "{name}" of 2 tasks of 4 cores runs')
def step_gang(context, name):
    _run(context, make_job(name, plain(2, cores=4, gang=True)))


@given(
    'job "{name}" of an advised queue, of 1 task and then of 1 task, of which the first'
    " runs"
)
def step_advised(context, name):
    _run(context, make_job(name, plain(1), plain(1, after=(0,)), advised=True))


def _run(context, job):
    world = context.world
    world.submit(job)
    world.round()
    if job.advised:
        _grant(world)
    world.round()
    assert world.running_nodes(job.id)
    workers = world.worker_by_node.values()
    context.host = next(worker for worker in workers if worker.running)
    others = [worker for worker in workers if worker is not context.host]
    context.silent = others[0]
    context.node = context.silent.node
    context.heard = [context.host, *others[1:]]
    context.starts_before = len(world.starts)


def _hear(context):
    for worker in context.heard:
        context.world.report(worker)
    _decide(context)


def _decide(context):
    for node, orders in context.world.decide():
        context.world.worker_by_node[node].take(orders)


def _end(context, how):
    for key in list(context.host.running):
        context.host.end(key, how)
    _hear(context)


@when(
    "a new leader restores the jobs and gets the reports of all agents but an idle one"
)
def step_all_but_one(context):
    restored(context)
    _hear(context)
    assert len(context.world.starts) == context.starts_before


@when('the run of job "{name}" {ends}')
def step_ends(context, name, ends):
    _end(context, END_BY_WORD[ends])


def _grant(world):
    """Let the advice service grant what is asked; return the step."""
    question = next_question(world)
    assert question is not None, "no advice is asked for"
    ticket_by_worker = {worker.id: "ticket" for worker in question.workers}
    until = world.now + TICKET_SECONDS
    world.scheduler.advice.take(question, ticket_by_worker, until=until)
    return question.step


@then(
    'advice is asked for step {step:d} of job "{name}", and its task starts once it is'
    " granted"
)
def step_advice(context, step, name):
    assert _grant(context.world) == (0, step)
    step_started(context, step, name)


@then("no advice is asked for")
def step_no_advice(context):
    assert next_question(context.world) is None


@when("a new leader gets a list of before its claim, and the run fails")
def step_old_list(context):
    restored(context)
    context.host.listed_in_epoch = False
    _hear(context)
    context.host.listed_in_epoch = True
    _end(context, RunEnd.FAILED)


@when("a new leader first hears of the run when it has failed")
def step_ended_before(context):
    restored(context)
    _end(context, RunEnd.FAILED)


@when("a new leader gets the report of one of its agents, and that run breaks")
def step_gang_breaks(context):
    restored(context)
    _hear(context)
    _end(context, RunEnd.BROKEN)


@then('a task of step {step:d} of job "{name}" is started at once')
def step_started(context, step, name):
    _decide(context)
    started = context.world.starts[context.starts_before :]
    tasks = [key.task for _, key in started]
    assert [(task.job, task.step) for task in tasks] == [(name, step)], started
    assert all(node != context.silent.node for node, _ in started), started


@when("a new leader gets a list of before its claim")
def step_only_old_list(context):
    restored(context)
    context.host.listed_in_epoch = False
    _hear(context)


@when("the success of its run is stored")
def step_success_stored(context):
    _end(context, RunEnd.SUCCEEDED)
    context.world.commit()
    _decide(context)


@then("its success is acknowledged")
def step_acknowledged(context):
    assert not context.host.ended, context.host.ended


@then("its success is not acknowledged")
def step_not_acknowledged(context):
    assert context.host.ended


@when("a new leader hears that the agent of the run was restarted {seconds:g} s before")
def step_agent_restarted(context, seconds):
    restored(context)
    context.host.unknown = True
    context.host.up_seconds = seconds
    for worker in context.world.worker_by_node.values():
        context.world.report(worker)
    _decide(context)


@then('job "{name}" starts {word}')
def step_starts(context, name, word):
    started = context.world.starts[context.starts_before :]
    assert [key.task.job for _, key in started] == [name] * (word == "again"), started


@given("its agent is out of touch, its run succeeds, and a later run is started")
def step_given_up(context):
    world = context.world
    world.now += HORIZON + 0.1
    others = [w for w in world.worker_by_node.values() if w is not context.host]
    for worker in others:
        world.report(worker)
    _decide(context)
    # The run ended before its lease lapsed.
    for key in list(context.host.running):
        context.host.end(key, RunEnd.SUCCEEDED)
    (context.later,) = [worker for worker in others if worker.running]


@given("the leader hears of the success, gives its orders, and {goes_on}")
def step_success_heard(context, goes_on):
    world = context.world
    # Its record was stored with the start of the later run, and not since.
    context.stored = [
        (entry.job, record_of(entry))
        for entry in world.scheduler.job_table.entry_by_id.values()
    ]
    context.starts_before = len(world.starts)
    world.report(context.host)
    for node, orders in world.decide():
        if node != context.later.node:  # The stop gets lost.
            world.worker_by_node[node].take(orders)
    context.silent = next(
        (
            worker
            for worker in world.worker_by_node.values()
            if any(key.task.step == 1 for key in worker.running)
        ),
        next(w for w in world.worker_by_node.values() if not w.running),
    )


@when("the success is stored")
def step_stored(context):
    assert len(context.world.starts) == context.starts_before
    context.world.commit()


@when("a new leader hears of the later run, but not of the next step")
def step_later_heard(context):
    world = context.world
    world.lead(2)
    world.scheduler.unreported_agents = set(world.worker_by_node)
    for job, record in context.stored:
        world.scheduler.job_table.add(
            job, now=world.now, wall_now=world.wall_now, record=record
        ).may_start_tasks = False
    context.heard = [
        worker
        for worker in world.worker_by_node.values()
        if worker not in (context.silent, context.host)
    ]
    _hear(context)


@when("the new leader hears of the success again")
def step_success_again(context):
    context.heard = [context.host]
    _hear(context)
    _decide(context)


@when("the later run succeeds")
def step_later_succeeds(context):
    for key in list(context.later.running):
        context.later.end(key, RunEnd.SUCCEEDED)
    _hear(context)
    _decide(context)


@then('no task of job "{name}" has two runs')
def step_no_two_runs(context, name):
    running = [
        (worker.node, key)
        for worker in context.world.worker_by_node.values()
        for key in worker.running
        if key.task.job == name
    ]
    tasks = [key.task for _, key in running]
    assert len(set(tasks)) == len(tasks), running


@given('job "{name}" of 2 tasks, and then of 1 task, of which the first run')
def step_two_then_one(context, name):
    _run(context, make_job(name, plain(2, cores=20), plain(1, after=(0,))))
    assert len(set(context.world.running_nodes(name))) == 2


@given("one agent is out of touch, its run succeeds, and a later run is started")
def step_one_given_up(context):
    world = context.world
    workers = world.worker_by_node.values()
    world.now += HORIZON + 0.1
    others = [worker for worker in workers if worker is not context.host]
    context.other = next(worker for worker in others if worker.running)
    for worker in others:
        world.report(worker)
    _decide(context)
    for key in list(context.host.running):
        context.host.end(key, RunEnd.SUCCEEDED)
    context.later = next(w for w in others if w.running and w is not context.other)
    context.stored = _stored(context)


def _stored(context):
    return [
        (entry.job, record_of(entry))
        for entry in context.world.scheduler.job_table.entry_by_id.values()
    ]


def _lead(context, epoch):
    """Let a new leader restore what was stored before the success."""
    world = context.world
    world.lead(epoch)
    world.scheduler.unreported_agents = set(world.worker_by_node)
    for worker in world.worker_by_node.values():
        worker.orders_taken = 0
    for job, record in context.stored:
        world.scheduler.job_table.add(
            job, now=world.now, wall_now=world.wall_now, record=record
        ).may_start_tasks = False


@when(
    "a new leader hears of the success and of the other task, which succeeds, but not"
    " of the later run"
)
def step_success_without_later(context):
    _lead(context, 2)
    workers = context.world.worker_by_node.values()
    context.heard = [worker for worker in workers if worker is not context.later]
    _hear(context)
    for key in list(context.other.running):
        context.other.end(key, RunEnd.SUCCEEDED)
    _hear(context)


@when("a third leader hears of the later run, but not of the next step")
def step_third_leader(context):
    _lead(context, 3)
    workers = context.world.worker_by_node.values()
    context.silent = next(
        (w for w in workers if any(key.task.step == 1 for key in w.running)),
        next(w for w in workers if not w.running and not w.ended),
    )
    context.heard = [worker for worker in workers if worker is not context.silent]
    _hear(context)
