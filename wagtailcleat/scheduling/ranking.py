"""The order in which waiting steps are placed, used by placement rounds and advice.

Steps of urgent queues go first. Among jobs of one priority, the job with the least
remaining work goes first (shortest remaining processing time): more jobs are in time
with the same room, and late jobs are soon finished. Among equal jobs, the one whose
result is most useful goes first. Long-running tasks go after tasks that end within
seconds, because room that is given to a long-running task stays occupied all day.
"""

from collections.abc import Sequence
from enum import IntEnum

from wagtailcleat.scheduling.job_entry import JobEntry, RemainingWork, StepKey
from wagtailcleat.scheduling.models import Job

LATE_FACTOR = 3.0
"""A result has some use until this many times the objective has passed."""


class Lateness(IntEnum):
    """When a job can finish at the earliest; a lower value is more useful."""

    IN_TIME = 0
    LATE = 1
    """After its objective, when the result is less useful."""
    TOO_LATE = 2
    """So long after its objective that the result is useless; see `LATE_FACTOR`."""


def critical_path_seconds(entry: JobEntry) -> float:
    """Return the expected seconds of the longest chain of dependent steps."""
    return _longest_chain(entry.job, entry.expected_seconds)


def objective_seconds(entry: JobEntry) -> float:
    """Return the seconds after its due time within which a job should finish."""
    job = entry.job
    return job.stretch * critical_path_seconds(entry) + job.target_latency


def _longest_chain(job: Job, seconds_by_step: Sequence[float]) -> float:
    longest: list[float] = []
    for step, seconds in zip(job.steps, seconds_by_step, strict=True):
        before = max((longest[earlier] for earlier in step.after), default=0.0)
        longest.append(before + seconds)
    return max(longest, default=0.0)


def remaining_work(entry: JobEntry, occurrence: int) -> RemainingWork:
    """Return the remaining work of an occurrence, cached until a task succeeds."""
    known = entry.remaining_work_by_occurrence.get(occurrence)
    if known is None:
        known = RemainingWork(
            _remaining_path_seconds(entry, occurrence),
            _remaining_core_seconds(entry, occurrence),
            objective_seconds(entry),
        )
        entry.remaining_work_by_occurrence[occurrence] = known
    return known


def _remaining_path_seconds(entry: JobEntry, occurrence: int) -> float:
    unfinished = entry.unfinished_by_step
    left = [
        seconds if unfinished.get((occurrence, number), 0) else 0.0
        for number, seconds in enumerate(entry.expected_seconds)
    ]
    return _longest_chain(entry.job, left)


def _remaining_core_seconds(entry: JobEntry, occurrence: int) -> float:
    return sum(
        entry.unfinished_by_step.get((occurrence, number), 0)
        * step.size.cores
        * entry.expected_seconds[number]
        for number, step in enumerate(entry.job.steps)
    )


def rank(
    entry: JobEntry, step: StepKey, wall_now: float
) -> tuple[int, bool, float, int]:
    """Return the sort key of a waiting step; the smallest goes first."""
    job = entry.job
    occurrence, number = step
    if job.steps[number].long_running:
        return (job.priority, True, 0.0, Lateness.IN_TIME)
    remaining = remaining_work(entry, occurrence)
    late = lateness(entry, occurrence, wall_now)
    return (job.priority, False, remaining.core_seconds, late)


def lateness(entry: JobEntry, occurrence: int, wall_now: float) -> Lateness:
    """Return whether an occurrence can finish in time, late or too late."""
    slack = slack_seconds(entry, occurrence, wall_now)
    if slack >= 0:
        return Lateness.IN_TIME
    if (
        slack
        >= -(LATE_FACTOR - 1) * remaining_work(entry, occurrence).objective_seconds
    ):
        return Lateness.LATE
    return Lateness.TOO_LATE


def slack_seconds(entry: JobEntry, occurrence: int, wall_now: float) -> float:
    """Return by how many seconds an occurrence can finish before its objective.

    A negative value means that it will be late.
    """
    remaining = remaining_work(entry, occurrence)
    return due_seconds(entry, occurrence, wall_now) - remaining.critical_path_seconds


def due_seconds(entry: JobEntry, occurrence: int, wall_now: float) -> float:
    """Return the seconds until the objective of an occurrence."""
    job = entry.job
    since = job.accepted_at
    if job.first_at:
        since = job.first_at + occurrence * job.interval
    return since + remaining_work(entry, occurrence).objective_seconds - wall_now
