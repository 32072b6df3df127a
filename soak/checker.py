"""Compares what callers and workers observed with the guarantees of the system."""

import math
from collections import defaultdict
from typing import Any

from soak.callers import Submitted

CANCEL_SECONDS = 3.0
"""Later than this after a cancellation was acknowledged, no task of the job starts."""
CLOCK_SLACK = 0.05
"""Tolerance between the times of a worker and a caller, two processes on one clock."""
MILLICORES = 1000

Row = list[Any]
"""Kind, wall clock seconds, instance, task, run, and how the run ended."""


def find_violations(
    jobs: list[Submitted],
    rows: list[Row],
    killed: list[tuple[float, str]],
    cores: float,
) -> list[str]:
    """Return one line per violation of a guarantee.

    Parameters: `killed` has the time at which an instance was killed with all its runs,
    and its name.
    """
    rows = sorted(
        rows + [["gone", at, name, "", 0, ""] for at, name in killed],
        key=lambda row: row[1],
    )
    job_by_id = {job.job: job for job in jobs}
    unknown = {r[3] for r in rows if r[0] in ("start", "end")}
    unknown = {task for task in unknown if task.partition(".")[0] not in job_by_id}
    rows = [row for row in rows if row[3] not in unknown]
    violations = [f"submitted by nobody: {task}" for task in sorted(unknown)]
    violations += _check_runs(rows, job_by_id, cores)
    violations += _check_step_order(rows, job_by_id)
    for job in jobs:
        violations += _check_shown_states(job)
        violations += _check_starts(job, [r for r in rows if r[3].startswith(job.job)])
    return violations


class _Worker:
    """The runs of a worker's present incarnation."""

    def __init__(self, cores: float) -> None:
        self.run_by_task: dict[str, int] = {}
        self.done: list[str] = []
        """The task of each ended run, in order; empty if it didn't succeed."""
        self.used = 0
        self.millicores = int(cores * MILLICORES)
        self.kind = ""
        """The first of its labels; empty if it is not known."""


def _check_runs(
    rows: list[Row], job_by_id: dict[str, Submitted], cores: float
) -> list[str]:
    violations = []
    workers: dict[str, _Worker] = defaultdict(lambda: _Worker(cores))
    acknowledged: set[str] = set()
    for kind, at, instance, task, run, how in rows:
        worker = workers[instance]
        if kind == "gone":
            workers[instance] = _Worker(cores)
        elif kind == "boot":
            worker.kind, worker.millicores = task, run
        elif kind == "lapse":
            # An end that was not acknowledged before the worker's lease lapsed does not
            # count.
            worker.done = ["" for _ in worker.done]
        elif kind == "ack":
            acknowledged.update(worker.done[:run])
        elif kind == "start":
            elsewhere = [i for i, w in workers.items() if task in w.run_by_task]
            if elsewhere:
                violations.append(
                    f"twice at once: {task} run {run}, on {elsewhere} too"
                )
            # An end that nobody could read before its worker died does not count.
            readable = any(task in w.done for w in workers.values())
            if readable or task in acknowledged:
                violations.append(f"run again after it was done: {task} run {run}")
            violations += [
                f"{rule}: {task} run {run} on {instance} at {at:.2f}"
                for rule in _broken_rules(worker, task, job_by_id)
            ]
            worker.run_by_task[task] = run
            worker.used += _cpu(task, job_by_id)
        elif kind == "end":
            worker.run_by_task.pop(task, None)
            worker.used -= _cpu(task, job_by_id)
            worker.done.append(task if how == "done" else "")
    return violations


def _broken_rules(
    worker: _Worker, task: str, job_by_id: dict[str, Submitted]
) -> list[str]:
    """Return the rules that the start of a task breaks at its worker."""
    step = _step(task, job_by_id)
    label = step.get("requiredLabel", "")
    name = task.rpartition(".")[0]
    siblings = sum(1 for other in worker.run_by_task if other.startswith(f"{name}."))
    found = []
    if worker.used + _cpu(task, job_by_id) > worker.millicores:
        found.append("over its room")
    if label and worker.kind and label != worker.kind:
        found.append("without its label")
    if siblings >= step.get("maxPerServer", math.inf):
        found.append("too many of its step")
    return found


def _step(task: str, job_by_id: dict[str, Submitted]) -> dict[str, Any]:
    job, _, step, _ = task.split(".")
    return job_by_id[job].steps[int(step)]


def _cpu(task: str, job_by_id: dict[str, Submitted]) -> int:
    return int(_step(task, job_by_id)["cpu"])


def _check_step_order(rows: list[Row], job_by_id: dict[str, Submitted]) -> list[str]:
    violations = []
    done: dict[tuple[str, int], set[str]] = defaultdict(set)
    for kind, _, _, task, _, how in rows:
        if kind not in ("start", "end"):
            continue
        job, _, step, _ = task.split(".")
        if kind == "end" and how == "done":
            done[job, int(step)].add(task)
        if kind == "start":
            steps = job_by_id[job].steps
            for earlier in steps[int(step)].get("after", []):
                if len(done[job, earlier]) < steps[earlier]["count"]:
                    violations.append(f"before its step's turn: {task}")
    return violations


def _check_shown_states(job: Submitted) -> list[str]:
    violations = []
    final = ""
    for at, state in job.states:
        if state == "gone" and job.accepted_at and at > job.accepted_at:
            violations.append(f"accepted and then gone: {job.job}")
        if state == "failed":
            violations.append(f"failed without cause: {job.job}")
        if final and state != final:
            violations.append(f"shown as {final} and then as {state}: {job.job}")
        if state in ("done", "cancelled"):
            final = state
    if job.is_invalid and job.accepted_at:
        violations.append(f"accepted, although it is invalid: {job.job}")
    if job.accepted_at and not final:
        violations.append(f"never ended: {job.job}, last shown {job.states[-1:]}")
    if final == "cancelled" and not job.cancel_tried:
        violations.append(f"cancelled by nobody: {job.job}")
    return violations


def _check_starts(job: Submitted, rows: list[Row]) -> list[str]:
    starts = [row for row in rows if row[0] == "start"]
    violations = []
    if job.refused and starts:
        violations.append(f"refused and run all the same: {job.job}")
    if job.cancelled_at:
        late = [r for r in starts if r[1] > job.cancelled_at + CANCEL_SECONDS]
        violations += [f"started after its job was cancelled: {row[3]}" for row in late]
    task_count = sum(step["count"] for step in job.steps)
    ended = [row for row in rows if row[0] == "end" and row[5] == "done"]
    if job.cancelled_at and any(state == "done" for _, state in job.states):
        # Cancelling a job whose tasks have all succeeded changes nothing.
        before = {row[3] for row in ended if row[1] <= job.cancelled_at}
        if len(before) < task_count:
            violations.append(f"done after it was cancelled: {job.job}")
    shown_done = [at for at, state in job.states if state == "done"]
    if shown_done:
        latest = shown_done[0] + CLOCK_SLACK
        done = {row[3] for row in ended if row[1] <= latest}
        if len(done) < task_count:
            violations.append(
                f"shown as done with {len(done)} of {task_count}: {job.job}"
            )
    return violations
