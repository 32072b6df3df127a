"""Builds and parses the ids of tasks (`JOB/INDEX`) and attempts (`TASK/NUMBER`)."""

from wagtailcleat.ids import AttemptId, JobId, ShardId, TaskId


def task_id(job: JobId, index: int) -> TaskId:
    """Return the id of the task at `index` of `job`."""
    return TaskId(f"{job}/{index}")


def attempt_id(task: TaskId, number: int) -> AttemptId:
    """Return the id of attempt `number` of `task`."""
    return AttemptId(f"{task}/{number}")


def job_of(attempt: AttemptId) -> JobId:
    """Return the job that an attempt belongs to."""
    return JobId(attempt.split("/")[0])


def shard_of(attempt: AttemptId) -> ShardId:
    """Return the shard that an attempt's job belongs to."""
    return ShardId(int(attempt.split(".")[0]))


def task_of(attempt: AttemptId) -> TaskId:
    """Return the task that an attempt belongs to."""
    return TaskId(attempt.rsplit("/", 1)[0])
