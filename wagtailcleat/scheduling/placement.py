"""Choice of the VM on which a task starts, for the placement rounds.

Three kinds of tasks share the VMs. Serving tasks (latency-critical) have a tail latency
target and are slowed by filling tasks beside them. Filling tasks (best-effort) use
processor time that is idle. All others neither interfere nor are interfered with.
Serving tasks are therefore packed on as few VMs as possible, filling tasks are placed
where they interfere least with serving tasks, and the others where most cores are idle.
"""

import heapq
from collections import Counter
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from wagtailcleat.ids import NodeId
from wagtailcleat.scheduling.job_entry import Task
from wagtailcleat.scheduling.models import RunKey, Step
from wagtailcleat.scheduling.vms import HostedRun, Vm, committed_resources

MIN_SPARE_SHARE = 0.9
"""Share of a filling task's cores that must be idle for the task to start.

With less it would make little progress, yet occupy memory and hold on to its
checkpoint, while another VM may have room a moment later.
"""

INTERFERENCE_ROUNDING_DIGITS = 2
"""VMs whose interference differs by less than a hundredth are ranked by idle cores."""

Score = tuple[float, ...]
"""The VM with the smallest score is chosen."""


def has_required_label(vm: Vm, step: Step) -> bool:
    """Return whether a VM has the label that a step requires, if any."""
    if not step.required_label:
        return True
    return vm.worker is not None and step.required_label in vm.worker.labels


def fits(vm: Vm, step: Step, *, starved: bool = False) -> bool:
    """Return whether a VM has room for one more task of a step.

    Parameters: `starved` admits a filling task even if too few cores are idle.
    """
    if not vm.has_room(committed_resources(step)):
        return False
    if starved or not step.fills:
        return True
    return vm.spare_cores >= MIN_SPARE_SHARE * step.size.cores


def _locality_penalty(vm: Vm, step: Step, racks: Counter[str]) -> int:
    if step.affinity_rack:
        return int(vm.rack != step.affinity_rack)
    if step.same_rack and racks:
        return int(vm.rack != racks.most_common(1)[0][0])
    return 0


def _score(
    vm: Vm,
    task: Task,
    now: float,
    racks: Counter[str],
    interference: Callable[[Vm], float],
) -> Score:
    step = task.step
    avoided = int(vm.is_avoided(now)) + int(vm.node in task.failed_on)
    cold = vm.worker.cold_seconds if vm.worker else 0.0
    base = (avoided, _locality_penalty(vm, step, racks), cold)
    if step.target_seconds:
        return (*base, int(vm.serving_runs == 0), vm.filling_cores, vm.free.cores)
    if step.fills:
        return (
            *base,
            round(interference(vm), INTERFERENCE_ROUNDING_DIGITS),
            -vm.spare_cores,
        )
    return (*base, -vm.spare_cores)


def count_on_vm(vm: Vm, task: Task) -> int:
    """Return how many tasks of the same occurrence and step run on a VM."""
    key = task.key
    return sum(
        1
        for run in vm.hosted_by_run
        if run.task[:3] == (key.job, key.occurrence, key.step)
    )


def choose(
    vms: Iterable[Vm],
    task: Task,
    *,
    now: float,
    racks: Counter[str],
    is_allowed: Callable[[Vm], bool] = lambda vm: True,
    interference: Callable[[Vm], float] = lambda vm: 0.0,
    starved: bool = False,
) -> Vm | None:
    """Return the best VM for a task, or None if no VM has room.

    Parameters: `vms` are the usable VMs of the job's service; `racks` counts the tasks
    of the same step by rack; `is_allowed` returns whether the task may start on a VM,
    apart from room; `interference` returns the utilization that a filling task would
    add to a serving one on a VM; for `starved` see `fits`.
    """
    best: Vm | None = None
    best_score: Score = ()
    for vm in vms:
        if not _is_eligible(vm, task, is_allowed, starved=starved):
            continue
        score = _score(vm, task, now, racks, interference)
        if best is None or score < best_score:
            best, best_score = vm, score
    return best


