"""The book of jobs: what is known of every job, task and run.

The leader holds one in memory. What must last of it is in the `JobRecord` of each
job; the rest (what runs where) is told anew by the agents after a change of leader.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from wagtailcleat.ids import JobId, NodeId
from wagtailcleat.scheduling.models import (
    Job,
    JobRecord,
    JobState,
    RunEnd,
    RunKey,
    Step,
    TaskKey,
    TaskRecord,
)

StepKey = tuple[int, int]
"""Occurrence and step."""


class TaskState(Enum):
    """How a task stands."""

    WAITING = "waiting"
    PLACED = "placed"
    """A run of it was ordered, or goes on."""
    SUCCEEDED = "succeeded"


@dataclass(eq=False)
class Task:
    """One task; `node` and `run` name its latest run while it is placed."""

    entry: "JobEntry"
    key: TaskKey
    step: Step
    state: TaskState = TaskState.WAITING
    run: int = 0
    highest_run: int = 0
    """No run with a higher number was ever ordered by this leader or seen by it."""
    node: NodeId | None = None
    failed_runs: set[int] = field(default_factory=set)
    """Runs that failed. A worker lists an end until it is acknowledged, so that a new
    leader may hear again of a failure that is stored: it must count once."""
    checkpoint: str = ""
    checkpoint_run: int = 0
    """The run that made it."""
    ready_at: float = 0.0
    """When it last became free to start, on the leader's clock."""
    failed_on: set[NodeId] = field(default_factory=set)
    """Where runs of it failed, as far as this leader has heard."""

    @property
    def run_key(self) -> RunKey:
        """The latest run."""
        return RunKey(self.key, self.run)


@dataclass(frozen=True)
class Outlook:
    """What is left to do of one occurrence of a job, by the estimates."""

    seconds: float
    """The longest chain."""
    core_seconds: float
    objective: float
    """Seconds from when it is due within which it should be done."""


@dataclass(eq=False)
class JobEntry:
    """A job with its progress. `version` counts changes that must last."""

    job: Job
    learned_at: float
    """When this leader learned of it, on its own clock."""
    state: JobState = JobState.QUEUED
    begun: bool = False
    settled: bool = True
    """False while runs of it may go on at agents that were not heard from."""
    ended_at: float = 0.0
    """Wall clock seconds."""
    version: int = 0
    committed: int = 0
    store_revision: int = 0
    """Of its record in the store; 0: there is none."""
    tasks_by_step: dict[StepKey, list[Task]] = field(default_factory=dict)
    left_by_step: dict[StepKey, int] = field(default_factory=dict)
    """Tasks that have not succeeded."""
    occurrences_begun: int = 0
    waiting_by_step: dict[StepKey, int] = field(default_factory=dict)
    """Tasks that have no run, steps whose turn has not come among them."""
    placed: int = 0
    """Tasks that have a run."""
    outlook_by_occurrence: dict[int, Outlook] = field(default_factory=dict)
    """Kept until a task succeeds; made on demand by `order`."""

    @property
    def durable_state(self) -> JobState:
        """The state as it may be shown: an end only once it is stored."""
        if self.state.final and self.committed < self.version:
            return JobState.RUNNING
        if self.state is JobState.QUEUED and self.begun:
            return JobState.RUNNING
        return self.state

    @property
    def open(self) -> bool:
        """Whether work is still owed."""
        return not self.state.final

    def tasks(self) -> Iterator[Task]:
        """Yield every task of the occurrences that are due."""
        for tasks in self.tasks_by_step.values():
            yield from tasks

    def changed(self) -> None:
        """Note a change that must last."""
        self.version += 1

    def turn(self, task: Task, state: TaskState) -> None:
        """Move a task to another state, and count it there."""
        step = (task.key.occurrence, task.key.step)
        self.waiting_by_step[step] -= task.state is TaskState.WAITING
        self.waiting_by_step[step] += state is TaskState.WAITING
        self.placed -= task.state is TaskState.PLACED
        self.placed += state is TaskState.PLACED
        if state is TaskState.SUCCEEDED:
            self.left_by_step[step] -= 1
            self.outlook_by_occurrence.pop(task.key.occurrence, None)
        task.state = state


