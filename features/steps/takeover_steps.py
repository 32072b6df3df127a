"""Steps on changes of the leader: on virtual time, with a network that can refuse."""

import asyncio

from behave import given, then, when

from features.steps.scheduling_world import make_job, plain
from features.steps.takeover_histories import play_histories
from features.steps.takeover_world import TakeoverWorld, Way
from wagtailcleat.cluster.keys import LEADER_KEY, decode, encode, job_key
from wagtailcleat.cluster.timing import (
    ESTABLISHED_LEADER_SECONDS,
    RENEWAL_INTERVAL_SECONDS,
)
from wagtailcleat.storage import Txn
from wagtailcleat.wire.scheduling import (
    KeepFollowing,
    Leads,
    Orders,
    ReportTaken,
    Submitted,
)

SECONDS = 20.0


@given("{entries:d} entries and {agents:d} agents on virtual time, one of which leads")
def step_world(context, entries, agents):
    context.world = TakeoverWorld(entries=entries, agents=agents)
    context.add_cleanup(context.world.close)
    context.old = context.world.until_led()
    # Every agent is registered, and the leader's first beats are stored.
    context.world.wait(2.0)
    context.others = [e for e in context.world.entries if e is not context.old]


def _epoch(context):
    found = context.world.keyspace.found_by_key[LEADER_KEY]
    return decode(found.value, Leads).epoch


def _hosts(processes):
    return {process.host for process in processes}


# ---- what happens


@given("a task runs")
def step_runs(context):
    world = context.world
    context.job = world.submit()
    world.until(world.running, SECONDS, "the task runs")
    # Its agent has listed it.
    world.wait(0.5)
    context.agent = world.running()[0][0]
    context.free = next(agent for agent in world.agents if agent is not context.agent)


@when("the leader dies while one entry's calls to the store take {seconds:g} s more")
def step_dies_slow(context, seconds):
    context.others[1].store.slow_seconds = seconds
    context.old.kill()


@when("{seconds:g} s pass")
def step_pass(context, seconds):
    context.world.wait(seconds)


@when("the leader lays down its office, and the word of it reaches one entry late")
def step_late_word(context):
    # The leader waits 0.6 s for its answer, and then tells the next entry.
    first = context.old.leadership._other_entries.entries()[0]
    told = context.world.network.process_by_host[first.host]
    told.store.slow_seconds = 0.65
    world = context.world

    async def hold(near, far, message):
        if near == told.host and isinstance(message, Leads):
            await asyncio.Event().wait()

    world.network.hold = hold
    world.loop.call_later(0.6, lambda: setattr(told.store, "slow_seconds", 0.0))
    world.loop.create_task(context.old.leadership.step_down())


@when("the leader dies, and the answer to the next claim is {seconds:g} s on its way")
def step_slow_claim(context, seconds):
    for entry in context.others:
        entry.store.answer_seconds = seconds
    context.old.kill()


@when("the leader is cut from the store and, with refusals, from all other entries")
def step_cut_alone(context):
    context.old.store.reached = False
    context.world.network.cut.append((_hosts([context.old]), Way.REFUSED))


@when("the leader and the task's agent are cut from everything else, in silence")
def step_cut_silent(context):
    _cut_together(context, Way.SILENT)


@when("the leader and the task's agent are cut from everything else, with refusals")
def step_cut_refused(context):
    _cut_together(context, Way.REFUSED)


def _cut_together(context, way):
    pair = [context.old, context.agent]
    context.world.network.cut.append((_hosts(pair), way))
    for process in pair:
        process.store.reached = False


@when("another entry leads")
def step_another(context):
    context.new = context.world.until_led(but=context.old)


@when("that one lays down its office")
def step_lays_down(context):
    context.world.loop.create_task(context.new.leadership.step_down())


@when("a job is stored and the old leader is told of it too")
def step_both_told(context):
    world = context.world
    world.jobs += 1
    job = make_job(f"job-{world.jobs}", plain(1, cores=4.0))
    value = encode(job)
    world.keyspace.commit(Txn([], {job_key(job.id): value}))
    if context.old.leader is not None:
        world.loop.run(context.old.leader.submitted(Submitted(job.id, value)))
    context.job = job.id


