"""What simulated workers saw, and the rules on runs that it must satisfy."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from features.steps.start_rules import Capability, broken_rules
from wagtailcleat.scheduling.models import Job, RunEnd, RunKey, Step, TaskKey


@dataclass(eq=False)
class BootRecord:
    """One incarnation of a worker, as the oracle knows it."""

    name: str
    capability: Capability
    lapsed_at: list[float] = field(default_factory=list)
    """When the lease expired, whether or not anything ran."""
    killed_at: list[float] = field(default_factory=list)
    """When the lease expired while something ran."""


@dataclass(eq=False)
class RunRecord:
    """A run that a worker started."""

    key: RunKey
    boot: BootRecord
    started_at: float
    ended_at: float | None = None
    how: RunEnd | None = None
    """None while the run goes on, and if it ended with its worker."""
    number: int = 0
    acknowledged_at: float | None = None

    def describe(self) -> str:
        """Return the run with its times."""
        ended = "" if self.ended_at is None else f"{self.ended_at:.3f}"
        how = self.how.value if self.how else ("with worker" if ended else "running")
        return f"{self.key} {self.boot.name} {self.started_at:.3f}-{ended} {how}"


class RunOracle:
    """All runs in the order of their starts; `breaches` are lines about broken rules.

    Each line begins with the name of its rule.
    """

    def __init__(
        self, clock: Callable[[], float], job_of: Callable[[TaskKey], Job]
    ) -> None:
        """Start without runs; `job_of` returns the job of a task."""
        self.runs: list[RunRecord] = []
        self.breaches: list[str] = []
        self._clock = clock
        self._job_of = job_of
        self._running: list[RunRecord] = []

    def record_start(self, boot: BootRecord, key: RunKey) -> RunRecord:
        """Record a start, and the rules that it breaks."""
        run = RunRecord(key, boot, self._clock())
        for other in self._running:
            if other.key.task == key.task:
                self.breaches.append(
                    f"overlap: {run.describe()} beside {other.describe()}"
                )
        beside = [other.key for other in self._running if other.boot is boot]
        self.breaches += [
            f"{rule} ({run.describe()})"
            for rule in broken_rules(key, beside, boot.capability, self._job_of)
        ]
        self.runs.append(run)
        self._running.append(run)
        return run

    def _step_of(self, task: TaskKey) -> Step:
        return self._job_of(task).steps[task.step]

    def record_end(
        self, run: RunRecord, how: RunEnd | None = None, number: int = 0
    ) -> None:
        """Record the end of a run; `how` is None if its worker ended."""
        run.ended_at, run.how, run.number = self._clock(), how, number
        self._running.remove(run)

    def record_acknowledgement(self, boot: BootRecord, number: int) -> None:
        """Record that the ends up to `number` were acknowledged."""
        for run in self.runs:
            if (
                run.boot is boot
                and run.ended_at is not None
                and run.acknowledged_at is None
                and 0 < run.number <= number
            ):
                run.acknowledged_at = self._clock()

    def check(self, attempts: int, *, idle_lapses: bool = True) -> list[str]:
        """Return all breaches, also of rules that depend on acknowledgements.

        Parameters: `idle_lapses` says whether a lease also lapses if nothing runs.
        """
        runs_by_task = defaultdict(list)
        for run in self.runs:
            runs_by_task[run.key.task].append(run)
        found = list(self.breaches)
        for task, runs in runs_by_task.items():
            if self._step_of(task).long_running:
                continue
            found += _starts_after_success(runs, idle_lapses)
            found += _starts_after_failures(runs, attempts, idle_lapses)
        return found


def _starts_after_success(runs: list[RunRecord], idle_lapses: bool) -> list[str]:
    found = []
    for ended in runs:
        if ended.how is not RunEnd.SUCCEEDED or not _is_noted(ended, idle_lapses):
            continue
        found += [
            f"again: {run.describe()} after {ended.describe()},"
            f" acknowledged {ended.acknowledged_at:.3f}"
            for run in runs
            if run.started_at > ended.ended_at
        ]
    return found


def _is_noted(ended: RunRecord, idle_lapses: bool) -> bool:
    """Return whether an end is acknowledged with no lapse of the lease before that."""
    if ended.acknowledged_at is None:
        return False
    lapses = ended.boot.lapsed_at if idle_lapses else ended.boot.killed_at
    return not any(ended.ended_at <= at <= ended.acknowledged_at for at in lapses)


def _starts_after_failures(
    runs: list[RunRecord], attempts: int, idle_lapses: bool
) -> list[str]:
    failed = sorted(
        (
            run
            for run in runs
            if run.how is RunEnd.FAILED and _is_noted(run, idle_lapses)
        ),
        key=lambda run: run.ended_at or 0.0,
    )
    if len(failed) < attempts:
        return []
    last = failed[attempts - 1]
    return [
        f"budget: {run.describe()} after {attempts} failures"
        for run in runs
        if run.started_at > (last.ended_at or 0.0)
    ]
