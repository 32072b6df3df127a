"""What the workers' records tell about tasks; the oracle of the batch tests."""

from dataclasses import dataclass
from math import inf


@dataclass(frozen=True)
class Run:
    """One attempt as a worker ran it; `end` is infinite while it runs."""

    task: str
    attempt: int
    vm: str
    start: float
    end: float
    state: str


def runs(cluster):
    """Return every run on every VM, by start."""
    found = []
    for vm in cluster.vm_by_name:
        started_at = {}
        for at, kind, attempt, state in cluster.starts_and_ends(vm):
            if kind == "start":
                started_at[attempt] = at
            else:
                found.append(_run(attempt, vm, started_at.pop(attempt), at, state))
        for attempt, at in started_at.items():
            found.append(_run(attempt, vm, at, inf, "running"))
    return sorted(found, key=lambda run: run.start)


def runs_by_task(cluster):
    """Return the runs of each task, by start."""
    by_task = {}
    for run in runs(cluster):
        by_task.setdefault(run.task, []).append(run)
    return by_task


def running(cluster, vm=None):
    """Return what runs now."""
    now = [run for run in runs(cluster) if run.end == inf]
    return [run for run in now if vm in (None, run.vm)]


def overlaps(cluster):
    """Return each pair of runs in which one task runs twice at one time."""
    return [
        (one, two)
        for by_start in runs_by_task(cluster).values()
        for one, two in zip(by_start, by_start[1:], strict=False)
        if two.start < one.end
    ]


def peak(cluster, vm):
    """Return the most runs that a VM had at one time."""
    changes = []
    for run in runs(cluster):
        if run.vm == vm:
            changes += [(run.start, 1), (run.end, -1)]
    count = most = 0
    for _, change in sorted(changes):
        count += change
        most = max(most, count)
    return most


def _run(attempt, vm, start, end, state):
    task, _, number = attempt.rpartition("~")
    return Run(task, int(number), vm, start, end, state)
