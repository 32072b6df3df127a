"""Steps that explore the takeover model."""

import contextlib
import os

from behave import then, when
from hypothesis import HealthCheck, Phase, given, settings

from features.steps.takeover_draw import WORLDS
from features.steps.takeover_search import explore
from features.steps.takeover_state import Rule
from features.steps.takeover_worlds import DESIGN, WORLD_BY_RULE

MAX_STATES = 400_000
"""States after which an exploration ends undecided; a world in CI has 36,000."""
LONGER = int(os.environ.get("TAKEOVER_LONGER", "1"))
"""Factor on the number of worlds drawn and the states explored of each."""
DRAWN_LIMIT = 1_500
"""States visited at most of each random world."""


@when("the model is explored without the rule {name}")
def step_explore_without(context, name):
    rule = Rule[name]
    first, bounds = WORLD_BY_RULE[rule].begin(DESIGN - {rule})
    context.found = explore(first, bounds, limit=MAX_STATES)


@when("the model is explored with all rules in the world of {name}")
def step_explore_all(context, name):
    first, bounds = WORLD_BY_RULE[Rule[name]].begin(DESIGN)
    context.found = explore(first, bounds, limit=MAX_STATES)


@then("a history in which the task runs twice is found and printed")
def step_found(context):
    assert context.found.trace, f"none in {context.found.states} states"
    print("\n".join(context.found.trace))


@then("all its states were visited and none has two runs of the task")
def step_none(context):
    assert context.found.trace is None, "\n".join(context.found.trace)
    assert context.found.complete, f"undecided after {context.found.states} states"


@when("{count:d} random worlds are explored with all rules")
def step_drawn(context, count):
    context.found = None

    @settings(
        max_examples=count * LONGER,
        deadline=None,
        derandomize=LONGER == 1,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @given(WORLDS)
    def play(world):
        first, bounds = world.begin(DESIGN)
        found = explore(first, bounds, limit=DRAWN_LIMIT * LONGER)
        if found.trace:
            context.found = found
        assert found.trace is None

    with contextlib.suppress(AssertionError):
        play()


@then("no visited state has two runs of the task")
def step_no_drawn(context):
    assert context.found is None, "\n".join(context.found.trace)
