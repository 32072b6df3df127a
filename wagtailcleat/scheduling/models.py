"""Jobs of several steps, their tasks and runs, and the workers that run them.

Most of these types are stored or sent between the leader, agents and workers.
"""

from enum import Enum
from typing import NamedTuple

import msgspec

from wagtailcleat.ids import JobId, NodeId, ServiceName, ZoneName
from wagtailcleat.resources import NOTHING, Resources


class TaskKey(NamedTuple):
    """Identifies a task: its position in a step of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int
    position: int


class RunKey(NamedTuple):
    """Identifies a run of a task; `run` increases with each start of the task."""

    task: TaskKey
    run: int

    def __str__(self) -> str:
        """Return the text of the key in logs."""
        task = self.task
        return f"{task.job}/{task.occurrence}/{task.step}/{task.position}#{self.run}"


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """A group of identical tasks of a job."""

    count: int
    size: Resources
    estimate_seconds: float = 1.0
    """Duration of a task as the submitter estimates it; may be far off."""
    after: tuple[int, ...] = ()
    """Steps whose tasks must all have succeeded first."""
    checkpointable: bool = False
    gang: bool = False
    """Whether the tasks can only run all at once."""
    same_rack: bool = False
    """Whether the tasks slow down if they run on several racks."""
    required_label: str = ""
    affinity_rack: str = ""
    """The rack that holds the data; a task runs more slowly on any other."""
    max_per_vm: int = 0
    """Most tasks of one occurrence on one VM; 0: no limit."""
    speculative: bool = False
    """Whether copies of a task may run at the same time."""
    long_running: bool = False
    """Whether tasks are restarted whenever they end, until the job is cancelled."""
    image: str = ""
    """The program of the tasks; tasks of one image interfere alike."""
    target_seconds: float = 0.0
    """Tail latency target of a serving (latency-critical) task; 0: it serves none."""
    fills: bool = False
    """Whether the tasks are filling (best-effort): they use only idle processors."""
    may_miss: int = 0
    """Most tasks that the scheduler may interrupt at one time."""


class Job(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as it was accepted; immutable."""

    id: JobId
    queue: str
    service: ServiceName
    """The service whose VMs run the tasks."""
    spec: str
    steps: tuple[Step, ...]
    accepted_at: float
    """Wall clock seconds at the entry that accepted the job."""
    priority: int = 0
    """0 is the most urgent."""
    attempts: int = 1
    """Number of failed runs after which a task, and so its job, fails."""
    stretch: float = 1.0
    """Factor on the job's estimated seconds in its objective."""
    target_latency: float = 0.0
    """Seconds that the objective adds to the stretched estimate."""
    occurrences: int = 1
    first_at: float = 0.0
    """Wall clock seconds at which occurrence 0 is due; 0: at once."""
    interval: float = 0.0
    """Seconds between the due times of two occurrences."""
    advised: bool = False
    """Whether only workers that the advice service permits may run the steps."""


class JobState(Enum):
    """State of a job, as its submitter sees it."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the job has ended."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class RunEnd(Enum):
    """How a run ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    """The run's lease expired."""
    BROKEN = "broken"
    """Another member of the gang ended."""
    ALONE = "alone"
    """The other members of the gang did not start in time."""


FINISHING_ENDS = (RunEnd.SUCCEEDED, RunEnd.FAILED)
"""Ends after which a task may be finished; after any other it starts again."""


class TaskRecord(msgspec.Struct, array_like=True):
    """Durable progress of a task that has run and has not succeeded."""

    occurrence: int
    step: int
    position: int
    failed_runs: list[int] | int
    """Numbers of the runs that failed through the task's or the worker's fault.

    Earlier versions stored only their count.
    """
    checkpoint: str = ""
    checkpoint_run: int = 0
    """Number of the run that wrote the checkpoint; 0: unknown."""

    def failed_run_numbers(self) -> set[int]:
        """Return the numbers of the failed runs.

        Runs that an earlier version only counted get the numbers 0 and below.
        """
        if isinstance(self.failed_runs, int):
            return set(range(1 - self.failed_runs, 1))
        return set(self.failed_runs)


class JobRecord(msgspec.Struct, array_like=True):
    """Durable progress of a job."""

    state: JobState
    succeeded: list[tuple[int, int, list[int]]] = []
    """Rows of occurrence, step and the positions of the tasks that succeeded."""
    tasks: list[TaskRecord] = []
    ended_at: float = 0.0
    """Wall clock seconds at which the job ended; 0 before that."""
    occurrences_done: int = 0
    """Number of first occurrences all of whose tasks have succeeded.

    `succeeded` has only those of later ones.
    """


class WorkerState(Enum):
    """Whether a worker accepts new runs."""

    READY = "ready"
    DRAINING = "draining"


class WorkerInfo(msgspec.Struct, frozen=True, array_like=True):
    """A worker's description of itself, in one incarnation."""

    id: str
    born: int
    """Start time in milliseconds since 1970; identifies the incarnation."""
    service: ServiceName
    zone: ZoneName
    state: WorkerState
    capacity: Resources = NOTHING
    labels: tuple[str, ...] = ()
    rack: str = ""
    cold_seconds: float = 0.0
    """Remaining duration of the worker's cold start; 0: it is warm."""
    remaining_seconds: float = 0.0
    """While draining: least time until the worker terminates."""


class Running(msgspec.Struct, frozen=True, array_like=True):
    """A run in progress on a worker."""

    key: RunKey
    checkpoint: str = ""
    percent: int = 0
    measurement: float = 0.0
    """Rough measurement over the last half second.

    The tail latency in seconds of a serving task; the cores in use of any other.
    """


class Ended(msgspec.Struct, frozen=True, array_like=True):
    """The end of a run, listed by the worker until it is acknowledged."""

    number: int
    """Sequence number of the end in the worker's incarnation, from 1."""
    key: RunKey
    how: RunEnd
    checkpoint: str = ""


class Refusal(Enum):
    """Why a start order was refused."""

    STALE = "stale"
    """A newer agent or a newer run is known."""
    LATE = "late"
    """The start's lease had expired on arrival."""
    NO_ROOM = "no_room"
    TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    NEVER_RAN = "never_ran"
    """The start had no effect, or what it started has ended with its worker.

    It got no answer, and the worker refuses it now, or its lease has lapsed.
    """
    NOT_ALLOWED = "not_allowed"
    """The agent did not send it.

    The worker drains or is another incarnation, its zone was taken out, the leader's
    lease expired, or another run of the task is not known to have ended there.
    """


class Start(msgspec.Struct, frozen=True, array_like=True):
    """An order to start a run."""

    key: RunKey
    spec: str
    checkpoint: str = ""
    ticket: str = ""


class Pace(msgspec.Struct, frozen=True, array_like=True):
    """An order to throttle a run to a percentage of its processor time."""

    key: RunKey
    percent: int


AgentId = NodeId
