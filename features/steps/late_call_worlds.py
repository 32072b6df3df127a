"""Small worlds of the late-call model to explore, each named after what it shows."""

from collections.abc import Iterator
from typing import NamedTuple

from features.steps.late_call_model import canonical, moves
from features.steps.late_call_state import Bounds, Faults, Rule, State, initial_state
from features.steps.takeover_search import Exploration, search

PROPOSED = frozenset({Rule.LISTED_RENEWS, Rule.DOUBT_UNTIL_FENCED})
"""Rules that the code does not keep."""
DESIGN = frozenset(Rule) - PROPOSED
"""Rules that the code keeps."""
ONE_WORKER = {"agents": frozenset({0})}
"""The task may start at one worker only."""
LONGER_LEASES = {"run_lease": 2, "contact": 2}
"""A lease can be renewed before it ends."""
ORDERED = "agent 0 is ordered to start run 1"
STARTED = f"{ORDERED}: started"
SLOW = f"{ORDERED}: the answer takes time"
SENT_TWICE = f"{ORDERED}: the answer to the second copy takes time"
UNANSWERED = (f"{ORDERED}: no answer",)
RAISED = "agent 0 raises its token for a start of another task"
PORT_CLOSED = "the port of worker 0 refuses, agent 0 counts its runs as lost"
SLOW_AND_GIVEN_UP = (
    SLOW,
    "a tick passes",
    "agent 0 is given up",
    "agent 1 reports",
    "agent 1 is ordered to start run 2: started",
)
SUCCEEDED = (STARTED, "run 1 succeeds")
SUCCEEDED_BEFORE_TICK = (*SUCCEEDED, "a tick passes")
SLOW_AFTER_SUCCESS = (
    *SUCCEEDED_BEFORE_TICK,
    "agent 0 is given up",
    "agent 1 reports",
    "agent 1 is ordered to start run 2: the answer takes time",
    "agent 1 raises its token for a start of another task",
)


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
        Faults(late_starts=1), {**ONE_WORKER, "parallel_lists": 1}
    ),
    "late start, hedged lists": World(
        Faults(late_starts=1), {**ONE_WORKER, "parallel_lists": 2}, UNANSWERED
    ),
    "late start, agent restarts": World(
        Faults(late_starts=1, agent_restarts=1), prefix=UNANSWERED
    ),
    "slow start, agent restarts": World(
        Faults(slow_starts=1, agent_restarts=1), prefix=(SLOW,)
    ),
    "late start, worker restarts": World(
        Faults(late_starts=1, worker_restarts=1), prefix=UNANSWERED
    ),
    "late start, worker restarts, one worker": World(
        Faults(late_starts=1, worker_restarts=1),
        {**ONE_WORKER, "max_runs": 3},
        UNANSWERED,
    ),
    "end, worker restarts, one worker": World(
        Faults(late_starts=1, worker_restarts=1),
        {**ONE_WORKER, "max_runs": 3, "ends": True},
        UNANSWERED,
    ),
    "late start, leader changes": World(
        Faults(late_starts=1, leader_changes=1), prefix=UNANSWERED
    ),
    "leave": World(Faults(leaves=1), {"gives_up": False}, (STARTED,)),
    "leave, leader changes": World(Faults(leaves=1, leader_changes=1)),
    "late start, leave": World(
        Faults(late_starts=1, leaves=1), {"gives_up": False}, UNANSWERED
    ),
    "late start, closed port": World(
        Faults(late_starts=1, closed_ports=1), {"gives_up": False}
    ),
    "late start, closed port, id is reused": World(
        Faults(late_starts=1, closed_ports=1),
        {"reuses_id": True},
        (*UNANSWERED, PORT_CLOSED),
    ),
    "slow start, closed port, id is reused": World(
        Faults(slow_starts=1, late_starts=1, raised_tokens=1, closed_ports=1),
        {"reuses_id": True},
        (SLOW, PORT_CLOSED, RAISED),
    ),
    "late start and list, one worker": World(
        Faults(late_starts=1, late_lists=1, leader_changes=1),
        {**ONE_WORKER, "max_runs": 3},
    ),
    "late start, restarts, one worker": World(
        Faults(late_starts=1, agent_restarts=1, leader_changes=1), ONE_WORKER
    ),
    "late list": World(Faults(late_lists=1), LONGER_LEASES, ("a tick passes", STARTED)),
    "overtaken start": World(
        Faults(slow_starts=1, late_starts=1, raised_tokens=1), prefix=(SLOW, RAISED)
    ),
    "overtaken start, leader changes": World(
        Faults(slow_starts=1, raised_tokens=1, leader_changes=1), prefix=(SLOW, RAISED)
    ),
    "overtaken start, one worker": World(
        Faults(slow_starts=2, late_starts=2, raised_tokens=1), ONE_WORKER, (SLOW,)
    ),
    "overtaken start, two copies": World(
        Faults(slow_starts=1, late_starts=1, raised_tokens=1, repeated_starts=1),
        {"refuses_any": False, "gives_up": False},
        (SENT_TWICE,),
    ),
    "late start, three runs": World(
        Faults(slow_starts=1, late_starts=1), {"max_runs": 3}, SLOW_AND_GIVEN_UP
    ),
    "repeated start": World(Faults(repeated_starts=1), ONE_WORKER),
    "end": World(Faults(late_starts=1), {"ends": True}, SUCCEEDED),
    "end, leader changes": World(
        Faults(late_starts=1, leader_changes=1), {"ends": True}, SUCCEEDED_BEFORE_TICK
    ),
    "end, agent restarts": World(
        Faults(late_starts=1, agent_restarts=1), {"ends": True}, SUCCEEDED_BEFORE_TICK
    ),
    "end, overtaken start": World(
        Faults(slow_starts=1, late_starts=1, raised_tokens=1),
        {"ends": True},
        SLOW_AFTER_SUCCESS,
    ),
}
"""The worlds explored in CI."""

