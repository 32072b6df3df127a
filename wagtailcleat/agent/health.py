"""Whether this VM's worker fails what it starts, and a job fails here.

The agent alone sees every shard's attempts on its VM, so it closes itself: three
jobs that fail in a row, with no success between, close the VM to all new tasks;
a few failures of one job in a row close it to that job, which may be the bad one.
Both end by themselves, after a pause that doubles while the next tries fail too.
"""

from dataclasses import dataclass, field

from wagtailcleat.ids import JobId

JOBS_TO_CLOSE = 3
FAILURES_TO_CLOSE_TO_JOB = 4
PROVEN_SECONDS = 5.0
"""A task that has run so long was not failed by a worker that fails what it starts."""
FIRST_PAUSE_SECONDS = 30.0
MAX_PAUSE_SECONDS = 900.0
MAX_JOBS_KEPT = 1000


@dataclass
class Health:
    """Counts failures in a row; `now` is on the VM's clock."""

    closed_until: float = 0.0
    _pause: float = FIRST_PAUSE_SECONDS
    _failures_by_job: dict[JobId, int] = field(default_factory=dict)
    _closed_until_by_job: dict[JobId, float] = field(default_factory=dict)

    def succeeded(self) -> None:
        """Note that a task ended well: the worker works."""
        self._failures_by_job.clear()
        self._pause = FIRST_PAUSE_SECONDS

    def failed(self, job: JobId, now: float) -> None:
        """Note that a task of `job` failed."""
        failures = self._failures_by_job.get(job, 0) + 1
        self._failures_by_job[job] = failures
        if len(self._failures_by_job) >= JOBS_TO_CLOSE:
            self.closed_until = now + self._pause
            self._pause = min(2 * self._pause, MAX_PAUSE_SECONDS)
            self._failures_by_job.clear()
        elif failures >= FAILURES_TO_CLOSE_TO_JOB:
            self._closed_until_by_job[job] = now + FIRST_PAUSE_SECONDS
            while len(self._closed_until_by_job) > MAX_JOBS_KEPT:
                del self._closed_until_by_job[next(iter(self._closed_until_by_job))]

    def why_closed(self, job: JobId, now: float, unproven: int) -> str:
        """Return why no task of `job` may start here now; empty where it may.

        Parameters: `unproven` tasks of the job have been here for less than
        `PROVEN_SECONDS`.
        """
        if now < self.closed_until:
            return "tasks of several jobs failed here one after the other"
        if now < self._closed_until_by_job.get(job, 0.0):
            return "this job's tasks fail here"
        # Failures are seen some time after they happen. The room that the first ones
        # leave would go to tasks of the same job, and all of these would fail before
        # the count closes the VM. Those that may yet fail count as if they had; after
        # a pause one task at a time shows whether the job still fails here.
        failures = self._failures_by_job.get(job, 0)
        if failures and unproven >= max(FAILURES_TO_CLOSE_TO_JOB - failures, 1):
            return "tasks of this job failed here, and others may yet"
        return ""
