"""Backoff of a VM after task failures, which may be due to its worker or to a job.

Only the agent sees the attempts of all shards on its VM, so the agent decides. When
`FAILED_JOBS_TO_CLOSE` jobs fail with no success in between, the VM is closed to all new
tasks. When one job fails `JOB_FAILURES_TO_CLOSE` times, the VM is closed to that job
only, since the job may be the cause. Each closing ends after a backoff time; that of
the VM doubles while tasks go on failing.
"""

from dataclasses import dataclass, field

from wagtailcleat.ids import JobId

FAILED_JOBS_TO_CLOSE = 3
JOB_FAILURES_TO_CLOSE = 4
MIN_HEALTHY_SECONDS = 5.0
"""A broken worker fails its tasks sooner: one that ran so long started properly."""
INITIAL_BACKOFF_SECONDS = 30.0
MAX_BACKOFF_SECONDS = 900.0
MAX_CLOSED_JOBS = 1000


@dataclass
class FailureBackoff:
    """Counts failures since the last success; times are seconds on the VM's clock."""

    closed_until: float = 0.0
    _backoff: float = INITIAL_BACKOFF_SECONDS
    _failures_by_job: dict[JobId, int] = field(default_factory=dict)
    _closed_until_by_job: dict[JobId, float] = field(default_factory=dict)

    def record_success(self) -> None:
        """Record that a task succeeded, which shows that the worker works."""
        self._failures_by_job.clear()
        self._backoff = INITIAL_BACKOFF_SECONDS

    def record_failure(self, job: JobId, now: float) -> None:
        """Record that a task of `job` failed; start a backoff at a failure limit."""
        failures = self._failures_by_job.get(job, 0) + 1
        self._failures_by_job[job] = failures
        if len(self._failures_by_job) >= FAILED_JOBS_TO_CLOSE:
            self.closed_until = now + self._backoff
            self._backoff = min(2 * self._backoff, MAX_BACKOFF_SECONDS)
            self._failures_by_job.clear()
        elif failures >= JOB_FAILURES_TO_CLOSE:
            self._closed_until_by_job[job] = now + INITIAL_BACKOFF_SECONDS
            while len(self._closed_until_by_job) > MAX_CLOSED_JOBS:
                del self._closed_until_by_job[next(iter(self._closed_until_by_job))]

    def refusal_reason(self, job: JobId, now: float, recent_tasks: int) -> str:
        """Return why no task of `job` may start here now; empty if one may.

        Parameters: `recent_tasks` is the number of the job's tasks that have been on
        this VM for less than `MIN_HEALTHY_SECONDS`.
        """
        if now < self.closed_until:
            return "tasks of several jobs failed here one after the other"
        if now < self._closed_until_by_job.get(job, 0.0):
            return "this job's tasks fail here"
        # Failures are detected with a delay. Meanwhile the resources that the first
        # failed tasks release would go to tasks of the same job, which would all fail
        # before the count closes the VM to it. Recent tasks therefore count as
        # failures; after the backoff one task at a time shows whether the job still
        # fails here.
        failures = self._failures_by_job.get(job, 0)
        if failures and recent_tasks >= max(JOB_FAILURES_TO_CLOSE - failures, 1):
            return "tasks of this job failed here, and others may yet"
        return ""
