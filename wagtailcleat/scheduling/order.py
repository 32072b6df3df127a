"""The order in which waiting work is given room.

Urgent queues go first. Within a queue the work that can still be in time goes first,
then what can still be late, then the rest; among equals the one that has least left
to do, because more of such jobs are in time with the same room.
"""

from wagtailcleat.scheduling.book import JobEntry, StepKey
from wagtailcleat.scheduling.models import Job

LATE_FACTOR = 3.0
"""A result is of some use until this many times its objective (the users' rule)."""


LASTING_RANK = 1.5
"""Tasks that last go after short ones that can still be in time: those leave again
within seconds, while room given to a lasting task is gone for the day."""


def chain_seconds(job: Job) -> float:
    """Return the longest chain of estimated work, in seconds."""
    longest: list[float] = []
    for step in job.steps:
        before = max((longest[earlier] for earlier in step.after), default=0.0)
        longest.append(before + step.estimate_seconds)
    return max(longest, default=0.0)


def objective_seconds(job: Job) -> float:
    """Return within how many seconds of its submission a job should be done."""
    return job.stretch * chain_seconds(job) + job.target_latency


def remaining_seconds(entry: JobEntry, occurrence: int) -> float:
    """Return the longest chain of work of an occurrence that is not done yet."""
    longest: list[float] = []
    for number, step in enumerate(entry.job.steps):
        before = max((longest[earlier] for earlier in step.after), default=0.0)
        left = entry.left_by_step.get((occurrence, number), 0)
        longest.append(before + (step.estimate_seconds if left else 0.0))
    return max(longest, default=0.0)


def remaining_core_seconds(entry: JobEntry, occurrence: int) -> float:
    """Return the work of an occurrence that is not done yet."""
    return sum(
        entry.left_by_step.get((occurrence, number), 0)
        * step.size.cores
        * step.estimate_seconds
        for number, step in enumerate(entry.job.steps)
    )


def rank(entry: JobEntry, step: StepKey, wall_now: float) -> tuple[float, ...]:
    """Return the sort key of a step that waits; the smallest goes first."""
    job = entry.job
    occurrence, number = step
    if job.steps[number].long_running:
        return (job.priority, LASTING_RANK, 0.0)
    since = job.accepted_at
    if job.first_at:
        since = job.first_at + occurrence * job.interval
    objective = objective_seconds(job)
    finish = wall_now + remaining_seconds(entry, occurrence)
    if finish <= since + objective:
        lateness = 1
    elif finish <= since + LATE_FACTOR * objective:
        lateness = 2
    else:
        lateness = 3
    return (job.priority, lateness, remaining_core_seconds(entry, occurrence))
