"""Steps on what the leader's scheduler says of tasks that wait for long."""

import msgspec
from behave import given, then, when

from features.steps.scheduling_world import REPORT_SECONDS, make_job, plain
from wagtailcleat.scheduling.long_waits import WaitReason


def _rounds(context, seconds, *, silent="", unheard=""):
    """Play rounds; collect what is to be logged.

    Parameters: `silent` is the node whose worker does not answer, `unheard` the one
    whose agent does not report.
    """
    world = context.world
    said = context.said = []
    begun_at = world.now
    while world.now < begun_at + seconds:
        for worker in world.worker_by_node.values():
            if worker.node != unheard:
                _report(world, worker, begun_at if worker.node == silent else world.now)
        for node, orders in world.decide():
            world.worker_by_node[node].take(orders)
        said += world.scheduler.long_waits.take_to_log()
        world.now += REPORT_SECONDS


def _report(world, worker, answered_at):
    report = msgspec.structs.replace(
        worker.report(), silent_seconds=world.now - answered_at
    )
    world.scheduler.process_report(
        report, worker.session, now=world.now, wall_now=world.wall_now
    )
    world.scheduler.vm_by_node[worker.node].registered = True


@given('a job "{job}" that an earlier leader may have started')
def step_may_have_started(context, job):
    world = context.world
    world.scheduler.unreported_agents.add("gone")
    world.submit(make_job(job, plain()))
    world.scheduler.job_table.entry_by_id[job].may_start_tasks = False


@given('a job "{job}" of {count:d} tasks, one on each VM')
def step_spread(context, job, count):
    context.world.submit(make_job(job, plain(count, max_per_vm=1)))
    _rounds(context, 2 * REPORT_SECONDS)
    assert len(set(context.world.running_nodes(job))) == count


@when("its worker does not answer its agent for {seconds:d} s")
def step_worker_silent(context, seconds):
    node = context.world.running_nodes("w")[0]
    _rounds(context, seconds, silent=node)


@when("its agent does not report for {seconds:d} s")
def step_agent_silent(context, seconds):
    node = context.world.running_nodes("w")[0]
    _rounds(context, seconds, unheard=node)


@when("rounds go on for {seconds:d} s")
def step_pass(context, seconds):
    _rounds(context, seconds)


@when('job "{job}" of 1 task of {cores:d} cores waits for {seconds:d} s')
def step_waits(context, job, cores, seconds):
    context.world.submit(make_job(job, plain(cores=float(cores))))
    _rounds(context, seconds)
    assert not context.world.running_nodes(job)


def _reasons(context, job):
    said = getattr(context, "said", [])
    said = said or context.world.scheduler.long_waits.take_to_log()
    return [wait.reason for wait in said if wait.fields()["job"] == job]


@then('the leader has said once that a task of job "{job}" waits: "{why}"')
def step_said_once(context, job, why):
    assert _reasons(context, job) == [WaitReason(why)], context.said


@then('the leader has said that a task of job "{job}" waits: "{why}"')
def step_said(context, job, why):
    assert WaitReason(why) in _reasons(context, job)


@then("the leader has said nothing of long waits")
def step_said_nothing(context):
    assert not context.said, context.said


@then('the longest wait for "{reason}" is {least:d} s to {most:d} s')
def step_longest(context, reason, least, most):
    seconds_by_reason = context.world.scheduler.long_waits.seconds_by_reason
    assert list(seconds_by_reason) == [reason], seconds_by_reason
    assert least <= seconds_by_reason[reason] <= most, seconds_by_reason


@then("there is no longest wait")
def step_no_wait(context):
    found = context.world.scheduler.long_waits.seconds_by_reason
    assert not found, found
