"""The table of jobs with their tasks: the leader's in-memory state.

The `Scheduler` updates it. The durable part is stored as one `JobRecord` for each job;
the rest (what runs where) is learned from the agents' reports after a change of leader.
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
    failed_on: set[NodeId] = field(default_factory=set)
    """Nodes on which runs of the task failed, as far as this leader knows."""

    @property
    def run_key(self) -> RunKey:
        """Return the key of the latest run."""
        return RunKey(self.key, self.run)


@dataclass(frozen=True)
class RemainingWork:
    """Work that remains of one occurrence of a job, by the submitter's estimates."""

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
    may_start_tasks: bool = True
    """False while agents that have not reported to this leader may run its tasks."""
    ended_at: float = 0.0
    """Wall clock seconds."""
    version: int = 0
    """Number of changes that must be stored."""
    committed: int = 0
    """The version that is in the store."""
    store_revision: int = 0
    """Store revision of the job's record; 0: there is no record."""
    tasks_by_step: dict[StepKey, list[Task]] = field(default_factory=dict)
    unfinished_by_step: dict[StepKey, int] = field(default_factory=dict)
    """Number of tasks that have not succeeded."""
    occurrences_begun: int = 0
    waiting_by_step: dict[StepKey, int] = field(default_factory=dict)
    """Number of tasks without a run, including those of steps that are not ready."""
    placed_tasks: int = 0
    """Number of tasks that have a run."""
    unsaved_core_seconds: float = 0.0
    """Work in checkpoints that came since the last change to be stored."""
    remaining_work_by_occurrence: dict[int, RemainingWork] = field(default_factory=dict)
    """A cache that `ranking` fills; an entry is dropped when a task succeeds."""

    @property
    def durable_state(self) -> JobState:
        """The state that may be shown: a final state only once it is stored."""
        if self.state.final and self.committed < self.version:
            return JobState.RUNNING
        if self.state is JobState.QUEUED and self.has_begun:
            return JobState.RUNNING
        return self.state

    @property
    def open(self) -> bool:
        """Whether the job has not ended."""
        return not self.state.final

    def tasks(self) -> Iterator[Task]:
        """Yield every task of the occurrences that have begun."""
        for tasks in self.tasks_by_step.values():
            yield from tasks

    def mark_changed(self) -> None:
        """Record that the job has a change to be stored, with its checkpoints."""
        self.version += 1
        self.unsaved_core_seconds = 0.0

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


