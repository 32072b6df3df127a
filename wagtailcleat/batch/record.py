"""A shard's record: the state of its jobs, tasks and attempts.

The journal builds it by applying the committed events of the shard's log in order,
so every owner that reads the same log has the same record.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from wagtailcleat.ids import AttemptId, Incarnation, JobId, NodeId, TaskId, VmName
from wagtailcleat.resources import Resources
from wagtailcleat.wire.attempts import AttemptState
from wagtailcleat.wire.jobs import JobSpec
from wagtailcleat.wire.task_ids import attempt_id, job_of, task_id


class TaskState(Enum):
    """State of a task; a task in state `PENDING` or `ASSIGNED` is open."""

    PENDING = "pending"
    ASSIGNED = "assigned"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


OPEN_STATES = (TaskState.PENDING, TaskState.ASSIGNED)
EVICTION_STATES = (AttemptState.EVICTED, AttemptState.LAPSED)


class Event(msgspec.Struct, frozen=True, array_like=True):
    """Base of the events in a shard's log; `at` is wall-clock seconds since 1970."""


class JobAccepted(Event, frozen=True, tag="job"):
    """A job was accepted."""

    spec: JobSpec
    at: float


class Assigned(Event, frozen=True, tag="assigned"):
    """An attempt was assigned to a VM; it may start from now on."""

    attempt: AttemptId
    vm: VmName
    node: NodeId
    incarnation: Incarnation
    at: float


class AttemptEnded(Event, frozen=True, tag="ended"):
    """An attempt has ended or will never start; it certainly does not run."""

    attempt: AttemptId
    state: AttemptState
    checkpoint: str
    reason: str
    at: float


class JobCancelled(Event, frozen=True, tag="cancelled"):
    """A job's open tasks are to be stopped."""

    job: JobId
    reason: str
    at: float


class JobStopped(Event, frozen=True, tag="stopped"):
    """A job is stopped because its tasks keep failing."""

    job: JobId
    reason: str
    at: float


class JobForgotten(Event, frozen=True, tag="forgotten"):
    """An ended job's account is no longer kept."""

    job: JobId


AnyEvent = (
    JobAccepted | Assigned | AttemptEnded | JobCancelled | JobStopped | JobForgotten
)


class TaskRecord(msgspec.Struct, array_like=True):
    """A task; `attempt` is the number of its last attempt, which may be running."""

    state: TaskState = TaskState.PENDING
    attempt: int = 0
    vm: VmName = VmName("")
    node: NodeId = NodeId("")
    incarnation: Incarnation = Incarnation(0)
    checkpoint: str = ""
    failures: int = 0
    evictions: int = 0
    failed_on: list[VmName] = []
    starts: int = 0
    """How often the task was assigned to a VM; attempt numbers may have gaps."""


class JobTotals(msgspec.Struct, array_like=True):
    """Totals over all tasks of a job."""

    count_by_state: dict[TaskState, int]
    attempts: int
    evictions: int
    failures: int


class JobRecord(msgspec.Struct, array_like=True):
    """A job and its tasks, by index; an ended job keeps only the totals.

    An ended job's account is kept for a day. If its tasks were kept too, a shard at
    peak load would outgrow the store's largest value within an hour.
    """

    spec: JobSpec
    accepted_at: float
    tasks: list[TaskRecord]
    cancelled: bool = False
    stopped: bool = False
    reason: str = ""
    ended_at: float = 0.0
    ended_totals: JobTotals | None = None

    def is_open(self) -> bool:
        """Return whether any task is pending or assigned."""
        return any(task.state in OPEN_STATES for task in self.tasks)

    def count(self, state: TaskState) -> int:
        """Return how many tasks are in `state`."""
        return self.totals().count_by_state.get(state, 0)

    def totals(self) -> JobTotals:
        """Return the totals over all tasks."""
        if self.ended_totals is not None:
            return self.ended_totals
        return JobTotals(
            Counter(task.state for task in self.tasks),
            sum(task.starts for task in self.tasks),
            sum(task.evictions for task in self.tasks),
            sum(task.failures for task in self.tasks),
        )

    def end(self, at: float) -> None:
        """Mark the job as ended, and replace its tasks by their totals."""
        self.ended_at = at
        self.ended_totals = self.totals()
        self.tasks = []


