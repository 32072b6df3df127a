"""Steps on what the log tells of the ends of jobs, and of jobs that do not exist."""

import logging

from behave import given, then, when

from features.steps.leader_world import LeaderWorld
from features.steps.scheduling_world import make_job, plain
from wagtailcleat.cluster.keys import cancel_key
from wagtailcleat.scheduling.models import RunEnd
from wagtailcleat.wire.scheduling import CancelSteps

JOB = "00ff00ff00ff00ff"


class _Collector(logging.Handler):
    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        """Keep a record."""
        self.records.append(record)


@given("a leader with 2 agents and a job of 1 task with 2 attempts")
def step_leader(context):
    context.collector = _Collector()
    logger = logging.getLogger("wagtailcleat.leader")
    level = logger.level
    logger.setLevel(logging.INFO)
    logger.addHandler(context.collector)
    context.add_cleanup(logger.removeHandler, context.collector)
    context.add_cleanup(logger.setLevel, level)
    world = context.leading = LeaderWorld()
    context.add_cleanup(world.close)
    world.lead()
    world.until(lambda: world.leader.ready)
    world.rounds()
    world.store_job(make_job(JOB, plain(1), attempts=2))
    world.until(lambda: world.runs(JOB))


def _end_run(world, how):
    world.until(lambda: world.runs(JOB))
    node, key = world.runs(JOB)[0]
    next(w for w in world.workers if w.node == node).end(key, how)
    world.rounds()


@when("its runs fail")
def step_fail(context):
    for _ in range(2):
        _end_run(context.leading, RunEnd.FAILED)


@when("its run succeeds")
def step_succeeds(context):
    _end_run(context.leading, RunEnd.SUCCEEDED)


@when("a call cancels it")
def step_call(context):
    world = context.leading
    world.loop.run_until_complete(world.leader.cancel(CancelSteps(JOB), 1.0))
    world.rounds()


@when("its cancellation is found in the store")
def step_stored(context):
    context.leading.store.put(cancel_key(JOB), b"1")
    context.leading.rounds()


@then('the log says that the job is "{state}", because "{why}"')
def step_logged(context, state, why):
    ended = [r for r in context.collector.records if "Job ended" in r.getMessage()]
    told = [(record.job, record.state, record.why) for record in ended]
    assert len(told) == 1 and told[0][:2] == (JOB, state), told
    assert told[0][2].startswith(why), told


@then('it is counted as "{state}"')
def step_counted(context, state):
    counts = context.leading.leader.scheduler.job_table.count_by_end
    assert counts == {state: 1}, counts


@then('the answer rests on "{why}"')
def step_basis(context, why):
    assert context.answer.why == why, context.answer
