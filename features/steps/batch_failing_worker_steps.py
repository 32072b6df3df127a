"""Steps on a VM whose worker fails tasks, on virtual time."""

import asyncio

from batch_restart_steps import EPOCH, STEP_SECONDS
from batch_world import TASK, TIMING, ZONE_BY_VM, configured
from behave import given, then, when
from msgspec.structs import replace

from standins.in_process_agents import AgentsDeployment
from wagtailcleat.configuration.writer import write
from wagtailcleat.resources import Resources
from wagtailcleat.wire.attempts import Reserve, Reserved, Start
from wagtailcleat.wire.task_ids import attempt_id, task_id

SHARD = 0
TASKS_PER_ROUND = (3, 4)
ENDS_SEEN_TIMEOUT_SECONDS = 1.0


def set_vm_sizes(held):
    """Return the configuration change that sets the size of all VMs to `held`."""

    def change(current):
        inventory = configured(current).inventory
        sizes = {"cores": held.cores, "memory_mb": held.memory_mb}
        vms = [replace(vm, **sizes) for vm in inventory.vms]
        return replace(configured(current), inventory=replace(inventory, vms=vms))

    return change


@given('VMs "{vm}" and "{other}", each with room for {count:d} tasks')
def step_room(context, vm, other, count):
    zones = {name: ZONE_BY_VM[name] for name in (vm, other)}
    held = Resources(TASK.cores * count, TASK.memory_mb * count, 0)
    deployment = AgentsDeployment(zones, held, TIMING, 2)
    context.add_cleanup(deployment.close)
    store = deployment.agent_by_vm[vm].node.store
    change = set_vm_sizes(held)
    done = deployment.loop.run(write(store, None, "change-1", change))
    deployment.adopt(done.configuration)
    deployment.pass_time(2.0)
    context.deployment, context.vm, context.other = deployment, vm, other
    context.tasks = 0


async def start_task(context, job, command):
    """Reserve and start a task at the VM like an owner; return if it was accepted."""
    deployment = context.deployment
    peers = deployment.agent_by_vm[context.other].node.peers
    me = deployment.agent_by_vm[context.vm].node.view.me
    attempt = attempt_id(task_id(f"{SHARD}.travel-desk.{job}", context.tasks), 1)
    context.tasks += 1
    reserve = Reserve(attempt, SHARD, EPOCH, TASK, "")
    answer = await peers.call(me.host, me.port, reserve, timeout=1.0)
    if not isinstance(answer, Reserved):
        return False
    start = Start(attempt, SHARD, EPOCH, command, TIMING.grant)
    await peers.call(me.host, me.port, start, timeout=1.0)
    return True


def start_tasks(context, job, command, count):
    async def start_all():
        return await asyncio.gather(
            *(start_task(context, job, command) for _ in range(count))
        )

    return context.deployment.loop.run(start_all())


def wait_until_ends_seen(context):
    """Let time pass until the agent has noticed the end of each task that ended."""
    attempts = context.deployment.agent_by_vm[context.vm].attempts
    worker = context.deployment.worker_by_vm[context.vm]
    timeout_at = context.deployment.loop.time() + ENDS_SEEN_TIMEOUT_SECONDS
    while len(attempts.running()) > len(worker.running()):
        assert context.deployment.loop.time() < timeout_at, attempts.dump()
        context.deployment.pass_time(STEP_SECONDS)


@when(
    'the worker of "{vm}" fails all tasks, and {jobs:d} jobs start tasks there'
    " in two rounds, the second once the first has failed"
)
def step_rounds(context, vm, jobs):
    context.deployment.worker_by_vm[vm].switches.update({"fail_everything": True})
    for job in range(jobs):
        for count in TASKS_PER_ROUND:
            start_tasks(context, f"job-{job}", "hold", count)
            wait_until_ends_seen(context)


@then('the worker of "{vm}" was asked to start {count:d} tasks at most')
def step_at_most(context, vm, count):
    rows = context.deployment.worker_by_vm[vm].record.rows
    starts = [row for row in rows if row[1] == "start"]
    assert len(starts) <= count, len(starts)


@when('{count:d} tasks of job "{job}" run at "{vm}" and one more fails')
def step_one_fails(context, count, job, vm):
    assert all(start_tasks(context, job, "hold", count))
    assert all(start_tasks(context, job, "fail", 1))
    wait_until_ends_seen(context)


@then('"{vm}" takes another task of job "{job}" within {seconds:d} s')
def step_taken(context, vm, job, seconds):
    timeout_at = context.deployment.loop.time() + seconds
    while not all(start_tasks(context, job, "hold", 1)):
        assert context.deployment.loop.time() < timeout_at
        context.deployment.pass_time(STEP_SECONDS)
