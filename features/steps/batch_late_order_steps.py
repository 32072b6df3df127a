"""Steps on start orders that arrive late, on virtual time."""

from batch_restart_steps import EPOCH
from batch_world import TASK, TIMING
from behave import then, when

from wagtailcleat.wire.attempts import (
    AttemptReport,
    AttemptState,
    Reserve,
    Reserved,
    Start,
)


@when(
    '"{vm}" reserves room for attempt "{attempt}" and its start order arrives'
    " after {seconds:d} second"
)
def step_late(context, vm, attempt, seconds):
    context.vm, context.late_attempt = vm, attempt
    reserve = Reserve(attempt, 0, EPOCH, TASK, "")
    reserved = send(context, reserve)
    assert isinstance(reserved, Reserved), reserved
    context.deployment.pass_time(seconds)
    context.answer = send(context, start_order(context))


def start_order(context):
    return Start(context.late_attempt, 0, EPOCH, "hold", TIMING.grant)


def send(context, order):
    """Send an order to the VM's agent like an owner; return the answer."""
    deployment = context.deployment
    other = next(vm for vm in deployment.agent_by_vm if vm != context.vm)
    peers = deployment.agent_by_vm[other].node.peers
    me = deployment.agent_by_vm[context.vm].node.view.me
    return deployment.loop.run(peers.call(me.host, me.port, order, timeout=1.0))


@then("the agent says that the attempt never started, and its worker runs nothing")
def step_never(context):
    check(context, context.answer)


@then("the same order sent once more is answered the same way")
def step_again(context):
    check(context, send(context, start_order(context)))


def check(context, answer):
    assert isinstance(answer, AttemptReport), answer
    assert answer.state is AttemptState.NEVER_STARTED, answer
    assert not context.deployment.worker_by_vm[context.vm].task_by_id
