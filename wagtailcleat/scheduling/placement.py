"""Which VM a task starts on.

Three kinds of tasks share the VMs. Serving tasks owe their own users a tail latency
and are slowed by tasks that fill beside them; tasks that fill take processor time
that is left over; all others mind nobody. So serving tasks stand together on as few
VMs as hold them, and filling tasks go where they interfere least with those that
serve. The others go where most is left over.
"""

import heapq
from collections import Counter
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from wagtailcleat.ids import NodeId
from wagtailcleat.scheduling.book import Task
from wagtailcleat.scheduling.models import Step
from wagtailcleat.scheduling.vms import Vm, room_of

FILL_SHARE = 0.9
"""Share of a filling task's cores that must be left over for it to start.

Below that it would hold its checkpoint and memory at a crawl while the other VMs may
have room a moment later.
"""

INTERFERENCE_DIGITS = 2
"""Differences in interference below a hundredth are left to the room."""

Score = tuple[float, ...]


def labelled(vm: Vm, step: Step) -> bool:
    """Tell whether a VM has the label that a step asks for, if any."""
    if not step.required_label:
        return True
    return vm.worker is not None and step.required_label in vm.worker.labels


def fits(vm: Vm, step: Step, *, starved: bool = False) -> bool:
    """Tell whether a VM has room for one more task of a step.

    Parameters: `starved` lets a filling task in where it must share what is left.
    """
    if not vm.has_room(room_of(step)):
        return False
    if starved or not step.fills:
        return True
    return vm.spare_cores >= FILL_SHARE * step.size.cores


def _far(vm: Vm, step: Step, racks: Counter[str]) -> int:
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
    avoided = int(vm.avoided(now)) + int(vm.node in task.failed_on)
    cold = vm.worker.cold_seconds if vm.worker else 0.0
    base = (avoided, _far(vm, step, racks), cold)
    if step.target_seconds:
        return (*base, int(vm.serving == 0), vm.filling_cores, vm.free.cores)
    if step.fills:
        return (*base, round(interference(vm), INTERFERENCE_DIGITS), -vm.spare_cores)
    return (*base, -vm.spare_cores)


def count_on_vm(vm: Vm, task: Task) -> int:
    """Return how many tasks of the same occurrence and step a VM holds."""
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
    may_use: Callable[[Vm], bool] = lambda vm: True,
    interference: Callable[[Vm], float] = lambda vm: 0.0,
    starved: bool = False,
) -> Vm | None:
    """Return the best VM for a task now, or None where none has room.

    Parameters: `vms` may be given work of the job's service; `racks` counts the racks
    that tasks of the same step run on; `interference` returns what a task that fills
    would add to the utilization of a serving one on a VM.
    """
    best: Vm | None = None
    best_score: Score = ()
    for vm in vms:
        if not _may_hold(vm, task, may_use, starved=starved):
            continue
        score = _score(vm, task, now, racks, interference)
        if best is None or score < best_score:
            best, best_score = vm, score
    return best


def _may_hold(
    vm: Vm, task: Task, may_use: Callable[[Vm], bool], *, starved: bool = False
) -> bool:
    step = task.step
    if not fits(vm, step, starved=starved) or not labelled(vm, step):
        return False
    if not may_use(vm):
        return False
    return not step.max_per_vm or count_on_vm(vm, task) < step.max_per_vm


class Kind(NamedTuple):
    """What tells tasks of one step apart when VMs are scored for them."""

    failed_on: frozenset[NodeId]
    rack: str
    """Where most of the step's tasks run, if that counts."""


def kind_of(task: Task, racks: Counter[str]) -> Kind:
    """Return the kind of a task whose step's other tasks run on `racks`."""
    together = task.step.same_rack and racks
    rack = racks.most_common(1)[0][0] if together else ""
    return Kind(frozenset(task.failed_on), rack)


class Candidates:
    """The VMs that have room for tasks that are alike, the best one first.

    Chooses as `choose` does for one task after the other, if `changed` is called for
    each VM on which a task was started.
    """

    def __init__(
        self,
        vms: Collection[Vm],
        task: Task,
        *,
        now: float,
        racks: Counter[str],
        may_use: Callable[[Vm], bool] = lambda vm: True,
        interference: Callable[[Vm], float] = lambda vm: 0.0,
    ) -> None:
        """Score each VM for a task like `task`; see `choose`."""
        self._task = task
        self._now = now
        self._racks = racks
        self._may_use = may_use
        self._interference = interference
        self._heap: list[tuple[Score, int, int, Vm]] = []
        """Score, position in `vms`, and the version of the VM that was scored."""
        self._position_by_node = {vm.node: n for n, vm in enumerate(vms)}
        for vm in vms:
            self.changed(vm)

    def __repr__(self) -> str:
        """Show how many scores are kept."""
        return f"<Candidates: {len(self._heap)} scores>"

    def best(self) -> Vm | None:
        """Return the best VM for one more task, or None where none has room."""
        while self._heap:
            _, _, version, vm = self._heap[0]
            if vm.version == version:
                return vm
            heapq.heappop(self._heap)
        return None

    def changed(self, vm: Vm) -> None:
        """Score a VM anew: a task was started on it."""
        if _may_hold(vm, self._task, self._may_use):
            score = _score(vm, self._task, self._now, self._racks, self._interference)
            position = self._position_by_node[vm.node]
            heapq.heappush(self._heap, (score, position, vm.version, vm))
