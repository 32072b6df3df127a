"""Small worlds, each of them rich enough to need one of the rules."""

from typing import NamedTuple

from features.steps.takeover_model import moves, tidy
from features.steps.takeover_state import (
    Bounds,
    Faults,
    Rule,
    State,
    first_state,
)

DESIGN = frozenset(Rule)
REFUSED = "entry 1 decides on epoch 1: its port refuses, and leads epoch 2"
ORDERED = "entry 0 (epoch 1) orders a start at 0"
TAKEN = "agent 0 takes the order of epoch 1: live"
SHORT = {"horizon": 1, "lease": 1, "give_up": 2}
"""The shortest leases in which the clocks still drift; histories stay short too."""
BRIEF = {**SHORT, "valid": 1, "rivals": 1, "claim_after": 2, "epochs": 2}
"""Also the shortest office, where the order of events matters and not the hour."""
AT_ONCE = {"prompt_reports": True, "prompt_claims": True}
CUT = {"away": frozenset({0}), "apart": frozenset({(0, 1), (1, 0)})}
"""Entry 0 and agent 0 are cut from the store, from entry 1 and from agent 1."""
OLD_CUT = {"away": frozenset({0}), "apart": frozenset({(1, 0)})}
"""As before, but agent 0 reaches entry 1 as well."""
CROSSED = {"apart": frozenset({(0, 1), (1, 0)})}
HALF = {"apart": frozenset({(1, 1)})}


class World(NamedTuple):
    """Where an exploration begins, and within which bounds."""

    faults: Faults
    bounds: dict[str, object]
    job: bool = True
    story: tuple[str, ...] = ()
    """The moves with which each of its histories begins."""

    def begin(self, rules: frozenset[Rule]) -> tuple[State, Bounds]:
        """Return the first state and the bounds under these rules."""
        bounds = Bounds(rules, **self.bounds)  # type: ignore[arg-type]
        state = first_state(bounds, self.faults, job=self.job)
        for told in self.story:
            state = tidy(dict(moves(state, bounds))[told], bounds)
        return state, bounds


WORLD_BY_RULE = {
    Rule.CLAIM_BOUND: World(
        Faults(), {**SHORT, **CROSSED, "prompt_reports": True, "epochs": 2}
    ),
    Rule.REFUSAL_NO_WORD: World(Faults(words=1), {**SHORT, **AT_ONCE, **CUT}),
    Rule.IDLE_MOVES_NOTHING: World(Faults(), {**SHORT, **AT_ONCE, **CUT}),
    Rule.REPORT_EPOCH: World(
        Faults(refusals=1), {**BRIEF, **OLD_CUT, "prompt_claims": True}
    ),
    Rule.RIVALS_ON_REFUSAL: World(Faults(refusals=1), {**SHORT, **AT_ONCE, **CUT}),
    Rule.FRESH_READS: World(
        Faults(refusals=1, crashes=1), {**BRIEF, **AT_ONCE, **OLD_CUT}, story=(REFUSED,)
    ),
    Rule.FENCE: World(
        Faults(crashes=1, late_starts=1, laid=1),
        {**BRIEF, **AT_ONCE, "apart": frozenset({(1, 0)})},
    ),
    Rule.RIVALS_HANDED_ON: World(
        Faults(refusals=1, laid=1), {**SHORT, **AT_ONCE, **CUT}
    ),
    Rule.PROMISE_COUNTS: World(
        Faults(words=1), {**SHORT, **CUT, "prompt_reports": True}
    ),
    Rule.JOBS_LISTED_AGAIN: World(
        Faults(refusals=1), {**SHORT, **AT_ONCE, **CUT}, job=False
    ),
    Rule.UNLISTED_HOLDS: World(
        Faults(refusals=1, crashes=1),
        {**BRIEF, **AT_ONCE, **OLD_CUT, "horizon": 2, "give_up": 3},
        story=(ORDERED, TAKEN, REFUSED),
    ),
    Rule.GIVE_UP_RENEWED: World(
        Faults(refusals=1),
        {**AT_ONCE, **HALF, "horizon": 2, "lease": 1, "give_up": 3, "epochs": 2},
    ),
    Rule.WORD_READS: World(
        Faults(refusals=1, words=1, kills=1),
        {**AT_ONCE, **HALF, "horizon": 2, "lease": 1, "give_up": 3, "epochs": 2},
        story=(ORDERED, TAKEN, "a tick passes", REFUSED),
    ),
}
