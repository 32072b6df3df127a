"""Small worlds to explore, one per rule, in which safety depends on that rule.

A world is an initial state with bounds, for `takeover_search`.
"""

from typing import NamedTuple

from features.steps.takeover_model import canonical, moves
from features.steps.takeover_state import (
    Bounds,
    Faults,
    Rule,
    State,
    initial_state,
)

DESIGN = frozenset(Rule)
"""All rules: the protocol as it is implemented."""
REFUSED = (
    "entry 1 decides to replace the leader of epoch 1: its port refuses connections,"
    " and leads epoch 2"
)
ORDERED = "entry 0 (epoch 1) orders agent 0 to start the task"
ACCEPTED = "agent 0 accepts the order of epoch 1: live"
SHORT = {"run_horizon": 1, "run_lease": 1, "agent_timeout": 2}
"""The shortest leases that still allow clock drift, to keep the state space small."""
SHORTEST = {
    **SHORT,
    "leader_validity": 1,
    "rival_validity": 1,
    "claim_after": 2,
    "last_epoch": 2,
}
"""Also the shortest terms, where only the order of events matters."""
PROMPT = {"prompt_reports": True, "prompt_claims": True}
PAIR_ISOLATED = {
    "without_store": frozenset({0}),
    "cut_links": frozenset({(0, 1), (1, 0)}),
}
"""Entry 0 and agent 0 are cut off from the store, entry 1 and agent 1."""
LEADER_ISOLATED = {"without_store": frozenset({0}), "cut_links": frozenset({(1, 0)})}
"""The same, but agent 0 reaches entry 1 as well."""
CROSS_LINKS_CUT = {"cut_links": frozenset({(0, 1), (1, 0)})}
ONE_LINK_CUT = {"cut_links": frozenset({(1, 1)})}


class World(NamedTuple):
    """The initial state and the bounds of an exploration."""

    faults: Faults
    bounds: dict[str, object]
    job_stored: bool = True
    prefix: tuple[str, ...] = ()
    """The moves with which every history begins."""

    def begin(self, rules: frozenset[Rule]) -> tuple[State, Bounds]:
        """Return the initial state and the bounds under these rules."""
        bounds = Bounds(rules, **self.bounds)  # type: ignore[arg-type]
        state = initial_state(bounds, self.faults, job_stored=self.job_stored)
        for text in self.prefix:
            state = canonical(dict(moves(state, bounds))[text], bounds)
        return state, bounds


WORLD_BY_RULE = {
    Rule.CLAIM_BOUND: World(
        Faults(), {**SHORT, **CROSS_LINKS_CUT, "prompt_reports": True, "last_epoch": 2}
    ),
    Rule.REFUSAL_NO_WORD: World(
        Faults(promise_renewals=1), {**SHORT, **PROMPT, **PAIR_ISOLATED}
    ),
    Rule.IDLE_MOVES_NOTHING: World(Faults(), {**SHORT, **PROMPT, **PAIR_ISOLATED}),
    Rule.REPORT_EPOCH: World(
        Faults(refusals=1), {**SHORTEST, **LEADER_ISOLATED, "prompt_claims": True}
    ),
    Rule.RIVALS_ON_REFUSAL: World(
        Faults(refusals=1), {**SHORT, **PROMPT, **PAIR_ISOLATED}
    ),
    Rule.FRESH_READS: World(
        Faults(refusals=1, agent_restarts=1),
        {**SHORTEST, **PROMPT, **LEADER_ISOLATED},
        prefix=(REFUSED,),
    ),
    Rule.FENCE: World(
        Faults(agent_restarts=1, late_starts=1, resignations=1),
        {**SHORTEST, **PROMPT, "cut_links": frozenset({(1, 0)})},
    ),
    Rule.RIVALS_HANDED_ON: World(
        Faults(refusals=1, resignations=1), {**SHORT, **PROMPT, **PAIR_ISOLATED}
    ),
    Rule.PROMISE_COUNTS: World(
        Faults(promise_renewals=1), {**SHORT, **PAIR_ISOLATED, "prompt_reports": True}
    ),
    Rule.JOBS_LISTED_AGAIN: World(
        Faults(refusals=1), {**SHORT, **PROMPT, **PAIR_ISOLATED}, job_stored=False
    ),
    Rule.UNLISTED_HOLDS: World(
        Faults(refusals=1, agent_restarts=1),
        {**SHORTEST, **PROMPT, **LEADER_ISOLATED, "run_horizon": 2, "agent_timeout": 3},
        prefix=(ORDERED, ACCEPTED, REFUSED),
    ),
    Rule.GIVE_UP_RENEWED: World(
        Faults(refusals=1),
        {
            **PROMPT,
            **ONE_LINK_CUT,
            "run_horizon": 2,
            "run_lease": 1,
            "agent_timeout": 3,
            "last_epoch": 2,
        },
    ),
    Rule.WORD_READS: World(
        Faults(refusals=1, promise_renewals=1, entry_restarts=1),
        {
            **PROMPT,
            **ONE_LINK_CUT,
            "run_horizon": 2,
            "run_lease": 1,
            "agent_timeout": 3,
            "last_epoch": 2,
        },
        prefix=(ORDERED, ACCEPTED, "a tick passes", REFUSED),
    ),
}
