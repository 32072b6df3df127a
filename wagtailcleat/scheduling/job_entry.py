"""A job with its tasks and their progress, as the leader keeps it in memory.

`JobTable` holds one entry for each job and changes the states of its tasks.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from wagtailcleat.ids import NodeId
from wagtailcleat.scheduling.models import Job, JobState, RunKey, Step, TaskKey

MIN_EXPECTED_CHANGE = 0.02
"""Relative change of an expected run time from which the order of work is recomputed.

Each report brings a change, most of them far below what decides anything.
"""

MAX_OPEN_OCCURRENCES = 100
"""Most occurrences of a job that have tasks at one time; further due ones wait.

The cost of a placement round grows with the waiting steps, and a schedule may have any
number of overdue occurrences.
"""
MAX_OPEN_TASKS = 10_000
"""Most tasks that these occurrences have together, unless a single one has more."""

StepKey = tuple[int, int]
"""Number of the occurrence and of the step."""


class TaskState(Enum):
    """State of a task."""

    WAITING = "waiting"
    PLACED = "placed"
    """A run of the task was ordered or is in progress."""
    SUCCEEDED = "succeeded"


@dataclass(eq=False)
class Task:
    """One task; `node` and `run` identify its latest run while it is placed."""

    entry: "JobEntry"
    key: TaskKey
    step: Step
    state: TaskState = TaskState.WAITING
    run: int = 0
    highest_run: int = 0
    """The highest run number that this leader has ordered or learned of."""
    node: NodeId | None = None
    failed_runs: set[int] = field(default_factory=set)
    """Numbers of the failed runs.

    A worker lists an end until it is acknowledged, so a new leader may receive a
    failure that is already stored. It must be counted once, hence the set.
    """
    checkpoint: str = ""
    checkpoint_run: int = 0
    """Number of the run that wrote the checkpoint."""
    ready_at: float = 0.0
    """When the task last became ready to start, in seconds on the leader's clock."""
    short_runs: int = 0
    """Number of runs in a row that ended soon, see `restart_backoff`."""
    not_before: float = 0.0
    """Before this time it does not start again, in seconds on the leader's clock."""
    is_accounted_for: bool = False
    """Whether no agent that has not reported to this leader can run it."""
    failed_on: set[NodeId] = field(default_factory=set)
    """Nodes on which runs of the task failed, as far as this leader knows."""

    @property
    def run_key(self) -> RunKey:
        """Return the key of the latest run."""
        return RunKey(self.key, self.run)


@dataclass(frozen=True)
class RemainingWork:
    """Work that remains of one occurrence of a job, by the expected run times."""

    critical_path_seconds: float
    """Length of the longest chain of unfinished steps."""
    core_seconds: float
    objective_seconds: float
    """Time from the occurrence's due time within which it should finish."""