class Book:
    """All jobs by id. Deciding methods take the present time."""

    def __init__(self) -> None:
        """Start empty."""
        self.entry_by_id: dict[JobId, JobEntry] = {}
        self.open_by_id: dict[JobId, JobEntry] = {}
        """Those that have not ended; a round looks at no others."""

    def __repr__(self) -> str:
        """Show how many jobs are known."""
        return f"<Book of {len(self.entry_by_id)} jobs>"

    def add(
        self,
        job: Job,
        *,
        now: float,
        wall_now: float,
        record: JobRecord | None = None,
        store_revision: int = 0,
    ) -> JobEntry:
        """Enter a job, or return its entry where it is known."""
        known = self.entry_by_id.get(job.id)
        if known is not None:
            return known
        entry = JobEntry(job, now, store_revision=store_revision)
        self.entry_by_id[job.id] = entry
        if record is not None:
            entry.state = record.state
            entry.ended_at = record.ended_at
        if entry.open:
            self.open_by_id[job.id] = entry
            self.begin_due(entry, now=now, wall_now=wall_now)
        if record is not None and entry.open:
            _restore(entry, record, now, wall_now)
        return entry

    def begin_due(self, entry: JobEntry, *, now: float, wall_now: float) -> bool:
        """Make the tasks of each occurrence that is due; tell whether any was."""
        begun = False
        job = entry.job
        while entry.occurrences_begun < job.occurrences:
            number = entry.occurrences_begun
            if job.first_at and wall_now < job.first_at + number * job.interval:
                break
            _begin_until(entry, number, now)
            begun = True
        return begun

    def shown(self, run: RunKey, *, now: float) -> None:
        """Note that a run was seen: its occurrence has begun, whatever the clocks say.

        The wall clock of this VM may be behind that of the leader before; the run's end
        would find no task, and the task would run again once it is due here.
        """
        entry = self.entry_by_id.get(run.task.job)
        if entry is not None and entry.open:
            _begin_until(entry, run.task.occurrence, now)

    def task(self, key: TaskKey) -> Task | None:
        """Return a task of a due occurrence."""
        entry = self.entry_by_id.get(key.job)
        if entry is None:
            return None
        tasks = entry.tasks_by_step.get((key.occurrence, key.step), [])
        return tasks[key.position] if 0 <= key.position < len(tasks) else None

    def ready(self, entry: JobEntry, step: StepKey) -> bool:
        """Tell whether all steps before `step` have succeeded."""
        occurrence, number = step
        return all(
            entry.left_by_step.get((occurrence, earlier), 1) == 0
            for earlier in entry.job.steps[number].after
        )

    def placed(self, task: Task, run: int, node: NodeId) -> None:
        """Note that `run` of a task was ordered, or goes on, at `node`."""
        task.entry.turn(task, TaskState.PLACED)
        task.run = run
        task.highest_run = max(task.highest_run, run)
        task.node = node
        task.entry.begun = True

    def ended(
        self,
        run: RunKey,
        how: RunEnd,
        checkpoint: str,
        *,
        node: NodeId,
        now: float,
        wall_now: float,
    ) -> JobEntry | None:
        """Take in how a run ended at `node`; return the job's entry if it is known."""
        self.shown(run, now=now)
        task = self.task(run.task)
        if task is None:
            return self.entry_by_id.get(run.task.job)
        entry = task.entry
        task.highest_run = max(task.highest_run, run.run)
        if task.state is TaskState.SUCCEEDED or entry.state.final:
            return entry
        if how is RunEnd.SUCCEEDED:
            self._succeeded(task, run, now, wall_now)
            return entry
        if how is RunEnd.FAILED and not task.step.long_running:
            self._failed(task, run.run, node, wall_now)
        if self.saved(task, run.run, checkpoint):
            entry.changed()
        if task.run == run.run:
            self.free(task, now)
        return entry

    def saved(self, task: Task, run: int, checkpoint: str) -> bool:
        """Take in a checkpoint that a run made; tell whether it is new.

        One that is older is passed over: the end of an earlier run may be listed again
        after a later run has gone on from it, whose work would then be done twice.
        """
        if not checkpoint or run < task.checkpoint_run:
            return False
        new = checkpoint != task.checkpoint
        task.checkpoint, task.checkpoint_run = checkpoint, run
        return new

    def _succeeded(self, task: Task, run: RunKey, now: float, wall_now: float) -> None:
        entry = task.entry
        if task.step.long_running:
            # Such a task is owed until its job is cancelled, however it ended. An end
            # may be listed again once the next run is placed, and that one goes on.
            if task.run == run.run:
                self.free(task, now)
            return
        step = (task.key.occurrence, task.key.step)
        members = entry.tasks_by_step[step] if task.step.gang else [task]
        for member in members:
            if member.state is TaskState.SUCCEEDED:
                continue
            entry.turn(member, TaskState.SUCCEEDED)
        entry.changed()
        if not entry.left_by_step[step]:
            self._make_ready(entry, task.key.occurrence, now)
        if self._all_succeeded(entry):
            self._end(entry, JobState.SUCCEEDED, wall_now)

    def _make_ready(self, entry: JobEntry, occurrence: int, now: float) -> None:
        for (number, _), tasks in entry.tasks_by_step.items():
            if number == occurrence:
                for task in tasks:
                    if task.state is TaskState.WAITING:
                        task.ready_at = now

    def _failed(self, task: Task, run: int, node: NodeId, wall_now: float) -> None:
        # Records tell no VMs: of a known failure's VM a new leader learns only here.
        task.failed_on.add(node)
        if run in task.failed_runs:
            return
        task.failed_runs.add(run)
        task.entry.changed()
        if len(self._failures(task)) >= task.entry.job.attempts:
            self._end(task.entry, JobState.FAILED, wall_now)

    def _failures(self, task: Task) -> set[int]:
        """Return the failed runs that count against a task's attempts."""
        if not task.step.gang:
            return task.failed_runs
        # A gang fails with any member; its members share the numbers of their runs.
        members = task.entry.tasks_by_step[task.key.occurrence, task.key.step]
        return set().union(*(member.failed_runs for member in members))

    def free(self, task: Task, now: float) -> None:
        """Let a task wait again: its latest run is gone."""
        if task.state is TaskState.PLACED:
            task.entry.turn(task, TaskState.WAITING)
            task.node = None
            task.ready_at = now

    def cancel(self, job: JobId, *, wall_now: float) -> JobEntry | None:
        """Cancel a job that has not ended; return its entry if it is known."""
        entry = self.entry_by_id.get(job)
        if entry is not None and entry.open:
            self._end(entry, JobState.CANCELLED, wall_now)
        return entry

    def _end(self, entry: JobEntry, state: JobState, wall_now: float) -> None:
        entry.state = state
        entry.ended_at = wall_now
        self.open_by_id.pop(entry.job.id, None)
        entry.changed()

    def _all_succeeded(self, entry: JobEntry) -> bool:
        return entry.occurrences_begun >= entry.job.occurrences and not any(
            entry.left_by_step.values()
        )

    def waiting(self, queue: str) -> int:
        """Count the jobs of a queue that have not begun."""
        return sum(
            1
            for entry in self.open_by_id.values()
            if entry.job.queue == queue and not entry.begun
        )