def _is_eligible(
    vm: Vm, task: Task, is_allowed: Callable[[Vm], bool], *, starved: bool = False
) -> bool:
    step = task.step
    if not fits(vm, step, starved=starved) or not has_required_label(vm, step):
        return False
    if not is_allowed(vm):
        return False
    return not step.max_per_vm or count_on_vm(vm, task) < step.max_per_vm


class ScoringKey(NamedTuple):
    """What distinguishes tasks of one step when VMs are scored for them."""

    failed_on: frozenset[NodeId]
    """Nodes on which runs of the task failed."""
    rack: str
    """The rack that runs most of the step's tasks, if the step prefers one rack."""


def scoring_key(task: Task, racks: Counter[str]) -> ScoringKey:
    """Return the scoring key of a task whose step's other tasks run on `racks`."""
    together = task.step.same_rack and racks
    rack = racks.most_common(1)[0][0] if together else ""
    return ScoringKey(frozenset(task.failed_on), rack)


class Candidates:
    """The VMs with room for tasks of one scoring key, in a heap by score.

    Gives the same results as `choose` for one task after the other, if `rescore` is
    called for each VM on which a task was started.
    """

    def __init__(
        self,
        vms: Collection[Vm],
        task: Task,
        *,
        now: float,
        racks: Counter[str],
        is_allowed: Callable[[Vm], bool] = lambda vm: True,
        interference: Callable[[Vm], float] = lambda vm: 0.0,
    ) -> None:
        """Score each VM for a task like `task`; see `choose`."""
        self._task = task
        self._now = now
        self._racks = racks
        self._is_allowed = is_allowed
        self._interference = interference
        self._heap: list[tuple[Score, int, int, Vm]] = []
        """Score, position in `vms` to break ties, and the VM's version when scored.

        Entries with an old version are stale.
        """
        self._position_by_node = {vm.node: n for n, vm in enumerate(vms)}
        for vm in vms:
            self.rescore(vm)

    def __repr__(self) -> str:
        """Show the number of scores in the heap."""
        return f"<Candidates: {len(self._heap)} scores>"

    def best(self) -> Vm | None:
        """Return the best VM for one more task, or None if no VM has room."""
        while self._heap:
            _, _, version, vm = self._heap[0]
            if vm.version == version:
                return vm
            heapq.heappop(self._heap)
        return None

    def rescore(self, vm: Vm) -> None:
        """Score a VM again, because a task was started on it."""
        if _is_eligible(vm, self._task, self._is_allowed):
            score = _score(vm, self._task, self._now, self._racks, self._interference)
            position = self._position_by_node[vm.node]
            heapq.heappush(self._heap, (score, position, vm.version, vm))


def choose_gang_vms(
    pool: list[Vm],
    tasks: list[Task],
    *,
    run: int,
    now: float,
    is_allowed: Callable[[Vm], bool],
) -> list[Vm]:
    """Return a VM for each member of a gang, or fewer VMs if there is too little room.

    Each member is added to its VM while VMs for the next ones are searched, and is
    removed again at the end.
    """
    racks: Counter[str] = Counter()
    chosen: list[tuple[Vm, RunKey]] = []
    candidates_by_key: dict[ScoringKey, Candidates] = {}
    for task in tasks:
        alike = scoring_key(task, racks)
        if alike not in candidates_by_key:
            candidates_by_key[alike] = Candidates(
                pool, task, now=now, racks=racks, is_allowed=is_allowed
            )
        vm = candidates_by_key[alike].best()
        if vm is None:
            break
        key = RunKey(task.key, run)
        vm.host_run(HostedRun(key, task.step, now))
        chosen.append((vm, key))
        racks[vm.rack] += 1
        for candidates in candidates_by_key.values():
            candidates.rescore(vm)
    for vm, key in chosen:
        vm.drop_run(key)
    return [vm for vm, _ in chosen]
