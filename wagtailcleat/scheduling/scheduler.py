"""The leader's scheduler: takes agents' reports and jobs, and returns orders to agents.

The leader calls it and passes the present time; it has neither network nor clock. A run
occupies resources on its VM from the order to start it until its end is listed, its
start is known never to have been carried out, or its lease has certainly expired. Only
then may the task start elsewhere.
"""

import math
from collections.abc import Callable, Sequence
from functools import partial

from wagtailcleat.ids import Epoch, JobId, NodeId, ZoneName
from wagtailcleat.scheduling.advice import Advice
from wagtailcleat.scheduling.delay_scheduling import DelayScheduling, rack_slowdown
from wagtailcleat.scheduling.dispatch import Dispatch
from wagtailcleat.scheduling.events import Event, LoggedEvent
from wagtailcleat.scheduling.held_ends import HeldEnds
from wagtailcleat.scheduling.hosted_runs import HostedRuns
from wagtailcleat.scheduling.job_entry import JobEntry, Task, overdue_occurrences
from wagtailcleat.scheduling.job_table import JobTable
from wagtailcleat.scheduling.long_waits import LongWaits
from wagtailcleat.scheduling.models import (
    FINISHING_ENDS,
    Pace,
    RunKey,
    Start,
)
from wagtailcleat.scheduling.options import DEFAULT_OPTIONS, SchedulingOptions
from wagtailcleat.scheduling.outgoing import ReceivedEnd
from wagtailcleat.scheduling.pacing import PaceAction, eviction_pace, pace_actions
from wagtailcleat.scheduling.placement_rounds import PlacementRounds
from wagtailcleat.scheduling.ranking import due_seconds, lateness, slack_seconds
from wagtailcleat.scheduling.reasons import Margin, StartReason
from wagtailcleat.scheduling.report_processing import ReportProcessor
from wagtailcleat.scheduling.run_times import RunTimes
from wagtailcleat.scheduling.sharing import Sharing, affects_sharing
from wagtailcleat.scheduling.vms import HostedRun, Vm, is_same_worker
from wagtailcleat.wire.scheduling import Orders, Report


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
        options: SchedulingOptions = DEFAULT_OPTIONS,
    ) -> None:
        """Start without VMs and jobs.

        Parameters: `lease_horizon` is the number of seconds that runs may continue
        after their agent's last report; `stop_retry_seconds` is the number of seconds
        after which a stop is repeated; `start_bytes_per_second` limits the rate of
        starts; `options` follow from the deployment's settings.
        """
        self.epoch = epoch
        self.run_times = RunTimes(enabled=options.learn_run_times)
        self.job_table = JobTable(self.run_times)
        self.sharing = Sharing()
        self.advice = Advice()
        self.long_waits = LongWaits(self.job_table, self.advice)
        self.zones_out: frozenset[ZoneName] = frozenset()
        self.unreported_agents: set[NodeId] = set()
        """Agents that may run tasks and have not yet reported to this leader."""
        self._lease_horizon = lease_horizon
        self._eviction_pace = eviction_pace(options.move_seconds)
        self._wall_now = 0.0
        self.delay_scheduling = DelayScheduling(
            self._expected_run_seconds, far_factor=options.far_factor
        )
        self._far_factor = options.far_factor
        self._placement = PlacementRounds(
            epoch,
            self.job_table,
            self.sharing,
            self.advice,
            self.delay_scheduling,
            self._start,
        )
        self._dispatch = Dispatch(epoch, start_bytes_per_second)
        self._runs = HostedRuns(self.job_table, self._dispatch)
        self.vm_by_node = self._runs.vm_by_node
        self.count_by_event = self._runs.count_by_event
        self._report_processor = ReportProcessor(
            self._runs,
            job_table=self.job_table,
            dispatch=self._dispatch,
            advice=self.advice,
            run_times=self.run_times,
            far_factor=options.far_factor,
            stop_retry_seconds=stop_retry_seconds,
        )

    def _expected_run_seconds(self, vm: Vm, run: HostedRun) -> float:
        entry = self.job_table.entry_by_id.get(run.key.task.job)
        if entry is None:
            return run.step.estimate_seconds
        seconds = entry.expected_seconds[run.key.task.step]
        return seconds * rack_slowdown(vm, run.step, self._far_factor)

    def process_report(
        self, report: Report, session: int, *, now: float, wall_now: float
    ) -> None:
        """Update the state from an agent's report.

        Parameters: `session` is the number of the agent's connection.
        """
        vm = self._update_vm(report, session, now)
        if report.left:
            self._runs.drop_all(vm, now, "its worker has left")
            self._mark_reported(vm.node)
        knows_nothing = not report.listed and not report.unsettled
        if knows_nothing and report.up_seconds >= self._lease_horizon:
            # It renews no leases before its worker has listed its runs, so those that
            # its earlier incarnation renewed have lapsed.
            self._mark_reported(vm.node)
        if report.worker is None or not report.listed:
            return
        vm.listed_at = now
        self._report_processor.process(vm, report, now, wall_now)
        vm.was_listed = True
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
        if vm.worker is not None and not is_same_worker(vm.worker, report.worker):
            # Orders name the incarnation that the VM has when they are sent.
            why = "its worker is not the one that it was placed on"
            withdraw = partial(self._withdraw, now=now, why=why)
            self._dispatch.withdraw_starts(vm, withdraw)
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

    def _adjust_sharing(self, vm: Vm, now: float) -> None:
        self.sharing.observe(vm, now)
        for action in pace_actions(
            self.sharing, vm, self._may_move, self._eviction_pace, now
        ):
            self._apply(vm, action, now)

    def _may_move(self, hosted: HostedRun, evicted: Sequence[HostedRun]) -> bool:
        """Return whether a run may be evicted, with others, to continue elsewhere.

        A job keeps one working run, even if that run is throttled: it might be evicted
        wherever it starts again, and the job would make no progress at all.
        """
        if self._eviction_pace <= 0 or not hosted.step.checkpointable:
            return False
        task = self.job_table.find_task(hosted.key.task)
        if task is None:
            return False
        leaving = {task.key, *(run.key.task for run in evicted)}
        return any(
            other.key not in leaving and self._runs.is_working(other)
            for other in task.entry.tasks()
        )

    def _apply(self, vm: Vm, action: PaceAction, now: float) -> None:
        hosted, pace = action.hosted, action.pace
        if not pace and hosted.step.checkpointable:
            # The run continues from its checkpoint elsewhere and frees its memory here.
            # A stop takes longer than a new pace, and the run would interfere until
            # then.
            self._dispatch.pending(vm.node).paces.append(Pace(hosted.key, 0))
            self._runs.stop(vm, hosted, now, f"it slows what serves here: {action.why}")
            return
        self._runs.record_event(Event.PACED, hosted.key, vm, f"{pace}: {action.why}")
        hosted.pace = pace
        hosted.pace_is_known = True
        vm.mark_changed(now)
        self._dispatch.pending(vm.node).paces.append(Pace(hosted.key, pace))

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
            self._runs.drop_all(vm, now, "its lease has surely lapsed")
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
            self._runs.drop_all(
                vm, now, "its agent knows no worker, and the lease lapsed"
            )

    def idle_vms_without_worker(self) -> list[Vm]:
        """Return the VMs without runs that have no worker or no connected agent.

        Ends of a worker that has fallen silent must have been stored.
        """
        return [
            vm
            for vm in self.vm_by_node.values()
            if not vm.hosted_by_run
            and not vm.has_worker
            and not (vm.is_connected and self._dispatch.has_unsettled_ends(vm.node))
        ]

    def take_logged_events(self) -> list[LoggedEvent]:
        """Return the events since the last call."""
        return self._runs.take_logged_events()

    def cancel(
        self, job: JobId, *, now: float, wall_now: float, why: str = ""
    ) -> JobEntry | None:
        """Cancel a job and stop its runs; return its entry if it is known.

        Parameters: `why` is for the log.
        """
        entry = self.job_table.cancel(job, wall_now=wall_now, why=why)
        if entry is not None and entry.state.final:
            self._runs.stop_tasks(entry.tasks(), now)
        return entry

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
        self._restore_held_ends(now, wall_now)
        self.run_times.refresh(self.job_table.open_by_id.values())
        vms = self.vm_by_node.values()
        self._placement.run(
            vms, self.zones_out, now=now, wall_now=wall_now, may_continue=may_continue
        )
        self.long_waits.search(vms, self.zones_out, now=now)
        return not self._placement.cut_short

    def _restore_held_ends(self, now: float, wall_now: float) -> None:
        for held in self.job_table.held_ends_by_id.values():
            entry = self.job_table.open_by_id.get(held.job)
            if entry is not None:
                self.job_table.restore_ends(held, now=now, wall_now=wall_now)
                if entry.state.final:
                    self._runs.stop_tasks(entry.tasks(), now)

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
        self._runs.host(vm, hosted)
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
        return self._dispatch.orders(
            self.vm_by_node,
            partial(self._withdraw, now=now, why="it was to stop before it was sent"),
            self._may_acknowledge,
            now=now,
        )

    def _withdraw(self, vm: Vm, run: RunKey, *, now: float, why: str) -> None:
        """Free the room of a run whose start was not sent; its task waits again."""
        self._runs.record_event(Event.WITHDRAWN, run, vm, why)
        self._runs.drop(vm, run)
        self._runs.requeue(run, now)

    def _may_acknowledge(self, end: ReceivedEnd) -> bool:
        """Return whether no start of a finished task can still be carried out.

        A worker carries out late a start that it has not answered. Until every other
        run of the task is settled, the end stays listed, so that a next leader learns
        of it with the starts that are in doubt.
        """
        is_held = isinstance(end.entry, HeldEnds)
        is_finished = is_held or self.job_table.is_finished(end.run)
        if end.how not in FINISHING_ENDS or not is_finished:
            return True
        is_waiting = is_held or (
            isinstance(end.entry, JobEntry) and not end.entry.may_start_tasks
        )
        if self.unreported_agents and is_waiting:
            ended = self.job_table.tasks_ending_with(end.run.task)
            if not all(map(self.job_table.is_accounted_for, ended)):
                return False
        return not self._runs.has_other_run(end.run)

    def overdue_occurrences(self) -> int:
        """Return how many due occurrences wait for earlier ones of their jobs."""
        return sum(
            overdue_occurrences(entry, self._wall_now)
            for entry in self.job_table.open_by_id.values()
        )

    @property
    def holds_starts(self) -> bool:
        """Whether the rate limit holds back some starts."""
        return self._dispatch.holds_starts
