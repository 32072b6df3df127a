"""Steps for the state of the platform store's stand-in, on virtual time."""

import asyncio

from behave import given, then, when

from standins.platform_store import State
from standins.virtual_time import VirtualLoop

PREFIX = b"op/"
KEY = "op/config"


@given("a platform store in this process")
def step_store(context):
    context.loop = VirtualLoop()
    context.add_cleanup(context.loop.end)
    context.state = State()


def put(state):
    events = [state.keyspace.put(KEY.encode(), b"value", 0)]
    state.keyspace.commit(events, "txn")
    state.wake_watches()


@when("a change is written at the instant at which a watch of {seconds:d} s ends")
def step_at_end(context, seconds):
    async def watched():
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        watch = asyncio.create_task(context.state.changes(PREFIX, 0, seconds))
        # The watch must set its own timer for this instant first, so that it times out
        # before the change.
        await asyncio.sleep(0)
        loop.call_at(ends_at, put, context.state)
        return await watch

    context.shown, context.revision = context.loop.run(watched())


@then("the change is returned by that watch, or by the next from its revision")
def step_shown(context):
    following = context.state.changes(PREFIX, context.revision, 1.0)
    shown = [*context.shown, *context.loop.run(following)[0]]
    assert [item["key"] for item in shown] == [KEY], (shown, context.revision)
