"""Explores the model of a takeover, breadth first, until two runs go on."""

import gc
from typing import NamedTuple

from features.steps.takeover_model import moves, tidy
from features.steps.takeover_state import (
    Bounds,
    State,
    live_runs,
)


class Found(NamedTuple):
    """What an exploration saw."""

    states: int
    complete: bool
    """Whether every state within the bounds was visited."""
    trace: list[str] | None
    """What led to two runs, if it was found."""


def explore(first: State, bounds: Bounds, *, limit: int) -> Found:
    """Visit states breadth first, at most about `limit` of them."""
    # The states hold no cycles; the collector would walk through all of them.
    gc.disable()
    try:
        return _explore(first, bounds, limit)
    finally:
        gc.enable()


def _explore(first: State, bounds: Bounds, limit: int) -> Found:
    came_from: dict[State, tuple[State, str] | None] = {first: None}
    front = [first]
    while front:
        following = []
        for state in front:
            for text, untidy in moves(state, bounds):
                after = tidy(untidy, bounds)
                if after in came_from:
                    continue
                came_from[after] = (state, text)
                if live_runs(after) > 1:
                    return Found(len(came_from), False, _trace(came_from, after))
                following.append(after)
            if len(came_from) > limit:
                return Found(len(came_from), False, None)
        front = following
    return Found(len(came_from), True, None)


def _trace(came_from: dict[State, tuple[State, str] | None], last: State) -> list[str]:
    lines = []
    step = came_from[last]
    while step is not None:
        state, text = step
        lines.append(text)
        step = came_from[state]
    return lines[::-1]
