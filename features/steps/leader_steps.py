"""Steps on messages that reach a leader late, or before it knows their job."""

import msgspec
from behave import given, then, when

from features.steps.leader_world import LeaderWorld
from features.steps.scheduling_world import make_job, plain
from wagtailcleat.cluster.keys import AGENT_PREFIX, INTERFERENCE_KEY, agent_key, encode
from wagtailcleat.scheduling.interference import Reading
from wagtailcleat.scheduling.models import (
    JobRecord,
    JobState,
    RunEnd,
    RunKey,
    Start,
    TaskKey,
    WorkerState,
)
from wagtailcleat.wire.scheduling import FollowFirst, ShowState, Submitted

JOB = "00ff00ff00ff00ff"
FIRST = TaskKey(JOB, 0, 0, 0)
EARLIER_RUN = RunKey(FIRST, 1)


def _begin(context, **more):
    context.leading = LeaderWorld(**more)
    context.add_cleanup(context.leading.close)
    return context.leading


def _lead(world):
    world.lead()
    world.until(lambda: world.leader.ready)
    world.rounds()


@given("a job whose first task has succeeded, as an earlier leader stored it")
def step_stored(context):
    world = _begin(context)
    context.submitted = make_job(JOB, plain(2))
    record = JobRecord(JobState.RUNNING, [(0, 0, [0])], [])
    world.store_job(context.submitted, record)


@when("a leader is notified of the job while it waits for the lists of the store")
def step_notified_early(context):
    world = context.leading
    world.store.open.clear()
    world.lead()
    world.until(lambda: world.store.lists_requested)
    message = Submitted(JOB, encode(context.submitted))
    world.loop.run_until_complete(world.leader.submitted(message))
    world.store.open.set()
    world.until(lambda: world.leader.ready)


@when("the agents report")
def step_report(context):
    context.leading.rounds()


@then("the task that has succeeded does not run again")
def step_not_again(context):
    runs = [key for _, key in context.leading.runs(JOB)]
    assert FIRST not in [key.task for key in runs], runs


@given("a leader, and a job that is stored")
def step_leader_and_job(context):
    world = _begin(context)
    _lead(world)


@when(
    "a report is delayed, and its agent reports and starts the task"
    " on another connection"
)
def step_delayed(context):
    _delay_report(context, 1)


@when("an agent's report is delayed, and its next incarnation starts the task")
def step_next_incarnation(context):
    _delay_report(context, 2)


@when(
    "an agent was told to follow, and its report is delayed"
    " beyond those of its next incarnation"
)
def step_first_report(context):
    world = context.leading
    first = world.workers[0]
    world.incarnation_by_node[first.node] = 2
    earlier = msgspec.structs.replace(world.make_report(first), epoch=0)
    world.open(first)
    assert isinstance(world.report(first, report=earlier), FollowFirst)
    _delay_report(context, 3)


def _delay_report(context, incarnation):
    world = context.leading
    first, second = world.workers
    context.old_stream = world.stream_by_node[first.node]
    context.old_report = world.make_report(first)
    world.incarnation_by_node[first.node] = incarnation
    world.open(first)
    second.state = WorkerState.DRAINING
    world.rounds()
    world.store_job(make_job(JOB, plain(1)))
    world.until(lambda: world.runs(JOB))
    context.first_runs = world.runs(JOB)
    assert context.first_runs[0][0] == first.node, context.first_runs
    second.state = WorkerState.READY
    world.report(first)
    world.report(second)


@when("the delayed report arrives")
def step_arrives(context):
    world = context.leading
    world.report(world.workers[0], stream=context.old_stream, report=context.old_report)
    world.wait_rounds()


@then("the task was started once")
def step_once(context):
    assert context.leading.runs(JOB) == context.first_runs, context.leading.runs(JOB)


@when("its run ends")
def step_run_ends(context):
    worker = context.leading.workers[0]
    for key in list(worker.running):
        worker.end(key, RunEnd.SUCCEEDED)


@then("its end is acknowledged")
def step_acknowledged(context):
    worker = context.leading.workers[0]
    assert worker.ends and not worker.ended, worker.ended


@given("a leader whose watch on the jobs is late")
def step_late_watch(context):
    world = _begin(context)
    _lead(world)
    world.store.delivers_changes = False


@when("a job is stored, and an earlier leader's run of it succeeds")
def step_succeeds(context):
    _stored_and_runs(context)
    context.leading.workers[0].end(EARLIER_RUN, RunEnd.SUCCEEDED)


@when("a job is stored, and an earlier leader's run of it continues")
def step_continues(context):
    _stored_and_runs(context)


def _stored_and_runs(context):
    world = context.leading
    world.store_job(make_job(JOB, plain(1)))
    world.workers[0].running[EARLIER_RUN] = Start(EARLIER_RUN, "x")


