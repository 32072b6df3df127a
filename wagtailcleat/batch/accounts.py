"""A job's account: the JSON text that tells its caller the job's state.

`Submissions` sends it in answers to callers.
"""

import json

from wagtailcleat.batch.record import JobRecord, TaskState


def state_of(job: JobRecord) -> str:
    """Return the job's state as one word of the account."""
    if job.is_open():
        if job.cancelled or job.stopped:
            return "stopping"
        started = any(task.attempt for task in job.tasks)
        return "running" if started else "waiting"
    if job.cancelled:
        return "cancelled"
    if job.count(TaskState.SUCCEEDED) == job.spec.tasks:
        return "finished"
    return "failed"


def late_reason(job: JobRecord, now: float) -> str:
    """Return why an open job can't end by its deadline, or "" while it can.

    Parameters: `now` is wall-clock seconds since 1970.
    """
    deadline, run_seconds = job.spec.deadline, job.spec.task.run_seconds
    if not job.is_open() or job.cancelled or job.stopped:
        return ""
    if now > deadline:
        return "its deadline has passed"
    waiting = job.count(TaskState.PENDING)
    if waiting and now + run_seconds > deadline:
        return f"{waiting} tasks still wait and could not end by the deadline"
    return ""


def encode_account(job: JobRecord, name: str, now: float) -> str:
    """Return the account as JSON text.

    Parameters: `name` is the team's name for the job; `now` is wall-clock seconds
    since 1970.
    """
    spec = job.spec
    totals = job.totals()
    body: dict[str, object] = {
        "id": name,
        "team": spec.team,
        "state": state_of(job),
        "tasks": spec.tasks,
        "urgent": spec.urgent,
        "accepted_at": round(job.accepted_at, 3),
        "deadline": spec.deadline,
        "attempts": totals.attempts,
        "evictions": totals.evictions,
        "failures": totals.failures,
    }
    for state in TaskState:
        body[state.value] = totals.count_by_state.get(state, 0)
    if job.ended_at:
        body["ended_at"] = round(job.ended_at, 3)
        body["in_time"] = job.ended_at <= spec.deadline
    late = late_reason(job, now)
    if late:
        body["late"] = late
    if job.reason:
        body["reason"] = job.reason
    return json.dumps(body)
