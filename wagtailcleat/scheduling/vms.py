"""The VMs as the leader sees them: what each holds, runs and has free."""

from collections import Counter
from dataclasses import dataclass, field

from wagtailcleat.ids import NodeId, ServiceName, ZoneName
from wagtailcleat.resources import NOTHING, ROUNDING_CORES, Resources
from wagtailcleat.scheduling.models import RunKey, Step, WorkerInfo, WorkerState
from wagtailcleat.scheduling.reasons import StartReason

FAILURES_TO_AVOID = 2
"""Runs of different tasks that failed in a row before a VM is passed over; tasks fail
by their own fault, too, but seldom twice in a row."""
FAILURES_TO_QUARANTINE = 3
"""Runs that failed in a row before nothing is started on a VM.

A VM that fails all it starts is the one with room, over and over: passing it over helps
only while others have room, and a waiting task spends all its attempts there.
"""
AVOID_SECONDS = 6.0
"""How long a VM is passed over after its last failure, before it is tried again."""

PERCENT = 100
SLOW_SPEED = 0.4
"""Speed below which a VM is passed over: estimates are off by a fifth to a half, and a
VM that turned slow runs at a sixth or stands still."""
SLOW_SECONDS = 2.5
"""For how long after the last sight of it; then it is tried again."""
SPEED_WEIGHT = 0.3
"""Weight of one run's progress between two reports, a third of a second apart."""
SERVING_USE = 0.45
"""Share of its cores that a serving run is expected to use on average."""


@dataclass(eq=False)
class Hosted:
    """A run that takes room on a VM until its end is listed."""

    key: RunKey
    step: Step
    ordered_at: float
    order: int = 0
    """Number of the orders that carried its start; 0: learned from a report."""
    session: int = 0
    """Of the agent's connection on which it was ordered."""
    sent: bool = True
    """False until the orders with its start have left."""
    listed: bool = False
    """Whether the worker's own list has shown it."""
    stopping: bool = False
    stop_at: float = 0.0
    percent: int = 0
    progressed_at: float = 0.0
    """When its percent was last judged."""
    figure: float = 0.0
    pace: int = 100
    reason: StartReason | None = None
    """What decided its start, where this leader started it."""


