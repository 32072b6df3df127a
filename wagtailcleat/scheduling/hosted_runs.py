"""The runs on all VMs, as the leader knows them, with the orders to stop them.

The parts of the `Scheduler` share one `HostedRuns`.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable

from wagtailcleat.ids import JobId, NodeId
from wagtailcleat.scheduling.dispatch import Dispatch
from wagtailcleat.scheduling.events import Event, LoggedEvent
from wagtailcleat.scheduling.job_entry import Task, TaskState
from wagtailcleat.scheduling.job_table import JobTable
from wagtailcleat.scheduling.models import RunKey, TaskKey
from wagtailcleat.scheduling.vms import HostedRun, Vm

ADOPTED_FIRST = "listed by its worker"
ADOPTED_LATER = "listed by its worker, and was not known since an earlier list"
"""Why a run is adopted although this leader had a list of the worker's runs before.

The room and the spread on the VM were then counted without the run.
"""


class HostedRuns:
    """The VMs with their runs, and the events of these for the log and metrics."""

    def __init__(self, job_table: JobTable, dispatch: Dispatch) -> None:
        """Start without VMs; runs are of the jobs in `job_table`."""
        self.vm_by_node: dict[NodeId, Vm] = {}
        self.count_by_event: Counter[str] = Counter()
        self._job_table = job_table
        self._dispatch = dispatch
        self._runs_by_task: defaultdict[TaskKey, list[RunKey]] = defaultdict(list)
        """The hosted runs of each task that has any."""
        self._count_by_run_by_step: defaultdict[
            tuple[JobId, int, int], Counter[int]
        ] = defaultdict(Counter)
        """Hosted runs by number, of each occurrence's step that has any."""
        self._logged_events: list[LoggedEvent] = []
        """Events since the last call of `take_logged_events`."""

    def __repr__(self) -> str:
        """Show the number of VMs."""
        return f"<HostedRuns on {len(self.vm_by_node)} VMs>"

    def host(self, vm: Vm, hosted: HostedRun) -> None:
        """Add a run to a VM and commit its resources."""
        if hosted.key not in vm.hosted_by_run:
            vm.host_run(hosted)
            self._runs_by_task[hosted.key.task].append(hosted.key)
            self._count_by_run_by_step[hosted.key.task[:3]][hosted.key.run] += 1

    def drop(self, vm: Vm, key: RunKey) -> HostedRun | None:
        """Remove a run from a VM, free its resources and return it, or return None."""
        hosted = vm.drop_run(key)
        if hosted is not None:
            entry = self._job_table.entry_by_id.get(key.task.job)
            if entry is not None:
                entry.runs_ahead.discard(key)
            runs = self._runs_by_task[key.task]
            runs.remove(key)
            if not runs:
                del self._runs_by_task[key.task]
            step = key.task[:3]
            count_by_run = self._count_by_run_by_step[step]
            count_by_run[key.run] -= 1
            if not count_by_run[key.run]:
                del count_by_run[key.run]
            if not count_by_run:
                del self._count_by_run_by_step[step]
        return hosted

    def has_other_run(self, run: RunKey) -> bool:
        """Return whether another run of a run's task may go on, or may still start.

        The members of a gang end together, so runs of all its members count.
        """
        if self._job_table.is_gang(run.task):
            numbers = self._count_by_run_by_step.get(run.task[:3], ())
            return any(number != run.run for number in numbers)
        hosted = self._runs_by_task.get(run.task, ())
        return any(other.run != run.run for other in hosted)

    def adopt(self, vm: Vm, key: RunKey, now: float) -> HostedRun | None:
        """Return a run that an agent has reported, and add it if it is not known.

        Return None if its job is not known.
        """
        hosted = vm.hosted_by_run.get(key)
        if hosted is not None:
            return hosted
        entry = self._job_table.entry_by_id.get(key.task.job)
        if entry is None or key.task.step >= len(entry.job.steps):
            return None
        # A run of a job that ended under an earlier leader occupies resources until its
        # end is listed, although the job has no tasks in the table any more.
        step = entry.job.steps[key.task.step]
        hosted = HostedRun(key, step, now, checkpoint_at=now, pace_is_known=False)
        self.host(vm, hosted)
        self._job_table.begin_occurrence_of(key, now=now)
        task = self._job_table.find_task(key.task)
        if task is None:
            if self._job_table.is_ahead(key):
                entry.runs_ahead.add(key)
            self.stop(vm, hosted, now, "not wanted any more")
            return hosted
        stale = task.run > key.run and task.state is TaskState.PLACED
        if stale or not task.entry.open or task.state is TaskState.SUCCEEDED:
            self.stop(vm, hosted, now, "not wanted any more")
            if task.state is TaskState.SUCCEEDED:
                task.entry.held_version = task.entry.version
        else:
            self._job_table.mark_placed(task, key.run, vm.node)
            why = ADOPTED_LATER if vm.was_listed else ADOPTED_FIRST
            self.record_event(Event.ADOPTED, key, vm, why)
            self._stop_earlier_runs(key, now)
        return hosted

    def _stop_earlier_runs(self, key: RunKey, now: float) -> None:
        if all(other.run >= key.run for other in self._runs_by_task[key.task]):
            return
        for vm in self.vm_by_node.values():
            for hosted in vm.hosted_by_run.values():
                is_earlier = hosted.key.task == key.task and hosted.key.run < key.run
                if is_earlier and not hosted.stopping:
                    self.stop(vm, hosted, now, "a later run of its task goes on")

    def stop(self, vm: Vm, hosted: HostedRun, now: float, why: str = "") -> None:
        """Order that a run stops; `why` is for the log."""
        self.record_event(Event.STOPPED, hosted.key, vm, why)
        hosted.stopping = True
        hosted.stop_at = now
        vm.mark_changed(now)
        self._dispatch.pending(vm.node).stops.append(hosted.key)

    def stop_tasks(self, tasks: Iterable[Task], now: float) -> None:
        """Order that all runs of these tasks stop, because these have ended."""
        wanted = {task.key for task in tasks}
        for vm in self.vm_by_node.values():
            for hosted in vm.hosted_by_run.values():
                if hosted.key.task in wanted and not hosted.stopping:
                    self.stop(vm, hosted, now, "its job or task has ended")

    def stop_others(self, task: Task, succeeded: RunKey, now: float) -> None:
        """Order the other runs of a task to stop, because one has succeeded."""
        self.stop_tasks([task], now)
        if self.has_other_run(succeeded):
            task.entry.held_version = task.entry.version

    def is_working(self, task: Task) -> bool:
        """Return whether a task has a run that was not ordered to stop."""
        vm = self.vm_by_node.get(task.node) if task.node is not None else None
        hosted = vm.hosted_by_run.get(task.run_key) if vm is not None else None
        return hosted is not None and not hosted.stopping

    def drop_all(self, vm: Vm, now: float, why: str) -> None:
        """Remove all runs of a VM, whose tasks wait again; `why` is for the log."""
        for key in list(vm.hosted_by_run):
            self.record_event(Event.GONE, key, vm, why)
            self.drop(vm, key)
            self.requeue(key, now)

    def requeue(self, key: RunKey, now: float) -> None:
        """Let a task wait again, if the run that has ended is its latest."""
        task = self._job_table.find_task(key.task)
        if task is not None and task.run == key.run:
            self._job_table.requeue(task, now)

    def record_event(self, event: Event, run: RunKey, vm: Vm, why: str) -> None:
        """Record an event for the log, and count it."""
        self._logged_events.append(LoggedEvent(event, run, vm.node, why))
        counted = f"{event.value}: {why}" if event is Event.ENDED else event.value
        self.count_by_event[counted] += 1

    def take_logged_events(self) -> list[LoggedEvent]:
        """Return the events since the last call."""
        logged, self._logged_events = self._logged_events, []
        return logged