@when("the watch delivers the job")
def step_watch(context):
    world = context.leading
    world.store.delivers_changes = True
    world.until(lambda: JOB in world.leader.scheduler.job_table.entry_by_id)


@then("only that run continues")
def step_only_that(context):
    runs = context.leading.runs(JOB)
    assert runs == [("vm-1", EARLIER_RUN)], runs


@when("a run of a deleted job succeeds")
def step_deleted_job(context):
    worker = context.leading.workers[0]
    worker.running[EARLIER_RUN] = Start(EARLIER_RUN, "x")
    worker.end(EARLIER_RUN, RunEnd.SUCCEEDED)


@given("a leader whose store carries out deletes late, without an answer")
def step_late_deletes(context):
    world = _begin(context)
    _lead(world)
    world.store.delays_deletes = True


@when("an agent is disconnected until it is deregistered, and then connects again")
def step_deregistered(context):
    world = context.leading
    worker = world.workers[0]
    world.stream_by_node.pop(worker.node).close("cut")
    world.until(lambda: world.store.delayed_writes)
    world.rounds()
    vm = world.leader.scheduler.vm_by_node[worker.node]
    world.until(lambda: vm.registered)


@when("the late delete is carried out")
def step_delete_late(context):
    store = context.leading.store
    for txn in store.delayed_writes:
        store.apply(txn)


@then("each agent that may be given work is registered in the store")
def step_registered(context):
    world = context.leading
    registered = {
        key.removeprefix(AGENT_PREFIX)
        for key in world.store.found_by_key
        if key.startswith(AGENT_PREFIX)
    }
    usable = {
        node for node, vm in world.leader.scheduler.vm_by_node.items() if vm.registered
    }
    assert usable, "no agent is registered"
    assert usable <= registered, usable - registered


@when("an agent is disconnected until it is to be deregistered")
def step_to_be_deregistered(context):
    world = context.leading
    world.stream_by_node.pop(world.workers[0].node).close("cut")
    world.until(lambda: world.store.delayed_writes)


@when("the store answers again")
def step_store_answers(context):
    context.leading.store.delays_deletes = False


@then("the agent is no longer registered in the store")
def step_not_registered(context):
    world = context.leading
    key = agent_key(world.workers[0].node)
    world.until(lambda: key not in world.store.found_by_key)


READING = Reading("watch-job", "watch", 0.5, {"build": 0.1}, 100.0)


def _interference(world):
    return world.leader.scheduler.sharing.interference.export()


@given("a leader that has measured which images interfere")
def step_has_measured(context):
    world = _begin(context)
    _lead(world)
    for _ in range(20):
        world.leader.scheduler.sharing.interference.learn(READING)
    world.until(lambda: INTERFERENCE_KEY in world.store.found_by_key)
    context.learnt = _interference(world)
    assert context.learnt.added


@given("a store with unreadable interference of images")
def step_unreadable(context):
    _begin(context).store.put(INTERFERENCE_KEY, b"\xc1 not ours")


@when("the next leader begins")
def step_next_leader(context):
    world = context.leading
    if world.work is not None:
        world.work.cancel()
    world.lead(epoch=3)
    world.until(lambda: world.leader.ready)
    world.rounds()


@then("it knows the same interference")
def step_knows(context):
    restored = _interference(context.leading)
    assert [row[:3] for row in restored.added] == [
        row[:3] for row in context.learnt.added
    ], (restored, context.learnt)
    assert restored.images == context.learnt.images


@then("it leads, and knows no interference")
def step_knows_nothing(context):
    assert context.leading.leader.acting
    assert not _interference(context.leading).added


@given("a job that has ended")
def step_ended_job(context):
    world = context.leading
    context.ended = make_job("ee" * 8, plain(1))
    record = JobRecord(JobState.SUCCEEDED, [(0, 0, [0])], [], 1_800_000_000.0)
    world.store_job(context.ended, record)
    world.leader.scheduler.job_table.add(
        context.ended,
        now=world.now,
        wall_now=1_800_000_000.0,
        record=record,
        store_revision=world.store.revision,
    )


@when("the job runs, and the leader's lease has run out")
def step_lease_over(context):
    world = context.leading
    world.store_job(make_job(JOB, plain(1)))
    table = world.leader.scheduler.job_table
    world.until(lambda: JOB in table.entry_by_id)
    world.rounds()
    world.until(lambda: world.runs(JOB))
    world.rounds()
    assert world.leader.state(ShowState(JOB)).state == JobState.RUNNING.value
    world.leader.lease.valid_until = world.now


@then("it does not tell the state of the job, which is read in the store instead")
def step_state_untold(context):
    assert context.leading.leader.state(ShowState(JOB)).state == ""


@then("it still shows that the other job has succeeded")
def step_final_told(context):
    shown = context.leading.leader.state(ShowState(context.ended.id))
    assert shown.state == JobState.SUCCEEDED.value, shown
