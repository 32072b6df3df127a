"""Bounds of jobs and of their records, as they are accepted and stored."""

import math

import msgspec

from wagtailcleat.scheduling.job_entry import MAX_OPEN_OCCURRENCES
from wagtailcleat.scheduling.models import Job, JobRecord, TaskRecord

MAX_TASKS = 10_000
"""Limit for one occurrence of a job: a larger one could exhaust the memory."""
MAX_STEPS = 1_000
MAX_NUMBER = 2**53
MAX_COUNTED_FAILURES = 10_000
"""Most failures in a record that only counts them."""


def job_problem(job: Job) -> str:
    """Return what is out of bounds in a job; "" if nothing."""
    if not 0 < len(job.steps) <= MAX_STEPS:
        return f"the job has {len(job.steps)} steps"
    if not _are_bounded(job) or job.occurrences < 1:
        return "a number is out of range"
    for number, step in enumerate(job.steps):
        if not _are_bounded(step) or not _are_bounded(step.size) or step.count < 1:
            return f"a number of step {number} is out of range"
        if not all(0 <= earlier < number for earlier in step.after):
            return f"step {number} depends on a step that is not earlier"
    if sum(step.count for step in job.steps) > MAX_TASKS:
        return "the job has too many tasks"
    return ""


def record_problem(record: JobRecord, job: Job) -> str:
    """Return why a job can't have a record; "" if it can."""
    if not _are_bounded(record) or record.occurrences_done > job.occurrences:
        return "a number is out of range"
    rows = set()
    for occurrence, number, positions in record.succeeded:
        if (
            occurrence < record.occurrences_done
            or not _is_open(occurrence, record, job)
            or not 0 <= number < len(job.steps)
            or (occurrence, number) in rows
        ):
            return "a step that succeeded is out of range"
        rows.add((occurrence, number))
        count = job.steps[number].count
        is_valid = all(0 <= position < count for position in positions)
        if not is_valid or len(set(positions)) < len(positions):
            return "a task that succeeded is out of range"
    if not all(_is_task_valid(saved, record, job) for saved in record.tasks):
        return "a task is out of range"
    return ""


def _is_task_valid(saved: TaskRecord, record: JobRecord, job: Job) -> bool:
    if isinstance(saved.failed_runs, int):
        are_runs_valid = 0 <= saved.failed_runs <= MAX_COUNTED_FAILURES
    else:
        are_runs_valid = all(
            -MAX_COUNTED_FAILURES <= run <= MAX_NUMBER for run in saved.failed_runs
        )
    return (
        are_runs_valid
        and _is_open(saved.occurrence, record, job)
        and saved.step >= 0
        and saved.position >= 0
        and 0 <= saved.checkpoint_run <= MAX_NUMBER
    )


def _is_open(occurrence: int, record: JobRecord, job: Job) -> bool:
    """Return whether an occurrence is one that has tasks, or had them before."""
    last = min(job.occurrences - 1, record.occurrences_done + MAX_OPEN_OCCURRENCES)
    return 0 <= occurrence <= last


def _are_bounded(fields: msgspec.Struct) -> bool:
    return all(
        math.isfinite(value) and 0 <= value <= MAX_NUMBER
        for value in msgspec.structs.astuple(fields)
        if isinstance(value, int | float)
    )