@dataclass(eq=False)
class JobEntry:
    """A job with its progress."""

    job: Job
    learned_at: float
    """When this leader learned of the job, in seconds on its own clock."""
    state: JobState = JobState.QUEUED
    has_begun: bool = False
    """Whether a task has started: an agent has listed a run of it, or its end."""
    may_start_tasks: bool = True
    """False while agents that have not reported to this leader may run its tasks,
    except for those tasks that are accounted for."""
    ended_at: float = 0.0
    """Wall clock seconds."""
    version: int = 0
    """Number of changes that must be stored."""
    committed: int = 0
    """The version that is in the store."""
    held_version: int = 0
    """The version that must be in the store before a task starts.

    A task has succeeded while another run of it may go on. A next leader that hears of
    that run alone would take the later steps for not begun.
    """
    store_revision: int = 0
    """Store revision of the job's record; 0: there is no record."""
    tasks_by_step: dict[StepKey, list[Task]] = field(default_factory=dict)
    unfinished_by_step: dict[StepKey, int] = field(default_factory=dict)
    """Number of tasks that have not succeeded."""
    occurrences_done: int = 0
    """Number of first occurrences that have succeeded; they have no tasks any more."""
    occurrences_begun: int = 0
    waiting_by_step: dict[StepKey, int] = field(default_factory=dict)
    """Number of tasks without a run, including those of steps that are not ready."""
    placed_tasks: int = 0
    """Number of tasks that have a run."""
    unsaved_core_seconds: float = 0.0
    """Work in checkpoints that came since the last change to be stored."""
    unsaved_since: float = 0.0
    """When the first of these checkpoints came, in seconds on the leader's clock."""
    remaining_work_by_occurrence: dict[int, RemainingWork] = field(default_factory=dict)
    """A cache that `ranking` fills; an entry is dropped when a task succeeds."""
    expected_seconds: list[float] = field(init=False)
    """What a task of each step is expected to take; at first as it was estimated."""
    runs_ahead: set[RunKey] = field(default_factory=set)
    """Hosted runs of occurrences that have not begun; these wait until they ended."""
    run_samples_by_step: dict[int, dict[RunKey, float]] = field(default_factory=dict)
    """Run times of each step's tasks by run, as `run_times` measures them."""
    counted_steps: set[int] = field(default_factory=set)
    """Steps that count in their queue's run times."""

    def __post_init__(self) -> None:
        """Expect what the submitter has estimated."""
        self.expected_seconds = [step.estimate_seconds for step in self.job.steps]

    @property
    def durable_state(self) -> JobState:
        """The state that may be shown: a final state only once it is stored."""
        if self.state.final and self.committed >= self.version:
            return self.state
        return JobState.RUNNING if self.has_begun else JobState.QUEUED

    @property
    def open(self) -> bool:
        """Whether the job has not ended."""
        return not self.state.final

    def expect_seconds(self, step: int, seconds: float) -> None:
        """Set what a task of a step is expected to take, unless it hardly changes."""
        before = self.expected_seconds[step]
        if abs(seconds - before) > MIN_EXPECTED_CHANGE * before:
            self.expected_seconds[step] = seconds
            self.remaining_work_by_occurrence.clear()

    def may_start(self, task: Task) -> bool:
        """Return whether a task may start while some agents have not reported.

        They may hold ends of earlier runs, so a task that has failed, and has a limited
        number of attempts, waits for them.
        """
        if self.committed < self.held_version:
            return False
        if self.may_start_tasks or not task.is_accounted_for:
            return self.may_start_tasks
        return task.step.long_running or not task.failed_runs

    def tasks(self) -> Iterator[Task]:
        """Yield every task of the occurrences that have begun."""
        for tasks in self.tasks_by_step.values():
            yield from tasks

    def mark_changed(self) -> None:
        """Record that the job has a change to be stored, with its checkpoints."""
        self.version += 1
        self.unsaved_core_seconds = 0.0

    def add_unsaved(self, core_seconds: float, now: float) -> None:
        """Record work in a checkpoint that has not been stored."""
        if not self.unsaved_core_seconds:
            self.unsaved_since = now
        self.unsaved_core_seconds += core_seconds

    def set_task_state(self, task: Task, state: TaskState) -> None:
        """Set a task's state and update the counts."""
        step = (task.key.occurrence, task.key.step)
        self.waiting_by_step[step] -= task.state is TaskState.WAITING
        self.waiting_by_step[step] += state is TaskState.WAITING
        self.placed_tasks -= task.state is TaskState.PLACED
        self.placed_tasks += state is TaskState.PLACED
        if state is TaskState.SUCCEEDED:
            self.unfinished_by_step[step] -= 1
            self.remaining_work_by_occurrence.pop(task.key.occurrence, None)
        task.state = state


def max_open_occurrences(job: Job) -> int:
    """Return how many occurrences of a job may have tasks at one time."""
    tasks = sum(step.count for step in job.steps)
    return max(1, min(MAX_OPEN_OCCURRENCES, MAX_OPEN_TASKS // max(1, tasks)))


def begin_limit(entry: JobEntry) -> int:
    """Return the number of first occurrences that may begin by now.

    An earlier leader may have known of occurrences that are done and not stored, so
    it may be ahead by as many as it had open. A record has none beyond these, and the
    work for one that is reported is bounded.
    """
    most = min(MAX_OPEN_OCCURRENCES, 2 * max_open_occurrences(entry.job))
    ahead = (run.task.occurrence for run in entry.runs_ahead)
    return min([entry.occurrences_done + most, *ahead])


def overdue_occurrences(entry: JobEntry, wall_now: float) -> int:
    """Return the number of occurrences that are due and have not begun."""
    job = entry.job
    due = job.occurrences
    if job.interval > 0:
        # The quotient by a tiny interval is infinite.
        passed = (wall_now - job.first_at) // job.interval
        due = int(max(0.0, min(due, passed + 1)))
    elif job.first_at > wall_now:
        due = 0
    return max(0, due - entry.occurrences_begun)


def drop_done_occurrences(entry: JobEntry) -> None:
    """Remove the tasks of the first occurrences that have succeeded."""
    steps = range(len(entry.job.steps))
    while entry.occurrences_done < entry.occurrences_begun:
        occurrence = entry.occurrences_done
        if any(entry.unfinished_by_step[occurrence, number] for number in steps):
            return
        for number in steps:
            del entry.tasks_by_step[occurrence, number]
            del entry.unfinished_by_step[occurrence, number]
            del entry.waiting_by_step[occurrence, number]
        entry.remaining_work_by_occurrence.pop(occurrence, None)
        entry.occurrences_done += 1


def begin_through(entry: JobEntry, occurrence: int, now: float) -> None:
    """Create the tasks of all occurrences up to and including `occurrence`."""
    last = min(occurrence, entry.job.occurrences - 1)
    while entry.occurrences_begun <= last:
        _begin_occurrence(entry, entry.occurrences_begun, now)
        entry.occurrences_begun += 1


def _begin_occurrence(entry: JobEntry, occurrence: int, now: float) -> None:
    for number, step in enumerate(entry.job.steps):
        keys = [
            TaskKey(entry.job.id, occurrence, number, position)
            for position in range(step.count)
        ]
        tasks = [Task(entry, key, step, ready_at=now) for key in keys]
        entry.tasks_by_step[occurrence, number] = tasks
        entry.unfinished_by_step[occurrence, number] = len(tasks)
        entry.waiting_by_step[occurrence, number] = len(tasks)
