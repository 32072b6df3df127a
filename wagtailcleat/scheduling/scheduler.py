"""The leader's decisions: reports and jobs go in, orders to agents come out.

No network and no clock of its own. A run takes room on its VM from the moment its
start is ordered until its end is listed, its start is known never to have run, or
its lease has surely lapsed; only then may the task start elsewhere.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable

from wagtailcleat.ids import Epoch, JobId, NodeId, ZoneName
from wagtailcleat.scheduling.advice import Advice
from wagtailcleat.scheduling.book import Book, JobEntry, Task, TaskState
from wagtailcleat.scheduling.dispatch import Dispatch
from wagtailcleat.scheduling.models import (
    Ended,
    Pace,
    Refusal,
    RunEnd,
    RunKey,
    Start,
)
from wagtailcleat.scheduling.notes import Event, Note
from wagtailcleat.scheduling.order import due_seconds, lateness, slack_seconds
from wagtailcleat.scheduling.outgoing import Acknowledging
from wagtailcleat.scheduling.placing import Placing
from wagtailcleat.scheduling.reasons import Margin, StartReason
from wagtailcleat.scheduling.sharing import Measure, Sharing, shares
from wagtailcleat.scheduling.vms import Hosted, Vm
from wagtailcleat.wire.scheduling import Orders, Report

TURNED_AWAY = (Refusal.NOT_ALLOWED, Refusal.NO_ROOM, Refusal.LATE, Refusal.STALE)
"""Refusals that the next start there would meet as well."""
CLOSED_SECONDS = 0.5
"""How long a VM is passed over after such a refusal, nearly two reports.

