"""How the runs that an agent reports change the leader's state.

The `Scheduler` passes each report with a list of runs to a `ReportProcessor`.
"""

from wagtailcleat.scheduling.advice import Advice
from wagtailcleat.scheduling.delay_scheduling import rack_slowdown
from wagtailcleat.scheduling.dispatch import Dispatch
from wagtailcleat.scheduling.events import Event
from wagtailcleat.scheduling.held_ends import HeldEnds
from wagtailcleat.scheduling.hosted_runs import HostedRuns
from wagtailcleat.scheduling.job_entry import TaskState
from wagtailcleat.scheduling.job_table import JobTable
from wagtailcleat.scheduling.models import Ended, Refusal, RunEnd, Running
from wagtailcleat.scheduling.outgoing import EndTracker, ReceivedEnd
from wagtailcleat.scheduling.pacing import FULL_PACE
from wagtailcleat.scheduling.restart_backoff import record_run
from wagtailcleat.scheduling.run_times import RunTimes
from wagtailcleat.scheduling.sharing import affects_sharing
from wagtailcleat.scheduling.vms import HostedRun, Vm
from wagtailcleat.wire.scheduling import Report

CLOSING_REFUSALS = (Refusal.NOT_ALLOWED, Refusal.NO_ROOM, Refusal.LATE, Refusal.STALE)
"""Refusals that the next start on the same VM would meet as well."""
CLOSED_AFTER_REFUSAL_SECONDS = 0.5
"""How long nothing starts on a VM after such a refusal; nearly two reports.

Without it, each refusal would be followed at once by the next start while leader and
agent disagree, for example while only one of them knows that a zone was taken out.
"""
MIN_PROGRESS_INTERVAL_SECONDS = 0.5
"""Shortest time over which progress is measured: percentages are whole numbers."""


