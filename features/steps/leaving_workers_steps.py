"""Steps on workers that leave, as real processes."""

import time

from behave import then, when

from standins.processes import wait_for

TIMEOUT_SECONDS = 20.0
GRACE_SECONDS = 4.0
HEARD_SECONDS = 1.5
"""A worker has told its agent in that time that it drains."""
LEAVE_AFTER_SECONDS = 0.3

SHOWN = ("hosting: ", "leader: ")
"""Parts whose log lines tell what a task waited for."""


@when("a task of {seconds:d} s runs, and its worker leaves and ends at once")
def step_leaves(context, seconds):
    _let_worker_leave(context, seconds, leave=True)


@when("a task of {seconds:d} s runs, and its worker sends a heartbeat after its leave")
def step_heard_after_leave(context, seconds):
    _let_worker_leave(context, seconds, leave=True, heartbeat_after_leave=True)


@when(
    "a task of {seconds:d} s runs, and its worker leaves and ends, and its agent is"
    " told to stop"
)
def step_vm_leaves(context, seconds):
    _let_worker_leave(context, seconds, leave=True)
    _stop_agent(context)


@when(
    "a task of {seconds:d} s runs, its worker drains, its agent is told to stop, and"
    " the worker leaves"
)
def step_vm_drains(context, seconds):
    leaving = _run_task(context, seconds)
    leaving.faults(draining=True)
    time.sleep(HEARD_SECONDS)
    _stop_agent(context)
    time.sleep(LEAVE_AFTER_SECONDS)
    _wait_for_departure(context, leaving, leave=True)


def _stop_agent(context):
    left = next(w for w in context.cluster.workers if w not in context.others)
    context.agent = context.cluster.agents[context.cluster.workers.index(left)]
    context.agent.signal_to_stop()


@then("that agent ends by itself within its grace period")
def step_agent_ends(context):
    context.agent.wait_for_end(GRACE_SECONDS)
    assert context.agent.exit_code == 0, context.agent.exit_code


def _let_worker_leave(context, seconds, **how):
    _wait_for_departure(context, _run_task(context, seconds), **how)


def _run_task(context, seconds):
    cluster = context.cluster
    steps = [{"count": 1, "cpu": 1000, "memMb": 100, "estMs": seconds * 1000}]
    job = context.job = cluster.submit(steps, seconds=seconds)
    wait_for(lambda: cluster.starts(job), TIMEOUT_SECONDS, "the task runs")
    leaving = next(worker for worker in cluster.workers if _starts(worker, job))
    context.others = [worker for worker in cluster.workers if worker is not leaving]
    return leaving


def _wait_for_departure(context, leaving, **how):
    leaving.faults(**how)
    leaving.wait_for_end(TIMEOUT_SECONDS)
    context.ended_at = time.time()


@then("the task runs on another worker within {seconds:d} s of that end")
def step_runs_soon(context, seconds):
    def starts():
        return [at for worker in context.others for at in _starts(worker, context.job)]

    started_at = wait_for(starts, TIMEOUT_SECONDS, "the task runs elsewhere")[0]
    waited = started_at - context.ended_at
    programs = [*context.cluster.entries, *context.cluster.agents]
    lines = [line for program in programs for line in program.log_lines()]
    shown = [line for line in lines if line["message"].startswith(SHOWN)]
    assert waited <= seconds, (f"it started {waited:.3f} s later", shown)


def _starts(worker, job):
    """Return when a worker has started tasks of a job, in Unix seconds."""
    rows = worker.record()["rows"]
    return [row[1] for row in rows if row[0] == "start" and row[3].startswith(job)]