Where leader and agent see it differently, as while a zone taken out is known to one of
them, each refusal would be followed by the next start at once.
"""
PROGRESS_SECONDS = 0.5
"""Shortest time over which progress is judged: percents are whole numbers."""


class Scheduler:
    """State and decisions of one leader."""

    def __init__(
        self,
        epoch: Epoch,
        *,
        lease_horizon: float,
        stop_again: float,
        start_bytes_per_second: float = math.inf,
    ) -> None:
        """Begin with no VM and no job.

        Parameters, in seconds: `lease_horizon` for how long runs may go on at an
        agent after its last report; `stop_again` after which a stop is repeated.
        `start_bytes_per_second` bounds the starts that leave.
        """
        self.epoch = epoch
        self.book = Book()
        self.sharing = Sharing()
        self.vm_by_node: dict[NodeId, Vm] = {}
        self.zones_out: frozenset[ZoneName] = frozenset()
        self.count_by_event: Counter[str] = Counter()
        self.notes: list[Note] = []
        """What happened since they were last taken out, for the log."""
        self.unheard: set[NodeId] = set()
        """Agents that may run tasks and have not reported to this leader yet."""
        self._horizon = lease_horizon
        self._stop_again = stop_again
        self._wall_now = 0.0
        self.advice = Advice()
        self._placing = Placing(
            epoch, self.book, self.sharing, self.advice, self._start
        )
        self._dispatch = Dispatch(epoch, start_bytes_per_second)

    # ---- agents

    def take_report(
        self, report: Report, session: int, *, now: float, wall_now: float
    ) -> None:
        """Take in all that an agent tells of its worker.

        Parameters: `session` numbers the connection the report came on.
        """
        vm = self._vm(report, session, now)
        if report.left:
            self._give_up(vm, now, "its worker has left")
            self._heard(vm.node)
        if report.worker is None or not report.listed:
            return
        vm.listed_at = now
        ends = self._dispatch.acknowledging(vm.node, report.worker.born)
        self._take_ends(vm, ends, report.ended, now, wall_now)
        self._take_refusals(vm, report, now)
        self._take_running(vm, ends, report, now)
        self._drop_absent(vm, report, now)
        self._heard(vm.node)
        self._share(vm, now)

    def _vm(self, report: Report, session: int, now: float) -> Vm:
        vm = self.vm_by_node.get(report.node)
        if vm is None:
            vm = Vm(report.node, report.host, report.port, report.zone, now)
            vm.listed_at = now
            # An agent passes over orders that are numbered below those it took.
            vm.orders_sent = report.orders_taken
            self.vm_by_node[report.node] = vm
        vm.host, vm.port, vm.zone = report.host, report.port, report.zone
        vm.worker = report.worker
        vm.listed = report.listed
        vm.present = True
        vm.heard_at = now
        vm.silent_seconds = report.silent_seconds
        vm.session = session
        vm.version += 1
        return vm

    def _heard(self, node: NodeId) -> None:
        if node not in self.unheard:
            return
        self.unheard.discard(node)
        self._settle_if_all_heard()

    def _settle_if_all_heard(self) -> None:
        if self.unheard:
            return
        for entry in self.book.entry_by_id.values():
            entry.settled = True

    def _take_ends(
        self,
        vm: Vm,
        ends: Acknowledging,
        listed: list[Ended],
        now: float,
        wall_now: float,
    ) -> None:
        for ended in listed:
            dropped = vm.drop_run(ended.key)
            if dropped is not None and shares(dropped.step):
                vm.altered(now)
            if ended.number <= ends.durable:
                # Its acknowledgement was lost, on its way or with the agent's process.
                self._dispatch.outgoing(vm.node).acknowledged = ends.durable
            if ended.number <= ends.taken:
                continue
            ends.taken = ended.number
            ends.ended.append(ended.key)
            self._note(Event.ENDED, ended.key, vm, ended.how.value)
            task = self.book.task(ended.key.task)
            others = task is not None and task.run != ended.key.run
            if task is not None and ended.key.run in task.failed_runs:
                # Old news says nothing of the VM now: a few would close it for seconds.
                self._note(Event.KNOWN, ended.key, vm, "an earlier leader stored it")
            else:
                self._judge(vm, ended, now)
            entry = self.book.ended(
                ended.key,
                ended.how,
                ended.checkpoint,
                node=vm.node,
                now=now,
                wall_now=wall_now,
            )
            if task is not None and others and task.state is TaskState.SUCCEEDED:
                self._stop_runs([task], now)
            if entry is not None and entry.state.final:
                self._stop_runs(entry.tasks(), now)
            ends.waiting.append((ended.number, entry, entry.version if entry else 0))

    def _judge(self, vm: Vm, ended: Ended, now: float) -> None:
        if ended.how is RunEnd.SUCCEEDED:
            vm.succeeded()
        elif ended.how is RunEnd.FAILED:
            vm.failed(now)

    def _take_refusals(self, vm: Vm, report: Report, now: float) -> None:
        for key, why in report.refused:
            hosted = vm.drop_run(key)
            if hosted is None:
                continue
            self._note(Event.NEVER_STARTED, key, vm, why.value)
            if why is Refusal.UNHEALTHY:
                vm.failed(now)
            elif why in TURNED_AWAY:
                vm.closed_until = now + CLOSED_SECONDS
            elif why is Refusal.TICKET:
                step = (key.task.occurrence, key.task.step)
                self.advice.withdraw(key.task.job, step, vm)
            self._free(key, now)

    def _take_running(
        self, vm: Vm, ends: Acknowledging, report: Report, now: float
    ) -> None:
        for running in report.running:
            hosted = self._host(vm, running.key, now)
            if hosted is None:
                self._dispatch.outgoing(vm.node).stops.append(running.key)
                continue
            if hosted.listed:
                seconds = now - hosted.progressed_at
                if seconds >= PROGRESS_SECONDS:
                    vm.progressed(
                        hosted.step, running.percent - hosted.percent, seconds, now
                    )
                    hosted.percent = running.percent
                    hosted.progressed_at = now
            else:
                hosted.percent = running.percent
                hosted.progressed_at = now
            hosted.listed = True
            hosted.figure = running.figure
            if hosted.stopping and now - hosted.stop_at >= self._stop_again:
                self._stop(vm, hosted, now, "still listed after a stop")
            task = self.book.task(running.key.task)
            if task is not None and task.run == running.key.run:
                self.book.saved(task, running.key.run, running.checkpoint)
        for key in report.unsettled:
            # An agent may report an end while it is still in doubt of the start. Were
            # the run taken on again, the end's next listing would drop it, and its task
            # would wait for a run that is over.
            if key not in ends.ended:
                self._host(vm, key, now)

    def _host(self, vm: Vm, key: RunKey, now: float) -> Hosted | None:
        hosted = vm.hosted_by_run.get(key)
        if hosted is not None:
            return hosted
        entry = self.book.entry_by_id.get(key.task.job)
        if entry is None or key.task.step >= len(entry.job.steps):
            return None
        # A run of a job that ended before this leader came takes room all the same,
        # until its end is listed; the job has no tasks in the book any more.
        hosted = Hosted(key, entry.job.steps[key.task.step], now)
        vm.host_run(hosted)
        self.book.shown(key, now=now)
        task = self.book.task(key.task)
        if task is None:
            self._stop(vm, hosted, now, "not wanted any more")
            return hosted
        stale = task.run > key.run and task.state is TaskState.PLACED
        if stale or not task.entry.open or task.state is TaskState.SUCCEEDED:
            self._stop(vm, hosted, now, "not wanted any more")
        else:
            self.book.placed(task, key.run, vm.node)
            self._note(Event.ADOPTED, key, vm, "listed by its worker")
        return hosted

    def _drop_absent(self, vm: Vm, report: Report, now: float) -> None:
        if not report.ends_whole:
            # A run that is not listed may have ended: its end had no place in the list.
            return
        shown = {running.key for running in report.running}
        shown.update(report.unsettled)
        for key, hosted in list(vm.hosted_by_run.items()):
            if key in shown:
                continue
            on_its_way = (
                hosted.session == vm.session and hosted.order > report.orders_taken
            )
            if hosted.sent and not on_its_way:
                self._note(Event.GONE, key, vm, "not listed any more")
                vm.drop_run(key)
                self._free(key, now)

    def _share(self, vm: Vm, now: float) -> None:
        self.sharing.observe(vm, now)
        for measure in self.sharing.measures(vm, now):
            self._measure(vm, measure, now)

    def _measure(self, vm: Vm, measure: Measure, now: float) -> None:
        hosted, pace = measure.hosted, measure.pace
        if not pace and hosted.step.checkpointable:
            # It goes on from its checkpoint elsewhere, instead of holding memory here.
            self._stop(vm, hosted, now, f"it slows what serves here: {measure.why}")
            return
        self._note(Event.PACED, hosted.key, vm, f"{pace}: {measure.why}")
        hosted.pace = pace
        vm.altered(now)
        self._dispatch.outgoing(vm.node).paces.append(Pace(hosted.key, pace))

    def _note(self, event: Event, run: RunKey, vm: Vm, why: str) -> None:
        self.notes.append(Note(event, run, vm.node, why))
        counted = f"{event.value}: {why}" if event is Event.ENDED else event.value
        self.count_by_event[counted] += 1

    def take_notes(self) -> list[Note]:
        """Return what happened since the last call."""
        notes, self.notes = self.notes, []
        return notes

    def _free(self, key: RunKey, now: float) -> None:
        task = self.book.task(key.task)
        if task is not None and task.run == key.run:
            self.book.free(task, now)

    def lost_touch(self, node: NodeId) -> None:
        """Note that the connection of an agent ended."""
        vm = self.vm_by_node.get(node)
        if vm is not None:
            vm.present = False

    def expire(self, *, now: float, predecessors_until: float) -> list[NodeId]:
        """Give up runs whose leases have surely lapsed; return the agents given up.

        Parameters: `predecessors_until` is the last moment at which an earlier leader
        may have answered an agent that this one has not heard of.
        """
        self.sharing.interference.forget_unreported(now)
        given_up = []
        for vm in list(self.vm_by_node.values()):
            if now - vm.heard_at < self._horizon:
                self._expire_unlisted(vm, now)
                continue
            self._give_up(vm, now, "its lease has surely lapsed")
            given_up.append(vm.node)
            del self.vm_by_node[vm.node]
            self.sharing.forget_vm(vm.node)
        if self.unheard and now - predecessors_until >= self._horizon:
            given_up += self.unheard
            self.unheard.clear()
            self._settle_if_all_heard()
        return given_up

    def _expire_unlisted(self, vm: Vm, now: float) -> None:
        # An agent that was started again renews nothing before its worker has told it
        # what runs; a worker that died meanwhile never does.
        if vm.hosted_by_run and now - vm.listed_at >= self._horizon:
            self._give_up(vm, now, "its agent knows no worker, and the lease lapsed")

    def _give_up(self, vm: Vm, now: float, why: str) -> None:
        for key in list(vm.hosted_by_run):
            self._note(Event.GONE, key, vm, why)
            vm.drop_run(key)
            self._free(key, now)

    def idle_absent(self) -> list[Vm]:
        """Return the VMs whose agent is out of touch and that surely run nothing."""
        return [
            vm
            for vm in self.vm_by_node.values()
            if not vm.hosted_by_run and (vm.worker is None or not vm.present)
        ]

    # ---- jobs

    def cancel(self, job: JobId, *, now: float, wall_now: float) -> JobEntry | None:
        """Cancel a job and order its runs to stop."""
        entry = self.book.cancel(job, wall_now=wall_now)
        if entry is not None and entry.state.final:
            self._stop_runs(entry.tasks(), now)
        return entry

    def _stop_runs(self, tasks: Iterable[Task], now: float) -> None:
        wanted = {task.key for task in tasks}
        for vm in self.vm_by_node.values():
            for hosted in vm.hosted_by_run.values():
                if hosted.key.task in wanted and not hosted.stopping:
                    self._stop(vm, hosted, now, "its job or task has ended")

    def _stop(self, vm: Vm, hosted: Hosted, now: float, why: str = "") -> None:
        self._note(Event.STOPPED, hosted.key, vm, why)
        hosted.stopping = True
        hosted.stop_at = now
        vm.altered(now)
        self._dispatch.outgoing(vm.node).stops.append(hosted.key)

    # ---- decisions

    def place(
        self,
        *,
        now: float,
        wall_now: float,
        in_time: Callable[[], bool] = lambda: True,
    ) -> bool:
        """Start as much waiting work as has room; tell whether all was looked at.

        Parameters: `in_time` tells between two steps whether to go on.
        """
        self._wall_now = wall_now
        vms = self.vm_by_node.values()
        self._placing.round(
            vms, self.zones_out, now=now, wall_now=wall_now, in_time=in_time
        )
        return not self._placing.cut_short

    def _start(self, vm: Vm, task: Task, run: int, now: float) -> None:
        self.book.placed(task, run, vm.node)
        hosted = Hosted(
            task.run_key,
            task.step,
            now,
            sent=False,
            progressed_at=now,
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
        if shares(task.step):
            vm.altered(now)
        if task.step.fills:
            self.sharing.admitted(vm, task.step, now)
        spec = task.entry.job.spec
        self.count_by_event["Starts"] += 1
        step = (task.key.occurrence, task.key.step)
        ticket = self.advice.ticket(task.key.job, step, vm, now)
        start = Start(task.run_key, spec, task.checkpoint, ticket)
        self._dispatch.outgoing(vm.node).starts.append(start)

    # ---- what goes out

    def committed(self, entry: JobEntry, version: int) -> None:
        """Note that a job's progress up to `version` is in the store."""
        entry.committed = max(entry.committed, version)

    def orders(self, *, now: float) -> list[tuple[Vm, Orders]]:
        """Return what each agent in touch is to be told now, and count it as sent.

        Starts beyond what the link bears stay for a later call; `holds_starts` tells.
        """

        def withdraw(vm: Vm, run: RunKey) -> None:
            vm.drop_run(run)
            self._free(run, now)

        return self._dispatch.orders(self.vm_by_node, withdraw, now=now)

    @property
    def holds_starts(self) -> bool:
        """Whether starts wait for the link to bear them."""
        return self._dispatch.holds_starts
