"""Steps for many gossiping nodes in one process, and for a single view."""

import asyncio
import logging
import random

from behave import given, then, when
from msgspec.structs import replace

from bench.mesh import Mesh, member, wait_until
from bench.virtual_time import run_virtual
from wagtailcleat.configuration.models import Configuration
from wagtailcleat.ids import Revision, ShardId
from wagtailcleat.membership.view import (
    BUCKET_COUNT,
    CHECKSUM_MASK,
    GONE_STATES,
    View,
    _bucket,
    _fingerprint,
)
from wagtailcleat.wire.membership import MemberState

SEED = 1
SHARDS = 8


@given(
    "{count:d} processes that know each other, on a network that loses"
    " {loss:g} of exchanges"
)
def step_mesh(context, count, loss):
    context.mesh_size, context.loss = count, loss


@when("a process reads a configuration from the store")
def step_change(context):
    async def main(clock):
        mesh = Mesh(clock, seed=SEED)
        mesh.add_nodes(context.mesh_size, seeds=1)
        mesh.loss = context.loss
        await mesh.start()
        await asyncio.sleep(mesh.timing.idle_close)
        source = mesh.nodes[0]
        source.in_force.adopt(Configuration(Revision(1), "one"), clock())
        source.gossiper.configuration_changed()
        return await wait_until(
            mesh, lambda: all(n.in_force.revision == 1 for n in mesh.nodes)
        )

    logging.disable(logging.WARNING)
    context.add_cleanup(logging.disable, logging.NOTSET)
    context.seconds = run_virtual(main)


@then("it is in force at all processes within {seconds:d} seconds")
def step_in_force(context, seconds):
    assert context.seconds <= seconds, context.seconds


@given("a view that merges {updates:d} random updates of {count:d} members")
def step_view(context, updates, count):
    context.view = View(member(0), random.Random(SEED))
    context.updates, context.count = updates, count


@then("after each its index and its checksums equal those computed from all members")
def step_index(context):
    view, rng = context.view, random.Random(SEED)
    for now in range(context.updates):
        view.merge(_random_update(rng, context.count), now)
        if rng.random() < 0.2:
            view.expire(now, suspicion=3, forget_lost=50)
        live = [m for m in view.member_by_node.values() if m.state not in GONE_STATES]
        assert view.live() == live
        assert view.bucket_checksums() == _computed_checksums(live)
        for shard in map(ShardId, range(SHARDS)):
            owners = [m for m in live if shard in m.shards]
            newest = max(owners, key=lambda m: m.version, default=None)
            assert view.owner(shard) == newest


def _random_update(rng, count):
    return replace(
        member(rng.randrange(count)),
        version=rng.randrange(60),
        state=rng.choice(list(MemberState)),
        shards=rng.sample(range(SHARDS), 2),
    )


def _computed_checksums(live):
    checksums = [0] * BUCKET_COUNT
    for live_member in live:
        bucket = _bucket(live_member.node)
        checksums[bucket] = (
            checksums[bucket] + _fingerprint(live_member)
        ) & CHECKSUM_MASK
    return checksums
