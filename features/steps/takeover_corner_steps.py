"""Steps on rare orders of events at a change of the leader, on virtual time."""

import msgspec
from behave import then, when

from features.steps.takeover_world import Way
from wagtailcleat.wire.parts import Lost

SECONDS = 20.0


@when("its agent is out of the leader's touch for {seconds:g} s")
def step_out_of_touch(context, seconds):
    world = context.world
    pair = {context.old.host, context.agent.host}
    world.network.way = lambda near, far: (
        Way.SILENT if {near, far} == pair else Way.OPEN
    )
    world.wait(seconds)


@when(
    "then the leader and the free agent are cut off from all others, with refusals",
)
def step_split(context):
    world = context.world
    side = {context.old.host, context.free.host}
    context.old.store.reached = False
    context.free.store.reached = False
    world.network.way = lambda near, far: (
        Way.REFUSED if (near in side) != (far in side) else Way.OPEN
    )


@when("an agent that does not know yet what runs has reported for {seconds:g} s")
def step_unlisted(context, seconds):
    world = context.world
    agent = context.agent = world.agents[0]
    agent.kill()
    agent.worker.running.clear()
    context.agent = again = world.restart(agent)
    make_report = again.following._make_report

    def unlisted(epoch, orders_taken):
        report = make_report(epoch, orders_taken)
        return msgspec.structs.replace(report, listed=False, running=[])

    again.following._make_report = unlisted
    world.until(lambda: again.following.epoch, SECONDS, "the agent follows")
    world.wait(seconds)


@then("no answer counts for its runs")
def step_no_contact(context):
    assert context.agent.following.contact_at == 0.0, context.agent.following.contact_at


@when("the other entry is started again, and neither reaches the store")
def step_other_again(context):
    (other,) = context.others
    other.kill()
    again = context.world.restart(other)
    again.store.reached = context.old.store.reached = False


@when("the leader's VM loses power, and an entry's connection to it looks open")
def step_half_open(context):
    first = context.others[0]
    stream = first.peers.stream_by_host[context.old.host]

    async def no_answer(message, *, timeout):
        return Lost(True, "no answer in time")

    stream.call = no_answer
    context.old.kill()
    # The far end is gone without a word: the connection looks as it did.
    context.old.alive = True
    context.others[1].kill()


@when("the leader's process is back and leads again")
def step_back(context):
    world = context.world
    again = world.restart(context.old)
    world.until(lambda: again in world.leading(), SECONDS, "it leads again")


@when("the leader is started again, leads, and is cut off at once with refusals")
def step_again_cut(context):
    world = context.world
    for entry in world.entries:
        entry.kill()
    context.old = again = world.restart(context.old)
    again.leadership._other_entries.read = _never_read
    world.until(lambda: again in world.leading(), SECONDS, "it leads again")
    again.store.reached = False
    hosts = {again.host}
    world.network.cut.append((hosts, Way.REFUSED))
    again.leadership._other_entries._entry_by_address.clear()


async def _never_read():
    """Answer as where the store was away before the entries could be read."""
    return False
