"""Placement rounds: which waiting steps get room now, and on which VMs.

The `Scheduler` runs a round after reports and changes. A step that found no room is
searched for again only on VMs that have changed since: it still does not fit on others.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from itertools import chain
from typing import NamedTuple

from wagtailcleat.ids import Epoch, JobId, NodeId, ServiceName, ZoneName
from wagtailcleat.scheduling.advice import Advice
from wagtailcleat.scheduling.delay_scheduling import DelayScheduling
from wagtailcleat.scheduling.job_entry import JobEntry, StepKey, Task, TaskState
from wagtailcleat.scheduling.job_table import JobTable
from wagtailcleat.scheduling.placement import (
    Candidates,
    ScoringKey,
    choose,
    choose_gang_vms,
    scoring_key,
)
from wagtailcleat.scheduling.pool_shares import PoolShares
from wagtailcleat.scheduling.ranking import lateness, rank, slack_seconds
from wagtailcleat.scheduling.sharing import STARVED_ADDED, Sharing
from wagtailcleat.scheduling.vms import Vm

RUNS_PER_EPOCH = 2**20
"""Run numbers reserved for each leader.

A worker refuses a run below the last one that it has ended, so the numbers of a task
must rise over changes of leader. With the pauses of `restart_backoff` one leader starts
a task this often in 48 days; numbers stay exact in JSON for 2**33 leaders.
"""
STARVED_SECONDS = 1.3
"""How long a filling job without a run waits before it counts as starved.

The users expect each job to have a task running within 3 s while there is room.
"""
MAX_COMMITTED_SHARE = 0.6
"""Committed share of a pool's cores from which no job counts as starved.

