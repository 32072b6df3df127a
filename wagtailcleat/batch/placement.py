"""Choice of the agents that the placer asks to run an attempt, best first."""

import random
from dataclasses import dataclass

from wagtailcleat.batch.record import TaskRecord
from wagtailcleat.configuration.models import Configuration, placed, zone_is_out
from wagtailcleat.ids import NodeId, VmName
from wagtailcleat.membership.view import View
from wagtailcleat.resources import Resources
from wagtailcleat.wire.jobs import JobSpec
from wagtailcleat.wire.membership import Member, MemberState

SAMPLE_SIZE = 8
FREE_HINT_TTL_SECONDS = 10.0
UNKNOWN_FREE_SHARE = 0.5


@dataclass(frozen=True)
class Candidate:
    """An agent that may run an attempt, and what it last reported as free."""

    member: Member
    free: Resources


def usable_agents(
    view: View, configuration: Configuration, zones_out: list[str]
) -> list[Member]:
    """Return the agents that may run new tasks.

    Parameters: `zones_out` are the zones out as the journal read them from the
    store. They may be newer than the configuration in force here, and commits are
    checked against them.
    """
    vms = {vm.name for vm in configuration.inventory.vms}
    return [
        member
        for member in view.agents()
        if member.state is MemberState.ALIVE
        and member.vm in vms
        and member.zone not in zones_out
        and not zone_is_out(configuration, member.zone)
    ]


def sample_candidates(
    agents: list[Member],
    task: TaskRecord,
    size: Resources,
    *,
    view: View,
    rng: random.Random,
    now: float,
) -> list[Candidate]:
    """Return a random sample of agents that may have room for a task.

    VMs on which the task failed are left out unless it failed on all of them. An
    agent without a recent report of what is free may have room.
    """
    eligible = _not_failed_on(agents, task)
    found = []
    for member in rng.sample(eligible, len(eligible)):
        free = _recent_free(view, member.node, now)
        if free is None or size.fits(free):
            found.append(Candidate(member, free or Resources()))
        if len(found) >= SAMPLE_SIZE:
            break
    return found


def sample_any(
    agents: list[Member], task: TaskRecord, *, rng: random.Random
) -> list[Candidate]:
    """Return a random sample of agents, whatever they reported as free."""
    eligible = _not_failed_on(agents, task)
    chosen = rng.sample(eligible, min(SAMPLE_SIZE, len(eligible)))
    return [Candidate(member, Resources()) for member in chosen]


def _not_failed_on(agents: list[Member], task: TaskRecord) -> list[Member]:
    return [m for m in agents if m.vm not in task.failed_on] or agents


def order_by_best_fit(
    found: list[Candidate],
    size: Resources,
    configuration: Configuration,
    owner_vm: VmName,
) -> list[Candidate]:
    """Return candidates by what would be left free, least first, unknown last.

    The fullest VMs are filled first, so that large tasks still find a VM with room.
    The owner's own VM comes last and the other VMs of its rack before it: if a task
    and its owner were lost together, the next owner would not know for a long time
    whether the task still runs.
    """
    rack_by_vm = {vm.name: vm.rack for vm in configuration.inventory.vms}
    rack = rack_by_vm.get(owner_vm)

    def order(candidate: Candidate) -> tuple[bool, bool, bool, float]:
        vm = candidate.member.vm
        same_rack = rack is not None and rack_by_vm.get(vm) == rack
        return vm == owner_vm, same_rack, *_leftover(candidate, size)

    return sorted(found, key=order)


def _leftover(candidate: Candidate, size: Resources) -> tuple[bool, float]:
    left = candidate.free - size
    unknown = candidate.free == Resources()
    return unknown, left.accelerators * 1000 + left.cores + left.memory_mb / 4096


def _recent_free(view: View, node: NodeId, now: float) -> Resources | None:
    hint = view.free_by_node.get(node)
    if hint is None or now - hint[1] > FREE_HINT_TTL_SECONDS:
        return None
    return hint[0]


def infeasible_reason(configuration: Configuration, spec: JobSpec) -> str:
    """Return why no VM of the inventory can ever hold a task, or "" if one can."""
    size = spec.task.size
    for vm in configuration.inventory.vms:
        on_vm = placed(configuration, VmName(vm.name))
        if on_vm is not None and size.fits(vm.capacity - on_vm.for_services):
            return ""
    return (
        f"no VM in the inventory could hold a task of {size.cores:g} cores,"
        f" {size.memory_mb} MB and {size.accelerators} accelerators"
        " beside its services"
    )
