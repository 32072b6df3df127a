"""Steps on agents and owners with incomplete state, on virtual time."""

from batch_world import HELD, SHARDS, TASK, TIMING, ZONE_BY_VM, configured
from behave import given, then, when

from standins.in_process_agents import AgentsDeployment
from standins.worker_tasks import StartRequest
from wagtailcleat.configuration.writer import write
from wagtailcleat.ids import JobId
from wagtailcleat.wire.attempts import AttemptReport, Start
from wagtailcleat.wire.jobs import Behind, JobSpec, SubmitJob, TaskSpec
from wagtailcleat.wire.results import Done

LEASE_SECONDS = 30.0
EPOCH = 1
LISTING_TIMEOUT_SECONDS = 1.0
STEP_SECONDS = 0.02


@given(
    'VMs "{vm}" and "{other}", where the worker of "{same}" runs attempt "{attempt}"'
)
def step_runs(context, vm, other, same, attempt):
    zones = {name: ZONE_BY_VM[name] for name in (vm, other)}
    deployment = AgentsDeployment(zones, HELD, TIMING, SHARDS)
    context.add_cleanup(deployment.close)
    store = deployment.agent_by_vm[vm].node.store
    done = deployment.loop.run(write(store, None, "change-1", configured))
    deployment.adopt(done.configuration)
    deployment.pass_time(2.0)
    now = deployment.loop.time()
    request = StartRequest("hold", TASK.cores, TASK.memory_mb, now + LEASE_SECONDS)
    deployment.worker_by_vm[vm].start(attempt.replace("/", "~"), request, now)
    context.deployment, context.other, context.attempt = deployment, other, attempt


def send_start_order(context, vm):
    """Send the start order from the other VM; return the answer."""
    deployment = context.deployment
    peers = deployment.agent_by_vm[context.other].node.peers
    me = deployment.agent_by_vm[vm].node.view.me
    order = Start(context.attempt, 0, EPOCH, "hold", TIMING.grant)
    return deployment.loop.run(peers.call(me.host, me.port, order, timeout=1.0))


@when('the agent on "{vm}" restarts and the start order is repeated at once')
def step_restart(context, vm):
    context.deployment.kill(vm)
    context.deployment.start(vm)
    context.vm = vm
    context.answer = send_start_order(context, vm)


@then("the answer does not say that the attempt never started")
def step_not_never(context):
    assert not isinstance(context.answer, AttemptReport), context.answer


@then("once it has listed its running tasks, the agent answers that the attempt runs")
def step_runs_there(context):
    attempts = context.deployment.agent_by_vm[context.vm].attempts
    timeout_at = context.deployment.loop.time() + LISTING_TIMEOUT_SECONDS
    while not attempts.ready and context.deployment.loop.time() < timeout_at:
        context.deployment.pass_time(STEP_SECONDS)
    answer = send_start_order(context, context.vm)
    assert isinstance(answer, Done), answer


@when("a sender with the next revision submits a job of a team added in it")
def step_submit_ahead(context):
    agents = context.deployment.agent_by_vm.values()
    context.owners = [o for a in agents for o in a.ownership.owner_by_shard.values()]
    owner = context.owners[0]
    shard = owner.shard.id
    job = JobId(f"{shard}.new-team.ledger")
    task = TaskSpec("echo:done", TASK, 0.0)
    spec = JobSpec(job, "new-team", shard, 1, task, 0.0, deadline_seconds=60.0)
    ahead = owner.shard.in_force.revision + 1
    context.answer = context.deployment.loop.run(owner.order(SubmitJob(spec, ahead)))


@then("the owner answers that it is behind and not that there is no such team")
def step_asked_again(context):
    assert isinstance(context.answer, Behind), context.answer
