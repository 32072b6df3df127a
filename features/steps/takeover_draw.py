"""Draws worlds for the model of a takeover: other ticks, cuts and faults."""

from hypothesis import strategies as st

from features.steps.takeover_state import Faults
from features.steps.takeover_worlds import World

MOST_FAULTS = 3
LINKS = [(agent, entry) for agent in range(2) for entry in range(2)]


@st.composite
def _worlds(draw: st.DrawFn) -> World:
    valid = draw(st.integers(1, 2))
    horizon = draw(st.integers(1, 2))
    names = draw(st.lists(st.sampled_from(Faults._fields), max_size=MOST_FAULTS))
    faults = Faults(**{name: names.count(name) for name in names})
    bounds = {
        "valid": valid,
        "rivals": valid,
        "claim_after": valid + 1,
        "horizon": horizon,
        "lease": draw(st.integers(1, horizon)),
        "give_up": horizon + 1,
        "away": draw(st.sampled_from([frozenset(), frozenset({0})])),
        "apart": frozenset(draw(st.lists(st.sampled_from(LINKS), max_size=2))),
        "prompt_reports": draw(st.booleans()),
        "prompt_claims": draw(st.booleans()),
    }
    return World(faults, bounds, draw(st.booleans()))


WORLDS = _worlds()