OPEN_WORLD_BY_NAME = {
    "late start, three runs, two workers": World(
        Faults(slow_starts=1, late_starts=1), {"max_runs": 3}, (SLOW,)
    ),
    "any end, late list": World(
        Faults(late_starts=1, late_lists=1), {"ends": True}, SUCCEEDED_BEFORE_TICK
    ),
    "end, closed port": World(
        Faults(late_starts=1, closed_ports=1), {"ends": True}, SUCCEEDED_BEFORE_TICK
    ),
    "hedged lists, longer leases": World(
        Faults(late_starts=1),
        {**ONE_WORKER, "parallel_lists": 2, **LONGER_LEASES},
        UNANSWERED,
    ),
    "any overtaken start": World(
        Faults(slow_starts=2, late_starts=1, raised_tokens=1), prefix=(SLOW,)
    ),
    "any overtaken start, leader changes": World(
        Faults(slow_starts=1, raised_tokens=1, leader_changes=1), prefix=(SLOW,)
    ),
    "end, any overtaken start": World(
        Faults(slow_starts=2, late_starts=1, raised_tokens=1),
        {"ends": True},
        SUCCEEDED_BEFORE_TICK,
    ),
    "hedged and late lists": World(
        Faults(late_starts=1, late_lists=1),
        {**ONE_WORKER, "parallel_lists": 2},
        UNANSWERED,
    ),
    "any late start, agent restarts": World(Faults(late_starts=1, agent_restarts=1)),
    "any late start, worker restarts": World(Faults(late_starts=1, worker_restarts=1)),
    "any late start, leader changes": World(Faults(late_starts=1, leader_changes=1)),
    "late start and list": World(Faults(late_starts=1, late_lists=1)),
    "late start, slow lists, two workers": World(
        Faults(late_starts=1), {"parallel_lists": 2}
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
