"""Breadth-first search of the takeover model for a state with two runs."""

import gc
from typing import NamedTuple

from features.steps.takeover_model import canonical, moves
from features.steps.takeover_state import (
    Bounds,
    State,
    count_running,
)


class Exploration(NamedTuple):
    """The result of an exploration."""

    states: int
    """How many states were visited."""
    complete: bool
    """Whether every state within the bounds was visited."""
    trace: list[str] | None
    """The moves that lead to two runs; None if no such state was visited."""


def explore(first: State, bounds: Bounds, *, limit: int) -> Exploration:
    """Visit states breadth first, at most about `limit` of them."""
    # States contain no reference cycles, and each garbage collection would traverse
    # all of them.
    gc.disable()
    try:
        return _explore(first, bounds, limit)
    finally:
        gc.enable()


def _explore(first: State, bounds: Bounds, limit: int) -> Exploration:
    predecessor_by_state: dict[State, tuple[State, str] | None] = {first: None}
    frontier = [first]
    while frontier:
        next_frontier = []
        for state in frontier:
            for text, successor in moves(state, bounds):
                after = canonical(successor, bounds)
                if after in predecessor_by_state:
                    continue
                predecessor_by_state[after] = (state, text)
                if count_running(after) > 1:
                    return Exploration(
                        len(predecessor_by_state),
                        False,
                        _trace(predecessor_by_state, after),
                    )
                next_frontier.append(after)
            if len(predecessor_by_state) > limit:
                return Exploration(len(predecessor_by_state), False, None)
        frontier = next_frontier
    return Exploration(len(predecessor_by_state), True, None)


def _trace(
    predecessor_by_state: dict[State, tuple[State, str] | None], last: State
) -> list[str]:
    lines = []
    step = predecessor_by_state[last]
    while step is not None:
        state, text = step
        lines.append(text)
        step = predecessor_by_state[state]
    return lines[::-1]