@given("it has led for long")
def step_led_long(context):
    context.world.wait(ESTABLISHED_LEADER_SECONDS)


@when("the leader dies")
def step_dies(context):
    context.old.kill()


@when("the entry that claims is told to stop meanwhile")
def step_claimer_stops(context):
    world = context.world
    world.until(lambda: _epoch(context) > 1, SECONDS, "a claim is stored")
    found = world.keyspace.found_by_key[LEADER_KEY]
    host = decode(found.value, Leads).host
    context.claimer = world.network.process_by_host[host]
    world.loop.create_task(context.claimer.leadership.step_down())
    for entry in context.others:
        entry.store.answer_seconds = 0.0


@then("a third entry leads within {seconds:g} s")
def step_third(context, seconds):
    world = context.world
    world.until(
        lambda: any(entry is not context.claimer for entry in world.leading()),
        seconds,
        "a third entry leads",
    )


@when("the entries are cut from each other, with refusals")
def step_cut_entries(context):
    context.epoch = _epoch(context)
    context.world.network.cut.append((_hosts([context.old]), Way.REFUSED))
    for agent in context.world.agents:
        agent.kill()


@when(
    "the leader is told to stop while an order is on its way, and the agent takes it"
    " between its report to the next leader and the answer"
)
def step_order_between(context):
    world = context.world
    context.release_order = asyncio.Event()
    context.release_answer = asyncio.Event()
    seen = {}

    async def hold(near, far, message):
        if isinstance(message, Orders) and message.starts and near == context.old.host:
            seen.setdefault("agent", far)
            await context.release_order.wait()
        taken = isinstance(message, ReportTaken) and near != context.old.host
        if taken and far == seen.get("agent") and "report" not in seen:
            seen["report"] = message
            await context.release_answer.wait()

    world.network.hold = hold
    context.job = world.submit()
    world.until(lambda: "agent" in seen, SECONDS, "an order is on its way")
    _grow_others(context, seen["agent"])
    world.loop.create_task(context.old.leadership.step_down())
    world.until_led(but=context.old)
    world.until(lambda: "report" in seen, SECONDS, "the agent was heard")
    context.release_order.set()
    world.wait(0.02)
    context.release_answer.set()


def _grow_others(context, host):
    # The next leader prefers them: what it starts again, it starts elsewhere.
    for agent in context.world.agents:
        if agent.host != host:
            agent.worker.cores = 32.0


@when("the leader is told to stop and its port closes, an order still on its way")
def step_stop_closed(context):
    world = context.world
    held = asyncio.Event()
    context.release = asyncio.Event()

    async def hold(near, far, message):
        if isinstance(message, Orders) and message.starts and near == context.old.host:
            _grow_others(context, far)
            held.set()
            await context.release.wait()

    world.network.hold = hold
    context.job = world.submit()
    world.until(held.is_set, SECONDS, "an order is on its way")
    world.loop.create_task(context.old.leadership.step_down())
    context.old.listens = False
    world.until_led(but=context.old)
    world.wait(0.5)
    context.release.set()


@when("the leader is told to stop and no word of it reaches another entry")
def step_stop_unheard(context):
    hosts = _hosts([context.old])
    context.world.network.cut.append((hosts, Way.SILENT))
    context.world.loop.create_task(context.old.leadership.step_down())


@when("the leader is cut from the other entries and the store, but not from agents")
def step_cut_entries_only(context):
    world = context.world
    context.old.store.reached = False

    def way(near, far, entries=frozenset(world.entry_hosts), old=context.old.host):
        cut = near in entries and far in entries and old in (near, far)
        return Way.REFUSED if cut else Way.OPEN

    world.network.way = way


@when("an agent that the new leader has heard dies, and asks the old one first")
def step_agent_reborn(context):
    world = context.world
    agent = context.agent = world.agents[0]
    world.until(
        lambda: agent.following.epoch == _epoch(context),
        SECONDS,
        "the agent follows the new leader",
    )
    agent.kill()
    agent.worker.running.clear()
    context.agent = again = world.restart(agent)
    again.following._entries = [(context.old.host, 1)]


# ---- what must hold


