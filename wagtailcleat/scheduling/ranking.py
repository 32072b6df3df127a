"""The order in which waiting steps are placed, used by placement rounds and advice.

Steps of urgent queues go first. Among jobs of one priority, the job with the least
remaining work goes first (shortest remaining processing time): more jobs are in time
with the same room, and late jobs are soon finished. Among equal jobs, the one whose
result is most useful goes first. Long-running tasks go after tasks that end within
seconds, because room that is given to a long-running task stays occupied all day.
"""

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


def critical_path_seconds(job: Job) -> float:
    """Return the estimated seconds of the longest chain of dependent steps."""
    longest: list[float] = []
    for step in job.steps:
        before = max((longest[earlier] for earlier in step.after), default=0.0)
        longest.append(before + step.estimate_seconds)
    return max(longest, default=0.0)


def objective_seconds(job: Job) -> float:
    """Return the seconds after its due time within which a job should finish."""
    return job.stretch * critical_path_seconds(job) + job.target_latency


def remaining_work(entry: JobEntry, occurrence: int) -> RemainingWork:
    """Return the remaining work of an occurrence, cached until a task succeeds."""
    known = entry.remaining_work_by_occurrence.get(occurrence)
    if known is None:
        known = RemainingWork(
            _remaining_path_seconds(entry, occurrence),
            _remaining_core_seconds(entry, occurrence),
            objective_seconds(entry.job),
        )
        entry.remaining_work_by_occurrence[occurrence] = known
    return known


def _remaining_path_seconds(entry: JobEntry, occurrence: int) -> float:
    longest: list[float] = []
    for number, step in enumerate(entry.job.steps):
        before = max((longest[earlier] for earlier in step.after), default=0.0)
        left = entry.unfinished_by_step.get((occurrence, number), 0)
        longest.append(before + (step.estimate_seconds if left else 0.0))
    return max(longest, default=0.0)


def _remaining_core_seconds(entry: JobEntry, occurrence: int) -> float:
    return sum(
        entry.unfinished_by_step.get((occurrence, number), 0)
        * step.size.cores
        * step.estimate_seconds
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
