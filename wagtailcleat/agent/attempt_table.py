"""Table of the attempts on this VM, kept in the memory of the agent.

An attempt is in the table from its reservation until its owner has acknowledged its
end; after that a tombstone of it remains.
"""

import asyncio
from dataclasses import dataclass
from enum import Enum

from wagtailcleat.agent.commitments import Commitments
from wagtailcleat.agent.health import MIN_HEALTHY_SECONDS, FailureBackoff
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
    """State of an attempt at this agent."""

    RESERVED = "reserved"
    STARTING = "starting"
    RUNNING = "running"
    ENDED = "ended"


@dataclass
class Attempt:
    """One attempt at this agent; all times are seconds on the VM's clock."""

    id: AttemptId
    shard: ShardId
    phase: Phase
    phase_since: float
    """When the current phase began."""
    reserved_until: float = 0.0
    grant_until: float = 0.0
    report: AttemptReport | None = None
    job_class: str = ""
    urgent: bool = False
    eviction_reason: str = ""
    """Set while the worker is asked to stop the attempt, and kept after its end."""
    peak_usage: Resources = NOTHING
    """Peak of the usage that the worker reported."""

    def current_report(self) -> AttemptReport:
        """Return the final report if the attempt has ended, else one that it runs."""
        if self.report is not None:
            return self.report
        return AttemptReport(self.id, self.shard, AttemptState.RUNNING)


class AttemptTable:
    """All attempts on this VM, their resources, and tombstones of past attempts.

    A tombstone is the id of an attempt that must not start here any more.
    """

    def __init__(self, commitments: Commitments, clock: Clock) -> None:
        """Start empty; the attempts' resources are allocated in `commitments`."""
        self.attempt_by_id: dict[AttemptId, Attempt] = {}
        self.commitments = commitments
        self.clock = clock
        self.is_complete = False
        """Whether it lists all tasks that the worker may run; false during recovery."""
        self.unreported_end = asyncio.Event()
        """Set when an attempt ends, so that its end is reported at once."""
        self._failure_backoff = FailureBackoff()
        self._tombstones: dict[AttemptId, None] = {}

    def running(self) -> list[Attempt]:
        """Return the attempts that the worker runs or may be about to run."""
        phases = (Phase.STARTING, Phase.RUNNING)
        return [a for a in self.attempt_by_id.values() if a.phase in phases]

    def reserved(self) -> list[Attempt]:
        """Return the attempts that are reserved and not started."""
        attempts = self.attempt_by_id.values()
        return [a for a in attempts if a.phase is Phase.RESERVED]

    def of_shard(self, shard: ShardId) -> list[Attempt]:
        """Return the attempts of a shard."""
        return [a for a in self.attempt_by_id.values() if a.shard == shard]

    def in_eviction_order(self) -> list[Attempt]:
        """Return the running attempts in the order of eviction.

        Attempts that are not urgent come first, within each group the latest started.
        """
        return sorted(self.running(), key=lambda a: (a.urgent, -a.phase_since))

    def has_seen(self, attempt_id: AttemptId) -> bool:
        """Return whether the attempt is or was on this VM."""
        return attempt_id in self._tombstones or attempt_id in self.attempt_by_id

    def unhealthy_reason(self, job: JobId, now: float) -> str:
        """Return why recent failures rule out a task of `job`; empty if they do not."""
        recent_tasks = sum(
            job_of(a.id) == job
            and a.phase is not Phase.ENDED
            and now - a.phase_since < MIN_HEALTHY_SECONDS
            for a in self.attempt_by_id.values()
        )
        return self._failure_backoff.refusal_reason(job, now, recent_tasks)

    def reserve(self, message: Reserve, *, until: float, now: float) -> bool:
        """Reserve resources for an attempt; return whether enough were free."""
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
        """Remove an attempt, keep a tombstone and return a never-started report.

        The tombstone makes the agent refuse a message for the attempt that comes late.
        """
        self.commitments.release(attempt_id)
        self.attempt_by_id.pop(attempt_id, None)
        self._tombstones[attempt_id] = None
        while len(self._tombstones) > MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]
        return AttemptReport(attempt_id, shard, AttemptState.NEVER_STARTED, "", reason)

    def end(self, attempt: Attempt, task: WorkerTask) -> None:
        """Record the end of an attempt and release its resources."""
        if attempt.phase is Phase.ENDED:
            return
        state = STATE_BY_TASK_STATE[task.state]
        now = self.clock()
        if state is AttemptState.SUCCEEDED:
            self._failure_backoff.record_success()
        elif state is AttemptState.FAILED:
            self._failure_backoff.record_failure(job_of(attempt.id), now)
        attempt.phase = Phase.ENDED
        attempt.report = AttemptReport(
            attempt.id,
            attempt.shard,
            state,
            task.checkpoint,
            attempt.eviction_reason,
            attempt.peak_usage,
            now - attempt.phase_since,
        )
        self.commitments.release(attempt.id)
        self.unreported_end.set()

    def dump(self) -> dict[str, object]:
        """Return the state of at most `MAX_DUMPED` attempts for the state dump."""
        now = self.clock()
        return {
            attempt.id: {
                "phase": attempt.phase.value,
                "grant_seconds": round(attempt.grant_until - now, 3),
                "report": attempt.report.state.value if attempt.report else None,
            }
            for attempt in list(self.attempt_by_id.values())[:MAX_DUMPED]
        }
