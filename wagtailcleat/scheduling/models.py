"""Jobs of several steps, their tasks and runs, and the VMs that run them."""

from enum import Enum
from typing import NamedTuple

import msgspec

from wagtailcleat.ids import JobId, NodeId, ServiceName, ZoneName
from wagtailcleat.resources import NOTHING, Resources


class TaskKey(NamedTuple):
    """One task: the `position`-th of a step, of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int
    position: int


class RunKey(NamedTuple):
    """One run of a task; `run` rises with each start of the task."""

    task: TaskKey
    run: int

    def __str__(self) -> str:
        """Return the run's name in logs."""
        task = self.task
        return f"{task.job}/{task.occurrence}/{task.step}/{task.position}#{self.run}"


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tasks of a job that are alike."""

    count: int
    size: Resources
    estimate_seconds: float = 1.0
    """What the submitter believes a task takes; may be far off."""
    after: tuple[int, ...] = ()
    """Steps whose tasks must all have succeeded first."""
    checkpointable: bool = False
    gang: bool = False
    """Whether the tasks work only while all of them are present."""
    same_rack: bool = False
    """Whether the tasks are slowed where they run on several racks."""
    required_label: str = ""
    affinity_rack: str = ""
    """The rack that holds the data; elsewhere a task is slowed."""
    max_per_vm: int = 0
    """At most this many tasks of an occurrence on one VM; 0: any number."""
    speculative: bool = False
    """Whether copies of a task may run at the same time."""
    long_running: bool = False
    """Whether tasks run until the job is cancelled, however often they end."""
    image: str = ""
    """What the tasks run; tasks of one image behave alike."""
    target_seconds: float = 0.0
    """Tail latency that a serving task owes its own users; 0: it serves none."""
    fills: bool = False
    """Whether the tasks take only processor time that others leave unused."""
    may_miss: int = 0
    """How many tasks may be kept from their work at one time by the scheduler."""


class Job(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as accepted; never changed after that."""

    id: JobId
    queue: str
    service: ServiceName
    """The endpoints' service whose VMs run the tasks."""
    spec: str
    steps: tuple[Step, ...]
    accepted_at: float
    """Wall clock seconds at the entry that took it."""
    priority: int = 0
    """0 goes first."""
    attempts: int = 1
    """How many failed runs end a task, and so its job."""
    stretch: float = 1.0
    target_latency: float = 0.0
    """Seconds that the queue promises on top of `stretch` times the work."""
    occurrences: int = 1
    first_at: float = 0.0
    """Wall clock seconds at which occurrence 0 is due; 0: at once."""
    interval: float = 0.0
    advised: bool = False
    """Whether only workers that the advice service grants may run the steps."""


class JobState(Enum):
    """How a job stands, as its submitter sees it."""

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
    BROKEN = "broken"
    """Another member of its gang ended."""
    ALONE = "alone"
    """The rest of its gang did not come in time."""


class TaskRecord(msgspec.Struct, array_like=True):
    """What must last of a task that has run and not yet succeeded."""

    occurrence: int
    step: int
    position: int
    failed_runs: list[int] | int
    """Numbers of the runs that failed by the task's fault or the worker's.

    Earlier versions stored only how many there were.
    """
    checkpoint: str = ""
    checkpoint_run: int = 0
    """The run that made the checkpoint; 0: not known."""

    def failures(self) -> set[int]:
        """Return the runs that failed; ones of unknown number are 0 and below."""
        if isinstance(self.failed_runs, int):
            return set(range(1 - self.failed_runs, 1))
        return set(self.failed_runs)


class JobRecord(msgspec.Struct, array_like=True):
    """What must last of a job's progress."""

    state: JobState
    succeeded: list[tuple[int, int, list[int]]] = []
    """Rows of occurrence, step and the positions that succeeded."""
    tasks: list[TaskRecord] = []
    ended_at: float = 0.0
    """Wall clock seconds of the end; 0 while it goes on."""


class WorkerState(Enum):
    """Whether a VM may be given work."""

    READY = "ready"
    DRAINING = "draining"


class WorkerInfo(msgspec.Struct, frozen=True, array_like=True):
    """A worker as it describes itself, in one of its lives."""

    id: str
    born: int
    """Milliseconds since 1970 at its start; tells its lives apart."""
    service: ServiceName
    zone: ZoneName
    state: WorkerState
    capacity: Resources = NOTHING
    labels: tuple[str, ...] = ()
    rack: str = ""
    cold_seconds: float = 0.0
    remaining_seconds: float = 0.0
    """While draining: the least time until it ends."""


class Running(msgspec.Struct, frozen=True, array_like=True):
    """A run that goes on at a worker."""

    key: RunKey
    checkpoint: str = ""
    percent: int = 0
    figure: float = 0.0
    """A serving task: its tail latency in seconds; any other: the cores in use.

    Rough, and of the last half second.
    """


class Ended(msgspec.Struct, frozen=True, array_like=True):
    """A run that ended and was not yet acknowledged."""

    number: int
    """Counts the ends of one life of the worker, from 1."""
    key: RunKey
    how: RunEnd
    checkpoint: str = ""


class Refusal(Enum):
    """Why a worker did not take a start."""

    STALE = "stale"
    """A newer agent or a newer run was seen."""
    LATE = "late"
    """Its lease had lapsed on arrival."""
    NO_ROOM = "no_room"
    TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    NEVER_RAN = "never_ran"
    """The order got no answer and was closed by a stop before it was carried out."""
    NOT_ALLOWED = "not_allowed"
    """The agent itself: draining, a zone taken out, or a leader past its validity."""


class Start(msgspec.Struct, frozen=True, array_like=True):
    """An order to start a run."""

    key: RunKey
    spec: str
    checkpoint: str = ""
    ticket: str = ""


class Pace(msgspec.Struct, frozen=True, array_like=True):
    """An order to let a run work at a share of its processor time."""

    key: RunKey
    percent: int


AgentId = NodeId
