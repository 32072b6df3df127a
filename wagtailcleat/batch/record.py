"""A shard's record: jobs, tasks and attempts, folded from its committed events."""

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from wagtailcleat.ids import AttemptId, Incarnation, JobId, NodeId, TaskId, VmName
from wagtailcleat.resources import Resources
from wagtailcleat.wire.messages import (
    AttemptState,
    JobSpec,
    attempt_id,
    job_of,
    task_id,
)


class TaskState(Enum):
    """How a task stands; only `PENDING` and `ASSIGNED` are open."""

    PENDING = "pending"
    ASSIGNED = "assigned"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


OPEN_STATES = (TaskState.PENDING, TaskState.ASSIGNED)


class Event(msgspec.Struct, frozen=True, array_like=True):
    """Base of what a shard's log holds; `at` is wall-clock seconds since 1970."""


class JobAccepted(Event, frozen=True, tag="job"):
    """A job was accepted."""

    spec: JobSpec
    at: float


class Assigned(Event, frozen=True, tag="assigned"):
    """An attempt was given to a VM; it may start from now on."""

    attempt: AttemptId
    vm: VmName
    node: NodeId
    incarnation: Incarnation
    at: float


class AttemptEnded(Event, frozen=True, tag="ended"):
    """An attempt surely runs no more."""

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
    """A job is given up: it can't be run."""

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
    """A task; `attempt` counts its attempts, the last of which may run."""

    state: TaskState = TaskState.PENDING
    attempt: int = 0
    vm: VmName = VmName("")
    node: NodeId = NodeId("")
    incarnation: Incarnation = Incarnation(0)
    checkpoint: str = ""
    failures: int = 0
    evictions: int = 0
    failed_on: list[VmName] = []


class JobRecord(msgspec.Struct, array_like=True):
    """A job and its tasks, by index."""

    spec: JobSpec
    accepted_at: float
    tasks: list[TaskRecord]
    cancelled: bool = False
    stopped: bool = False
    reason: str = ""
    ended_at: float = 0.0

    def open(self) -> bool:
        """Tell whether a task is still to be run or to end."""
        return any(task.state in OPEN_STATES for task in self.tasks)

    def count(self, state: TaskState) -> int:
        """Return how many tasks are in `state`."""
        return sum(1 for task in self.tasks if task.state is state)


class Snapshot(msgspec.Struct, array_like=True):
    """A shard's whole state after the log entry `number`."""

    number: int
    jobs: list[JobRecord]


@dataclass
class ShardRecord:
    """A shard's jobs; changed by `apply` alone."""

    job_by_id: dict[JobId, JobRecord] = field(default_factory=dict)
    number: int = 0

    def apply(self, event: AnyEvent) -> None:
        """Fold one committed event into the state."""
        if isinstance(event, JobAccepted):
            tasks = [TaskRecord() for _ in range(event.spec.tasks)]
            self.job_by_id[event.spec.id] = JobRecord(event.spec, event.at, tasks)
        elif isinstance(event, Assigned):
            self._assigned(event)
        elif isinstance(event, AttemptEnded):
            self._ended(event)
        elif isinstance(event, JobCancelled):
            self._cancelled(event.job, event.reason, event.at, stopped=False)
        elif isinstance(event, JobStopped):
            self._cancelled(event.job, event.reason, event.at, stopped=True)
        else:
            self.job_by_id.pop(event.job, None)

    def task(self, attempt: AttemptId) -> TaskRecord | None:
        """Return the task of an attempt, where the record still has it."""
        job = self.job_by_id.get(job_of(attempt))
        index = int(attempt.split("/")[1])
        return job.tasks[index] if job is not None else None

    def is_current(self, attempt: AttemptId) -> bool:
        """Tell whether the attempt is its task's last and has not ended."""
        task = self.task(attempt)
        number = int(attempt.rsplit("/", 1)[1])
        return (
            task is not None
            and task.state is TaskState.ASSIGNED
            and task.attempt == number
        )

    def assigned(self) -> list[tuple[AttemptId, TaskRecord]]:
        """Return every attempt that may be running."""
        return [
            (attempt_id(task_id(job.spec.id, index), task.attempt), task)
            for job in self.job_by_id.values()
            for index, task in enumerate(job.tasks)
            if task.state is TaskState.ASSIGNED
        ]

    def pending(self) -> list[tuple[TaskId, JobRecord, TaskRecord]]:
        """Return every task to place: urgent first, then by deadline."""
        jobs = sorted(
            self.job_by_id.values(), key=lambda j: (not j.spec.urgent, j.spec.deadline)
        )
        return [
            (task_id(job.spec.id, index), job, task)
            for job in jobs
            if not job.cancelled and not job.stopped
            for index, task in enumerate(job.tasks)
            if task.state is TaskState.PENDING
        ]

    def taken_by(self, team: str) -> Resources:
        """Return what a team's assigned tasks take."""
        total = Resources()
        for job in self.job_by_id.values():
            if job.spec.team == team:
                for _ in range(job.count(TaskState.ASSIGNED)):
                    total = total + job.spec.task.size
        return total

    def snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        jobs = list(self.job_by_id.values())
        return msgspec.msgpack.encode(Snapshot(self.number, jobs))

    def _assigned(self, event: Assigned) -> None:
        task = self.task(event.attempt)
        if task is None:
            return
        task.state = TaskState.ASSIGNED
        task.attempt = int(event.attempt.rsplit("/", 1)[1])
        task.vm = event.vm
        task.node = event.node
        task.incarnation = event.incarnation

    def _ended(self, event: AttemptEnded) -> None:
        if not self.is_current(event.attempt):
            return
        job = self.job_by_id[job_of(event.attempt)]
        task = self.task(event.attempt)
        assert task is not None
        if event.checkpoint:
            task.checkpoint = event.checkpoint
        if event.state is AttemptState.SUCCEEDED:
            task.state = TaskState.SUCCEEDED
        elif job.cancelled or job.stopped:
            task.state = TaskState.CANCELLED
        else:
            task.state = TaskState.PENDING
        if event.state is AttemptState.FAILED:
            task.failures += 1
            task.failed_on = sorted({*task.failed_on, task.vm})
        if event.state in (AttemptState.EVICTED, AttemptState.LAPSED):
            task.evictions += 1
        if not job.open():
            job.ended_at = event.at

    def _cancelled(
        self, job_id: JobId, reason: str, at: float, *, stopped: bool
    ) -> None:
        job = self.job_by_id.get(job_id)
        if job is None:
            return
        job.cancelled = not stopped
        job.stopped = stopped
        job.reason = reason
        for task in job.tasks:
            if task.state is TaskState.PENDING:
                task.state = TaskState.FAILED if stopped else TaskState.CANCELLED
        if not job.open():
            job.ended_at = at


def restore(snapshot: bytes) -> ShardRecord:
    """Return the state that `snapshot` holds."""
    held = msgspec.msgpack.decode(snapshot, type=Snapshot)
    return ShardRecord({job.spec.id: job for job in held.jobs}, held.number)


def encode_events(events: list[AnyEvent]) -> bytes:
    """Return one log entry."""
    return msgspec.msgpack.encode(events)


def decode_events(entry: bytes) -> list[AnyEvent]:
    """Return the events of one log entry."""
    return msgspec.msgpack.decode(entry, type=list[AnyEvent])
