"""One round of placing: which waiting steps get room now, and where.

A step that found no room is looked at again only on VMs that have changed since:
what did not fit on the others still does not.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

from wagtailcleat.ids import Epoch, JobId, NodeId, ServiceName, ZoneName
from wagtailcleat.scheduling.advice import Advice
from wagtailcleat.scheduling.book import Book, JobEntry, StepKey, Task, TaskState
from wagtailcleat.scheduling.models import RunKey
from wagtailcleat.scheduling.order import lateness, rank
from wagtailcleat.scheduling.placement import (
    Candidates,
    Kind,
    choose,
    kind_of,
    labelled,
)
from wagtailcleat.scheduling.sharing import STARVED_ADDED, Sharing
from wagtailcleat.scheduling.vms import Hosted, Vm

RUNS_PER_EPOCH = 1_000
"""Run numbers set aside for one leader: a task is started less often than that."""
STARVED_SECONDS = 1.3
"""How long a filling job waits without a turn before one of its tasks is admitted
even so.

The users expect each job to have something running within 3 s while there is room.
"""
FULL_SHARE = 0.6
"""Share of a pool's cores that may be committed for that; beyond, waiting is right."""
MOST_QUARANTINED = 0.25
"""Share of a pool up to which nothing starts on VMs that failed all of late.

Where more of them fail, it is likelier that the work fails wherever it runs, and
closing the VMs would keep sound work waiting.
"""
MAX_STARTS_PER_ROUND = 400
"""Bounds the orders that leave together."""

StartRun = Callable[[Vm, Task, int, float], None]
"""Starts a run with a number on a VM, at a time."""


class _Trial(NamedTuple):
    """A way in which a step was tried without finding room."""

    job: JobId
    step: StepKey
    starved: bool


