"""The order in which waiting work is given room.

Urgent queues go first. Within a queue the job that has least left to do goes first:
more of such jobs are in time with the same room, and those that will be late are soon
over. Among equals the one that is of most use goes first. Tasks that last go after
those that leave again within seconds, because room that is given to a lasting task is
gone for the day.
"""

from enum import IntEnum

from wagtailcleat.scheduling.book import JobEntry, Outlook, StepKey
from wagtailcleat.scheduling.models import Job

LATE_FACTOR = 3.0
"""A result is of some use until this many times its objective."""


class Lateness(IntEnum):
    """When a job can be done at best; the first is of most use."""

    IN_TIME = 0
    LATE = 1
    """After its objective, when its result is of less use."""
    TOO_LATE = 2


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


def outlook(entry: JobEntry, occurrence: int) -> Outlook:
    """Return what is left of an occurrence; worked out anew after each success."""
    known = entry.outlook_by_occurrence.get(occurrence)
    if known is None:
        known = Outlook(
            _remaining_seconds(entry, occurrence),
            _remaining_core_seconds(entry, occurrence),
            objective_seconds(entry.job),
        )
        entry.outlook_by_occurrence[occurrence] = known
    return known


def _remaining_seconds(entry: JobEntry, occurrence: int) -> float:
    longest: list[float] = []
    for number, step in enumerate(entry.job.steps):
        before = max((longest[earlier] for earlier in step.after), default=0.0)
        left = entry.left_by_step.get((occurrence, number), 0)
        longest.append(before + (step.estimate_seconds if left else 0.0))
    return max(longest, default=0.0)


def _remaining_core_seconds(entry: JobEntry, occurrence: int) -> float:
    return sum(
        entry.left_by_step.get((occurrence, number), 0)
        * step.size.cores
        * step.estimate_seconds
        for number, step in enumerate(entry.job.steps)
    )


def rank(
    entry: JobEntry, step: StepKey, wall_now: float
) -> tuple[int, bool, float, int]:
    """Return the sort key of a step that waits; the smallest goes first."""
    job = entry.job
    occurrence, number = step
    if job.steps[number].long_running:
        return (job.priority, True, 0.0, Lateness.IN_TIME)
    left = outlook(entry, occurrence)
    late = lateness(entry, occurrence, wall_now)
    return (job.priority, False, left.core_seconds, late)


def lateness(entry: JobEntry, occurrence: int, wall_now: float) -> Lateness:
    """Tell when an occurrence can be done at best, from now on."""
    slack = slack_seconds(entry, occurrence, wall_now)
    if slack >= 0:
        return Lateness.IN_TIME
    if slack >= -(LATE_FACTOR - 1) * outlook(entry, occurrence).objective:
        return Lateness.LATE
    return Lateness.TOO_LATE


def slack_seconds(entry: JobEntry, occurrence: int, wall_now: float) -> float:
    """Return by how much an occurrence can be done before its objective, at best."""
    left = outlook(entry, occurrence)
    return due_seconds(entry, occurrence, wall_now) - left.seconds


def due_seconds(entry: JobEntry, occurrence: int, wall_now: float) -> float:
    """Return how long it is until the objective of an occurrence."""
    job = entry.job
    since = job.accepted_at
    if job.first_at:
        since = job.first_at + occurrence * job.interval
    return since + outlook(entry, occurrence).objective - wall_now
