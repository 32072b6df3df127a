"""Steps on a VM whose worker fails what it starts, on virtual time."""

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
WAVES = (3, 4)
LOOK_SECONDS = 1.0


def holding(held):
    """Return the change that lists VMs which hold so much."""

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
    change = holding(held)
    done = deployment.loop.run(write(store, None, "change-1", change))
    deployment.adopt(done.configuration)
    deployment.pass_time(2.0)
    context.deployment, context.vm, context.other = deployment, vm, other
    context.tasks = 0


async def order(context, job, command):
    """Reserve and start one task at the VM as an owner would; tell if it was taken."""
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


def order_wave(context, job, command, count):
    async def wave():
        return await asyncio.gather(
            *(order(context, job, command) for _ in range(count))
        )

    return context.deployment.loop.run(wave())


def until_seen(context):
    """Let time pass until the agent has seen the end of all that ended."""
    attempts = context.deployment.agent_by_vm[context.vm].attempts
    worker = context.deployment.worker_by_vm[context.vm]
    give_up_at = context.deployment.loop.time() + LOOK_SECONDS
    while len(attempts.running()) > len(worker.running()):
        assert context.deployment.loop.time() < give_up_at, attempts.dump()
        context.deployment.pass_time(STEP_SECONDS)


@when(
    'the worker of "{vm}" fails all it starts, and {jobs:d} jobs order tasks there,'
    " the next ones when the first have failed"
)
def step_waves(context, vm, jobs):
    context.deployment.worker_by_vm[vm].switches.update({"fail_everything": True})
    for job in range(jobs):
        for count in WAVES:
            order_wave(context, f"job-{job}", "hold", count)
            until_seen(context)


@then('the worker of "{vm}" was asked to start {count:d} tasks at most')
def step_at_most(context, vm, count):
    rows = context.deployment.worker_by_vm[vm].record.rows
    starts = [row for row in rows if row[1] == "start"]
    assert len(starts) <= count, len(starts)


@when('{count:d} tasks of job "{job}" run at "{vm}" and one more fails')
def step_one_fails(context, count, job, vm):
    assert all(order_wave(context, job, "hold", count))
    assert all(order_wave(context, job, "fail", 1))
    until_seen(context)


@then('"{vm}" takes another task of job "{job}" within {seconds:d} s')
def step_taken(context, vm, job, seconds):
    give_up_at = context.deployment.loop.time() + seconds
    while not all(order_wave(context, job, "hold", 1)):
        assert context.deployment.loop.time() < give_up_at
        context.deployment.pass_time(STEP_SECONDS)
