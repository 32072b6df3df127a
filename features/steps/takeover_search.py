"""Breadth-first search of a model for a state that breaks its invariant."""

import gc
from collections.abc import Callable, Hashable, Iterator
from typing import NamedTuple, TypeVar

from features.steps.takeover_model import canonical, moves
from features.steps.takeover_state import (
    Bounds,
    State,
    count_running,
)

S = TypeVar("S", bound=Hashable)


class Exploration(NamedTuple):
    """The result of an exploration."""

    states: int
    """How many states were visited."""
    complete: bool
    """Whether every state within the bounds was visited."""
    trace: list[str] | None
    """The moves that lead to a violation; None if no such state was visited."""


def explore(first: State, bounds: Bounds, *, limit: int) -> Exploration:
    """Visit states of the takeover model, at most about `limit` of them."""

    def successors(state: State) -> Iterator[tuple[str, State]]:
        for text, successor in moves(state, bounds):
            yield text, canonical(successor, bounds)

    return search(
        first, successors, lambda state: count_running(state) > 1, limit=limit
    )


def search(
    first: S,
    successors: Callable[[S], Iterator[tuple[str, S]]],
    is_violation: Callable[[S], bool],
    *,
    limit: int,
) -> Exploration:
    """Visit states breadth first until one is a violation, at most about `limit`.

    Parameters: `successors` returns the possible moves from a state, each with a line
    that describes it.
    """
    # States contain no reference cycles, and each garbage collection would traverse
    # all of them.
    gc.disable()
    try:
        return _search(first, successors, is_violation, limit)
    finally:
        gc.enable()


def _search(
    first: S,
    successors: Callable[[S], Iterator[tuple[str, S]]],
    is_violation: Callable[[S], bool],
    limit: int,
) -> Exploration:
    predecessor_by_state: dict[S, tuple[S, str] | None] = {first: None}
    frontier = [first]
    while frontier:
        next_frontier = []
        for state in frontier:
            for text, after in successors(state):
                if after in predecessor_by_state:
                    continue
                predecessor_by_state[after] = (state, text)
                if is_violation(after):
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


def _trace(predecessor_by_state: dict[S, tuple[S, str] | None], last: S) -> list[str]:
    lines = []
    step = predecessor_by_state[last]
    while step is not None:
        state, text = step
        lines.append(text)
        step = predecessor_by_state[state]
    return lines[::-1]
