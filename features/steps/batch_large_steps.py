"""Steps on a shard whose record is larger than a value in the store may be."""

from batch_world import HELD, SHARDS, TASK, TEAM, TIMING, configured
from behave import given, then, when

from standins.in_process_agents import AgentsDeployment
from wagtailcleat.batch.journal import load_shard
from wagtailcleat.batch.record import Assigned, AttemptEnded, JobAccepted
from wagtailcleat.configuration.keys import shard_log, shard_snapshot
from wagtailcleat.configuration.writer import write
from wagtailcleat.wire.attempts import AttemptState
from wagtailcleat.wire.jobs import JobSpec, SubmitJob, TaskSpec
from wagtailcleat.wire.task_ids import attempt_id, task_id

SHARD = 0


def spec(number, tasks):
    name = f"{SHARD}.{TEAM.name}.job-{number}"
    task = TaskSpec("sleep:1", TASK, 0.0)
    return JobSpec(name, TEAM.name, SHARD, tasks, task, 2_000_000_000.0)


def evicted(job, index, checkpoint):
    attempt = attempt_id(task_id(job.id, index), 1)
    evicted = AttemptState.EVICTED
    yield Assigned(attempt, "vm-1", "agent-vm-1", 1, 0.0)
    yield AttemptEnded(attempt, evicted, checkpoint, "", 0.0)


def stored(context, prefix):
    start = prefix.encode()
    return context.deployment.keyspace.range(start, start + b"\xff")


@given(
    "a shard with {jobs:d} jobs of {tasks:d} tasks,"
    " each with a checkpoint of {size:d} bytes"
)
def step_shard(context, jobs, tasks, size):
    context.deployment = AgentsDeployment({"vm-1": "zilina-a"}, HELD, TIMING, SHARDS)
    context.add_cleanup(context.deployment.close)
    deployment = context.deployment
    agent = deployment.agent_by_vm["vm-1"]
    context.store = agent.node.store
    done = deployment.loop.run(write(context.store, None, "change-1", configured))
    deployment.adopt(done.configuration)
    deployment.pass_time(2.0)
    context.journal = agent.ownership.owner_by_shard[SHARD].journal
    agent.ownership.owner_by_shard[SHARD].stop()
    record = context.journal.record
    for number in range(jobs):
        job = spec(number, tasks)
        record.apply(JobAccepted(job, 0.0))
        for index in range(tasks):
            for event in evicted(job, index, "9" * size):
                record.apply(event)


@when("its owner writes a snapshot")
def step_snapshot(context):
    context.deployment.loop.run(context.journal._write_snapshot())


@then("the store holds it in {parts:d} parts or more and no log entry")
def step_parts(context, parts):
    assert len(stored(context, shard_snapshot(SHARD) + "/")) >= parts
    assert not stored(context, shard_log(SHARD))


@then("another owner loads the same jobs from it")
def step_load(context):
    loaded = context.deployment.loop.run(load_shard(context.store, SHARD))
    assert loaded.record.job_by_id == context.journal.record.job_by_id
    assert loaded.record.pending_count() == context.journal.record.pending_count()


@then("a third job of {tasks:d} tasks is refused as not run")
def step_refused(context, tasks):
    answer = context.deployment.send_to_owner("vm-1", SHARD, SubmitJob(spec(9, tasks)))
    assert answer.code == "not_run", answer
