"""The durable part of a job's progress, and how an entry is restored from it."""

import msgspec

from wagtailcleat.scheduling.job_entry import (
    JobEntry,
    TaskState,
    begin_through,
    drop_done_occurrences,
)
from wagtailcleat.scheduling.models import JobRecord, JobState, TaskRecord


def record_of(entry: JobEntry) -> JobRecord:
    """Return the durable part of a job's progress."""
    if entry.state.final:
        return JobRecord(entry.state, ended_at=entry.ended_at)
    rows = []
    records = []
    for (occurrence, number), tasks in entry.tasks_by_step.items():
        done = [t.key.position for t in tasks if t.state is TaskState.SUCCEEDED]
        if done:
            rows.append((occurrence, number, done))
        records += [
            TaskRecord(
                occurrence,
                number,
                t.key.position,
                sorted(t.failed_runs),
                t.checkpoint,
                t.checkpoint_run,
            )
            for t in tasks
            if t.state is not TaskState.SUCCEEDED and (t.failed_runs or t.checkpoint)
        ]
    state = JobState.RUNNING if entry.has_begun else JobState.QUEUED
    return JobRecord(state, rows, records, occurrences_done=entry.occurrences_done)


def without_checkpoints(record: JobRecord, excess: int) -> JobRecord:
    """Return a record without its longest checkpoints, `excess` bytes or more in all.

    The tasks continue from an earlier checkpoint, or begin again, if the leader ends.
    """
    tasks = []
    for saved in sorted(record.tasks, key=lambda task: -len(task.checkpoint)):
        if excess > 0 and saved.checkpoint:
            excess -= len(saved.checkpoint.encode())
            saved = msgspec.structs.replace(saved, checkpoint="", checkpoint_run=0)
        if saved.failed_runs or saved.checkpoint:
            tasks.append(saved)
    return msgspec.structs.replace(record, tasks=tasks)


def restore(entry: JobEntry, record: JobRecord, now: float) -> None:
    """Set the progress of a job without tasks to that of a stored record."""
    entry.occurrences_done = entry.occurrences_begun = record.occurrences_done
    # Earlier versions may have stored progress of a job in state `QUEUED`.
    entry.has_begun = record.state is not JobState.QUEUED or bool(
        record.succeeded or record.tasks or record.occurrences_done
    )
    # Stored progress begins its occurrence whether or not it is due: the wall clock of
    # this VM may be behind that of the previous leader, and without the progress the
    # tasks would run again.
    for occurrence, number, positions in record.succeeded:
        begin_through(entry, occurrence, now)
        tasks = entry.tasks_by_step[occurrence, number]
        for position in positions:
            entry.set_task_state(tasks[position], TaskState.SUCCEEDED)
    for saved in record.tasks:
        begin_through(entry, saved.occurrence, now)
        tasks = entry.tasks_by_step.get((saved.occurrence, saved.step), [])
        if saved.position < len(tasks):
            task = tasks[saved.position]
            task.failed_runs = saved.failed_run_numbers()
            task.checkpoint = saved.checkpoint
            task.checkpoint_run = saved.checkpoint_run
            # A leader that started the task more than RUNS_PER_EPOCH times has used
            # numbers of this leader's range. If such a number were reused, a new
            # failure would be taken for one that is already counted.
            task.highest_run = max(task.checkpoint_run, *task.failed_runs, 0)
    if entry.job.occurrences > 1:
        drop_done_occurrences(entry)
