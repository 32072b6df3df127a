"""The table of jobs with their tasks: the leader's in-memory state.

The `Scheduler` updates it. The durable part is stored as one `JobRecord` for each job;
the rest (what runs where) is learned from the agents' reports after a change of leader.
"""

from collections import Counter

from wagtailcleat.ids import JobId, NodeId
from wagtailcleat.scheduling.events import JobEnd
from wagtailcleat.scheduling.held_ends import HeldEnds
from wagtailcleat.scheduling.job_entry import (
    JobEntry,
    StepKey,
    Task,
    TaskState,
    begin_limit,
    begin_through,
    drop_done_occurrences,
    max_open_occurrences,
    overdue_occurrences,
)
from wagtailcleat.scheduling.job_records import restore
from wagtailcleat.scheduling.models import (
    Job,
    JobRecord,
    JobState,
    RunEnd,
    RunKey,
    TaskKey,
)
from wagtailcleat.scheduling.run_times import RunTimes


class JobTable:
    """All jobs by id, with the state transitions of their tasks.

    Methods take the present time: `now` in seconds on the leader's monotonic clock,
    `wall_now` in wall clock seconds.
    """

    def __init__(self, run_times: RunTimes | None = None) -> None:
        """Start empty; `run_times` predicts what the tasks of new jobs take."""
        self._run_times = run_times or RunTimes()
        self.entry_by_id: dict[JobId, JobEntry] = {}
        self.open_by_id: dict[JobId, JobEntry] = {}
        """The jobs that have not ended; a placement round examines only these."""
        self.held_ends_by_id: dict[JobId, HeldEnds] = {}
        """Ends of jobs that can't be decoded, or of occurrences that have not begun."""
        self.count_by_end: Counter[str] = Counter()
        """Jobs that this leader has ended, by state."""
        self._ends: list[JobEnd] = []
        """Ends since the last call of `take_ends`."""

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
        is_cancelled: bool = False,
    ) -> JobEntry:
        """Add a job and return its entry, or return the entry that exists already.

        Parameters: `record` is the job's stored progress, from which it is restored;
        `store_revision` is that of the record in the store; `is_cancelled` says that
        the job will be cancelled next, and needs no tasks.
        """
        known = self.entry_by_id.get(job.id)
        if known is not None:
            return known
        entry = JobEntry(job, now, store_revision=store_revision)
        self.entry_by_id[job.id] = entry
        if record is not None:
            entry.state = record.state
            entry.ended_at = record.ended_at
        if not entry.open:
            return entry
        self.open_by_id[job.id] = entry
        if is_cancelled:
            return entry
        self._run_times.predict(entry)
        if record is not None:
            restore(entry, record, now)
        self.begin_due(entry, now=now, wall_now=wall_now)
        return entry

    def remove(self, job: JobId) -> None:
        """Forget a job that was deleted from the store, with its held ends.

        Another job may have the same id later.
        """
        self.entry_by_id.pop(job, None)
        held = self.held_ends_by_id.pop(job, None)
        if held is not None:
            # Nobody writes these any more: acknowledgements must not wait for it.
            held.committed = held.version

    def begin_due(self, entry: JobEntry, *, now: float, wall_now: float) -> bool:
        """Create the tasks of occurrences that are due; return whether any was begun.

        A limited number of occurrences has tasks at one time.
        """
        limit = min(
            entry.occurrences_done + max_open_occurrences(entry.job),
            begin_limit(entry),
        )
        last = entry.occurrences_begun + overdue_occurrences(entry, wall_now) - 1
        before = entry.occurrences_begun
        begin_through(entry, min(last, limit - 1), now)
        return entry.occurrences_begun > before

    def begin_occurrence_of(self, run: RunKey, *, now: float) -> None:
        """Begin the occurrence of a run that was reported, whether or not it is due.

        The wall clock of this VM may be behind that of the previous leader. Without the
        occurrence, the run's end would find no task, and the task would run again once
        it is due by this clock. One that is too far ahead does not begin: its runs
        stop, and their ends are held until it begins, see `is_ahead`.
        """
        entry = self.entry_by_id.get(run.task.job)
        if entry is None or not entry.open:
            return
        if run.task.occurrence < begin_limit(entry):
            begin_through(entry, run.task.occurrence, now)

    def is_ahead(self, run: RunKey) -> bool:
        """Return whether a run is of an occurrence that has not begun yet."""
        entry = self.entry_by_id.get(run.task.job)
        if entry is None or not entry.open:
            return False
        return entry.occurrences_begun <= run.task.occurrence < entry.job.occurrences

    def find_task(self, key: TaskKey) -> Task | None:
        """Return a task of an occurrence that has begun and is not done, or None."""
        entry = self.entry_by_id.get(key.job)
        if entry is None:
            return None
        tasks = entry.tasks_by_step.get((key.occurrence, key.step), [])
        return tasks[key.position] if 0 <= key.position < len(tasks) else None

    def tasks_ending_with(self, key: TaskKey) -> list[TaskKey]:
        """Return the tasks that an end of a task counts for: itself, or its gang."""
        if not self.is_gang(key):
            return [key]
        step = self.entry_by_id[key.job].job.steps[key.step]
        return [key._replace(position=position) for position in range(step.count)]

    def is_gang(self, key: TaskKey) -> bool:
        """Return whether a task is a member of a gang."""
        entry = self.entry_by_id.get(key.job)
        if entry is None or key.step >= len(entry.job.steps):
            return False
        return entry.job.steps[key.step].gang

    def is_finished(self, run: RunKey) -> bool:
        """Return whether the task of a run will not start again."""
        entry = self.entry_by_id.get(run.task.job)
        if entry is None or entry.state.final:
            return True
        if run.task.occurrence < entry.occurrences_done:
            return True
        task = self.find_task(run.task)
        return task is not None and task.state is TaskState.SUCCEEDED

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

    def account_for(self, task: Task) -> None:
        """Record that a task had a run after this leader's claim.

        No earlier leader has ended that run, so none has started the task again, or
        any task of a step that waits for this one.
        """
        if task.entry.may_start_tasks or task.is_accounted_for:
            return
        task.is_accounted_for = True
        if task.step.gang:
            # Another member may have listed the end of all of them.
            return
        following = {task.key.step}
        for number, step in enumerate(task.entry.job.steps):
            if following.isdisjoint(step.after):
                continue
            following.add(number)
            for later in task.entry.tasks_by_step[task.key.occurrence, number]:
                later.is_accounted_for = True

    def is_accounted_for(self, key: TaskKey) -> bool:
        """Return whether no agent that has not reported can run a task."""
        task = self.find_task(key)
        return task is not None and task.is_accounted_for

    def mark_begun(self, job: JobId) -> None:
        """Record that an agent has listed a run of a job, or the end of one."""
        entry = self.entry_by_id.get(job)
        if entry is not None:
            entry.has_begun = True

    def record_end(
        self,
        run: RunKey,
        how: RunEnd,
        checkpoint: str,
        *,
        node: NodeId | None,
        now: float,
        wall_now: float,
    ) -> JobEntry | None:
        """Record how a run ended on `node`; return the job's entry if it is known.

        Parameters: `node` is None if it is not known.
        """
        self.mark_begun(run.task.job)
        self.begin_occurrence_of(run, now=now)
        task = self.find_task(run.task)
        if task is None:
            return self.entry_by_id.get(run.task.job)
        entry = task.entry
        self._store_begun(entry)
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

    def restore_ends(self, held: HeldEnds, *, now: float, wall_now: float) -> None:
        """Record held ends of the occurrences that have begun, or are due.

        Ends that the job's record contains already change nothing.
        """
        entry = self.entry_by_id.get(held.job)
        while entry is not None and entry.open:
            if entry.may_start_tasks:
                self.begin_due(entry, now=now, wall_now=wall_now)
            if entry.occurrences_begun == held.occurrences_restored:
                return
            for key, end in held.take_begun(entry.occurrences_begun):
                self.record_end(
                    key, end.how, end.checkpoint, node=None, now=now, wall_now=wall_now
                )

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
        if not entry.may_start_tasks and not task.is_accounted_for:
            # An agent that has not reported may hold a later run.
            entry.held_version = entry.version
        if not entry.unfinished_by_step[step]:
            self._mark_ready(entry, task.key.occurrence, now)
        if self._all_succeeded(entry):
            why = "all tasks have succeeded"
            self._end_job(entry, JobState.SUCCEEDED, wall_now, why)
        elif entry.job.occurrences > 1:
            drop_done_occurrences(entry)

    def _mark_ready(self, entry: JobEntry, occurrence: int, now: float) -> None:
        for number in range(len(entry.job.steps)):
            for task in entry.tasks_by_step[occurrence, number]:
                if task.state is TaskState.WAITING:
                    task.ready_at = now

    def _record_failure(
        self, task: Task, run: int, node: NodeId | None, wall_now: float
    ) -> None:
        # Stored records do not contain nodes: a new leader learns only here on which
        # node a run failed, even if the failure itself is stored.
        if node is not None:
            task.failed_on.add(node)
        if run in task.failed_runs:
            return
        task.failed_runs.add(run)
        task.entry.mark_changed()
        failures = self._counted_failures(task)
        if len(failures) >= task.entry.job.attempts:
            _, occurrence, step, position = task.key
            runs = ", ".join(map(str, sorted(failures)))
            why = f"runs {runs} of task {occurrence}/{step}/{position} have failed"
            self._end_job(task.entry, JobState.FAILED, wall_now, why)

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
            self._store_begun(task.entry)

    def _store_begun(self, entry: JobEntry) -> None:
        """Have it stored that a job has begun, unless it has a record.

        Called when a run has ended or was lost: no agent will list it to the next
        leader.
        """
        has_record = entry.version or entry.store_revision
        if entry.has_begun and not has_record:
            entry.mark_changed()

    def cancel(self, job: JobId, *, wall_now: float, why: str) -> JobEntry | None:
        """Cancel a job unless it has ended; return its entry if it is known.

        Parameters: `why` is for the log.
        """
        entry = self.entry_by_id.get(job)
        if entry is not None and entry.open:
            self._end_job(entry, JobState.CANCELLED, wall_now, why)
        return entry

    def take_ends(self) -> list[JobEnd]:
        """Return the ends of jobs since the last call."""
        ends, self._ends = self._ends, []
        return ends

    def _end_job(
        self, entry: JobEntry, state: JobState, wall_now: float, why: str
    ) -> None:
        self._ends.append(JobEnd(entry.job.id, state, why))
        self.count_by_end[state.value] += 1
        entry.state = state
        entry.ended_at = wall_now
        entry.run_samples_by_step.clear()
        self.open_by_id.pop(entry.job.id, None)
        entry.mark_changed()

    def _all_succeeded(self, entry: JobEntry) -> bool:
        return entry.occurrences_begun >= entry.job.occurrences and not any(
            entry.unfinished_by_step.values()
        )

    def waiting(self, queue: str) -> int | None:
        """Return the number of jobs of a queue of which no task has started.

        Return None while agents that have not reported may run tasks of these jobs.
        """
        waiting = [
            entry
            for entry in self.open_by_id.values()
            if entry.job.queue == queue and not entry.has_begun
        ]
        if not all(entry.may_start_tasks for entry in waiting):
            return None
        return len(waiting)
