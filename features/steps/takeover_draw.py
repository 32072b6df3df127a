"""A hypothesis strategy for worlds of the takeover model.

It draws durations, cut links and faults.
"""

from hypothesis import strategies as st

from features.steps.takeover_state import Faults
from features.steps.takeover_worlds import World

MAX_FAULTS = 3
LINKS = [(agent, entry) for agent in range(2) for entry in range(2)]


@st.composite
def _worlds(draw: st.DrawFn) -> World:
    leader_validity = draw(st.integers(1, 2))
    run_horizon = draw(st.integers(1, 2))
    names = draw(st.lists(st.sampled_from(Faults._fields), max_size=MAX_FAULTS))
    faults = Faults(**{name: names.count(name) for name in names})
    bounds = {
        "leader_validity": leader_validity,
        "rival_validity": leader_validity,
        "claim_after": leader_validity + 1,
        "run_horizon": run_horizon,
        "run_lease": draw(st.integers(1, run_horizon)),
        "agent_timeout": run_horizon + 1,
        "without_store": draw(st.sampled_from([frozenset(), frozenset({0})])),
        "cut_links": frozenset(draw(st.lists(st.sampled_from(LINKS), max_size=2))),
        "prompt_reports": draw(st.booleans()),
        "prompt_claims": draw(st.booleans()),
    }
    return World(faults, bounds, draw(st.booleans()))


WORLDS = _worlds()
