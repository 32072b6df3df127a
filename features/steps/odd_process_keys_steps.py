"""Steps on odd keys of entries and agents, in a `TakeoverWorld`."""

from behave import then, when

from features.steps.odd_values import UNDECODABLE, addressed_values, packed
from features.steps.takeover_world import PORT, LinkState
from wagtailcleat.cluster.keys import (
    AGENT_PREFIX,
    ENTRY_PREFIX,
    LEADER_KEY,
    agent_key,
    decode,
    entry_key,
)
from wagtailcleat.storage import Txn
from wagtailcleat.wire.scheduling import Leads

FIELDS = ["10.0.2.1", PORT, 1, 1.0]
PREFIX_BY_KIND = {"an agent": AGENT_PREFIX, "an entry": ENTRY_PREFIX}


def _put(context, key, value):
    context.world.keyspace.commit(Txn([], {key: value}))


def _note_epoch(context):
    found = context.world.keyspace.found_by_key[LEADER_KEY]
    context.epoch = decode(found.value, Leads).epoch


@when("another writer stores the key of {kind} with {name}, and the leader is killed")
def step_odd_value(context, kind, name):
    value = addressed_values(FIELDS, host=0, port=1)[name]
    # It is listed before the others.
    _put(context, PREFIX_BY_KIND[kind] + "0-odd", value)
    context.old_leader.kill()


@when(
    "another writer writes an agent's key {times:d} times with {name}, and the leader"
    " is killed"
)
def step_odd_value_again(context, times, name):
    value = addressed_values(FIELDS, host=0, port=1)[name]
    for _ in range(times):
        _put(context, AGENT_PREFIX + "0-odd", value)
    context.old_leader.kill()


@when(
    'another writer stores a valid value under the agent\'s key "{name}", and the'
    " leader is killed"
)
@when(
    'another writer stores a valid value under the agent\'s key "", and the'
    " leader is killed"
)
def step_odd_key(context, name=""):
    _put(context, AGENT_PREFIX + name, packed(FIELDS))
    context.old_leader.kill()


@when("the key of the task's agent is overwritten with bytes that can't be decoded")
def step_agent_overwritten(context):
    _note_epoch(context)
    _put(context, agent_key(context.agent.node), UNDECODABLE)


@when("the store discards its history")
def step_discard_history(context):
    context.world.keyspace.history.clear()


@when("the leader is killed, and the task's agent is cut off from everything else")
def step_agent_cut(context):
    context.old_leader.kill()
    context.agent.store.reachable = False
    context.world.network.partitions.append(({context.agent.host}, LinkState.SILENT))


@then("the killed entry is no longer registered {seconds:g} s later")
def step_deregistered(context, seconds):
    key = entry_key(context.old_leader.node)
    found = context.world.keyspace.found_by_key
    context.world.until(lambda: key not in found, seconds, "it is deregistered")


@when(
    "another entry's key is overwritten, the leader restarts, and no entry but that"
    " one reaches the store"
)
def step_entry_overwritten(context):
    world = context.world
    hidden = context.others[0]
    context.acting = []
    context.old_leader.kill()
    _put(context, entry_key(hidden.node), UNDECODABLE)
    context.others[1].kill()
    world.restart(context.old_leader)
    world.restart(context.others[1])
    # The hidden entry may not claim before the others have read the entries' keys.
    world.network.partitions.append(({hidden.host}, LinkState.SILENT))
    hidden.store.reachable = False
    leader = world.until_led()
    world.until(
        lambda: leader.leadership._other_entries.has_read, 5.0, "it reads the entries"
    )
    for entry in world.entries:
        entry.store.reachable = entry is hidden

    def note():
        acting = [
            entry.node
            for entry in world.entries
            if entry.alive
            and entry.leader
            and entry.leader.acting
            and world.clock() > entry.leader.lease.predecessors_until
        ]
        context.acting.append((world.clock(), acting, len(world.leading())))
        world.loop.call_later(0.05, note)

    note()


@then("at no time two entries could lead")
def step_one_leads(context):
    both = [row for row in context.acting if row[1] and row[2] > 1]
    assert not both, both[:3]


@when("another writer has stored odd values under {what}")
def step_stored_odd(context, what):
    _note_epoch(context)
    context.rewrites = "again" in what
    if "task's agent" in what:
        _put(context, agent_key(context.agent.node), UNDECODABLE)
        return
    odd = addressed_values(FIELDS, host=0, port=1).values()
    for prefix in (ENTRY_PREFIX, AGENT_PREFIX):
        if prefix == ENTRY_PREFIX or "agents" in what:
            for number, value in enumerate(odd):
                _put(context, f"{prefix}0-odd-{number}", value)
            _put(context, prefix + "a/b", packed(FIELDS))


@when("no entry reaches the store for {seconds:g} s")
def step_no_store(context, seconds):
    world = context.world
    for entry in world.entries:
        entry.store.reachable = False
    world.wait(seconds / 2)
    if context.rewrites:
        # Then they are no longer as they were created.
        for number in range(3):
            _put(context, f"{ENTRY_PREFIX}0-odd-{number}", UNDECODABLE)
    world.wait(seconds / 2)
    for entry in world.entries:
        entry.store.reachable = True


@then("the epoch is the same")
def step_epoch_same(context):
    found = context.world.keyspace.found_by_key[LEADER_KEY]
    assert decode(found.value, Leads).epoch == context.epoch, found


@when("a peer announces a leader of epoch {epoch:d} to all entries")
def step_announced(context, epoch):
    world = context.world
    for entry in world.entries:
        leads = Leads(epoch, "entry-9", 1, "10.0.0.99", PORT)
        world.loop.create_task(entry.leadership.leader_announced(leads))
    world.wait(1.0)


@when("the leader is killed, and a job is stored")
def step_killed(context):
    context.old_leader.kill()
    context.job = context.world.submit(cores=1.0)
