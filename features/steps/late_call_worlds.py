"""Small worlds of the late-call model to explore, each named after what it shows."""

from collections.abc import Iterator
from typing import NamedTuple

from features.steps.late_call_model import canonical, moves
from features.steps.late_call_state import Bounds, Faults, Rule, State, initial_state
from features.steps.takeover_search import Exploration, search

DESIGN = frozenset(Rule)
ONE_WORKER = {"agents": frozenset({0})}
"""The task may start at one worker only."""
LONGER_LEASES = {"run_lease": 2, "contact": 2}
"""A lease can be renewed before it ends."""
STARTED = "agent 0 is ordered to start run 1: started"
UNANSWERED = ("agent 0 is ordered to start run 1: no answer",)
SUCCEEDED = (STARTED, "run 1 succeeds")


class World(NamedTuple):
    """The initial state and the bounds of an exploration."""

    faults: Faults
    bounds: dict[str, object] = {}
    prefix: tuple[str, ...] = ()
    """The moves with which every history begins."""


WORLD_BY_NAME = {
    "late start": World(Faults(late_starts=1)),
    "late start, agents report": World(Faults(late_starts=1), {"gives_up": False}),
    "late start, lease from its arrival": World(
        Faults(late_starts=1), {"gives_up": False, "lease_from_arrival": True}
    ),
    "late start, slow lists": World(
        Faults(late_starts=1), {**ONE_WORKER, "prompt_lists": False}
    ),
    "late start, agent restarts": World(
        Faults(late_starts=1, agent_restarts=1), prefix=UNANSWERED
    ),
    "late start, worker restarts": World(
        Faults(late_starts=1, worker_restarts=1), prefix=UNANSWERED
    ),
    "late start, leader changes": World(
        Faults(late_starts=1, leader_changes=1), prefix=UNANSWERED
    ),
    "late start, closed port": World(
        Faults(late_starts=1, closed_ports=1), {"gives_up": False}
    ),
    "late start and list, one worker": World(
        Faults(late_starts=1, late_lists=1, leader_changes=1),
        {**ONE_WORKER, "max_runs": 3},
    ),
    "late start, restarts, one worker": World(
        Faults(late_starts=1, agent_restarts=1, leader_changes=1), ONE_WORKER
    ),
    "late list": World(Faults(late_lists=1), LONGER_LEASES, ("a tick passes", STARTED)),
    "repeated start": World(Faults(repeated_starts=1), ONE_WORKER),
    "end": World(Faults(late_starts=1), {"ends": True}, SUCCEEDED),
    "end, leader changes": World(
        Faults(late_starts=1, leader_changes=1),
        {"ends": True},
        (*SUCCEEDED, "a tick passes"),
    ),
    "end, agent restarts": World(
        Faults(late_starts=1, agent_restarts=1),
        {"ends": True},
        (*SUCCEEDED, "a tick passes"),
    ),
}
"""The worlds explored in CI."""

OPEN_WORLD_BY_NAME = {
    "any late start, agent restarts": World(Faults(late_starts=1, agent_restarts=1)),
    "any late start, worker restarts": World(Faults(late_starts=1, worker_restarts=1)),
    "any late start, leader changes": World(Faults(late_starts=1, leader_changes=1)),
    "late start and list": World(Faults(late_starts=1, late_lists=1)),
    "late start, slow lists, two workers": World(
        Faults(late_starts=1), {"prompt_lists": False}
    ),
    "late start and list, longer leases": World(
        Faults(late_starts=1, late_lists=1), LONGER_LEASES
    ),
    "one worker": World(
        Faults(late_starts=1, late_lists=1, agent_restarts=1, leader_changes=1),
        {**ONE_WORKER, "max_runs": 3},
    ),
    "any end, leader changes": World(
        Faults(late_starts=1, leader_changes=1), {"ends": True}
    ),
    "any end, agent restarts": World(
        Faults(late_starts=1, agent_restarts=1), {"ends": True}
    ),
    "end, late list": World(
        Faults(late_starts=1, late_lists=1),
        {"ends": True, **LONGER_LEASES},
        ("a tick passes", STARTED, "agent 0 gets no answer to a list"),
    ),
}
"""Larger worlds, explored by hand."""


def explore_world(world: World, rules: frozenset[Rule], *, limit: int) -> Exploration:
    """Visit the states of a world under these rules, at most about `limit` of them."""
    bounds = Bounds(rules, **world.bounds)  # type: ignore[arg-type]

    def successors(state: State) -> Iterator[tuple[str, State]]:
        for text, successor in moves(state, bounds):
            yield text, canonical(successor, bounds)

    first = initial_state(bounds, world.faults)
    for text in world.prefix:
        first = dict(successors(first))[text]
    found = search(first, successors, lambda state: bool(state.violation), limit=limit)
    if found.trace is None:
        return found
    return found._replace(trace=[*world.prefix, *found.trace])
