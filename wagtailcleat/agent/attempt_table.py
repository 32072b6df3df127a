"""The attempts at this VM, from the reservation until the owner knows of the end."""

import asyncio
from dataclasses import dataclass
from enum import Enum

from wagtailcleat.agent.commitments import Commitments
from wagtailcleat.agent.health import PROVEN_SECONDS, Health
from wagtailcleat.clock import Clock
from wagtailcleat.ids import AttemptId, JobId, ShardId
from wagtailcleat.platform.worker import TaskState, WorkerTask
from wagtailcleat.resources import NOTHING, Resources
from wagtailcleat.wire.attempts import AttemptReport, AttemptState, Reserve
from wagtailcleat.wire.task_ids import job_of

MAX_TOMBSTONES = 10_000
MAX_DUMPED = 200
STATE_BY_TASK_STATE = {
    TaskState.RUNNING: AttemptState.RUNNING,
    TaskState.SUCCEEDED: AttemptState.SUCCEEDED,
    TaskState.FAILED: AttemptState.FAILED,
    TaskState.STOPPED: AttemptState.EVICTED,
    TaskState.LAPSED: AttemptState.LAPSED,
}


class Phase(Enum):
    """How far an attempt has come at this agent."""

    RESERVED = "reserved"
    STARTING = "starting"
    RUNNING = "running"
    ENDED = "ended"


@dataclass
class Attempt:
    """One attempt at this agent; `grant_until` is on the VM's clock."""

    id: AttemptId
    shard: ShardId
    phase: Phase
    since: float
    reserved_until: float = 0.0
    grant_until: float = 0.0
    report: AttemptReport | None = None
    job_class: str = ""
    urgent: bool = False
    stopping: str = ""
    used: Resources = NOTHING
    """The peak of the usage that the worker reported."""

    def current_report(self) -> AttemptReport:
        """Return the report for the owner: of the end, or that it still runs."""
        if self.report is not None:
            return self.report
        return AttemptReport(self.id, self.shard, AttemptState.RUNNING)


class AttemptTable:
    """All attempts at this VM, the resources they hold, and tombstones."""

    def __init__(self, commitments: Commitments, clock: Clock) -> None:
        """Start empty; attempts hold resources in `commitments`."""
        self.attempt_by_id: dict[AttemptId, Attempt] = {}
        self.commitments = commitments
        self.clock = clock
        self.complete = False
        """Whether it holds all that the worker may run, after a restart."""
        self.unreported_end = asyncio.Event()
        """Set when an attempt ends."""
        self._health = Health()
        self._tombstones: dict[AttemptId, None] = {}

    def running(self) -> list[Attempt]:
        """Return the attempts that the worker runs, or may run."""
        phases = (Phase.STARTING, Phase.RUNNING)
        return [a for a in self.attempt_by_id.values() if a.phase in phases]

    def reserved(self) -> list[Attempt]:
        """Return the attempts that have a reservation only."""
        attempts = self.attempt_by_id.values()
        return [a for a in attempts if a.phase is Phase.RESERVED]

    def of_shard(self, shard: ShardId) -> list[Attempt]:
        """Return the attempts of a shard."""
        return [a for a in self.attempt_by_id.values() if a.shard == shard]

    def in_eviction_order(self) -> list[Attempt]:
        """Return what runs: not urgent first, then the latest start first."""
        return sorted(self.running(), key=lambda a: (a.urgent, -a.since))

    def seen(self, attempt_id: AttemptId) -> bool:
        """Tell whether the attempt is or was at this VM."""
        return attempt_id in self._tombstones or attempt_id in self.attempt_by_id

    def why_unhealthy(self, job: JobId, now: float) -> str:
        """Return why recent failures rule out a task of `job`; empty otherwise."""
        unproven = sum(
            job_of(a.id) == job
            and a.phase is not Phase.ENDED
            and now - a.since < PROVEN_SECONDS
            for a in self.attempt_by_id.values()
        )
        return self._health.why_closed(job, now, unproven)

    def reserve(self, message: Reserve, *, until: float, now: float) -> bool:
        """Reserve resources for an attempt; tell whether enough was free."""
        if not self.commitments.reserve(
            message.attempt, message.size, until=until, now=now
        ):
            return False
        self.attempt_by_id[message.attempt] = Attempt(
            message.attempt,
            message.shard,
            Phase.RESERVED,
            now,
            reserved_until=until,
            job_class=message.job_class,
            urgent=message.urgent,
        )
        return True

    def discard(
        self, attempt_id: AttemptId, shard: ShardId, reason: str
    ) -> AttemptReport:
        """Drop an attempt and leave a tombstone, so that a late order is refused."""
        self.commitments.release(attempt_id)
        self.attempt_by_id.pop(attempt_id, None)
        self._tombstones[attempt_id] = None
        while len(self._tombstones) > MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]
        return AttemptReport(attempt_id, shard, AttemptState.NEVER_STARTED, "", reason)

    def end(self, attempt: Attempt, task: WorkerTask) -> None:
        """Record the end that the worker reports, and release the resources."""
        if attempt.phase is Phase.ENDED:
            return
        state = STATE_BY_TASK_STATE[task.state]
        now = self.clock()
        if state is AttemptState.SUCCEEDED:
            self._health.succeeded()
        elif state is AttemptState.FAILED:
            self._health.failed(job_of(attempt.id), now)
        attempt.phase = Phase.ENDED
        attempt.report = AttemptReport(
            attempt.id,
            attempt.shard,
            state,
            task.checkpoint,
            attempt.stopping,
            attempt.used,
            now - attempt.since,
        )
        self.commitments.release(attempt.id)
        self.unreported_end.set()

    def dump(self) -> dict[str, object]:
        """Return each attempt's state for the state dump."""
        now = self.clock()
        return {
            attempt.id: {
                "phase": attempt.phase.value,
                "grant_seconds": round(attempt.grant_until - now, 3),
                "report": attempt.report.state.value if attempt.report else None,
            }
            for attempt in list(self.attempt_by_id.values())[:MAX_DUMPED]
        }
