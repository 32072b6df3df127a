"""Steps on the time in which no leader may act, in a `TakeoverWorld`."""

import asyncio
from collections import Counter

from behave import then, when

from features.steps.scheduling_world import make_job, plain
from features.steps.takeover_world import LinkState
from wagtailcleat.cluster.keys import (
    LEADER_KEY,
    decode,
    encode,
    entry_key,
    job_key,
)
from wagtailcleat.cluster.leader import ENTRIES_INTERVAL_SECONDS
from wagtailcleat.scheduling.models import Refusal
from wagtailcleat.storage import Txn
from wagtailcleat.wire.scheduling import Leads, Report


def _store_job(world, count=1):
    world.job_count += 1
    job = make_job(f"job-{world.job_count}", plain(count, cores=1.0))
    world.keyspace.commit(Txn([], {job_key(job.id): encode(job)}))
    return job.id


def _epoch(context):
    found = context.world.keyspace.found_by_key[LEADER_KEY]
    return decode(found.value, Leads).epoch


def _started(world, job):
    return {key.task for _, _, key in world.starts if key.task.job == job}


@when("the leader's VM disappears, and a job is stored {seconds:g} s later")
def step_disappears(context, seconds):
    world = context.world
    world.network.partitions.append(({context.old_leader.host}, LinkState.SILENT))
    context.old_leader.store.reachable = False
    context.old_leader.kill()
    world.wait(seconds)
    context.job = _store_job(world)


@then("the job starts within {seconds:g} s")
def step_starts(context, seconds):
    world = context.world
    world.until(lambda: _started(world, context.job), seconds, "the job starts")


@when("one entry is cut off from the others, by dropped messages")
def step_cut_one(context):
    context.epoch = _epoch(context)
    context.world.network.partitions.append(
        ({context.others[0].host}, LinkState.SILENT)
    )


@when("every call to the store takes {seconds:g} s longer")
def step_slow(context, seconds):
    for process in [*context.world.entries, *context.world.agents]:
        process.store.request_delay_seconds = seconds


def _reach_store(world, reachable):
    for process in [*world.entries, *world.agents]:
        process.store.reachable = reachable


@when(
    "another entry becomes unreachable, and no entry reaches the store for"
    " {seconds:g} s"
)
def step_outage(context, seconds):
    world = context.world
    gone = context.others[0]
    world.network.partitions.append(({gone.host}, LinkState.SILENT))
    world.wait(1.0)
    _probe_store(world)
    context.report_counts = _count_reports(world)
    _reach_store(world, False)
    world.wait(seconds)
    _reach_store(world, True)
    gone.store.reachable = False


@when("another entry becomes unreachable for good")
def step_gone(context):
    context.gone = context.others[0]
    context.gone.store.reachable = False
    context.world.network.partitions.append(({context.gone.host}, LinkState.SILENT))
    context.world.wait(ENTRIES_INTERVAL_SECONDS)


@then("it is no longer registered {seconds:g} s after the leader could notice")
def step_deregistered(context, seconds):
    key = entry_key(context.gone.node)
    found = context.world.keyspace.found_by_key
    context.world.until(lambda: key not in found, seconds, "it is deregistered")


def _probe_store(world):
    """Let each entry ask the store four times a second, as its programs do."""

    async def probe(process):
        while True:
            await process.store.get("probe")
            await asyncio.sleep(0.25)

    for entry in world.entries:
        entry.spawn(probe(entry))


def _count_reports(world):
    counts = Counter()

    async def count(source, target, message):
        if isinstance(message, Report):
            counts[source] += 1

    world.network.delay_message = count
    return counts


@when("a job of {count:d} tasks is stored as the store comes back")
def step_store_job(context, count):
    context.refused_before = _refused(context.world)
    context.job = _store_job(context.world, count)
    context.count = count


def _refused(world):
    return sum(
        why is Refusal.NOT_ALLOWED
        for agent in world.agents
        for _, why in agent.worker.refused
    )


@then("its tasks have started within {seconds:g} s, and no start was refused")
def step_all_started(context, seconds):
    world = context.world
    seen = []

    def all_started():
        seen.append(_refused(world))
        return len(_started(world, context.job)) == context.count

    world.until(all_started, seconds, "all tasks have started")
    assert max(seen) == context.refused_before == 0, seen


@then("each agent has sent at most {most:d} reports in that time")
def step_few_reports(context, most):
    assert context.report_counts, "no agent has reported"
    assert max(context.report_counts.values()) <= most, context.report_counts


@when("all processes are killed, and all but the leader are back after {seconds:g} s")
def step_power(context, seconds):
    world = context.world
    for process in [*world.entries, *world.agents]:
        process.kill()
    world.wait(seconds)
    for process in [*world.entries, *world.agents]:
        if process is not context.old_leader:
            world.restart(process)


@when("another entry restarts with its wall clock {seconds:g} s ahead")
def step_clock_ahead(context, seconds):
    world = context.world
    context.epoch = _epoch(context)
    other = context.others[0]
    other.kill()
    world.wait(0.5)
    world.restart(other).wall_offset = seconds


@when(
    "the leader is cut off from the other entries, and its wall clock is {seconds:g} s"
    " behind"
)
def step_clock_behind(context, seconds):
    world, leader = context.world, context.old_leader
    leader.wall_offset = -seconds
    # Until a heartbeat with that time is stored.
    world.wait(1.0)
    entry_hosts = {entry.host for entry in world.entries}
    link_state = world.network.link_state

    def link_state_with_cut(source, target):
        between_entries = {source, target} <= entry_hosts
        if between_entries and leader.host in (source, target):
            return LinkState.SILENT
        return link_state(source, target)

    world.network.link_state = link_state_with_cut