@then("one claim was made")
def step_one_claim(context):
    assert _epoch(context) == 2, f"epoch {_epoch(context)}"


@then("at most one claim was made")
def step_one_claim_at_most(context):
    assert _epoch(context) <= context.epoch + 1, f"epoch {_epoch(context)}"


@then("no claim was made")
def step_no_claim(context):
    assert _epoch(context) == context.epoch, f"epoch {_epoch(context)}"


@then("the leader may not act any more")
def step_not_acting(context):
    assert not context.old.leader or not context.old.leader.acting


@then("the task ends within {seconds:g} s of the leader's last renewal")
def step_lapses(context, seconds):
    world = context.world
    world.until(
        lambda: not context.agent.worker.running, seconds, "the task's lease has ended"
    )


@then("no task runs in two places in {seconds:g} s")
def step_once(context, seconds):
    context.world.wait(seconds)
    assert not context.world.overlaps, context.world.overlaps


@then("the task runs elsewhere within {seconds:g} s")
def step_elsewhere(context, seconds):
    world = context.world
    world.until(lambda: context.free.worker.running, seconds, "it runs elsewhere")


@then("another entry leads within {seconds:g} s")
def step_leads_within(context, seconds):
    world = context.world
    world.until(
        lambda: any(entry is not context.old for entry in world.leading()),
        seconds,
        "another entry leads",
    )


@then("the agent carries out no order of the old leader")
def step_not_old(context):
    world = context.world
    old = 1
    world.until(
        lambda: context.agent.following.epoch != 0, SECONDS, "the agent follows"
    )
    assert context.agent.following.epoch != old, "it follows the old leader"


@when("{count:d} random histories with changes of leaders are played")
def step_histories(context, count):
    context.broken = play_histories(range(1, count + 1))


@then("no task ran in two places, and work started again after each")
def step_histories_held(context):
    assert not context.broken, context.broken


def _lose_another(context):
    """Cut an entry that doesn't lead off from everything, in silence."""
    world = context.world
    gone = next(entry for entry in world.entries if entry is not context.old)
    gone.store.reached = False
    world.network.cut.append(({gone.host}, Way.SILENT))
    return gone


@given("each entry reads the store five times a second")
def step_read_often(context):
    async def read(store):
        while True:
            await store.get(LEADER_KEY)
            await asyncio.sleep(0.2)

    for entry in context.world.entries:
        entry.spawn(read(entry.store))


@when("another entry is gone in silence, and the store is away for all 1 s later")
def step_store_away(context):
    _lose_another(context)
    context.world.wait(1.0)
    for entry in context.world.entries:
        entry.store.reached = False


@when("another entry is gone in silence, and the store is away for the leader")
def step_store_away_from_leader(context):
    _lose_another(context)
    context.world.wait(1.0)
    context.old.store.reached = False


@then("the leader acts for {seconds:g} s more, and leads on once the store is back")
def step_acts_on(context, seconds):
    world = context.world
    ends_at = world.clock() + seconds
    # Its last renewal may be a renewal's interval old.
    ends_at -= RENEWAL_INTERVAL_SECONDS
    while world.clock() < ends_at:
        assert world.leading() == [context.old], world.leading()
        world.wait(0.05)
    world.wait(RENEWAL_INTERVAL_SECONDS)
    for entry in world.entries:
        entry.store.reached = True
    world.wait(RENEWAL_INTERVAL_SECONDS * 2)
    assert world.leading() == [context.old], world.leading()


@when(
    "the store is away for all for {seconds:g} s, and comes back as the leader asks"
    " for words"
)
def step_back_between(context, seconds):
    world = context.world
    for entry in world.entries:
        entry.store.reached = False
    world.wait(seconds)

    async def hold(near, far, message):
        if isinstance(message, KeepFollowing):
            for entry in world.entries:
                entry.store.reached = True

    world.network.hold = hold
    world.until(lambda: context.old.store.reached, SECONDS, "it asks for words")


@then("the leader has led on {seconds:g} s later")
def step_led_on(context, seconds):
    epoch = context.old.leadership.leader.epoch
    context.world.wait(seconds)
    assert context.world.leading() == [context.old]
    assert _epoch(context) == epoch
