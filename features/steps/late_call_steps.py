"""Steps that explore the late-call model."""

from behave import then, when

from features.steps.late_call_state import Rule
from features.steps.late_call_worlds import DESIGN, WORLD_BY_NAME, explore_world

MAX_STATES = 200_000
"""States after which an exploration ends undecided; a world in CI has 23,000."""


@when('the world "{world}" is explored without the rules {names}')
def step_explore_without(context, world, names):
    _explore(context, world, DESIGN - _rules(names))


@when('the world "{world}" is explored with {added} but without {removed}')
def step_explore_changed(context, world, added, removed):
    _explore(context, world, (DESIGN | _rules(added)) - _rules(removed))


@when('the world "{world}" is explored with the rules of the code')
def step_explore_design(context, world):
    _explore(context, world, DESIGN)


def _rules(names):
    return {Rule[name] for name in names.split(" and ")}


def _explore(context, world, rules):
    context.found = explore_world(WORLD_BY_NAME[world], rules, limit=MAX_STATES)


@then("a history that breaks the invariant is found and printed")
def step_found(context):
    assert context.found.trace, f"none in {context.found.states} states"
    print("\n".join(context.found.trace))


@then("all its states were visited and the invariant holds")
def step_none(context):
    assert context.found.trace is None, "\n".join(context.found.trace)
    assert context.found.complete, f"undecided after {context.found.states} states"
