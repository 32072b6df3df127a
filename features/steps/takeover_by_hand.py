"""Command that explores more states of the models than CI does.

    python -m features.steps.takeover_by_hand STATES [WORLD...]

Explores the named worlds of the takeover and late-call models, or all, with all rules
and at most STATES states each, and prints how many were visited. The exit code is 1 if
a task runs twice in one of them.
"""

import sys
from collections.abc import Callable
from functools import partial

from features.steps.late_call_worlds import DESIGN as LATE_CALL_DESIGN
from features.steps.late_call_worlds import OPEN_WORLD_BY_NAME as OPEN_LATE_CALL_WORLDS
from features.steps.late_call_worlds import WORLD_BY_NAME as LATE_CALL_WORLDS
from features.steps.late_call_worlds import explore_world
from features.steps.takeover_search import Exploration, explore
from features.steps.takeover_state import Faults, Rule
from features.steps.takeover_worlds import DESIGN, PROMPT, SHORT, WORLD_BY_RULE, World

OPEN_WORLD_BY_NAME = {
    "refused": World(Faults(refusals=1), {**SHORT, **PROMPT}),
    "told to stop": World(Faults(refusals=1, resignations=1), {**SHORT, **PROMPT}),
    "by word": World(Faults(refusals=1, promise_renewals=1), {**SHORT, **PROMPT}),
    "restarts": World(
        Faults(refusals=1, entry_restarts=1, promise_renewals=1), {**SHORT, **PROMPT}
    ),
    "agent restarts": World(Faults(refusals=1, agent_restarts=1), {**SHORT, **PROMPT}),
    "late claims": World(
        Faults(refusals=1, lost_claims=1), {**SHORT, "prompt_reports": True}
    ),
    "late reports": World(Faults(refusals=1), {**SHORT, "prompt_claims": True}),
    "late starts": World(Faults(refusals=1, late_starts=1), {**SHORT, **PROMPT}),
    "new job": World(Faults(refusals=1), {**SHORT, **PROMPT}, job_stored=False),
}


def _explore_takeover(world: World, *, limit: int) -> Exploration:
    first, bounds = world.begin(DESIGN)
    return explore(first, bounds, limit=limit)


def _explorations() -> dict[str, Callable[..., Exploration]]:
    world_by_name = {rule.name: WORLD_BY_RULE[rule] for rule in Rule}
    world_by_name.update(OPEN_WORLD_BY_NAME)
    explore_by_name: dict[str, Callable[..., Exploration]] = {
        name: partial(_explore_takeover, world) for name, world in world_by_name.items()
    }
    for name, late_world in (LATE_CALL_WORLDS | OPEN_LATE_CALL_WORLDS).items():
        explore_by_name[name] = partial(explore_world, late_world, LATE_CALL_DESIGN)
    return explore_by_name


def main(arguments: list[str]) -> int:
    """Explore the worlds, print the results and return the exit code."""
    explore_by_name = _explorations()
    exit_code = 0
    for name in arguments[1:] or explore_by_name:
        found = explore_by_name[name](limit=int(arguments[0]))
        coverage = "all" if found.complete else "not all"
        print(f"{name}: {found.states} states, {coverage}", flush=True)
        if found.trace:
            exit_code = 1
            print("\n".join(["the task runs twice:", *found.trace]), flush=True)
    return exit_code


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
