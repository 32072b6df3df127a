"""Steps on workers that leave calls unanswered and carry them out late."""

import asyncio
from dataclasses import replace
from random import Random

import msgspec
from behave import given, then, when

from features.steps.late_histories import Faults, play_histories
from features.steps.late_worker import CallFaults
from features.steps.late_world import ATTEMPTS, LateWorld
from wagtailcleat.scheduling.models import RunEnd
from wagtailcleat.wire.scheduling import Orders

TIMEOUT_SECONDS = 20.0
RUN_SECONDS = 1.6
OLD_CLOCK_SECONDS = 100.0
"""The first worker's clock when it starts."""


@given("a leader and {agents:d} agents whose workers may carry calls out late")
def step_world(context, agents):
    world = context.world = LateWorld(entries=2, agents=agents, random=Random(1))
    context.add_cleanup(world.close)
    context.old_leader = world.until_led()
    context.workers = list(world.worker_by_node.values())
    for worker in context.workers:
        worker.boot.first_clock = OLD_CLOCK_SECONDS
        worker.run_seconds = lambda key: RUN_SECONDS
    # Until every agent is registered and the leader's first heartbeats are stored.
    world.wait(2.0)


def _until(context, condition, what):
    context.world.until(condition, TIMEOUT_SECONDS, what)


def _runs(context, how=None):
    runs = [r for r in context.world.oracle.runs if r.key.task.job == context.job]
    return [run for run in runs if how in (None, run.how)]


def _has_succeeded(context):
    return any(run.acknowledged_at for run in _runs(context, RunEnd.SUCCEEDED))


def _hold(worker, *names):
    worker.faults.late = dict.fromkeys(names, 1.0)
    worker.faults.late_seconds = None


def _restart_worker(worker, clock, *, closes_connections=False):
    worker.crash(closes_connections=closes_connections)
    worker.start()
    worker.boot.first_clock = clock


@given("a start is held back by its worker, and its agent has prevented it by a stop")
def step_start_held(context):
    (context.worker,) = context.workers
    _hold(context.worker, "start")
    context.job = context.world.submit()
    _until(context, lambda: context.worker.held_calls, "a start is held back")
    context.worker.faults = CallFaults()


@given("the task has succeeded in a later run, and its end is acknowledged")
def step_succeeded(context):
    _until(context, lambda: _has_succeeded(context), "the end is acknowledged")


@when(
    "the leader is killed, and the worker restarts under its id just before the next"
    " leader's start, and then carries out the start held back"
)
def step_restart_before_start(context):
    _restart_before_start(context, 0, closes_connections=False)


@when(
    "the leader is killed, and the worker's process ends and starts again under its id"
    " {milliseconds:d} ms before the next leader's start, and carries out the start"
    " held back"
)
def step_process_ends_before_start(context, milliseconds):
    _restart_before_start(context, milliseconds, closes_connections=True)


def _restart_before_start(context, milliseconds, *, closes_connections):
    world, worker = context.world, context.worker
    old_leader, old_boot = context.old_leader, worker.boot

    async def delay_message(source, target, message):
        is_start = isinstance(message, Orders) and message.starts
        if is_start and source != old_leader.host and worker.boot is old_boot:
            _restart_worker(
                worker, OLD_CLOCK_SECONDS, closes_connections=closes_connections
            )
            worker.release("start")
            await asyncio.sleep(milliseconds / 1000)

    world.network.delay_message = delay_message
    old_leader.kill()
    _until(context, lambda: worker.boot is not old_boot, "the worker restarts")
    world.wait(2 * RUN_SECONDS)


def _restart_agent(context):
    (agent,) = context.world.agents
    agent.kill()
    restarted = context.world.restart(agent)
    _until(context, lambda: restarted.hosting.listed, "the agent lists its runs")


