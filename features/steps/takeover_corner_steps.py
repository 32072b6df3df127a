"""Steps on rare orders of events around a change of leader, on virtual time."""

import msgspec
from behave import then, when

from features.steps.takeover_world import LinkState
from wagtailcleat.wire.parts import Lost

TIMEOUT_SECONDS = 20.0


@when("its agent and the leader are out of contact for {seconds:g} s")
def step_out_of_contact(context, seconds):
    world = context.world
    pair = {context.old_leader.host, context.agent.host}
    world.network.link_state = lambda source, target: (
        LinkState.SILENT if {source, target} == pair else LinkState.OPEN
    )
    world.wait(seconds)


@when(
    "then the leader and the idle agent are cut off from all others, by refusals",
)
def step_split(context):
    world = context.world
    cut_off = {context.old_leader.host, context.idle_agent.host}
    context.old_leader.store.reachable = False
    context.idle_agent.store.reachable = False
    world.network.link_state = lambda source, target: (
        LinkState.REFUSED
        if (source in cut_off) != (target in cut_off)
        else LinkState.OPEN
    )


@when("an agent that does not know yet what runs has reported for {seconds:g} s")
def step_unlisted(context, seconds):
    world = context.world
    agent = context.agent = world.agents[0]
    agent.kill()
    agent.worker.running.clear()
    context.agent = restarted = world.restart(agent)
    make_report = restarted.following._make_report

    def unlisted(epoch, orders_taken):
        report = make_report(epoch, orders_taken)
        return msgspec.structs.replace(report, listed=False, running=[])

    restarted.following._make_report = unlisted
    world.until(lambda: restarted.following.epoch, TIMEOUT_SECONDS, "the agent follows")
    world.wait(seconds)


@then("no answer extends the leases of its runs")
def step_no_contact(context):
    assert context.agent.following.contact_at == 0.0, context.agent.following.contact_at


@when("the other entry restarts, and neither reaches the store")
def step_other_restarts(context):
    (other,) = context.others
    other.kill()
    restarted = context.world.restart(other)
    restarted.store.reachable = context.old_leader.store.reachable = False


@when("the leader's VM loses power, and an entry's connection to it looks open")
def step_half_open(context):
    first = context.others[0]
    stream = first.peers.stream_by_host[context.old_leader.host]

    async def no_answer(message, *, timeout):
        return Lost(True, "no answer in time")

    stream.call = no_answer
    context.old_leader.kill()
    # The far end is gone without a reset, so the connection still looks open.
    context.old_leader.alive = True
    context.others[1].kill()


@when("the leader's process restarts and leads again")
def step_leader_restarts(context):
    world = context.world
    restarted = world.restart(context.old_leader)
    world.until(lambda: restarted in world.leading(), TIMEOUT_SECONDS, "it leads again")


@when("the leader restarts, leads, and is cut off at once by refusals")
def step_restart_and_cut(context):
    world = context.world
    for entry in world.entries:
        entry.kill()
    context.old_leader = restarted = world.restart(context.old_leader)
    restarted.leadership._others.read = _never_read
    world.until(lambda: restarted in world.leading(), TIMEOUT_SECONDS, "it leads again")
    restarted.store.reachable = False
    hosts = {restarted.host}
    world.network.partitions.append((hosts, LinkState.REFUSED))
    restarted.leadership._others._place_by_address.clear()


async def _never_read():
    """Return what a read returns while the store can't be reached."""
    return False
