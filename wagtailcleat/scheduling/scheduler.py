"""The leader's scheduler: takes agents' reports and jobs, and returns orders to agents.

The leader calls it and passes the present time; it has neither network nor clock. A run
occupies resources on its VM from the order to start it until its end is listed, its
start is known never to have been carried out, or its lease has certainly expired. Only
then may the task start elsewhere.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable

from wagtailcleat.ids import Epoch, JobId, NodeId, ZoneName
from wagtailcleat.scheduling.advice import Advice
from wagtailcleat.scheduling.dispatch import Dispatch
from wagtailcleat.scheduling.events import Event, LoggedEvent
from wagtailcleat.scheduling.job_entry import JobEntry, Task, TaskState
from wagtailcleat.scheduling.job_table import JobTable
from wagtailcleat.scheduling.models import (
    Ended,
    Pace,
    Refusal,
    RunEnd,
    RunKey,
    Running,
    Start,
)
from wagtailcleat.scheduling.outgoing import EndTracker
from wagtailcleat.scheduling.pacing import FULL_PACE, PaceAction, pace_actions
from wagtailcleat.scheduling.placement_rounds import PlacementRounds
from wagtailcleat.scheduling.ranking import due_seconds, lateness, slack_seconds
from wagtailcleat.scheduling.reasons import Margin, StartReason
from wagtailcleat.scheduling.sharing import Sharing, affects_sharing
from wagtailcleat.scheduling.vms import HostedRun, Vm
from wagtailcleat.wire.scheduling import Orders, Report

CLOSING_REFUSALS = (Refusal.NOT_ALLOWED, Refusal.NO_ROOM, Refusal.LATE, Refusal.STALE)
"""Refusals that the next start on the same VM would meet as well."""
CLOSED_AFTER_REFUSAL_SECONDS = 0.5
"""How long nothing starts on a VM after such a refusal; nearly two reports.

