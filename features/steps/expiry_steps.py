"""Steps on ended jobs that a leader deletes from the store."""

from behave import given, then, when

from features.steps.leader_world import LeaderWorld
from features.steps.scheduling_world import make_job, plain
from wagtailcleat.cluster.keys import JOB_PREFIX, job_key
from wagtailcleat.scheduling.models import JobRecord, JobState

MAX_ROUNDS = 20


def _wait_until_deleted(world, *, kept=()):
    """Wait until the store has the jobs in `kept` only."""
    for _ in range(MAX_ROUNDS):
        found = {key for key in world.store.found_by_key if key.startswith(JOB_PREFIX)}
        if found == {job_key(job) for job in kept}:
            return
        world.rounds(1)
    raise AssertionError(found)


@given("a leader that deletes {count:d} ended jobs from a store, which does not answer")
def step_unanswered_deletes(context, count):
    world = context.leading = LeaderWorld()
    context.add_cleanup(world.close)
    jobs = [f"{number:016x}" for number in range(1, count + 1)]
    for job in jobs:
        record = JobRecord(JobState.SUCCEEDED, ended_at=1.0)
        world.store_job(make_job(job, plain(1)), record)
    context.job = jobs[0]
    world.store.delays_deletes = True
    world.lead()
    world.until(lambda: world.leader.ready)
    world.rounds()
    world.until(lambda: world.store.delayed_writes)


@when("the jobs are deleted by repeated writes, which are answered")
def step_repeated_deletes(context):
    world = context.leading
    world.store.delays_deletes = False
    _wait_until_deleted(world)


@when("a job is submitted under the id of a deleted one")
def step_submit_again(context):
    world = context.leading
    assert job_key(context.job) not in world.store.found_by_key
    world.store_job(make_job(context.job, plain(1)))
    world.rounds()


@then("that job is in the store, and runs")
def step_runs(context):
    world = context.leading
    world.rounds()
    assert job_key(context.job) in world.store.found_by_key, "the job was deleted"
    assert len(world.runs(context.job)) == 1, world.runs(context.job)


@then("the other jobs are deleted")
def step_others_deleted(context):
    _wait_until_deleted(context.leading, kept=[context.job])
