"""Steps on a shard's record, without processes."""

import json

from behave import given, then, when

from wagtailcleat.batch.accounts import encode_account
from wagtailcleat.batch.record import (
    Assigned,
    AttemptEnded,
    JobAccepted,
    ShardRecord,
    decode_snapshot,
)
from wagtailcleat.resources import Resources
from wagtailcleat.wire.attempts import AttemptState
from wagtailcleat.wire.jobs import JobSpec, TaskSpec
from wagtailcleat.wire.task_ids import attempt_id

JOB = "0.travel-desk.ledger"
START = 1_800_000_000.0


@given("a shard's record with a job of {count:d} tasks")
def step_record(context, count):
    context.record = ShardRecord()
    task = TaskSpec("echo:done", Resources(1.0, 100), 0.0)
    spec = JobSpec(JOB, "travel-desk", 0, count, task, START + 600)
    context.record.apply(JobAccepted(spec, START))


@when(
    "all of its tasks end, {evicted:d} of them after an eviction"
    " and {failed:d} after a failure"
)
def step_end(context, evicted, failed):
    count = len(context.record.job_by_id[JOB].tasks)
    for index in range(count):
        earlier = [AttemptState.EVICTED] * (index < evicted)
        earlier += [AttemptState.FAILED] * (evicted <= index < evicted + failed)
        for number, state in enumerate([*earlier, AttemptState.SUCCEEDED], 1):
            attempt = attempt_id(f"{JOB}/{index}", number)
            context.record.apply(Assigned(attempt, "vm-1", "agent-vm-1", 1, START))
            context.record.apply(AttemptEnded(attempt, state, "", "", START + 1))


@then("the record's snapshot is smaller than {size:d} bytes")
def step_small(context, size):
    assert len(context.record.encode_snapshot()) < size, len(
        context.record.encode_snapshot()
    )


@then(
    "the account, also after a restore, shows {succeeded:d} succeeded,"
    " {evictions:d} evictions, {failures:d} failures"
)
def step_account(context, succeeded, evictions, failures):
    for record in (context.record, decode_snapshot(context.record.encode_snapshot())):
        seen = json.loads(encode_account(record.job_by_id[JOB], "ledger", START + 2))
        assert seen["state"] == "finished", seen
        assert seen["tasks"] == seen["succeeded"] == succeeded, seen
        assert seen["evictions"] == evictions, seen
        assert seen["failures"] == failures, seen
        assert seen["attempts"] == succeeded + evictions + failures, seen
