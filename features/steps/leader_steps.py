"""Steps on what reaches a leader late, or before it knows of it."""

from behave import given, then, when

from features.steps.leader_world import LeaderWorld
from features.steps.scheduling_world import make_job, plain
from wagtailcleat.cluster.keys import encode
from wagtailcleat.scheduling.models import (
    JobRecord,
    JobState,
    TaskKey,
)
from wagtailcleat.wire.scheduling import Submitted

JOB = "00ff00ff00ff00ff"
FIRST = TaskKey(JOB, 0, 0, 0)


def _begin(context, **more):
    context.leading = LeaderWorld(**more)
    context.add_cleanup(context.leading.close)
    return context.leading


@given("a job whose first task has succeeded, as an earlier leader stored it")
def step_stored(context):
    world = _begin(context)
    context.submitted = make_job(JOB, plain(2))
    record = JobRecord(JobState.RUNNING, [(0, 0, [0])], [])
    world.store_job(context.submitted, record)


@when("a leader is told of the job while it waits for the lists of the store")
def step_told_early(context):
    world = context.leading
    world.store.open.clear()
    world.lead()
    world.until(lambda: world.store.asked_lists)
    message = Submitted(JOB, encode(context.submitted))
    world.loop.run_until_complete(world.leader.submitted(message))
    world.store.open.set()
    world.until(lambda: world.leader.ready)


@when("the agents report")
def step_report(context):
    context.leading.rounds()


@then("the task that has succeeded does not run again")
def step_not_again(context):
    runs = [key for _, key in context.leading.runs(JOB)]
    assert FIRST not in [key.task for key in runs], runs