def _begin_until(entry: JobEntry, occurrence: int, now: float) -> None:
    """Make the tasks of all occurrences up to one that has begun."""
    last = min(occurrence, entry.job.occurrences - 1)
    while entry.occurrences_begun <= last:
        _begin(entry, entry.occurrences_begun, now)
        entry.occurrences_begun += 1


def _begin(entry: JobEntry, occurrence: int, now: float) -> None:
    for number, step in enumerate(entry.job.steps):
        keys = [
            TaskKey(entry.job.id, occurrence, number, position)
            for position in range(step.count)
        ]
        tasks = [Task(entry, key, step, ready_at=now) for key in keys]
        entry.tasks_by_step[occurrence, number] = tasks
        entry.left_by_step[occurrence, number] = len(tasks)
        entry.waiting_by_step[occurrence, number] = len(tasks)


def record_of(entry: JobEntry) -> JobRecord:
    """Return what must last of a job's progress."""
    if entry.state.final:
        return JobRecord(entry.state, ended_at=entry.ended_at)
    rows = []
    records = []
    for (occurrence, number), tasks in entry.tasks_by_step.items():
        done = [t.key.position for t in tasks if t.state is TaskState.SUCCEEDED]
        if done:
            rows.append((occurrence, number, done))
        records += [
            TaskRecord(
                occurrence,
                number,
                t.key.position,
                sorted(t.failed_runs),
                t.checkpoint,
                t.checkpoint_run,
            )
            for t in tasks
            if t.state is not TaskState.SUCCEEDED and (t.failed_runs or t.checkpoint)
        ]
    state = JobState.RUNNING if entry.begun else JobState.QUEUED
    return JobRecord(state, rows, records)


def _restore(entry: JobEntry, record: JobRecord, now: float, wall_now: float) -> None:
    entry.begun = record.state is not JobState.QUEUED
    # The wall clock of this VM may be behind that of the leader before: by it, an
    # occurrence that has begun would not be due, and its tasks would run again.
    for occurrence, number, positions in record.succeeded:
        _begin_until(entry, occurrence, now)
        tasks = entry.tasks_by_step[occurrence, number]
        for position in positions:
            entry.turn(tasks[position], TaskState.SUCCEEDED)
    for saved in record.tasks:
        _begin_until(entry, saved.occurrence, now)
        tasks = entry.tasks_by_step.get((saved.occurrence, saved.step), [])
        if saved.position < len(tasks):
            task = tasks[saved.position]
            task.failed_runs = saved.failures()
            task.checkpoint = saved.checkpoint
            task.checkpoint_run = saved.checkpoint_run
            # A leader that started it very often may have used numbers of this one: a
            # failure under such a number would pass for one that is known.
            task.highest_run = max(task.checkpoint_run, *task.failed_runs, 0)