A pool that is more than this committed is full, and waiting is the right behaviour.
"""
MAX_STARTS_PER_ROUND = 400
"""Limits the number of orders that are sent together."""

StartRun = Callable[[Vm, Task, int, float], None]
"""Called to start a run: its VM, task, run number and the present time."""


class _Search(NamedTuple):
    """A search for room for a step; `starved` as in `placement.fits`."""

    job: JobId
    step: StepKey
    starved: bool


class PlacementRounds:
    """Runs placement rounds and remembers which searches found no room."""

    def __init__(
        self,
        epoch: Epoch,
        job_table: JobTable,
        sharing: Sharing,
        advice: Advice,
        delay_scheduling: DelayScheduling,
        start: StartRun,
    ) -> None:
        """Place tasks of `job_table`; `start` is called for each run to start."""
        self._epoch = epoch
        self._job_table = job_table
        self._sharing = sharing
        self._advice = advice
        self._delay_scheduling = delay_scheduling
        self._start = start
        self.cut_short = False
        """Whether the last round ended before all waiting steps were considered."""
        self._round = 0
        self._wall_now = 0.0
        self._zones_out: frozenset[ZoneName] = frozenset()
        self._seen_by_node: dict[NodeId, tuple[int, bool]] = {}
        """Version of each VM in the last round, and whether work could start there."""
        self._changed_round_by_node: dict[NodeId, int] = {}
        """The round in which each VM was last found to have changed."""
        self._failed_round_by_search: dict[_Search, int] = {}
        """The round in which each search last found no room."""
        self._pool_by_service: dict[ServiceName, list[Vm]] = {}
        """The usable VMs of each service."""
        self._pool_shares = PoolShares({})
        self._changed_by_service: dict[ServiceName, list[Vm]] = {}
        """The VMs of each pool that have changed since the last round."""
        self._vm_by_node: dict[NodeId, Vm] = {}

    def __repr__(self) -> str:
        """Show the round and the number of searches that found no room."""
        return (
            f"<PlacementRounds round {self._round}: "
            f"{len(self._failed_round_by_search)} searches>"
        )

    def run(
        self,
        vms: Iterable[Vm],
        zones_out: frozenset[ZoneName],
        *,
        now: float,
        wall_now: float,
        may_continue: Callable[[], bool] = lambda: True,
    ) -> int:
        """Start waiting tasks as far as there is room; return the number of starts.

        Parameters: `may_continue` is called between two steps and returns whether the
        round may continue. If not, the other steps are left to the next round, and
        `cut_short` is set.
        """
        self._round += 1
        self._wall_now = wall_now
        self._update_pools(vms, zones_out, now)
        usable = chain.from_iterable(self._pool_by_service.values())
        self._delay_scheduling.begin_round(usable)
        started = 0
        self.cut_short = False
        for entry, step in self._ranked_steps(now, wall_now):
            if started >= MAX_STARTS_PER_ROUND or (started and not may_continue()):
                self.cut_short = True
                break
            most = MAX_STARTS_PER_ROUND - started
            started += self._place_step(entry, step, now, most)
        return started

    def _update_pools(
        self, vms: Iterable[Vm], zones_out: frozenset[ZoneName], now: float
    ) -> None:
        """Group the usable VMs into pools and record which VMs have changed."""
        all_changed = zones_out != self._zones_out
        self._zones_out = zones_out
        self._pool_by_service = {}
        self._changed_by_service = {}
        self._vm_by_node = {}
        seen_by_node = {}
        for vm in vms:
            self._vm_by_node[vm.node] = vm
            usable = (
                vm.is_usable
                and vm.zone not in zones_out
                and vm.closed_until <= now < vm.may_act_until
            )
            seen = vm.version, usable and not vm.is_quarantined(now)
            seen_by_node[vm.node] = seen
            changed = all_changed or seen != self._seen_by_node.get(vm.node)
            if changed:
                self._changed_round_by_node[vm.node] = self._round
            if usable and vm.service is not None:
                self._pool_by_service.setdefault(vm.service, []).append(vm)
                if changed:
                    self._changed_by_service.setdefault(vm.service, []).append(vm)
        self._pool_shares = PoolShares(self._pool_by_service)
        for node in self._seen_by_node.keys() - seen_by_node.keys():
            del self._changed_round_by_node[node]
        self._seen_by_node = seen_by_node

    def _candidates(self, search: _Search, service: ServiceName) -> list[Vm]:
        """Return the VMs that may have room although an earlier search found none."""
        failed_round = self._failed_round_by_search.get(search)
        if failed_round is None or self._depends_on_time(search):
            return self._pool_by_service.get(service, [])
        if failed_round == self._round - 1:
            return self._changed_by_service.get(service, [])
        pool = self._pool_by_service.get(service, [])
        changed = self._changed_round_by_node
        return [vm for vm in pool if changed[vm.node] > failed_round]

    def _depends_on_time(self, search: _Search) -> bool:
        """Return whether a search may succeed on VMs that have not changed.

        Tickets are granted and expire, and a wait for a rack ends.
        """
        is_advised = self._job_table.entry_by_id[search.job].job.advised
        waited = self._delay_scheduling.has_waited(search.job, search.step)
        return is_advised or waited

    def _ranked_steps(
        self, now: float, wall_now: float
    ) -> list[tuple[JobEntry, StepKey]]:
        """Return the waiting steps that may find room now, the highest-ranked first."""
        ranked = []
        known, self._failed_round_by_search = self._failed_round_by_search, {}
        for entry in list(self._job_table.open_by_id.values()):
            if (
                entry.may_start_tasks
                and entry.occurrences_begun < entry.job.occurrences
            ):
                self._job_table.begin_due(entry, now=now, wall_now=wall_now)
            for step, count in entry.waiting_by_step.items():
                if not count or not self._job_table.is_ready(entry, step):
                    continue
                tasks = entry.tasks_by_step[step]
                if not any(map(entry.may_start, tasks)):
                    continue
                # Only searches of waiting steps are kept: while a step runs, room may
                # become free and be taken again.
                for starved in (False, True):
                    search = _Search(entry.job.id, step, starved)
                    if search in known:
                        self._failed_round_by_search[search] = known[search]
                if self._may_find_room(entry, step):
                    ranked.append((rank(entry, step, wall_now), entry, step))
        ranked.sort(key=lambda row: row[0])
        return [(entry, step) for _, entry, step in ranked]

    def _may_find_room(self, entry: JobEntry, step: StepKey) -> bool:
        search = _Search(entry.job.id, step, starved=False)
        if self._candidates(search, entry.job.service):
            return True
        self._failed_round_by_search[search] = self._round
        return entry.job.steps[step[1]].fills and not entry.placed_tasks

    def _next_run(self, task: Task) -> int:
        floor = (self._epoch - 1) * RUNS_PER_EPOCH
        return max(task.highest_run, floor) + 1

    def _place_step(self, entry: JobEntry, step: StepKey, now: float, most: int) -> int:
        """Start tasks of a step, up to `most` or a whole gang; return their number."""
        tasks = entry.tasks_by_step[step]
        waiting = [
            task
            for task in tasks
            if task.state is TaskState.WAITING
            and task.not_before <= now
            and entry.may_start(task)
        ]
        if not waiting:
            return 0
        search = _Search(entry.job.id, step, starved=False)
        vms = self._candidates(search, entry.job.service)
        if waiting[0].step.gang:
            started = self._place_gang(tasks, waiting, now) if vms else 0
        else:
            started = self._place_tasks(vms, tasks, waiting, now, most) if vms else 0
        if most <= started < len(waiting):
            self.cut_short = True
        elif started < len(waiting):
            self._failed_round_by_search[search] = self._round
            if not started and self._is_starved(waiting[0], now):
                started = self._start_starved(tasks, waiting[0], step, now)
        return started

    def _place_tasks(
        self,
        vms: list[Vm],
        tasks: list[Task],
        waiting: list[Task],
        now: float,
        most: int,
    ) -> int:
        racks = self._count_racks(tasks)
        candidates_by_key: dict[ScoringKey, Candidates] = {}
        for started, task in enumerate(waiting[:most]):
            key = scoring_key(task, racks)
            if key not in candidates_by_key:
                candidates_by_key[key] = self._score_candidates(vms, task, racks, now)
            vm = candidates_by_key[key].best()
            if vm is None or self._waits(vm, task, len(waiting) - started):
                return started
            self._start(vm, task, self._next_run(task), now)
            racks[vm.rack] += 1
            for candidates in candidates_by_key.values():
                candidates.rescore(vm)
        return min(most, len(waiting))

    def _waits(self, vm: Vm, task: Task, left: int) -> bool:
        """Return whether a step waits although `vm` has room for its next task.

        Parameters: `left` is the number of its tasks that are not placed.
        """
        occurrence = task.key.occurrence
        slack = slack_seconds(task.entry, occurrence, self._wall_now)
        step = (occurrence, task.key.step)
        return self._delay_scheduling.waits(task.entry, step, vm, left, slack)

    def _score_candidates(
        self, vms: list[Vm], task: Task, racks: Counter[str], now: float
    ) -> Candidates:
        """Score the VMs for a task and others with the same scoring key."""
        step = task.step
        late = lateness(task.entry, task.key.occurrence, self._wall_now)

        def admits(vm: Vm) -> bool:
            if not self._may_start(vm, task, now):
                return False
            return not step.fills or self._sharing.admits(vm, step, now, late)

        return Candidates(
            vms,
            task,
            now=now,
            racks=racks,
            is_allowed=admits,
            interference=lambda vm: self._sharing.max_added(vm, step),
        )

    def _may_start(self, vm: Vm, task: Task, now: float) -> bool:
        """Return whether a task may start on a VM, apart from room."""
        if vm.is_quarantined(now) and self._pool_shares.allows_quarantine(task, now):
            return False
        return self._is_permitted(vm, task, now)

    def _is_permitted(self, vm: Vm, task: Task, now: float) -> bool:
        """Return whether a task needs no ticket for a VM, or has a valid one."""
        job = task.entry.job
        step = (task.key.occurrence, task.key.step)
        return not job.advised or bool(self._advice.ticket(job.id, step, vm, now))

    def _is_starved(self, task: Task, now: float) -> bool:
        """Return whether a filling job has no run although the pool is not full."""
        if not task.step.fills or now - task.ready_at < STARVED_SECONDS:
            return False
        if task.entry.placed_tasks:
            return False
        committed = self._pool_shares.committed(task.entry.job.service)
        return committed < MAX_COMMITTED_SHARE

    def _start_starved(
        self, tasks: list[Task], task: Task, step: StepKey, now: float
    ) -> int:
        """Start one task of a starved job even if few cores are idle; return 1 or 0.

        VMs without serving tasks are preferred.
        """
        search = _Search(task.entry.job.id, step, starved=True)
        vms = self._candidates(search, task.entry.job.service)
        racks = self._count_racks(tasks)
        vms = [vm for vm in vms if self._may_start(vm, task, now)]
        for allowed in (
            lambda vm: not vm.serving_runs,
            lambda vm: self._stays_within(vm, task),
        ):
            vm = choose(
                vms, task, now=now, racks=racks, is_allowed=allowed, starved=True
            )
            if vm is not None:
                self._start(vm, task, self._next_run(task), now)
                return 1
        self._failed_round_by_search[search] = self._round
        return 0

    def _stays_within(self, vm: Vm, task: Task) -> bool:
        return self._sharing.stays_within(vm, task.step, STARVED_ADDED)

    def _place_gang(self, tasks: list[Task], waiting: list[Task], now: float) -> int:
        # All members of a gang start at once or none, and share one run number.
        if len(waiting) < len(tasks):
            return 0
        run = max(self._next_run(task) for task in tasks)
        checkpoint = max((task.checkpoint for task in tasks), default="")
        chosen = choose_gang_vms(
            self._pool_by_service.get(tasks[0].entry.job.service, []),
            tasks,
            run=run,
            now=now,
            is_allowed=lambda vm: self._may_start(vm, tasks[0], now),
        )
        if len(chosen) < len(tasks):
            return 0
        for task, vm in zip(tasks, chosen, strict=True):
            task.checkpoint = checkpoint
            self._start(vm, task, run, now)
        return len(tasks)

    def _count_racks(self, tasks: list[Task]) -> Counter[str]:
        """Return the number of running tasks of one step by rack."""
        racks: Counter[str] = Counter()
        for task in tasks:
            vm = self._vm_by_node.get(task.node) if task.node is not None else None
            if vm is not None:
                racks[vm.rack] += 1
        return racks
