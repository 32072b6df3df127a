"""Steps on odd values in the leader's keys, in a `TakeoverWorld`."""

import random

import msgspec
from behave import given, then, when

from features.steps.odd_values import (
    UNDECODABLE,
    addressed_values,
    changed,
    draw_value,
    packed,
)
from features.steps.takeover_world import LinkState, TakeoverWorld
from wagtailcleat.cluster.keys import HEARTBEAT_KEY, LEADER_KEY, decode, encode
from wagtailcleat.storage import Txn
from wagtailcleat.wire.scheduling import Leads

EPOCH, NODE, HOST, PORT = 1, 2, 4, 5
"""Indices of the fields of an encoded `Leads`; the first field is the tag."""
FIRST_LEADER = Leads(1, "entry-9", 1, "10.0.0.9", 7720)
STALL_SECONDS = 9.0


def _odd_leader(fields, name):
    epochs = {
        "an epoch of 2^63": 2**63,
        "an epoch of 2^40": 2**40,
        "an epoch above all store revisions": 1_000_000,
        "an epoch of -1": -1,
        "an epoch of 0": 0,
        "an epoch that is true": True,
    }
    if name == "another node's name":
        return packed(changed(fields, NODE, "entry-7"))
    if name in epochs:
        return packed(changed(fields, EPOCH, epochs[name]))
    return addressed_values(fields, host=HOST, port=PORT)[name]


def _put(world, key, value):
    world.keyspace.commit(Txn([], {key: value}))


def _leader_key(world):
    return decode(world.keyspace.found_by_key[LEADER_KEY].value, Leads)


def _fields(world):
    return msgspec.msgpack.decode(world.keyspace.found_by_key[LEADER_KEY].value)


def _note(context):
    context.epoch = _leader_key(context.world).epoch


@given(
    "a store whose leader's key holds {name}, before {entries:d} entries and"
    " {agents:d} agents start"
)
def step_before(context, name, entries, agents):
    context.world = TakeoverWorld(entries=entries, agents=agents)
    context.add_cleanup(context.world.close)
    context.epoch = 0
    fields = msgspec.msgpack.decode(encode(FIRST_LEADER))
    _put(context.world, LEADER_KEY, _odd_leader(fields, name))


@when("the leader's key is overwritten with {name}, and the leader is killed")
def step_overwritten_killed(context, name):
    _note(context)
    world = context.world
    _put(world, LEADER_KEY, _odd_leader(_fields(world), name))
    context.old_leader.kill()


@when("the leader's key is overwritten with {name}")
def step_overwritten(context, name):
    _note(context)
    world = context.world
    _put(world, LEADER_KEY, _odd_leader(_fields(world), name))


@when("all entries restart as the leader's key names another node at its address")
def step_misnamed(context):
    _note(context)
    world = context.world
    for entry in list(world.entries):
        entry.kill()
    _put(world, LEADER_KEY, _odd_leader(_fields(world), "another node's name"))
    for entry in list(world.entries):
        world.restart(entry)


@when("a job is stored")
def step_job(context):
    context.job = context.world.submit(cores=1.0)


@when(
    "{key} is filled with bytes that can't be decoded each {interval:g} s for"
    " {seconds:g} s, and a job is stored each 2 s"
)
def step_repeatedly(context, key, interval, seconds):
    key = HEARTBEAT_KEY if "heartbeat" in key else LEADER_KEY
    _rewrite(context, [key], interval, seconds)


@when(
    "the leader is killed, and both of its keys are overwritten each {interval:g} s"
    " for {seconds:g} s"
)
def step_both_repeatedly(context, interval, seconds):
    context.old_leader.kill()
    _rewrite(context, [HEARTBEAT_KEY, LEADER_KEY], interval, seconds)


def _rewrite(context, keys, interval, seconds):
    """Overwrite keys at an interval, and store a job each 2 s meanwhile."""
    _note(context)
    world = context.world
    context.stored_at_by_job = {}
    ends_at = world.clock() + seconds
    next_job = world.clock()
    while world.clock() < ends_at:
        for key in keys:
            _put(world, key, UNDECODABLE)
        if world.clock() >= next_job:
            job = world.submit(cores=0.1)
            context.stored_at_by_job[job] = world.clock()
            next_job += 2.0
        world.wait(interval)
    world.wait(2.0)


@then("each of these jobs started within {seconds:g} s")
@then("each of the jobs stored meanwhile started within {seconds:g} s")
def step_each_started(context, seconds):
    started_at = {key.task.job: at for at, _, key in reversed(context.world.starts)}
    late = {
        job: started_at.get(job, float("inf")) - at
        for job, at in context.stored_at_by_job.items()
        if started_at.get(job, float("inf")) - at > seconds
    }
    assert not late, late


