"""Pauses before a lasting task starts again after runs that ended soon.

A task that fails at once would otherwise start many times a second for as long as its
fault lasts.
"""

from wagtailcleat.scheduling.job_entry import Task
from wagtailcleat.scheduling.models import RunEnd

SHORT_RUN_SECONDS = 5.0
"""A run that ends by itself within this time counts as short."""
IMMEDIATE_RESTARTS = 3
"""Short runs in a row after which the task starts again at once.

The VM may have been at fault; the task then starts on others.
"""
FIRST_PAUSE_SECONDS = 0.5
MAX_DOUBLINGS = 3
"""Doublings of the pause; the platform wants a task to run again within seconds."""


def record_run(task: Task, how: RunEnd, seconds: float, now: float) -> None:
    """Set the time before which a lasting task does not start again.

    Parameters: `how` is the end of its run, which was ordered `seconds` ago.
    """
    if not task.step.long_running or how not in (RunEnd.FAILED, RunEnd.SUCCEEDED):
        return
    if seconds >= SHORT_RUN_SECONDS:
        task.short_runs = 0
        return
    task.short_runs += 1
    doublings = min(MAX_DOUBLINGS, task.short_runs - IMMEDIATE_RESTARTS - 1)
    if doublings >= 0:
        task.not_before = now + FIRST_PAUSE_SECONDS * 2.0**doublings