@when(
    "agent and worker restart, the worker under its id and {seconds:g} s behind its"
    " earlier clock, and it carries out the start held back after the agent has listed"
    " its runs"
)
def step_both_restart(context, seconds):
    _restart_worker(context.worker, context.worker.seconds() - seconds)
    _restart_agent(context)
    context.worker.release("start")
    context.world.wait(2 * RUN_SECONDS)


@when("the agent is restarted with a wall clock that is {seconds:g} s behind")
def step_agent_behind(context, seconds):
    context.world.wall_clock_behind = seconds
    _restart_agent(context)


@when("the worker restarts under its id, and carries out the start held back at once")
def step_restart_released(context):
    _restart_worker(context.worker, OLD_CLOCK_SECONDS)
    context.worker.release("start")
    context.world.wait(2 * RUN_SECONDS)


@when(
    "the worker restarts under its id, {seconds:g} s behind its earlier clock, and"
    " carries out the start held back after its agent has listed its runs"
)
def step_restart_behind(context, seconds):
    world, worker = context.world, context.worker
    _restart_worker(worker, worker.seconds() - seconds)
    (agent,) = world.agents
    world.deliver_heartbeat(agent.node, worker)
    _until(
        context,
        lambda: agent.hosting.info.born == worker.born and agent.hosting.listed,
        "the agent lists its runs",
    )
    worker.release("start")
    world.wait(2 * RUN_SECONDS)


@when(
    "the worker restarts under its id, {seconds:g} s behind its earlier clock, and its"
    " agent calls it before its first heartbeat arrives"
)
def step_restart_called(context, seconds):
    world, worker = context.world, context.workers[0]
    world.heartbeat_delay = lambda: 3.0
    _restart_worker(worker, worker.seconds() - seconds)
    _until(context, lambda: worker.boot.fence, "the agent calls the worker")
    world.heartbeat_delay = lambda: 0.0


@when(
    "the worker restarts under its id with {cores:g} cores, its heartbeats come"
    " {seconds:g} s late, and a job of {wanted:g} cores is stored once the agent has"
    " called it"
)
def step_smaller_restart(context, cores, seconds, wanted):
    world, worker = context.world, context.workers[0]
    world.heartbeat_delay = lambda: seconds
    capacity = msgspec.structs.replace(worker.capability.capacity, cores=cores)
    worker.next_capability = lambda: replace(worker.capability, capacity=capacity)
    _restart_worker(worker, OLD_CLOCK_SECONDS)
    _until(context, lambda: worker.boot.fence, "the agent calls the worker")
    world.submit(cores=wanted)
    world.wait(2.0)


@then("a new job succeeds within {seconds:g} s")
def step_new_job(context, seconds):
    context.job = context.world.submit()
    context.world.until(
        lambda: _has_succeeded(context), seconds, "the job's end is acknowledged"
    )


@given("a start is held back, its connection breaks, and the worker is unhealthy")
def step_broken(context):
    (context.worker,) = context.workers
    _hold(context.worker, "start")
    context.worker.faults.broken = 1.0
    context.worker.faults.unhealthy = {"start": 1.0}
    context.job = context.world.submit()
    _until(context, lambda: context.worker.held_calls, "a start is held back")
    context.worker.faults = CallFaults()


@when("the start held back is carried out during the next run of the task")
def step_released_beside(context):
    _until(context, lambda: _runs(context), "the task runs")
    context.worker.release("start")
    context.world.wait(2 * RUN_SECONDS)


@given("a task succeeds at a worker that answers nobody until its leases have lapsed")
def step_silent_success(context):
    world = context.world
    context.job = world.submit()
    _until(context, lambda: _runs(context), "the task runs")
    world.wait(0.5)
    (run,) = _runs(context)
    context.worker = next(w for w in context.workers if w.boot.record is run.boot)
    context.other = next(w for w in context.workers if w is not context.worker)
    context.worker.frozen.clear()
    _hold(context.other, "start", "stop")
    _until(context, lambda: context.other.held_calls, "the task starts elsewhere")