class Snapshot(msgspec.Struct, array_like=True):
    """A shard's whole state up to and including log entry `number`."""

    number: int
    jobs: list[JobRecord]


@dataclass
class ShardRecord:
    """A shard's jobs and the indexes on them; only `apply` changes them.

    `number` is the number of the last log entry applied.
    """

    job_by_id: dict[JobId, JobRecord] = field(default_factory=dict)
    number: int = 0
    task_by_attempt: dict[AttemptId, TaskRecord] = field(default_factory=dict)
    """The task of every attempt that may be running."""
    _pending_by_job: dict[JobId, dict[int, TaskRecord]] = field(default_factory=dict)
    _assigned_by_job: Counter[JobId] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        """Build the indexes from the given jobs."""
        for job_id, job in self.job_by_id.items():
            self._index(job_id, job)

    def apply(self, event: AnyEvent) -> None:
        """Apply one committed event to the state."""
        if isinstance(event, JobAccepted):
            self._apply_accepted(event)
        elif isinstance(event, Assigned):
            self._apply_assigned(event)
        elif isinstance(event, AttemptEnded):
            self._apply_ended(event)
        elif isinstance(event, JobCancelled):
            self._apply_cancelled(event.job, event.reason, event.at, stopped=False)
        elif isinstance(event, JobStopped):
            self._apply_cancelled(event.job, event.reason, event.at, stopped=True)
        else:
            self._apply_forgotten(event.job)

    def task(self, attempt: AttemptId) -> TaskRecord | None:
        """Return the task of an attempt, or None if the record no longer has it."""
        job = self.job_by_id.get(job_of(attempt))
        index = int(attempt.split("/")[1])
        if job is None or index >= len(job.tasks):
            return None
        return job.tasks[index]

    def is_current(self, attempt: AttemptId) -> bool:
        """Return whether the attempt is its task's last one and has not ended."""
        return attempt in self.task_by_attempt

    def is_open(self, job: JobId) -> bool:
        """Return whether any task of the job is pending or assigned."""
        return bool(self._pending_by_job.get(job)) or self._assigned_by_job[job] > 0

    def open_task_count(self) -> int:
        """Return how many tasks are pending or assigned."""
        return self.pending_count() + len(self.task_by_attempt)

    def pending_count(self) -> int:
        """Return how many tasks are pending."""
        return sum(len(tasks) for tasks in self._pending_by_job.values())

    def pending(
        self,
    ) -> Iterator[tuple[JobRecord, Iterator[tuple[TaskId, TaskRecord]]]]:
        """Yield each job with its pending tasks: urgent jobs first, then by deadline.

        No event may be applied while a job's tasks are iterated over.
        """
        jobs = sorted(
            (self.job_by_id[job_id] for job_id in self._pending_by_job),
            key=lambda job: (not job.spec.urgent, job.spec.deadline),
        )
        for job in jobs:
            yield job, self._pending_tasks(job.spec.id)

    def _pending_tasks(self, job_id: JobId) -> Iterator[tuple[TaskId, TaskRecord]]:
        for index, task in self._pending_by_job[job_id].items():
            yield task_id(job_id, index), task

    def assigned_resources(self, team: str) -> Resources:
        """Return the sum of the declared sizes of a team's assigned tasks."""
        total = Resources()
        for job_id, count in self._assigned_by_job.items():
            spec = self.job_by_id[job_id].spec
            if spec.team == team:
                total = total + spec.task.size.times(count)
        return total

    def encode_snapshot(self) -> bytes:
        """Return the whole state encoded as a snapshot."""
        jobs = list(self.job_by_id.values())
        return msgspec.msgpack.encode(Snapshot(self.number, jobs))

    def _apply_accepted(self, event: JobAccepted) -> None:
        # A job submitted twice at the same time is accepted twice in the log. A second
        # record would replace the first and lose its attempts, which may be running.
        if event.spec.id in self.job_by_id:
            return
        tasks = [TaskRecord() for _ in range(event.spec.tasks)]
        job = JobRecord(event.spec, event.at, tasks)
        self.job_by_id[event.spec.id] = job
        self._index(event.spec.id, job)

    def _apply_assigned(self, event: Assigned) -> None:
        task = self.task(event.attempt)
        job_id = job_of(event.attempt)
        index = int(event.attempt.split("/")[1])
        # The job was cancelled between the reservation and the commit, so nothing
        # starts.
        if task is None or task.state is not TaskState.PENDING:
            return
        task.state = TaskState.ASSIGNED
        task.attempt = int(event.attempt.rsplit("/", 1)[1])
        task.vm = event.vm
        task.node = event.node
        task.incarnation = event.incarnation
        task.starts += 1
        self._remove_pending(job_id, index)
        self._assigned_by_job[job_id] += 1
        self.task_by_attempt[event.attempt] = task

    def _apply_ended(self, event: AttemptEnded) -> None:
        task = self.task_by_attempt.pop(event.attempt, None)
        if task is None:
            return
        job_id = job_of(event.attempt)
        job = self.job_by_id[job_id]
        self._assigned_by_job[job_id] -= 1
        if not self._assigned_by_job[job_id]:
            del self._assigned_by_job[job_id]
        if event.checkpoint:
            task.checkpoint = event.checkpoint
        stopping = job.cancelled or job.stopped
        if event.state is AttemptState.SUCCEEDED:
            task.state = TaskState.SUCCEEDED
        elif stopping:
            task.state = TaskState.CANCELLED
        else:
            task.state = TaskState.PENDING
            index = int(event.attempt.split("/")[1])
            self._pending_by_job.setdefault(job_id, {})[index] = task
        if event.state is AttemptState.FAILED:
            task.failures += 1
            task.failed_on = sorted({*task.failed_on, task.vm})
        if event.state in EVICTION_STATES and not stopping:
            task.evictions += 1
        if not self.is_open(job_id):
            job.end(event.at)

    def _apply_cancelled(
        self, job_id: JobId, reason: str, at: float, *, stopped: bool
    ) -> None:
        job = self.job_by_id.get(job_id)
        # Cancellations and stops may race: the first one wins, and a job that has
        # ended stays as it is.
        if job is None or job.cancelled or job.stopped or not self.is_open(job_id):
            return
        job.cancelled = not stopped
        job.stopped = stopped
        job.reason = reason
        for task in self._pending_by_job.pop(job_id, {}).values():
            task.state = TaskState.FAILED if stopped else TaskState.CANCELLED
        if not self.is_open(job_id):
            job.end(at)

    def _apply_forgotten(self, job_id: JobId) -> None:
        if job_id in self.job_by_id and not self.is_open(job_id):
            del self.job_by_id[job_id]

    def _remove_pending(self, job_id: JobId, index: int) -> None:
        waiting = self._pending_by_job[job_id]
        del waiting[index]
        if not waiting:
            del self._pending_by_job[job_id]

    def _index(self, job_id: JobId, job: JobRecord) -> None:
        for index, task in enumerate(job.tasks):
            if task.state is TaskState.PENDING:
                self._pending_by_job.setdefault(job_id, {})[index] = task
            elif task.state is TaskState.ASSIGNED:
                attempt = attempt_id(task_id(job_id, index), task.attempt)
                self.task_by_attempt[attempt] = task
                self._assigned_by_job[job_id] += 1


def decode_snapshot(snapshot: bytes) -> ShardRecord:
    """Return the record encoded in `snapshot`."""
    stored = msgspec.msgpack.decode(snapshot, type=Snapshot)
    return ShardRecord({job.spec.id: job for job in stored.jobs}, stored.number)


def encode_events(events: list[AnyEvent]) -> bytes:
    """Return the log entry that holds `events`."""
    return msgspec.msgpack.encode(events)


def decode_events(entry: bytes) -> list[AnyEvent]:
    """Return the events of one log entry."""
    return msgspec.msgpack.decode(entry, type=list[AnyEvent])
