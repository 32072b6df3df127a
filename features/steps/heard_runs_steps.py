"""Steps on runs that a new leader has heard of, while another agent is silent."""

from behave import given, then, when

from features.steps.scheduling_steps import restored
from features.steps.scheduling_world import make_job, plain
from wagtailcleat.scheduling.models import RunEnd

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


def _run(context, job):
    world = context.world
    world.submit(job)
    world.round()
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