class ReportProcessor:
    """Updates jobs, runs and VMs from the lists of runs in reports."""

    def __init__(
        self,
        runs: HostedRuns,
        *,
        job_table: JobTable,
        dispatch: Dispatch,
        advice: Advice,
        run_times: RunTimes,
        far_factor: float,
        stop_retry_seconds: float,
    ) -> None:
        """Create it; a stop is repeated after `stop_retry_seconds`.

        Parameters: `far_factor` as in `DelayScheduling`.
        """
        self._runs = runs
        self._job_table = job_table
        self._dispatch = dispatch
        self._advice = advice
        self._run_times = run_times
        self._far_factor = far_factor
        self._stop_retry_seconds = stop_retry_seconds

    def process(self, vm: Vm, report: Report, now: float, wall_now: float) -> None:
        """Update the state from a report of a VM that lists its runs."""
        assert report.worker is not None
        tracker = self._dispatch.end_tracker(vm.node, report.worker.born)
        self._process_ends(vm, tracker, report.ended, now, wall_now)
        self._process_refusals(vm, report, now)
        self._process_running(vm, tracker, report, now)
        self._drop_unlisted(vm, report, now)

    def _process_ends(
        self,
        vm: Vm,
        tracker: EndTracker,
        listed: list[Ended],
        now: float,
        wall_now: float,
    ) -> None:
        for ended in listed:
            dropped = self._runs.drop(vm, ended.key)
            if dropped is not None:
                self._learn_run_time(vm, dropped, ended, now)
            if dropped is not None and affects_sharing(dropped.step):
                vm.mark_changed(now)
            if ended.number <= tracker.settled:
                # The acknowledgement was lost in transit or with the agent's process.
                self._dispatch.pending(vm.node).acknowledged = tracker.settled
            if ended.number <= tracker.received:
                continue
            tracker.received = ended.number
            tracker.recent_runs.append(ended.key)
            self._runs.record_event(Event.ENDED, ended.key, vm, ended.how.value)
            task = self._job_table.find_task(ended.key.task)
            if task is not None and dropped is not None:
                record_run(task, ended.how, now - dropped.ordered_at, now)
            is_other_run = task is not None and task.run != ended.key.run
            if task is not None and ended.key.run in task.failed_runs:
                # A failure that is already stored says nothing about the VM's present
                # health; a few of them would quarantine it for seconds.
                self._runs.record_event(
                    Event.KNOWN, ended.key, vm, "an earlier leader stored it"
                )
            else:
                self._count_outcome(vm, ended, now)
            known = self._job_table.entry_by_id.get(ended.key.task.job)
            was_open = known is not None and known.open
            entry = self._job_table.record_end(
                ended.key,
                ended.how,
                ended.checkpoint,
                node=vm.node,
                now=now,
                wall_now=wall_now,
            )
            if task is not None and is_other_run and task.state is TaskState.SUCCEEDED:
                self._runs.stop_others(task, ended.key, now)
            if was_open and entry is not None and entry.state.final:
                self._runs.stop_tasks(entry.tasks(), now)
            stored = self._hold(ended) or entry
            version = stored.version if stored else 0
            tracker.unsettled.append(
                ReceivedEnd(ended.number, ended.key, ended.how, stored, version)
            )

    def _hold(self, ended: Ended) -> HeldEnds | None:
        """Keep an end that can't be taken in yet; return None if there is no need."""
        job = ended.key.task.job
        held_ends_by_id = self._job_table.held_ends_by_id
        if self._job_table.is_ahead(ended.key):
            held_ends_by_id.setdefault(job, HeldEnds(job))
        elif job in self._job_table.entry_by_id:
            return None
        held = held_ends_by_id.get(job)
        if held is not None:
            held.add(ended)
        return held

    def _learn_run_time(
        self, vm: Vm, hosted: HostedRun, ended: Ended, now: float
    ) -> None:
        task = self._job_table.find_task(ended.key.task)
        if ended.how is RunEnd.SUCCEEDED and task is not None:
            factor = rack_slowdown(vm, hosted.step, self._far_factor)
            self._run_times.observe_success(task, hosted, now, slowdown=factor)

    def _count_outcome(self, vm: Vm, ended: Ended, now: float) -> None:
        if ended.how is RunEnd.SUCCEEDED:
            vm.record_success()
        elif ended.how is RunEnd.FAILED:
            vm.record_failure(now)

    def _process_refusals(self, vm: Vm, report: Report, now: float) -> None:
        for key, why in report.refused:
            hosted = self._runs.drop(vm, key)
            if hosted is None:
                continue
            self._runs.record_event(Event.NEVER_STARTED, key, vm, why.value)
            if why is Refusal.UNHEALTHY:
                vm.record_failure(now)
            elif why in CLOSING_REFUSALS:
                vm.closed_until = now + CLOSED_AFTER_REFUSAL_SECONDS
            elif why is Refusal.TICKET:
                step = (key.task.occurrence, key.task.step)
                self._advice.withdraw(key.task.job, step, vm)
            self._runs.requeue(key, now)

    def _process_running(
        self, vm: Vm, tracker: EndTracker, report: Report, now: float
    ) -> None:
        for running in report.running:
            hosted = self._runs.adopt(vm, running.key, now)
            if hosted is None:
                self._dispatch.pending(vm.node).stops.append(running.key)
                continue
            self._job_table.mark_begun(running.key.task.job)
            task = self._job_table.find_task(running.key.task)
            if report.listed_in_epoch and task and task.run == running.key.run:
                self._job_table.account_for(task)
            hosted.measurement = running.measurement
            self._measure_progress(vm, hosted, running.percent, now)
            hosted.listed = True
            if hosted.stopping and now - hosted.stop_at >= self._stop_retry_seconds:
                self._runs.stop(vm, hosted, now, "still listed after a stop")
            self._take_checkpoint(hosted, running, now)
        for key in report.unsettled:
            # An agent may report an end while the start is still in doubt. If the run
            # were adopted again, its task would wait for a run that has ended: the next
            # listing of the end removes the run without requeueing the task.
            if key not in tracker.recent_runs:
                self._runs.adopt(vm, key, now)

    def _measure_progress(
        self, vm: Vm, hosted: HostedRun, percent: int, now: float
    ) -> None:
        if not hosted.listed:
            hosted.first_percent = hosted.percent = percent
            hosted.progressed_at = now
            return
        seconds = now - hosted.progressed_at
        if seconds < MIN_PROGRESS_INTERVAL_SECONDS:
            return
        gained = percent - hosted.percent
        hosted.worked_seconds += hosted.work_share * seconds
        hosted.percent = percent
        key = hosted.key.task
        entry = self._job_table.entry_by_id.get(key.job)
        if entry is not None:
            factor = rack_slowdown(vm, hosted.step, self._far_factor)
            expected = entry.expected_seconds[key.step] * factor
            vm.record_progress(hosted.step, gained, expected, now, hosted.progressed_at)
            self._run_times.observe_progress(entry, hosted, slowdown=factor)
        hosted.progressed_at = now

    def _take_checkpoint(self, hosted: HostedRun, running: Running, now: float) -> None:
        task = self._job_table.find_task(running.key.task)
        if task is None or task.run != running.key.run:
            return
        if not self._job_table.update_checkpoint(
            task, running.key.run, running.checkpoint
        ):
            return
        used_cores = hosted.step.size.cores * hosted.pace / FULL_PACE
        task.entry.add_unsaved(used_cores * (now - hosted.checkpoint_at), now)
        hosted.checkpoint_at = now

    def _drop_unlisted(self, vm: Vm, report: Report, now: float) -> None:
        if not report.has_all_ends:
            # A run that is not listed may have ended: the list of ends was full.
            return
        reported = {running.key for running in report.running}
        reported.update(report.unsettled)
        for key, hosted in list(vm.hosted_by_run.items()):
            if key in reported:
                continue
            on_its_way = (
                hosted.session == vm.session
                and hosted.order_number > report.orders_taken
            )
            if hosted.sent and not on_its_way:
                self._runs.record_event(Event.GONE, key, vm, "not listed any more")
                self._runs.drop(vm, key)
                self._runs.requeue(key, now)
