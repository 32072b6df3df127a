"""Steps on agents that are told to stop with something to report, as real processes."""

import time
from datetime import datetime

from behave import then, when

from standins.processes import wait_for
from wagtailcleat.cluster.timing import LAST_REPORT_SECONDS

TIMEOUT_SECONDS = 20.0
TASK_SECONDS = 1.0
FROZEN_BEFORE_END_SECONDS = 0.2
STEP = {"count": 1, "cpu": 1000, "memMb": 100, "estMs": 1000}
SHOWN = ("hosting: ", "leader: ", "process: ", "following: ")
"""Parts whose log lines tell what a task waited for."""


@when(
    "a task ends while its agent stands still, and the agent is told to stop and goes"
    " on"
)
def step_ends_frozen(context):
    _end_while_frozen(context)
    _stop_frozen(context)


@when("a task ends while its agent stands still, and leader and worker answer no more")
def step_ends_unanswered(context):
    _end_while_frozen(context)
    context.worker.faults(silent=True)
    context.cluster.entries[0].freeze()
    context.add_cleanup(context.cluster.entries[0].thaw)


@when("the agent is told to stop and goes on")
def step_stop_frozen(context):
    _stop_frozen(context)


@when("an agent is told to stop while its worker takes {seconds:g} s to refuse a start")
def step_refused_start(context, seconds):
    cluster = context.cluster
    for worker in cluster.workers:
        worker.faults(refuse_starts_after=seconds)
    context.job = cluster.submit([STEP], seconds=TASK_SECONDS)
    asked = wait_for(lambda: _asked(cluster), TIMEOUT_SECONDS, "a worker is asked")
    _choose(context, asked[0])
    context.agent.signal_to_stop()
    context.ended_at = time.time()
    for worker in context.others:
        worker.faults(refuse_starts_after=0.0)


@when("the leader stands still, and the agent is told to stop")
def step_leader_frozen(context):
    context.agent = context.cluster.agents[0]
    context.cluster.entries[0].freeze()
    context.add_cleanup(context.cluster.entries[0].thaw)
    context.stopped_at = time.time()
    context.agent.signal_to_stop()
    context.agent.wait_for_end(TIMEOUT_SECONDS)


@when(
    "an agent is told to stop, its worker answers after {seconds:g} s, and {count:d}"
    " tasks are submitted meanwhile"
)
def step_ordered_meanwhile(context, seconds, count):
    world = context.world
    world.wait(2.0)
    agent = context.agent = world.agents[0]
    worker = world.worker_by_node[agent.node]
    for other in world.worker_by_node.values():
        other.run_seconds = lambda key: TIMEOUT_SECONDS
    worker.frozen.clear()
    agent.spawn(agent.stop())
    context.ordered = _note_starts(agent.hosting.orders)
    world.submit(count, cores=2.0)
    world.wait(seconds)
    worker.frozen.set()


@then("the agent was ordered a start, and has ended")
def step_ordered_and_ended(context):
    context.world.until(
        lambda: not context.agent.alive, LAST_REPORT_SECONDS, "the agent ends"
    )
    assert context.ordered, "no start was ordered"


@then("all {count:d} tasks run on the other worker within {seconds:g} s")
def step_all_elsewhere(context, count, seconds):
    world = context.world
    other = world.worker_by_node[world.agents[1].node]
    runs = world.oracle.runs
    world.until(lambda: len(runs) >= count, seconds, "all tasks run")
    assert [run.boot for run in runs] == [other.boot.record] * count, runs
    assert not world.breaches(), world.breaches()


@then("the next step runs on another worker within {seconds:g} s of that end")
def step_next_runs(context, seconds):
    _check_start(context, seconds, f"{context.job}.0.1.")


@then("the refused task runs on another worker within {seconds:g} s of that end")
def step_task_runs(context, seconds):
    _check_start(context, seconds, f"{context.job}.0.0.")


@then("that agent ends by itself within {seconds:g} s")
def step_ends_within(context, seconds):
    context.agent.wait_for_end(TIMEOUT_SECONDS)
    taken = time.monotonic() - context.stopped_at
    assert taken <= seconds, (taken, _shown(context))
    assert context.agent.exit_code == 0, context.agent.exit_code


@then("that agent logs its end within {seconds:g} s of its stop")
def step_logs_end(context, seconds):
    at = {
        line["message"]: datetime.fromisoformat(line["time"])
        for line in context.agent.log_lines()
    }
    taken = at["process: Stopped"] - at["process: Stops"]
    assert taken.total_seconds() <= seconds, (taken, _shown(context))


def _note_starts(orders):
    """Return the list of starts that are ordered from now on."""
    ordered, carry_out = [], orders.start

    def start(wanted, born):
        ordered.append(wanted.key)
        carry_out(wanted, born)

    orders.start = start
    return ordered


def _end_while_frozen(context):
    """Run the first of two steps, and let it end while the agent is paused."""
    cluster = context.cluster
    steps = [STEP, STEP | {"after": [0]}]
    context.job = cluster.submit(steps, seconds=TASK_SECONDS)
    worker, started_at = wait_for(
        lambda: _rows(cluster, "start", context.job), TIMEOUT_SECONDS, "it runs"
    )[0]
    _choose(context, worker)
    ends_at = started_at + TASK_SECONDS
    time.sleep(max(0.0, ends_at - FROZEN_BEFORE_END_SECONDS - time.time()))
    context.agent.freeze()
    context.add_cleanup(context.agent.thaw)
    ends = wait_for(
        lambda: _rows(cluster, "end", context.job), TIMEOUT_SECONDS, "it ends"
    )
    context.ended_at = ends[0][1]


def _choose(context, worker):
    cluster = context.cluster
    context.worker = worker
    context.others = [other for other in cluster.workers if other is not worker]
    context.agent = cluster.agents[cluster.workers.index(worker)]


def _stop_frozen(context):
    context.stopped_at = time.monotonic()
    context.agent.signal_to_stop()
    context.agent.thaw()


def _rows(cluster, kind, prefix):
    """Return worker and time of each row of a kind on tasks with a prefix."""
    return [
        (worker, row[1])
        for worker in cluster.workers
        for row in worker.record()["rows"]
        if row[0] == kind and row[3].startswith(prefix)
    ]


def _asked(cluster):
    return [worker for worker, _ in _rows(cluster, "refusal", "")]


def _check_start(context, seconds, prefix):
    def starts():
        rows = _rows(context.cluster, "start", prefix)
        return [at for worker, at in rows if worker in context.others]

    started_at = wait_for(starts, TIMEOUT_SECONDS, "the task runs elsewhere")[0]
    waited = started_at - context.ended_at
    assert waited <= seconds, (f"it started {waited:.3f} s later", _shown(context))


def _shown(context):
    programs = [*context.cluster.entries, *context.cluster.agents]
    lines = [line for program in programs for line in program.log_lines()]
    return [line for line in lines if line["message"].startswith(SHOWN)]
