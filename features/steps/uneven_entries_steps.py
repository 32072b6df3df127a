"""Steps on entries of different sizes: who leads, and who is handed what."""

import asyncio

from behave import given, then, when

from features.steps.takeover_world import LinkState, TakeoverWorld
from wagtailcleat.cluster.keys import ProcessInfo
from wagtailcleat.cluster.successors import Successors

AGENTS = 2
PORT = 7720


def _numbers(text):
    return [float(part) for part in text.split(",")]


def _positions(text):
    return [int(part) - 1 for part in text.split(",")]


@given("entries of {cores} cores on virtual time, the first of which leads")
def step_world(context, cores):
    weights = _numbers(cores)
    world = TakeoverWorld(entries=len(weights), agents=AGENTS, weights=weights)
    context.world = world
    context.add_cleanup(world.close)
    context.first = world.entries[0]
    _make_leader(world, context.first)
    # Until every agent is registered and the leader's first heartbeats are stored.
    world.wait(2.0)


def _make_leader(world, wanted):
    leading = world.until_led()
    while leading is not wanted:
        others = [e for e in world.entries if e not in (leading, wanted)]
        for entry in others:
            entry.leadership.may_claim = False
        world.loop.create_task(leading.leadership.step_down())
        world.until(lambda: world.leading() == [wanted], 10.0, "the first entry leads")
        for entry in world.entries:
            entry.leadership.may_claim = True
        leading = wanted


@given("messages between the first and the last entry take {ms:d} ms longer")
def step_far(context, ms):
    world = context.world
    far = {world.entry_hosts[0], world.entry_hosts[-1]}

    async def delay(source, target, message):
        if {source, target} == far:
            await asyncio.sleep(ms / 1000)

    world.network.delay_message = delay


@when("the first entry can't reach the store")
def step_no_store(context):
    context.first.store.reachable = False


@when("the entries {numbers} can't reach the store")
def step_several_no_store(context, numbers):
    for position in _positions(numbers):
        context.world.entries[position].store.reachable = False


@when(
    "entry {number:d} is cut off from everything, and the first entry can't reach the"
    " store"
)
def step_cut(context, number):
    cut = context.world.entries[number - 1]
    cut.store.reachable = False
    context.world.network.partitions.append(({cut.host}, LinkState.SILENT))
    context.first.store.reachable = False


@then("entry {number:d} leads within {seconds:g} s")
def step_leads(context, number, seconds):
    _expect_leader(context, [number - 1], seconds)


@then("one of the entries {numbers} leads within {seconds:g} s")
def step_one_leads(context, numbers, seconds):
    _expect_leader(context, _positions(numbers), seconds)


def _expect_leader(context, positions, seconds):
    world = context.world

    def led_by_another():
        return any(entry is not context.first for entry in world.leading())

    world.until(led_by_another, seconds, "another entry leads")
    leading = [e for e in world.leading() if e is not context.first]
    assert [world.entries.index(e) in positions for e in leading] == [True], leading


@given(
    "a leader without the store, and an answer from an entry of {cores:g} cores at 0 s"
)
def step_first_answer(context, cores):
    context.successors = Successors()
    assert context.successors.seconds_left(0.0) is None
    context.successors.add(ProcessInfo("first", PORT, 1, cores), 0.0)


@when("entries of {cores} cores have not answered after {seconds:g} s")
def step_unanswered(context, cores, seconds):
    unanswered = [ProcessInfo(f"h{c}", PORT, 1, c) for c in _numbers(cores)]
    context.decided = context.successors.is_decided(unanswered, seconds)


@then("the successor is {verdict}")
def step_decided(context, verdict):
    assert context.decided == (verdict == "decided")