def _overwrite_both(context):
    _note(context)
    _put(context.world, HEARTBEAT_KEY, UNDECODABLE)
    _put(context.world, LEADER_KEY, UNDECODABLE)


@when("both of the leader's keys are overwritten, and the leader is killed")
def step_both(context):
    _overwrite_both(context)
    context.old_leader.kill()


@when("both of the leader's keys are overwritten, and all entries restart")
def step_both_restart(context):
    world = context.world
    for entry in list(world.entries):
        entry.kill()
    _overwrite_both(context)
    world.wait(1.0)
    for entry in list(world.entries):
        world.restart(entry)


@when(
    "no entry reaches the store for {seconds:g} s, and the leader's key is overwritten"
    " in the middle"
)
def step_outage(context, seconds):
    world = context.world
    for process in world.entries:
        process.store.reachable = False
    world.wait(seconds / 2)
    _put(world, LEADER_KEY, UNDECODABLE)
    world.wait(seconds / 2)
    for process in world.entries:
        process.store.reachable = True


@then("the leader's key names the leader again")
def step_names(context):
    found = _leader_key(context.world)
    assert found.node == context.old_leader.node, found
    assert found.epoch == context.epoch, found


@then("the leader's key names a leader")
def step_names_one(context):
    assert _leader_key(context.world).epoch > 0


@then("a job that is stored starts within {seconds:g} s")
def step_stored_starts(context, seconds):
    _assert_starts(context.world, seconds)


def _assert_starts(world, seconds):
    job = world.submit(cores=0.1)
    world.until(
        lambda: any(key.task.job == job for _, _, key in world.starts),
        seconds,
        f"{job} starts",
    )


@then("the epoch has risen by {count:d}")
def step_epoch(context, count):
    assert _leader_key(context.world).epoch == context.epoch + count


@then("the epoch has risen")
def step_epoch_up(context):
    assert _leader_key(context.world).epoch > context.epoch


@then("no task ran in two places")
def step_no_overlap(context):
    assert not context.world.overlaps, context.world.overlaps


@when("{count:d} random histories of odd values in the leader's keys are played")
def step_random(context, count):
    context.failures = []
    for seed in range(count):
        try:
            _play(seed)
        except AssertionError as error:
            context.failures.append(f"seed {seed}: {error}")


def _play(seed):
    rng = random.Random(seed)
    world = TakeoverWorld(entries=3, agents=3)
    try:
        leader = world.until_led()
        world.wait(rng.uniform(0.5, 12.0))
        world.submit(count=2)
        epoch = _leader_key(world).epoch
        leader_fields = _fields(world)
        for _ in range(rng.randrange(1, 4)):
            if rng.random() < 0.8:
                _put(world, LEADER_KEY, draw_value(leader_fields, rng))
            if rng.random() < 0.4:
                _put(world, HEARTBEAT_KEY, draw_value([True, False, 0.0, 1], rng))
            world.wait(rng.uniform(0.0, 1.5))
        fault = rng.randrange(5)
        if fault == 0:
            leader.kill()
        elif fault == 1:
            # A leader that still reaches the store is not replaced, whatever is stored.
            state = rng.choice([LinkState.REFUSED, LinkState.SILENT])
            world.network.partitions.append(({leader.host}, state))
            leader.store.reachable = False
        elif fault == 2:
            for entry in list(world.entries):
                entry.kill()
                world.restart(entry)
        elif fault == 3:
            _cut_store(world, rng, leader_fields)
        _assert_starts(world, STALL_SECONDS)
        world.wait(3.0)
        assert not world.overlaps, world.overlaps
        assert _leader_key(world).epoch >= epoch, _leader_key(world)
    finally:
        world.close()


def _cut_store(world, rng, leader_fields):
    """Let some entries not reach the store for a while, and overwrite a key then."""
    cut = [entry for entry in world.entries if rng.random() < 0.7]
    for entry in cut:
        entry.store.reachable = False
    if rng.random() < 0.5:
        hosts = {rng.choice(world.entries).host}
        state = rng.choice([LinkState.REFUSED, LinkState.SILENT])
        world.network.partitions.append((hosts, state))
    world.wait(rng.uniform(0.0, 3.0))
    _put(world, LEADER_KEY, draw_value(leader_fields, rng))
    world.submit(cores=0.1)
    world.wait(rng.uniform(0.0, 5.0))
    world.network.partitions.clear()
    for entry in cut:
        entry.store.reachable = True


@then("work went on after each, and no task ran in two places")
def step_no_failures(context):
    assert not context.failures, "\n".join(context.failures)
