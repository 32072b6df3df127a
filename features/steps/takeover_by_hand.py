"""Explores the model of a takeover for longer than CI does.

    python -m features.steps.takeover_by_hand STATES [WORLD...]

Visits the worlds named, or all, with all rules, at most STATES states of each, and
prints what was visited; ends with 1 if two runs go on somewhere.
"""

import sys

from features.steps.takeover_search import explore
from features.steps.takeover_state import Faults, Rule
from features.steps.takeover_worlds import AT_ONCE, DESIGN, SHORT, WORLD_BY_RULE, World

OPEN_WORLD_BY_NAME = {
    "refused": World(Faults(refusals=1), {**SHORT, **AT_ONCE}),
    "told to stop": World(Faults(refusals=1, laid=1), {**SHORT, **AT_ONCE}),
    "by word": World(Faults(refusals=1, words=1), {**SHORT, **AT_ONCE}),
    "restarts": World(Faults(refusals=1, kills=1, words=1), {**SHORT, **AT_ONCE}),
    "agent restarts": World(Faults(refusals=1, crashes=1), {**SHORT, **AT_ONCE}),
    "late claims": World(
        Faults(refusals=1, lost_claims=1), {**SHORT, "prompt_reports": True}
    ),
    "late reports": World(Faults(refusals=1), {**SHORT, "prompt_claims": True}),
    "new job": World(Faults(refusals=1), {**SHORT, **AT_ONCE}, job=False),
}


def main(arguments: list[str]) -> int:
    """Explore, print, and return what the process ends with."""
    world_by_name = {rule.name: WORLD_BY_RULE[rule] for rule in Rule}
    world_by_name.update(OPEN_WORLD_BY_NAME)
    broken = 0
    for name in arguments[1:] or world_by_name:
        first, bounds = world_by_name[name].begin(DESIGN)
        found = explore(first, bounds, limit=int(arguments[0]))
        how = "all" if found.complete else "not all"
        print(f"{name}: {found.states} states, {how}", flush=True)
        if found.trace:
            broken = 1
            print("\n".join(["two runs go on:", *found.trace]), flush=True)
    return broken


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