@dataclass(eq=False)
class Vm:
    """A VM whose agent has reported at least once."""

    node: NodeId
    host: str
    port: int
    zone: ZoneName
    heard_at: float
    worker: WorkerInfo | None = None
    listed: bool = False
    listed_at: float = 0.0
    """When its agent last reported what its worker runs."""
    present: bool = False
    """Whether the agent is in touch."""
    registered: bool = False
    """Whether the store names the agent, so that a next leader will wait for it."""
    silent_seconds: float = 0.0
    session: int = 0
    orders_sent: int = 0
    hosted_by_run: dict[RunKey, Hosted] = field(default_factory=dict)
    taken: Resources = NOTHING
    """Committed; a run that fills takes memory and accelerators only."""
    filling_cores: float = 0.0
    """What the runs that fill would use if they could."""
    serving_by_image: Counter[str] = field(default_factory=Counter)
    """Runs that serve users of their own."""
    serving_cores: float = 0.0
    """What those have committed."""
    failures: int = 0
    failed_at: float = 0.0
    changed_at: float = 0.0
    """When the set of runs, or a pace, last changed."""
    speed: float = 1.0
    """Progress of short runs here, as a share of what their estimates say."""
    speed_at: float = -1e9
    closed_until: float = -1e9
    """Until when nothing is started here: its agent refused a start."""
    version: int = 0
    """Rises with each change that may make room or load here different."""

    def __repr__(self) -> str:
        """Show the VM and what it has committed."""
        return f"<Vm {self.node}: {len(self.hosted_by_run)} runs, {self.taken}>"

    @property
    def service(self) -> ServiceName | None:
        """The service whose pool the VM belongs to."""
        return self.worker.service if self.worker else None

    @property
    def rack(self) -> str:
        """The VM's rack, empty where unknown."""
        return self.worker.rack if self.worker else ""

    @property
    def capacity(self) -> Resources:
        """All that the VM holds."""
        return self.worker.capacity if self.worker else NOTHING

    @property
    def free(self) -> Resources:
        """What is not committed."""
        return self.capacity - self.taken

    @property
    def spare_cores(self) -> float:
        """Cores that nobody is expected to use: serving runs leave some of theirs."""
        left = self.serving_cores * (1 - SERVING_USE)
        return self.capacity.cores - self.taken.cores + left - self.filling_cores

    @property
    def serving(self) -> int:
        """How many runs serve users of their own."""
        return self.serving_by_image.total()

    def has_room(self, room: Resources) -> bool:
        """Tell whether `room` is left; asked for each VM and waiting task."""
        held, taken = self.capacity, self.taken
        return (
            room.cores <= held.cores - taken.cores + ROUNDING_CORES
            and room.memory_mb <= held.memory_mb - taken.memory_mb
            and room.accelerators <= held.accelerators - taken.accelerators
        )

    def altered(self, now: float) -> None:
        """Note that what runs here, or at what pace, is different from now on."""
        self.changed_at = now
        self.version += 1

    @property
    def usable(self) -> bool:
        """Whether the VM may be given work, as far as its agent says."""
        return (
            self.present
            and self.registered
            and self.listed
            and self.worker is not None
            and self.worker.state is WorkerState.READY
            and self.silent_seconds == 0.0
        )

    def avoided(self, now: float) -> bool:
        """Tell whether work started here has failed or stood still lately."""
        fails = self.failures >= FAILURES_TO_AVOID
        if fails and now < self.failed_at + AVOID_SECONDS:
            return True
        return self.speed < SLOW_SPEED and now < self.speed_at + SLOW_SECONDS

    def quarantined(self, now: float) -> bool:
        """Tell whether nothing is to be started here: all that was started failed.

        After a pause one run tries the VM; others follow once it has done well, or has
        worked on for as long as the pause.
        """
        if self.failures < FAILURES_TO_QUARANTINE:
            return False
        if now < self.failed_at + AVOID_SECONDS:
            return True
        return any(
            self.failed_at < run.ordered_at and now < run.ordered_at + AVOID_SECONDS
            for run in self.hosted_by_run.values()
        )

    def progressed(self, step: Step, percent: int, seconds: float, now: float) -> None:
        """Note by how many points a run went on in `seconds`.

        Only runs that have their processors to themselves tell how fast the VM is.
        """
        if step.fills or step.target_seconds or step.gang or seconds <= 0:
            return
        speed = percent / PERCENT * step.estimate_seconds / seconds
        self.speed += SPEED_WEIGHT * (min(speed, 1.0) - self.speed)
        self.speed_at = now

    def host_run(self, hosted: Hosted) -> None:
        """Commit room to a run."""
        if hosted.key in self.hosted_by_run:
            return
        self.version += 1
        self.hosted_by_run[hosted.key] = hosted
        self.taken += room_of(hosted.step)
        if hosted.step.fills:
            self.filling_cores += hosted.step.size.cores
        if hosted.step.target_seconds:
            self.serving_by_image[hosted.step.image] += 1
            self.serving_cores += hosted.step.size.cores

    def drop_run(self, key: RunKey) -> Hosted | None:
        """Free the room of a run that is gone."""
        hosted = self.hosted_by_run.pop(key, None)
        if hosted is None:
            return None
        self.version += 1
        self.taken -= room_of(hosted.step)
        if hosted.step.fills:
            self.filling_cores -= hosted.step.size.cores
        if hosted.step.target_seconds:
            self._drop_serving(hosted.step)
        return hosted

    def _drop_serving(self, step: Step) -> None:
        self.serving_cores -= step.size.cores
        self.serving_by_image[step.image] -= 1
        if not self.serving_by_image[step.image]:
            del self.serving_by_image[step.image]

    def succeeded(self) -> None:
        """Note that a run did well here."""
        self.failures = 0

    def failed(self, now: float) -> None:
        """Note that a run failed here."""
        self.failures += 1
        self.failed_at = now


def room_of(step: Step) -> Resources:
    """Return what a task of a step commits."""
    if step.fills:
        return Resources(0.0, step.size.memory_mb, step.size.accelerators)
    return step.size
