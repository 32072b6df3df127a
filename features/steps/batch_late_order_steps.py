"""Steps on orders that arrive after their time, on virtual time."""

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
    '"{vm}" holds room for attempt "{attempt}" and its start order comes'
    " after {seconds:d} second"
)
def step_late(context, vm, attempt, seconds):
    context.vm, context.late = vm, attempt
    reserve = Reserve(attempt, 0, EPOCH, TASK, "")
    reserved = send(context, reserve)
    assert isinstance(reserved, Reserved), reserved
    context.deployment.pass_time(seconds)
    context.answer = send(context, start(context))


def start(context):
    return Start(context.late, 0, EPOCH, "hold", TIMING.grant)


def send(context, order):
    """Send an order to the VM's agent as its owner would; return the answer."""
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
    check(context, send(context, start(context)))


def check(context, answer):
    assert isinstance(answer, AttemptReport), answer
    assert answer.state is AttemptState.NEVER_STARTED, answer
    assert not context.deployment.worker_by_vm[context.vm].task_by_id
