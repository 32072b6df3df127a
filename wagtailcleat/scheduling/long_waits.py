"""Which tasks have had no run for long although there is room, and what they wait for.

For the leader's log and metrics only; nothing is decided here. A job whose other tasks
run is not counted, unless its tasks are long-running: each of these is to run always.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from enum import Enum
from typing import NamedTuple

from wagtailcleat.ids import JobId, NodeId, ServiceName, ZoneName
from wagtailcleat.resources import ROUNDING_CORES
from wagtailcleat.scheduling.advice import Advice
from wagtailcleat.scheduling.job_entry import JobEntry, Task, TaskState
from wagtailcleat.scheduling.job_table import JobTable
from wagtailcleat.scheduling.models import Step, TaskKey, WorkerState
from wagtailcleat.scheduling.placement import (
    MIN_SPARE_SHARE,
    fits,
    has_required_label,
)
from wagtailcleat.scheduling.vms import HostedRun, Vm

LONG_WAIT_SECONDS = 2.0
SEARCH_INTERVAL_SECONDS = 1.0
LOG_INTERVAL_SECONDS = 4.0
"""Interval between two log lines on the same job."""
MAX_LINES_PER_SEARCH = 5


class WaitReason(Enum):
    """What a task waits for, with the text of the log line."""

    AGENT = "its run may go on: the agent is not heard"
    WORKER = "its run may go on: the worker does not answer its agent"
    START = "its start is not settled"
    UNREPORTED = "some agents have not reported to this leader"
    BACKOFF = "its last runs ended at once"
    ADVICE = "no VM with room is granted"
    CLOSED = "the VMs with room are given no starts"
    CHOICE = "the VMs with room are not chosen for it"


class LongWait(NamedTuple):
    """A task that has had no run for long, although there is room."""

    task: TaskKey
    seconds: float
    reason: WaitReason
    node: NodeId | None = None
    """The VM of the run that may go on, if any."""

    def fields(self) -> dict[str, str | float]:
        """Return the fields of the log line."""
        key = self.task
        fields: dict[str, str | float] = {
            "job": key.job,
            "task": f"{key.occurrence}/{key.step}/{key.position}",
            "seconds": round(self.seconds, 2),
            "why": self.reason.value,
        }
        return fields | ({"agent": self.node} if self.node is not None else {})


class _Wait(NamedTuple):
    """A task without a run, or whose run may not be going on."""

    task: Task
    seconds: float
    reason: WaitReason | None
    """None for a task without a run."""
    node: NodeId | None


class _Pool:
    """The VMs of a service whose workers take work."""

    def __init__(self) -> None:
        """Start without VMs."""
        self._vms: list[Vm] = []
        self._most_cores = self._most_spare_cores = 0.0
        self._most_memory_mb = 0

    def add(self, vm: Vm) -> None:
        """Add a VM."""
        self._vms.append(vm)
        self._most_cores = max(self._most_cores, vm.free.cores)
        self._most_spare_cores = max(self._most_spare_cores, vm.spare_cores)
        self._most_memory_mb = max(self._most_memory_mb, vm.free.memory_mb)

    def with_room(self, step: Step) -> Iterator[Vm]:
        """Yield the VMs with room for one more task of a step."""
        # Most steps that wait do so because all VMs are full.
        most = self._most_spare_cores if step.fills else self._most_cores
        needed = step.size.cores * (MIN_SPARE_SHARE if step.fills else 1.0)
        is_larger = needed > most + ROUNDING_CORES
        if is_larger or step.size.memory_mb > self._most_memory_mb:
            return
        for vm in self._vms:
            if has_required_label(vm, step) and fits(vm, step):
                yield vm


class LongWaits:
    """Searches for long waits; keeps the last result, and what is to be logged."""

    def __init__(self, job_table: JobTable, advice: Advice) -> None:
        """Search among the open jobs of `job_table`."""
        self.seconds_by_reason: dict[str, float] = {}
        """The longest wait of each reason in the last search."""
        self._job_table = job_table
        self._advice = advice
        self._searched_at = -SEARCH_INTERVAL_SECONDS
        self._logged_at_by_job: dict[JobId, float] = {}
        self._to_log: list[LongWait] = []

    def __repr__(self) -> str:
        """Show the longest waits."""
        return f"<LongWaits {self.seconds_by_reason}>"

    def search(
        self, vms: Iterable[Vm], zones_out: frozenset[ZoneName], *, now: float
    ) -> None:
        """Search, unless the last search was a moment ago."""
        if now - self._searched_at < SEARCH_INTERVAL_SECONDS:
            return
        self._searched_at = now
        open_jobs = self._job_table.open_by_id
        self._logged_at_by_job = {
            job: at for job, at in self._logged_at_by_job.items() if job in open_jobs
        }
        found = self._find(vms, zones_out, now)
        self.seconds_by_reason = {}
        for wait in sorted(found, key=lambda wait: wait.seconds):
            self.seconds_by_reason[wait.reason.name.lower()] = wait.seconds
            if len(self._to_log) < MAX_LINES_PER_SEARCH:
                self._log(wait, now)

    def take_to_log(self) -> list[LongWait]:
        """Return the waits to be logged since the last call."""
        taken, self._to_log = self._to_log, []
        return taken

    def _log(self, wait: LongWait, now: float) -> None:
        job = wait.task.job
        logged_at = self._logged_at_by_job.get(job)
        if logged_at is None or now - logged_at >= LOG_INTERVAL_SECONDS:
            self._logged_at_by_job[job] = now
            self._to_log.append(wait)

    def _find(
        self, vms: Iterable[Vm], zones_out: frozenset[ZoneName], now: float
    ) -> list[LongWait]:
        """Return the longest wait of each job that has one."""
        stuck_by_job: dict[JobId, list[_Wait]] = {}
        pool_by_service: defaultdict[ServiceName, _Pool] = defaultdict(_Pool)
        for vm in vms:
            for stuck in self._stuck_runs(vm, now):
                stuck_by_job.setdefault(stuck.task.key.job, []).append(stuck)
            is_ready = vm.worker is not None and vm.worker.state is WorkerState.READY
            if is_ready and vm.service is not None and vm.zone not in zones_out:
                pool_by_service[vm.service].add(vm)
        found = []
        for entry in self._job_table.open_by_id.values():
            pool = pool_by_service[entry.job.service]
            wait = self._longest(entry, stuck_by_job.get(entry.job.id, []), pool, now)
            if wait is not None:
                found.append(wait)
        return found

    def _longest(
        self, entry: JobEntry, stuck: list[_Wait], pool: _Pool, now: float
    ) -> LongWait | None:
        """Return the longest wait of a job, if it has one."""
        is_working = entry.placed_tasks > len(stuck)
        waits = [
            wait
            for wait in [*stuck, *self._waiting(entry, pool, now)]
            if wait.task.step.long_running or not is_working
        ]
        waits.sort(key=lambda wait: -wait.seconds)
        for task, seconds, reason, node in waits:
            others = [vm for vm in pool.with_room(task.step) if vm.node != node]
            if others:
                why = reason or self._why_waiting(task, others, now)
                return LongWait(task.key, seconds, why, node)
        return None

    def _stuck_runs(self, vm: Vm, now: float) -> Iterator[_Wait]:
        """Yield the placed tasks of a VM that may not be running."""
        for run, hosted in vm.hosted_by_run.items():
            found = _why_stuck(vm, hosted, now)
            task = self._job_table.find_task(run.task) if found else None
            if found is None or task is None:
                continue
            if task.state is TaskState.PLACED and task.run == run.run:
                reason, seconds = found
                yield _Wait(task, seconds, reason, vm.node)

    def _waiting(self, entry: JobEntry, pool: _Pool, now: float) -> Iterator[_Wait]:
        """Yield the first waiting task of each step that has room, in its turn."""
        for step, count in entry.waiting_by_step.items():
            if not count or not self._job_table.is_ready(entry, step):
                continue
            # Looked for first: a step may have thousands of tasks.
            if not any(pool.with_room(entry.job.steps[step[1]])):
                continue
            task = min(
                (t for t in entry.tasks_by_step[step] if t.state is TaskState.WAITING),
                key=lambda task: task.ready_at,
            )
            if now - task.ready_at > LONG_WAIT_SECONDS:
                yield _Wait(task, now - task.ready_at, None, None)

    def _why_waiting(self, task: Task, with_room: list[Vm], now: float) -> WaitReason:
        if not task.entry.may_start_tasks:
            return WaitReason.UNREPORTED
        if task.not_before > now:
            return WaitReason.BACKOFF
        usable = [
            vm
            for vm in with_room
            if vm.is_usable
            and vm.closed_until <= now < vm.may_act_until
            and not vm.is_quarantined(now)
        ]
        if not usable:
            return WaitReason.CLOSED
        step = (task.key.occurrence, task.key.step)
        job = task.entry.job
        if job.advised and not any(
            self._advice.ticket(job.id, step, vm, now) for vm in usable
        ):
            return WaitReason.ADVICE
        return WaitReason.CHOICE


def _why_stuck(
    vm: Vm, hosted: HostedRun, now: float
) -> tuple[WaitReason, float] | None:
    """Return why a run may not be going on, and for how many seconds."""
    unheard = now - vm.heard_at
    if unheard > LONG_WAIT_SECONDS:
        return WaitReason.AGENT, unheard
    if vm.silent_seconds + unheard > LONG_WAIT_SECONDS:
        return WaitReason.WORKER, vm.silent_seconds + unheard
    if not hosted.listed and now - hosted.ordered_at > LONG_WAIT_SECONDS:
        return WaitReason.START, now - hosted.ordered_at
    return None