Without it, each refusal would be followed at once by the next start while leader and
agent disagree, for example while only one of them knows that a zone was taken out.
"""
MIN_PROGRESS_INTERVAL_SECONDS = 0.5
"""Shortest time over which progress is measured: percentages are whole numbers."""


class Scheduler:
    """Scheduling state and decisions of one leader.

    Times are seconds: `now` on the leader's monotonic clock, `wall_now` of the wall
    clock.
    """

    def __init__(
        self,
        epoch: Epoch,
        *,
        lease_horizon: float,
        stop_retry_seconds: float,
        start_bytes_per_second: float = math.inf,
    ) -> None:
        """Start without VMs and jobs.

        Parameters: `lease_horizon` is the number of seconds that runs may continue
        after their agent's last report; `stop_retry_seconds` is the number of seconds
        after which a stop is repeated; `start_bytes_per_second` limits the rate of
        starts.
        """
        self.epoch = epoch
        self.job_table = JobTable()
        self.sharing = Sharing()
        self.vm_by_node: dict[NodeId, Vm] = {}
        self.zones_out: frozenset[ZoneName] = frozenset()
        self.count_by_event: Counter[str] = Counter()
        self._logged_events: list[LoggedEvent] = []
        """Events since the last call of `take_logged_events`."""
        self.unreported_agents: set[NodeId] = set()
        """Agents that may run tasks and have not yet reported to this leader."""
        self._lease_horizon = lease_horizon
        self._stop_retry_seconds = stop_retry_seconds
        self._wall_now = 0.0
        self.advice = Advice()
        self._placement = PlacementRounds(
            epoch, self.job_table, self.sharing, self.advice, self._start
        )
        self._dispatch = Dispatch(epoch, start_bytes_per_second)

    def process_report(
        self, report: Report, session: int, *, now: float, wall_now: float
    ) -> None:
        """Update the state from an agent's report.

        Parameters: `session` is the number of the agent's connection.
        """
        vm = self._update_vm(report, session, now)
        if report.left:
            self._drop_all_runs(vm, now, "its worker has left")
            self._mark_reported(vm.node)
        if report.worker is None or not report.listed:
            return
        vm.listed_at = now
        tracker = self._dispatch.end_tracker(vm.node, report.worker.born)
        self._process_ends(vm, tracker, report.ended, now, wall_now)
        self._process_refusals(vm, report, now)
        self._process_running(vm, tracker, report, now)
        self._drop_unlisted(vm, report, now)
        self._mark_reported(vm.node)
        self._adjust_sharing(vm, now)

    def _update_vm(self, report: Report, session: int, now: float) -> Vm:
        vm = self.vm_by_node.get(report.node)
        if vm is None:
            vm = Vm(report.node, report.host, report.port, report.zone, now)
            vm.listed_at = now
            # An agent ignores orders numbered below those that it has carried out.
            vm.orders_sent = report.orders_taken
            self.vm_by_node[report.node] = vm
        vm.host, vm.port, vm.zone = report.host, report.port, report.zone
        vm.worker = report.worker
        vm.listed = report.listed
        vm.is_connected = True
        vm.heard_at = now
        vm.silent_seconds = report.silent_seconds
        vm.session = session
        vm.version += 1
        return vm

    def _mark_reported(self, node: NodeId) -> None:
        if node not in self.unreported_agents:
            return
        self.unreported_agents.discard(node)
        self._allow_starts_if_all_reported()

    def _allow_starts_if_all_reported(self) -> None:
        if self.unreported_agents:
            return
        for entry in self.job_table.entry_by_id.values():
            entry.may_start_tasks = True

    def _process_ends(
        self,
        vm: Vm,
        tracker: EndTracker,
        listed: list[Ended],
        now: float,
        wall_now: float,
    ) -> None:
        for ended in listed:
            dropped = vm.drop_run(ended.key)
            if dropped is not None and affects_sharing(dropped.step):
                vm.mark_changed(now)
            if ended.number <= tracker.durable:
                # The acknowledgement was lost in transit or with the agent's process.
                self._dispatch.pending(vm.node).acknowledged = tracker.durable
            if ended.number <= tracker.received:
                continue
            tracker.received = ended.number
            tracker.recent_runs.append(ended.key)
            self._record_event(Event.ENDED, ended.key, vm, ended.how.value)
            task = self.job_table.find_task(ended.key.task)
            is_other_run = task is not None and task.run != ended.key.run
            if task is not None and ended.key.run in task.failed_runs:
                # A failure that is already stored says nothing about the VM's present
                # health; a few of them would quarantine it for seconds.
                self._record_event(
                    Event.KNOWN, ended.key, vm, "an earlier leader stored it"
                )
            else:
                self._count_outcome(vm, ended, now)
            entry = self.job_table.record_end(
                ended.key,
                ended.how,
                ended.checkpoint,
                node=vm.node,
                now=now,
                wall_now=wall_now,
            )
            if task is not None and is_other_run and task.state is TaskState.SUCCEEDED:
                self._stop_runs([task], now)
            if entry is not None and entry.state.final:
                self._stop_runs(entry.tasks(), now)
            tracker.unstored.append(
                (ended.number, entry, entry.version if entry else 0)
            )

    def _count_outcome(self, vm: Vm, ended: Ended, now: float) -> None:
        if ended.how is RunEnd.SUCCEEDED:
            vm.record_success()
        elif ended.how is RunEnd.FAILED:
            vm.record_failure(now)

    def _process_refusals(self, vm: Vm, report: Report, now: float) -> None:
        for key, why in report.refused:
            hosted = vm.drop_run(key)
            if hosted is None:
                continue
            self._record_event(Event.NEVER_STARTED, key, vm, why.value)
            if why is Refusal.UNHEALTHY:
                vm.record_failure(now)
            elif why in CLOSING_REFUSALS:
                vm.closed_until = now + CLOSED_AFTER_REFUSAL_SECONDS
            elif why is Refusal.TICKET:
                step = (key.task.occurrence, key.task.step)
                self.advice.withdraw(key.task.job, step, vm)
            self._requeue(key, now)

    def _process_running(
        self, vm: Vm, tracker: EndTracker, report: Report, now: float
    ) -> None:
        for running in report.running:
            hosted = self._adopt(vm, running.key, now)
            if hosted is None:
                self._dispatch.pending(vm.node).stops.append(running.key)
                continue
            if hosted.listed:
                seconds = now - hosted.progressed_at
                if seconds >= MIN_PROGRESS_INTERVAL_SECONDS:
                    vm.record_progress(
                        hosted.step, running.percent - hosted.percent, seconds, now
                    )
                    hosted.percent = running.percent
                    hosted.progressed_at = now
            else:
                hosted.percent = running.percent
                hosted.progressed_at = now
            hosted.listed = True
            hosted.measurement = running.measurement
            if hosted.stopping and now - hosted.stop_at >= self._stop_retry_seconds:
                self._stop(vm, hosted, now, "still listed after a stop")
            self._take_checkpoint(hosted, running, now)
        for key in report.unsettled:
            # An agent may report an end while the start is still in doubt. If the run
            # were adopted again, its task would wait for a run that has ended: the next
            # listing of the end removes the run without requeueing the task.
            if key not in tracker.recent_runs:
                self._adopt(vm, key, now)

    def _take_checkpoint(self, hosted: HostedRun, running: Running, now: float) -> None:
        task = self.job_table.find_task(running.key.task)
        if task is None or task.run != running.key.run:
            return
        if not self.job_table.update_checkpoint(
            task, running.key.run, running.checkpoint
        ):
            return
        used_cores = hosted.step.size.cores * hosted.pace / FULL_PACE
        task.entry.unsaved_core_seconds += used_cores * (now - hosted.checkpoint_at)
        hosted.checkpoint_at = now

    def _adopt(self, vm: Vm, key: RunKey, now: float) -> HostedRun | None:
        hosted = vm.hosted_by_run.get(key)
        if hosted is not None:
            return hosted
        entry = self.job_table.entry_by_id.get(key.task.job)
        if entry is None or key.task.step >= len(entry.job.steps):
            return None
        # A run of a job that ended under an earlier leader occupies resources until its
        # end is listed, although the job has no tasks in the table any more.
        hosted = HostedRun(key, entry.job.steps[key.task.step], now, checkpoint_at=now)
        vm.host_run(hosted)
        self.job_table.begin_occurrence_of(key, now=now)
        task = self.job_table.find_task(key.task)
        if task is None:
            self._stop(vm, hosted, now, "not wanted any more")
            return hosted
        stale = task.run > key.run and task.state is TaskState.PLACED
        if stale or not task.entry.open or task.state is TaskState.SUCCEEDED:
            self._stop(vm, hosted, now, "not wanted any more")
        else:
            self.job_table.mark_placed(task, key.run, vm.node)
            self._record_event(Event.ADOPTED, key, vm, "listed by its worker")
        return hosted

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
                self._record_event(Event.GONE, key, vm, "not listed any more")
                vm.drop_run(key)
                self._requeue(key, now)

    def _adjust_sharing(self, vm: Vm, now: float) -> None:
        self.sharing.observe(vm, now)
        for action in pace_actions(self.sharing, vm, self._may_move, now):
            self._apply(vm, action, now)

    def _may_move(self, hosted: HostedRun) -> bool:
        """Return whether a run may be evicted to continue on another VM.

        A job keeps its last run, even if that run is throttled: it might be evicted
        wherever it starts again, and make no progress at all.
        """
        task = self.job_table.find_task(hosted.key.task)
        has_other_runs = task is not None and task.entry.placed_tasks > 1
        return hosted.step.checkpointable and has_other_runs

    def _apply(self, vm: Vm, action: PaceAction, now: float) -> None:
        hosted, pace = action.hosted, action.pace
        if not pace and hosted.step.checkpointable:
            # The run continues from its checkpoint elsewhere and frees its memory here.
            # A stop takes longer than a new pace, and the run would interfere until
            # then.
            self._dispatch.pending(vm.node).paces.append(Pace(hosted.key, 0))
            self._stop(vm, hosted, now, f"it slows what serves here: {action.why}")
            return
        self._record_event(Event.PACED, hosted.key, vm, f"{pace}: {action.why}")
        hosted.pace = pace
        vm.mark_changed(now)
        self._dispatch.pending(vm.node).paces.append(Pace(hosted.key, pace))

    def _record_event(self, event: Event, run: RunKey, vm: Vm, why: str) -> None:
        self._logged_events.append(LoggedEvent(event, run, vm.node, why))
        counted = f"{event.value}: {why}" if event is Event.ENDED else event.value
        self.count_by_event[counted] += 1

    def take_logged_events(self) -> list[LoggedEvent]:
        """Return the events since the last call."""
        logged, self._logged_events = self._logged_events, []
        return logged

    def _requeue(self, key: RunKey, now: float) -> None:
        task = self.job_table.find_task(key.task)
        if task is not None and task.run == key.run:
            self.job_table.requeue(task, now)

    def mark_disconnected(self, node: NodeId) -> None:
        """Record that an agent's connection was closed."""
        vm = self.vm_by_node.get(node)
        if vm is not None:
            vm.is_connected = False

    def expire(self, *, now: float, predecessors_until: float) -> list[NodeId]:
        """Drop runs whose leases have certainly expired; return the agents dropped.

        Parameters: `predecessors_until` is the last time at which an earlier leader may
        have renewed the leases of an agent that has not reported to this one.
        """
        self.sharing.interference.forget_unreported(now)
        given_up = []
        for vm in list(self.vm_by_node.values()):
            if now - vm.heard_at < self._lease_horizon:
                self._expire_unlisted(vm, now)
                continue
            self._drop_all_runs(vm, now, "its lease has surely lapsed")
            given_up.append(vm.node)
            del self.vm_by_node[vm.node]
            self.sharing.forget_vm(vm.node)
        if self.unreported_agents and now - predecessors_until >= self._lease_horizon:
            given_up += self.unreported_agents
            self.unreported_agents.clear()
            self._allow_starts_if_all_reported()
        return given_up

    def _expire_unlisted(self, vm: Vm, now: float) -> None:
        # A restarted agent renews no leases until its worker has listed its runs; a
        # worker that has died in the meantime never does.
        if vm.hosted_by_run and now - vm.listed_at >= self._lease_horizon:
            self._drop_all_runs(
                vm, now, "its agent knows no worker, and the lease lapsed"
            )

    def _drop_all_runs(self, vm: Vm, now: float, why: str) -> None:
        for key in list(vm.hosted_by_run):
            self._record_event(Event.GONE, key, vm, why)
            vm.drop_run(key)
            self._requeue(key, now)

    def idle_disconnected_vms(self) -> list[Vm]:
        """Return the VMs without runs that have no worker or no connected agent."""
        return [
            vm
            for vm in self.vm_by_node.values()
            if not vm.hosted_by_run and (vm.worker is None or not vm.is_connected)
        ]

    def cancel(self, job: JobId, *, now: float, wall_now: float) -> JobEntry | None:
        """Cancel a job and stop its runs; return its entry if it is known."""
        entry = self.job_table.cancel(job, wall_now=wall_now)
        if entry is not None and entry.state.final:
            self._stop_runs(entry.tasks(), now)
        return entry

    def _stop_runs(self, tasks: Iterable[Task], now: float) -> None:
        wanted = {task.key for task in tasks}
        for vm in self.vm_by_node.values():
            for hosted in vm.hosted_by_run.values():
                if hosted.key.task in wanted and not hosted.stopping:
                    self._stop(vm, hosted, now, "its job or task has ended")

    def _stop(self, vm: Vm, hosted: HostedRun, now: float, why: str = "") -> None:
        self._record_event(Event.STOPPED, hosted.key, vm, why)
        hosted.stopping = True
        hosted.stop_at = now
        vm.mark_changed(now)
        self._dispatch.pending(vm.node).stops.append(hosted.key)

    def place(
        self,
        *,
        now: float,
        wall_now: float,
        may_continue: Callable[[], bool] = lambda: True,
    ) -> bool:
        """Run a placement round; return whether all waiting steps were considered.

        Parameters: `may_continue` is called between two steps and returns whether the
        round may continue.
        """
        self._wall_now = wall_now
        vms = self.vm_by_node.values()
        self._placement.run(
            vms, self.zones_out, now=now, wall_now=wall_now, may_continue=may_continue
        )
        return not self._placement.cut_short

    def _start(self, vm: Vm, task: Task, run: int, now: float) -> None:
        self.job_table.mark_placed(task, run, vm.node)
        hosted = HostedRun(
            task.run_key,
            task.step,
            now,
            sent=False,
            progressed_at=now,
            checkpoint_at=now,
        )
        occurrence = task.key.occurrence
        hosted.reason = StartReason(
            lateness(task.entry, occurrence, self._wall_now).name.lower(),
            slack_seconds(task.entry, occurrence, self._wall_now),
            None
            if task.step.long_running
            else due_seconds(task.entry, occurrence, self._wall_now),
            self.sharing.margin(vm, task.step, now) if task.step.fills else Margin(),
        )
        vm.host_run(hosted)
        if affects_sharing(task.step):
            vm.mark_changed(now)
        if task.step.fills:
            self.sharing.record_start(vm, task.step, now)
        spec = task.entry.job.spec
        self.count_by_event["Starts"] += 1
        step = (task.key.occurrence, task.key.step)
        ticket = self.advice.ticket(task.key.job, step, vm, now)
        start = Start(task.run_key, spec, task.checkpoint, ticket)
        self._dispatch.pending(vm.node).starts.append(start)

    def committed(self, entry: JobEntry, version: int) -> None:
        """Record that a job's progress up to `version` is in the store."""
        entry.committed = max(entry.committed, version)

    def orders(self, *, now: float) -> list[tuple[Vm, Orders]]:
        """Return the orders to send now to connected agents, and mark them as sent.

        Starts beyond the rate limit are kept for a later call; see `holds_starts`.
        """

        def withdraw(vm: Vm, run: RunKey) -> None:
            vm.drop_run(run)
            self._requeue(run, now)

        return self._dispatch.orders(self.vm_by_node, withdraw, now=now)

    @property
    def holds_starts(self) -> bool:
        """Whether the rate limit holds back some starts."""
        return self._dispatch.holds_starts