@when(
    "that worker answers again, and the task's next start is carried out once the"
    " success is acknowledged"
)
def step_answers_again(context):
    context.worker.frozen.set()
    world = context.world
    ends_at = world.clock() + TIMEOUT_SECONDS
    # The end need not be acknowledged while the start is in doubt.
    while world.clock() < ends_at and not _has_succeeded(context):
        world.wait(0.01)
    context.other.release("start")
    world.wait(1.0)


@then("the task does not start after the acknowledgement")
def step_not_after(context):
    (ended,) = _runs(context, RunEnd.SUCCEEDED)
    late = [
        run.describe()
        for run in _runs(context)
        if ended.acknowledged_at and run.started_at > ended.acknowledged_at
    ]
    assert not late, (late, f"after {ended.describe()} {ended.acknowledged_at:.3f}")


@given("a task fails in its last attempt while its agent is frozen")
def step_last_failure(context):
    world = context.world
    for worker in context.workers:
        worker.run_end = lambda key: RunEnd.FAILED
    context.job = world.submit()
    _until(context, lambda: len(_runs(context)) == ATTEMPTS, "the last attempt runs")
    last = _runs(context)[-1]
    node = next(
        n for n, w in world.worker_by_node.items() if w.boot.record is last.boot
    )
    context.agent = world.agent(node)
    world.wait(0.5)
    context.agent.freeze()
    _until(context, lambda: last.how is RunEnd.FAILED, "it fails")


@when("the agent continues after {seconds:g} s")
def step_continues(context, seconds):
    context.world.wait(seconds)
    context.agent.thaw()
    context.world.wait(3 * RUN_SECONDS)


@when(
    "the leader is killed, and the start held back is carried out just before the next"
    " leader's start"
)
def step_released_before_start(context):
    world, old_leader = context.world, context.old_leader

    async def delay_message(source, target, message):
        if isinstance(message, Orders) and message.starts and source != old_leader.host:
            context.worker.release("start")

    world.network.delay_message = delay_message
    old_leader.kill()
    _until(context, lambda: _runs(context), "the next leader starts the task")
    world.wait(2 * RUN_SECONDS)


@then("the workers saw no broken rule")
def step_no_breach(context):
    assert not context.world.breaches(), context.world.breaches()


@when("the random histories {first:d} to {last:d} of late calls are played")
def step_histories(context, first, last):
    faults = Faults(restarts=False, breaks=False)
    context.breaches = play_histories(range(first, last + 1), faults)


@when("the random histories {first:d} to {last:d} with restarts of workers are played")
def step_histories_restarts(context, first, last):
    faults = Faults(restarts=True, breaks=False)
    context.breaches = play_histories(range(first, last + 1), faults)


@when("the random histories {first:d} to {last:d} with broken connections are played")
def step_histories_breaks(context, first, last):
    faults = Faults(restarts=False, breaks=True)
    context.breaches = play_histories(range(first, last + 1), faults)


@when(
    "the random histories {first:d} to {last:d} with workers of many kinds are played"
)
def step_histories_kinds(context, first, last):
    faults = Faults(restarts=False, breaks=False, kinds=True)
    context.breaches = play_histories(range(first, last + 1), faults)


@when("the random histories {first:d} to {last:d} with departures are played")
def step_histories_departures(context, first, last):
    faults = Faults(restarts=False, breaks=False, departures=True)
    context.breaches = play_histories(range(first, last + 1), faults)


@when("the random histories {first:d} to {last:d} with stops of agents are played")
def step_histories_stops(context, first, last):
    faults = Faults(restarts=False, breaks=False, stops=True)
    context.breaches = play_histories(range(first, last + 1), faults)


@then("no rule was broken in any of them")
def step_histories_held(context):
    assert not context.breaches, "\n".join(context.breaches)
