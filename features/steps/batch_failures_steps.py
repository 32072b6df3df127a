"""Steps on failures that agents report at the same time, on virtual time."""

import asyncio

from batch_world import HELD, SHARDS, TASK, TEAM, TIMING, VMS, configured
from behave import given, then, when

from standins.in_process_agents import AgentsDeployment
from wagtailcleat.batch.record import Assigned, JobAccepted
from wagtailcleat.configuration.writer import write
from wagtailcleat.wire.attempts import AttemptReport, AttemptState, RenewGrants
from wagtailcleat.wire.jobs import JobSpec, TaskSpec
from wagtailcleat.wire.task_ids import attempt_id, task_id

SHARD = 0
JOB = f"{SHARD}.{TEAM.name}.broken"
DEADLINE = 2_000_000_000.0


@given("a job whose {count:d} tasks run on 3 VMs, evenly spread")
def step_job(context, count):
    deployment = AgentsDeployment({"vm-1": "zilina-a"}, HELD, TIMING, SHARDS)
    context.add_cleanup(deployment.close)
    agent = deployment.agent_by_vm["vm-1"]
    done = deployment.loop.run(write(agent.node.store, None, "change-1", configured))
    deployment.adopt(done.configuration)
    deployment.pass_time(2.0)
    context.deployment = deployment
    context.owner = agent.ownership.owner_by_shard[SHARD]
    record = context.owner.journal.record
    spec = JobSpec(JOB, TEAM.name, SHARD, count, TaskSpec("hold", TASK, 0.0), DEADLINE)
    record.apply(JobAccepted(spec, 0.0))
    context.attempts_by_vm = {vm: [] for vm in VMS}
    for index in range(count):
        vm, attempt = VMS[index % len(VMS)], attempt_id(task_id(JOB, index), 1)
        record.apply(Assigned(attempt, vm, f"agent-{vm}", 1, 0.0))
        context.attempts_by_vm[vm].append(attempt)


def failed(vm, attempts, epoch):
    """Return an agent's report that all of its attempts have failed."""
    reports = [AttemptReport(a, SHARD, AttemptState.FAILED) for a in attempts]
    return RenewGrants(vm, f"agent-{vm}", 1, SHARD, epoch, reports, HELD)


@when("the agents of all 3 VMs report at the same time that these have failed")
def step_reported(context):
    epoch = context.owner.journal.epoch

    async def all_report():
        await asyncio.gather(
            *(
                context.owner.order(failed(vm, attempts, epoch))
                for vm, attempts in context.attempts_by_vm.items()
            )
        )

    context.deployment.loop.run(all_report())


@then("the job is stopped, and the reason names the 3 VMs")
def step_stopped(context):
    job = context.owner.journal.record.job_by_id[JOB]
    assert job.stopped, job
    assert all(vm in job.reason for vm in VMS), job.reason