class Placing:
    """What earlier rounds have found out, and the round that goes on."""

    def __init__(
        self,
        epoch: Epoch,
        book: Book,
        sharing: Sharing,
        advice: Advice,
        start: StartRun,
    ) -> None:
        """Place tasks of `book`; `start` is called for each run that is to start."""
        self._epoch = epoch
        self._book = book
        self._sharing = sharing
        self._advice = advice
        self._start = start
        self.cut_short = False
        """Whether the last round ended before it had looked at all that waits."""
        self._round = 0
        self._wall_now = 0.0
        self._zones_out: frozenset[ZoneName] = frozenset()
        self._seen_by_node: dict[NodeId, tuple[int, bool]] = {}
        """Version of each VM, and whether it was usable, as of the last round."""
        self._changed_by_node: dict[NodeId, int] = {}
        """The round in which each VM was last found changed."""
        self._tried_in: dict[_Trial, int] = {}
        """The round in which a step last found no room."""
        self._pool_by_service: dict[ServiceName, list[Vm]] = {}
        self._fresh_by_service: dict[ServiceName, list[Vm]] = {}
        """The VMs of the pools that have changed since the last round."""
        self._committed_by_service: dict[ServiceName, float] = {}
        self._vm_by_node: dict[NodeId, Vm] = {}
        self._quarantines: dict[tuple[ServiceName, str], bool] = {}
        """Whether VMs where all failed are left alone, by service and label."""

    def __repr__(self) -> str:
        """Show how much waits without room."""
        return f"<Placing round {self._round}: {len(self._tried_in)} trials>"

    def round(
        self,
        vms: Iterable[Vm],
        zones_out: frozenset[ZoneName],
        *,
        now: float,
        wall_now: float,
        in_time: Callable[[], bool] = lambda: True,
    ) -> int:
        """Start as much waiting work as has room; return how many starts.

        Parameters: `in_time` tells between two steps whether the round may go on. What
        is left then keeps its turn for the next round, and `cut_short` is set.
        """
        self._round += 1
        self._wall_now = wall_now
        self._look_at(vms, zones_out, now)
        started = 0
        self.cut_short = False
        for entry, step in self._ranked(now, wall_now):
            if started >= MAX_STARTS_PER_ROUND or (started and not in_time()):
                self.cut_short = True
                break
            started += self._place_step(entry, step, now)
        return started

    # ---- the VMs

    def _look_at(
        self, vms: Iterable[Vm], zones_out: frozenset[ZoneName], now: float
    ) -> None:
        """Sort the usable VMs into pools, and note which have changed."""
        everything = zones_out != self._zones_out
        self._zones_out = zones_out
        self._pool_by_service = {}
        self._fresh_by_service = {}
        self._committed_by_service = {}
        self._vm_by_node = {}
        self._quarantines = {}
        seen_by_node = {}
        for vm in vms:
            self._vm_by_node[vm.node] = vm
            usable = vm.usable and vm.zone not in zones_out and now >= vm.closed_until
            seen = vm.version, usable and not vm.quarantined(now)
            seen_by_node[vm.node] = seen
            changed = everything or seen != self._seen_by_node.get(vm.node)
            if changed:
                self._changed_by_node[vm.node] = self._round
            if usable and vm.service is not None:
                self._pool_by_service.setdefault(vm.service, []).append(vm)
                if changed:
                    self._fresh_by_service.setdefault(vm.service, []).append(vm)
        for node in self._seen_by_node.keys() - seen_by_node.keys():
            del self._changed_by_node[node]
        self._seen_by_node = seen_by_node

    def _candidates(self, trial: _Trial, service: ServiceName) -> list[Vm]:
        """Return the VMs that may have room although an earlier trial found none."""
        tried_in = self._tried_in.get(trial)
        if tried_in is None or self._book.entry_by_id[trial.job].job.advised:
            # Tickets come and lapse without a change of the VM.
            return self._pool_by_service.get(service, [])
        if tried_in == self._round - 1:
            return self._fresh_by_service.get(service, [])
        pool = self._pool_by_service.get(service, [])
        changed = self._changed_by_node
        return [vm for vm in pool if changed[vm.node] > tried_in]

    # ---- what waits

    def _ranked(self, now: float, wall_now: float) -> list[tuple[JobEntry, StepKey]]:
        """Return the steps that wait and may find room now, the first to go first."""
        ranked = []
        tried_in, self._tried_in = self._tried_in, {}
        for entry in list(self._book.open_by_id.values()):
            if not entry.settled:
                continue
            if entry.occurrences_begun < entry.job.occurrences:
                self._book.begin_due(entry, now=now, wall_now=wall_now)
            for step, count in entry.waiting_by_step.items():
                if not count or not self._book.ready(entry, step):
                    continue
                # Trials of what no longer waits are forgotten: room may come and go
                # while it runs.
                for starved in (False, True):
                    trial = _Trial(entry.job.id, step, starved)
                    if trial in tried_in:
                        self._tried_in[trial] = tried_in[trial]
                if self._worth_a_look(entry, step):
                    ranked.append((rank(entry, step, wall_now), entry, step))
        ranked.sort(key=lambda row: row[0])
        return [(entry, step) for _, entry, step in ranked]

    def _worth_a_look(self, entry: JobEntry, step: StepKey) -> bool:
        trial = _Trial(entry.job.id, step, starved=False)
        if self._candidates(trial, entry.job.service):
            return True
        self._tried_in[trial] = self._round
        return entry.job.steps[step[1]].fills and not entry.placed

    def _next_run(self, task: Task) -> int:
        floor = (self._epoch - 1) * RUNS_PER_EPOCH
        return max(task.highest_run, floor) + 1

    # ---- one step

    def _place_step(self, entry: JobEntry, step: StepKey, now: float) -> int:
        tasks = entry.tasks_by_step[step]
        waiting = [task for task in tasks if task.state is TaskState.WAITING]
        trial = _Trial(entry.job.id, step, starved=False)
        vms = self._candidates(trial, entry.job.service)
        if waiting[0].step.gang:
            started = self._place_gang(tasks, waiting, now) if vms else 0
        else:
            started = self._place_on(vms, tasks, waiting, now) if vms else 0
        if started < len(waiting):
            self._tried_in[trial] = self._round
            if not started and self._starved(waiting[0], now):
                started = self._admit_starved(tasks, waiting[0], step, now)
        return started

    def _place_on(
        self, vms: list[Vm], tasks: list[Task], waiting: list[Task], now: float
    ) -> int:
        racks = self._racks(tasks)
        candidates_by_kind: dict[Kind, Candidates] = {}
        for started, task in enumerate(waiting):
            kind = kind_of(task, racks)
            if kind not in candidates_by_kind:
                candidates_by_kind[kind] = self._scored(vms, task, racks, now)
            vm = candidates_by_kind[kind].best()
            if vm is None:
                return started
            self._start(vm, task, self._next_run(task), now)
            racks[vm.rack] += 1
            for candidates in candidates_by_kind.values():
                candidates.changed(vm)
        return len(waiting)

    def _scored(
        self, vms: list[Vm], task: Task, racks: Counter[str], now: float
    ) -> Candidates:
        """Score the VMs that may be given a task, and others of its kind."""
        step = task.step
        late = lateness(task.entry, task.key.occurrence, self._wall_now)

        def admits(vm: Vm) -> bool:
            if not self._open(vm, task, now):
                return False
            return not step.fills or self._sharing.admits(vm, step, now, late)

        return Candidates(
            vms,
            task,
            now=now,
            racks=racks,
            may_use=admits,
            interference=lambda vm: self._sharing.added(vm, step),
        )

    def _open(self, vm: Vm, task: Task, now: float) -> bool:
        """Tell whether a task may start on a VM, room aside."""
        if vm.quarantined(now) and self._quarantines_for(task, now):
            return False
        return self._granted(vm, task, now)

    def _quarantines_for(self, task: Task, now: float) -> bool:
        """Tell whether enough VMs are sound for a task to leave the others alone."""
        key = task.entry.job.service, task.step.required_label
        known = self._quarantines.get(key)
        if known is None:
            pool = self._pool_by_service.get(key[0], [])
            held = [vm for vm in pool if labelled(vm, task.step)]
            quarantined = sum(vm.quarantined(now) for vm in held)
            known = self._quarantines[key] = quarantined <= MOST_QUARANTINED * len(held)
        return known

    def _granted(self, vm: Vm, task: Task, now: float) -> bool:
        job = task.entry.job
        step = (task.key.occurrence, task.key.step)
        return not job.advised or bool(self._advice.ticket(job.id, step, vm, now))

    def _starved(self, task: Task, now: float) -> bool:
        """Tell whether a filling job has had no turn although the VMs are not full."""
        if not task.step.fills or now - task.ready_at < STARVED_SECONDS:
            return False
        if task.entry.placed:
            return False
        return self._committed_share(task.entry.job.service) < FULL_SHARE

    def _committed_share(self, service: ServiceName) -> float:
        known = self._committed_by_service.get(service)
        if known is None:
            pool = self._pool_by_service.get(service, [])
            held = sum(vm.capacity.cores for vm in pool)
            known = sum(vm.taken.cores for vm in pool) / held if held else 1.0
            self._committed_by_service[service] = known
        return known

    def _admit_starved(
        self, tasks: list[Task], task: Task, step: StepKey, now: float
    ) -> int:
        """Let one task of a starved job share what is left over, however little."""
        trial = _Trial(task.entry.job.id, step, starved=True)
        vms = self._candidates(trial, task.entry.job.service)
        racks = self._racks(tasks)
        vms = [vm for vm in vms if self._open(vm, task, now)]
        for calm in (lambda vm: not vm.serving, lambda vm: self._bears(vm, task)):
            vm = choose(vms, task, now=now, racks=racks, may_use=calm, starved=True)
            if vm is not None:
                self._start(vm, task, self._next_run(task), now)
                return 1
        self._tried_in[trial] = self._round
        return 0

    def _bears(self, vm: Vm, task: Task) -> bool:
        return self._sharing.bears(vm, task.step, STARVED_ADDED)

    def _place_gang(self, tasks: list[Task], waiting: list[Task], now: float) -> int:
        # Members of one run share its number, so all of them start at once or none.
        if len(waiting) < len(tasks):
            return 0
        run = max(self._next_run(task) for task in tasks)
        checkpoint = max((task.checkpoint for task in tasks), default="")
        chosen = self._gang_places(tasks, run, now)
        if len(chosen) < len(tasks):
            return 0
        for task, vm in zip(tasks, chosen, strict=True):
            task.checkpoint = checkpoint
            self._start(vm, task, run, now)
        return len(tasks)

    def _gang_places(self, tasks: list[Task], run: int, now: float) -> list[Vm]:
        """Return a VM for each member; fewer than there are members if room is short.

        Each member is counted on its VM while the next ones look, and is not after.
        """
        pool = self._pool_by_service.get(tasks[0].entry.job.service, [])
        racks: Counter[str] = Counter()
        chosen: list[tuple[Vm, RunKey]] = []
        for task in tasks:
            vm = choose(
                pool,
                task,
                now=now,
                racks=racks,
                may_use=lambda vm: self._open(vm, tasks[0], now),
            )
            if vm is None:
                break
            key = RunKey(task.key, run)
            vm.host_run(Hosted(key, task.step, now))
            chosen.append((vm, key))
            racks[vm.rack] += 1
        for vm, key in chosen:
            vm.drop_run(key)
        return [vm for vm, _ in chosen]

    def _racks(self, tasks: list[Task]) -> Counter[str]:
        """Count the racks that tasks of one step run on."""
        racks: Counter[str] = Counter()
        for task in tasks:
            vm = self._vm_by_node.get(task.node) if task.node is not None else None
            if vm is not None:
                racks[vm.rack] += 1
        return racks
