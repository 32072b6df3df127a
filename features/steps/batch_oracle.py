"""Oracle of the batch tests: task runs as the workers recorded them."""

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


def runs_of(rows_by_vm):
    """Return every run in the workers' records, ordered by start."""
    found = []
    for vm, rows in rows_by_vm.items():
        started_at = {}
        for at, kind, attempt, state in rows:
            if kind == "start":
                started_at[attempt] = at
            else:
                found.append(_run(attempt, vm, started_at.pop(attempt), at, state))
        for attempt, at in started_at.items():
            found.append(_run(attempt, vm, at, inf, "running"))
    return sorted(found, key=lambda run: run.start)


def overlapping(found):
    """Return each pair of runs of one task that overlap in time."""
    return [
        (one, two)
        for by_start in _by_task(found).values()
        for one, two in zip(by_start, by_start[1:], strict=False)
        if two.start < one.end
    ]


def peak_of(found, vm):
    """Return the most runs that a VM had at one time."""
    changes = []
    for run in found:
        if run.vm == vm:
            changes += [(run.start, 1), (run.end, -1)]
    count = most = 0
    for _, change in sorted(changes):
        count += change
        most = max(most, count)
    return most


def runs(cluster):
    """Return every run on every VM of a cluster, ordered by start."""
    return runs_of({vm: cluster.starts_and_ends(vm) for vm in cluster.vm_by_name})


def runs_by_task(cluster):
    """Return the runs of each task, ordered by start."""
    return _by_task(runs(cluster))


def running(cluster, vm=None):
    """Return the runs that have not ended, on one VM or on all."""
    now = [run for run in runs(cluster) if run.end == inf]
    return [run for run in now if vm in (None, run.vm)]


def overlaps(cluster):
    """Return each pair of runs of one task in a cluster that overlap in time."""
    return overlapping(runs(cluster))


def peak(cluster, vm):
    """Return the most runs that a VM of a cluster had at one time."""
    return peak_of(runs(cluster), vm)


def _by_task(found):
    by_task = {}
    for run in found:
        by_task.setdefault(run.task, []).append(run)
    return by_task


def _run(attempt, vm, start, end, state):
    task, _, number = attempt.rpartition("~")
    return Run(task, int(number), vm, start, end, state)