class JobTable:
    """All jobs by id, with the state transitions of their tasks.

    Methods take the present time: `now` in seconds on the leader's monotonic clock,
    `wall_now` in wall clock seconds.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.entry_by_id: dict[JobId, JobEntry] = {}
        self.open_by_id: dict[JobId, JobEntry] = {}
        """The jobs that have not ended; a placement round examines only these."""

    def __repr__(self) -> str:
        """Show the number of jobs."""
        return f"<JobTable of {len(self.entry_by_id)} jobs>"

    def add(
        self,
        job: Job,
        *,
        now: float,
        wall_now: float,
        record: JobRecord | None = None,
        store_revision: int = 0,
    ) -> JobEntry:
        """Add a job and return its entry, or return the entry that exists already.

        Parameters: `record` is the job's stored progress, from which it is restored;
        `store_revision` is that of the record in the store.
        """
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
        """Create the tasks of each occurrence that is due; return whether any was."""
        begun = False
        job = entry.job
        while entry.occurrences_begun < job.occurrences:
            number = entry.occurrences_begun
            if job.first_at and wall_now < job.first_at + number * job.interval:
                break
            _begin_through(entry, number, now)
            begun = True
        return begun

    def begin_occurrence_of(self, run: RunKey, *, now: float) -> None:
        """Begin the occurrence of a run that was reported, whether or not it is due.

        The wall clock of this VM may be behind that of the previous leader. Without the
        occurrence, the run's end would find no task, and the task would run again once
        it is due by this clock.
        """
        entry = self.entry_by_id.get(run.task.job)
        if entry is not None and entry.open:
            _begin_through(entry, run.task.occurrence, now)

    def find_task(self, key: TaskKey) -> Task | None:
        """Return a task of an occurrence that has begun, or None."""
        entry = self.entry_by_id.get(key.job)
        if entry is None:
            return None
        tasks = entry.tasks_by_step.get((key.occurrence, key.step), [])
        return tasks[key.position] if 0 <= key.position < len(tasks) else None

    def is_ready(self, entry: JobEntry, step: StepKey) -> bool:
        """Return whether all steps that `step` depends on have succeeded."""
        occurrence, number = step
        return all(
            entry.unfinished_by_step.get((occurrence, earlier), 1) == 0
            for earlier in entry.job.steps[number].after
        )

    def mark_placed(self, task: Task, run: int, node: NodeId) -> None:
        """Record that `run` of a task was ordered, or is in progress, on `node`."""
        task.entry.set_task_state(task, TaskState.PLACED)
        task.run = run
        task.highest_run = max(task.highest_run, run)
        task.node = node
        task.entry.has_begun = True

    def record_end(
        self,
        run: RunKey,
        how: RunEnd,
        checkpoint: str,
        *,
        node: NodeId,
        now: float,
        wall_now: float,
    ) -> JobEntry | None:
        """Record how a run ended on `node`; return the job's entry if it is known."""
        self.begin_occurrence_of(run, now=now)
        task = self.find_task(run.task)
        if task is None:
            return self.entry_by_id.get(run.task.job)
        entry = task.entry
        task.highest_run = max(task.highest_run, run.run)
        if task.state is TaskState.SUCCEEDED or entry.state.final:
            return entry
        if how is RunEnd.SUCCEEDED:
            self._record_success(task, run, now, wall_now)
            return entry
        if how is RunEnd.FAILED and not task.step.long_running:
            self._record_failure(task, run.run, node, wall_now)
        if self.update_checkpoint(task, run.run, checkpoint):
            entry.mark_changed()
        if task.run == run.run:
            self.requeue(task, now)
        return entry

    def update_checkpoint(self, task: Task, run: int, checkpoint: str) -> bool:
        """Set a task's checkpoint to that of a run; return whether it is new.

        A checkpoint of a run before the one that wrote the known checkpoint is ignored.
        The end of an earlier run may be listed again after a later run has continued
        from it, and the later run's work would be repeated.
        """
        if not checkpoint or run < task.checkpoint_run:
            return False
        new = checkpoint != task.checkpoint
        task.checkpoint, task.checkpoint_run = checkpoint, run
        return new

    def _record_success(
        self, task: Task, run: RunKey, now: float, wall_now: float
    ) -> None:
        entry = task.entry
        if task.step.long_running:
            # A long-running task restarts until its job is cancelled, however its runs
            # end. An end may be listed again after the next run is placed; that run
            # must not be requeued.
            if task.run == run.run:
                self.requeue(task, now)
            return
        step = (task.key.occurrence, task.key.step)
        members = entry.tasks_by_step[step] if task.step.gang else [task]
        for member in members:
            if member.state is TaskState.SUCCEEDED:
                continue
            entry.set_task_state(member, TaskState.SUCCEEDED)
        entry.mark_changed()
        if not entry.unfinished_by_step[step]:
            self._mark_ready(entry, task.key.occurrence, now)
        if self._all_succeeded(entry):
            self._end_job(entry, JobState.SUCCEEDED, wall_now)

    def _mark_ready(self, entry: JobEntry, occurrence: int, now: float) -> None:
        for (number, _), tasks in entry.tasks_by_step.items():
            if number == occurrence:
                for task in tasks:
                    if task.state is TaskState.WAITING:
                        task.ready_at = now

    def _record_failure(
        self, task: Task, run: int, node: NodeId, wall_now: float
    ) -> None:
        # Stored records do not contain nodes: a new leader learns only here on which
        # node a run failed, even if the failure itself is stored.
        task.failed_on.add(node)
        if run in task.failed_runs:
            return
        task.failed_runs.add(run)
        task.entry.mark_changed()
        if len(self._counted_failures(task)) >= task.entry.job.attempts:
            self._end_job(task.entry, JobState.FAILED, wall_now)

    def _counted_failures(self, task: Task) -> set[int]:
        """Return the failed runs that count towards a task's attempts."""
        if not task.step.gang:
            return task.failed_runs
        # A gang fails if any member fails; its members share their run numbers.
        members = task.entry.tasks_by_step[task.key.occurrence, task.key.step]
        return set().union(*(member.failed_runs for member in members))

    def requeue(self, task: Task, now: float) -> None:
        """Return a placed task to waiting, because its latest run has ended."""
        if task.state is TaskState.PLACED:
            task.entry.set_task_state(task, TaskState.WAITING)
            task.node = None
            task.ready_at = now

    def cancel(self, job: JobId, *, wall_now: float) -> JobEntry | None:
        """Cancel a job unless it has ended; return its entry if it is known."""
        entry = self.entry_by_id.get(job)
        if entry is not None and entry.open:
            self._end_job(entry, JobState.CANCELLED, wall_now)
        return entry

    def _end_job(self, entry: JobEntry, state: JobState, wall_now: float) -> None:
        entry.state = state
        entry.ended_at = wall_now
        self.open_by_id.pop(entry.job.id, None)
        entry.mark_changed()

    def _all_succeeded(self, entry: JobEntry) -> bool:
        return entry.occurrences_begun >= entry.job.occurrences and not any(
            entry.unfinished_by_step.values()
        )

    def waiting(self, queue: str) -> int:
        """Return the number of jobs of a queue that have not begun."""
        return sum(
            1
            for entry in self.open_by_id.values()
            if entry.job.queue == queue and not entry.has_begun
        )


def _begin_through(entry: JobEntry, occurrence: int, now: float) -> None:
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


def record_of(entry: JobEntry) -> JobRecord:
    """Return the durable part of a job's progress."""
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
    state = JobState.RUNNING if entry.has_begun else JobState.QUEUED
    return JobRecord(state, rows, records)


def _restore(entry: JobEntry, record: JobRecord, now: float, wall_now: float) -> None:
    entry.has_begun = record.state is not JobState.QUEUED
    # Stored progress begins its occurrence whether or not it is due: the wall clock of
    # this VM may be behind that of the previous leader, and without the progress the
    # tasks would run again.
    for occurrence, number, positions in record.succeeded:
        _begin_through(entry, occurrence, now)
        tasks = entry.tasks_by_step[occurrence, number]
        for position in positions:
            entry.set_task_state(tasks[position], TaskState.SUCCEEDED)
    for saved in record.tasks:
        _begin_through(entry, saved.occurrence, now)
        tasks = entry.tasks_by_step.get((saved.occurrence, saved.step), [])
        if saved.position < len(tasks):
            task = tasks[saved.position]
            task.failed_runs = saved.failed_run_numbers()
            task.checkpoint = saved.checkpoint
            task.checkpoint_run = saved.checkpoint_run
            # A leader that started the task more than RUNS_PER_EPOCH times has used
            # numbers of this leader's range. If such a number were reused, a new
            # failure would be taken for one that is already counted.
            task.highest_run = max(task.checkpoint_run, *task.failed_runs, 0)
