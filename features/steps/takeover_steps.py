"""Steps on changes of leader, in a `TakeoverWorld` on virtual time.

The simulated network delays, drops and refuses messages.
"""

import asyncio

from behave import given, then, when

from features.steps.scheduling_world import make_job, plain
from features.steps.takeover_histories import RetryHistory, play_histories
from features.steps.takeover_world import LinkState, TakeoverWorld
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

TIMEOUT_SECONDS = 20.0


@given("{entries:d} entries and {agents:d} agents on virtual time, one of which leads")
def step_world(context, entries, agents):
    context.world = TakeoverWorld(entries=entries, agents=agents)
    context.add_cleanup(context.world.close)
    context.old_leader = context.world.until_led()
    # Until every agent is registered and the leader's first heartbeats are stored.
    context.world.wait(2.0)
    context.others = [e for e in context.world.entries if e is not context.old_leader]


def _epoch(context):
    found = context.world.keyspace.found_by_key[LEADER_KEY]
    return decode(found.value, Leads).epoch


def _hosts(processes):
    return {process.host for process in processes}


@given("a task runs")
def step_runs(context):
    world = context.world
    context.job = world.submit()
    world.until(world.running, TIMEOUT_SECONDS, "the task runs")
    # Until its agent has listed it.
    world.wait(0.5)
    context.agent = world.running()[0][0]
    context.idle_agent = next(
        agent for agent in world.agents if agent is not context.agent
    )


@when(
    "the leader is killed while one entry's calls to the store take {seconds:g} s"
    " longer"
)
def step_killed_slow_store(context, seconds):
    context.others[1].store.request_delay_seconds = seconds
    context.old_leader.kill()


@when("{seconds:g} s pass")
def step_wait(context, seconds):
    context.world.wait(seconds)


@when("the leader resigns, and one entry acts on the hand-over late")
def step_late_hand_over(context):
    # The leader waits 0.6 s for this entry's answer, and then asks the next entry.
    first = context.old_leader.leadership._other_entries.entries()[0]
    late = context.world.network.process_by_host[first.host]
    late.store.request_delay_seconds = 0.65
    world = context.world

    async def delay_message(source, target, message):
        if source == late.host and isinstance(message, Leads):
            await asyncio.Event().wait()

    world.network.delay_message = delay_message
    world.loop.call_later(
        0.6, lambda: setattr(late.store, "request_delay_seconds", 0.0)
    )
    world.loop.create_task(context.old_leader.leadership.step_down())


@when("the leader is killed, and the answer to the next claim takes {seconds:g} s")
def step_slow_claim(context, seconds):
    for entry in context.others:
        entry.store.answer_delay_seconds = seconds
    context.old_leader.kill()


@when("the leader is cut off from the store and, by refusals, from all other entries")
def step_cut_alone(context):
    context.old_leader.store.reachable = False
    context.world.network.partitions.append(
        (_hosts([context.old_leader]), LinkState.REFUSED)
    )


@when(
    "the leader and the task's agent are cut off from everything else, by"
    " dropped messages"
)
def step_cut_by_drops(context):
    _isolate_leader_and_agent(context, LinkState.SILENT)


@when("the leader and the task's agent are cut off from everything else, by refusals")
def step_cut_by_refusals(context):
    _isolate_leader_and_agent(context, LinkState.REFUSED)


def _isolate_leader_and_agent(context, link_state):
    pair = [context.old_leader, context.agent]
    context.world.network.partitions.append((_hosts(pair), link_state))
    for process in pair:
        process.store.reachable = False


@when("another entry leads")
def step_another_leads(context):
    context.new_leader = context.world.until_led(but=context.old_leader)


@when("the new leader resigns")
def step_resigns(context):
    context.world.loop.create_task(context.new_leader.leadership.step_down())


@when("a job is stored and the old leader is told of it too")
def step_both_leaders_know_job(context):
    world = context.world
    world.job_count += 1
    job = make_job(f"job-{world.job_count}", plain(1, cores=4.0))
    value = encode(job)
    world.keyspace.commit(Txn([], {job_key(job.id): value}))
    if context.old_leader.leader is not None:
        world.loop.run(context.old_leader.leader.submitted(Submitted(job.id, value)))
    context.job = job.id


@given("it has led for long")
def step_led_long(context):
    context.world.wait(ESTABLISHED_LEADER_SECONDS)


@when("the leader is killed")
def step_killed(context):
    context.old_leader.kill()


@when("the entry that claims is told to stop meanwhile")
def step_claimant_stops(context):
    world = context.world
    world.until(lambda: _epoch(context) > 1, TIMEOUT_SECONDS, "a claim is stored")
    found = world.keyspace.found_by_key[LEADER_KEY]
    host = decode(found.value, Leads).host
    context.claimant = world.network.process_by_host[host]
    world.loop.create_task(context.claimant.leadership.step_down())
    for entry in context.others:
        entry.store.answer_delay_seconds = 0.0


@then("a third entry leads within {seconds:g} s")
def step_third(context, seconds):
    world = context.world
    world.until(
        lambda: any(entry is not context.claimant for entry in world.leading()),
        seconds,
        "a third entry leads",
    )


@when("the entries are cut off from each other, by refusals")
def step_cut_entries(context):
    context.epoch = _epoch(context)
    context.world.network.partitions.append(
        (_hosts([context.old_leader]), LinkState.REFUSED)
    )
    for agent in context.world.agents:
        agent.kill()


@when(
    "the leader is told to stop while an order is in transit, and the agent receives"
    " it between its report to the next leader and the answer"
)
def step_order_between(context):
    world = context.world
    context.release_order = asyncio.Event()
    context.release_answer = asyncio.Event()
    seen_by_kind = {}

    async def delay_message(source, target, message):
        if (
            isinstance(message, Orders)
            and message.starts
            and source == context.old_leader.host
        ):
            seen_by_kind.setdefault("agent", target)
            await context.release_order.wait()
        accepted = (
            isinstance(message, ReportTaken) and source != context.old_leader.host
        )
        if (
            accepted
            and target == seen_by_kind.get("agent")
            and "report" not in seen_by_kind
        ):
            seen_by_kind["report"] = message
            await context.release_answer.wait()

    world.network.delay_message = delay_message
    context.job = world.submit()
    world.until(
        lambda: "agent" in seen_by_kind, TIMEOUT_SECONDS, "an order is in transit"
    )
    _enlarge_other_agents(context, seen_by_kind["agent"])
    world.loop.create_task(context.old_leader.leadership.step_down())
    world.until_led(but=context.old_leader)
    world.until(
        lambda: "report" in seen_by_kind,
        TIMEOUT_SECONDS,
        "the next leader has answered the agent",
    )
    context.release_order.set()
    world.wait(0.02)
    context.release_answer.set()


def _enlarge_other_agents(context, host):
    # The next leader prefers larger agents, so it restarts a task on another agent.
    for agent in context.world.agents:
        if agent.host != host:
            agent.worker.cores = 32.0


@when("the leader is told to stop and its port closes while an order is in transit")
def step_stop_closed(context):
    world = context.world
    in_transit = asyncio.Event()
    context.release = asyncio.Event()

    async def delay_message(source, target, message):
        if (
            isinstance(message, Orders)
            and message.starts
            and source == context.old_leader.host
        ):
            _enlarge_other_agents(context, target)
            in_transit.set()
            await context.release.wait()

    world.network.delay_message = delay_message
    context.job = world.submit()
    world.until(in_transit.is_set, TIMEOUT_SECONDS, "an order is in transit")
    world.loop.create_task(context.old_leader.leadership.step_down())
    context.old_leader.is_listening = False
    world.until_led(but=context.old_leader)
    world.wait(0.5)
    context.release.set()


@when("the leader is told to stop and no message from it reaches another entry")
def step_stop_messages_lost(context):
    hosts = _hosts([context.old_leader])
    context.world.network.partitions.append((hosts, LinkState.SILENT))
    context.world.loop.create_task(context.old_leader.leadership.step_down())


@when("the leader is cut off from the other entries and the store, but not from agents")
def step_cut_entries_only(context):
    world = context.world
    context.old_leader.store.reachable = False

    def link_state(
        source,
        target,
        entries=frozenset(world.entry_hosts),
        old=context.old_leader.host,
    ):
        cut = source in entries and target in entries and old in (source, target)
        return LinkState.REFUSED if cut else LinkState.OPEN

    world.network.link_state = link_state


@when("an agent that follows the new leader restarts and asks the old one first")
def step_agent_restarts(context):
    world = context.world
    agent = context.agent = world.agents[0]
    world.until(
        lambda: agent.following.epoch == _epoch(context),
        TIMEOUT_SECONDS,
        "the agent follows the new leader",
    )
    agent.kill()
    agent.worker.running.clear()
    context.agent = restarted = world.restart(agent)
    restarted.following._entries = [(context.old_leader.host, 1)]


@then("one claim was made")
def step_one_claim(context):
    assert _epoch(context) == 2, f"epoch {_epoch(context)}"


@then("at most one claim was made")
def step_one_claim_at_most(context):
    assert _epoch(context) <= context.epoch + 1, f"epoch {_epoch(context)}"


@then("no claim was made")
def step_no_claim(context):
    assert _epoch(context) == context.epoch, f"epoch {_epoch(context)}"


@then("the leader may no longer act")
def step_not_acting(context):
    assert not context.old_leader.leader or not context.old_leader.leader.acting


@then("the task ends within {seconds:g} s of the leader's last renewal")
def step_run_ends(context, seconds):
    world = context.world
    world.until(
        lambda: not context.agent.worker.running, seconds, "the task's lease has ended"
    )


@then("no task runs in two places in {seconds:g} s")
def step_runs_once(context, seconds):
    context.world.wait(seconds)
    assert not context.world.overlaps, context.world.overlaps


@then("the task runs elsewhere within {seconds:g} s")
def step_elsewhere(context, seconds):
    world = context.world
    world.until(lambda: context.idle_agent.worker.running, seconds, "it runs elsewhere")


@then("another entry leads within {seconds:g} s")
def step_leads_within(context, seconds):
    world = context.world
    world.until(
        lambda: any(entry is not context.old_leader for entry in world.leading()),
        seconds,
        "another entry leads",
    )


@then("the agent does not follow the old leader")
def step_not_following_old(context):
    world = context.world
    old_epoch = 1
    world.until(
        lambda: context.agent.following.epoch != 0, TIMEOUT_SECONDS, "the agent follows"
    )
    assert context.agent.following.epoch != old_epoch, "it follows the old leader"


@when("{count:d} random histories with changes of leaders are played")
def step_histories(context, count):
    context.failures = play_histories(range(1, count + 1))


@when("{count:d} random histories with failed runs and changes of leaders are played")
def step_retry_histories(context, count):
    context.failures = play_histories(range(1, count + 1), RetryHistory)


@then("no task ran in two places, and work started again after each")
def step_histories_held(context):
    assert not context.failures, context.failures


def _isolate_follower(context):
    """Drop all messages of an entry that doesn't lead; cut it off from the store."""
    world = context.world
    isolated = next(entry for entry in world.entries if entry is not context.old_leader)
    isolated.store.reachable = False
    world.network.partitions.append(({isolated.host}, LinkState.SILENT))
    return isolated


@given("each entry reads the store five times a second")
def step_read_often(context):
    async def read(store):
        while True:
            await store.get(LEADER_KEY)
            await asyncio.sleep(0.2)

    for entry in context.world.entries:
        entry.spawn(read(entry.store))


@when("another entry becomes unreachable, and 1 s later no entry reaches the store")
def step_store_unreachable(context):
    _isolate_follower(context)
    context.world.wait(1.0)
    for entry in context.world.entries:
        entry.store.reachable = False


@when("another entry becomes unreachable, and the leader can't reach the store")
def step_store_unreachable_for_leader(context):
    _isolate_follower(context)
    context.world.wait(1.0)
    context.old_leader.store.reachable = False


@then(
    "the leader acts for another {seconds:g} s, and still leads once the store is back"
)
def step_acts_on(context, seconds):
    world = context.world
    ends_at = world.clock() + seconds
    # Its last renewal may be up to one renewal interval old.
    ends_at -= RENEWAL_INTERVAL_SECONDS
    while world.clock() < ends_at:
        assert world.leading() == [context.old_leader], world.leading()
        world.wait(0.05)
    world.wait(RENEWAL_INTERVAL_SECONDS)
    for entry in world.entries:
        entry.store.reachable = True
    world.wait(RENEWAL_INTERVAL_SECONDS * 2)
    assert world.leading() == [context.old_leader], world.leading()


@when(
    "no entry reaches the store for {seconds:g} s, and all reach it as the leader"
    " asks for promises"
)
def step_store_back(context, seconds):
    world = context.world
    for entry in world.entries:
        entry.store.reachable = False
    world.wait(seconds)

    async def delay_message(source, target, message):
        if isinstance(message, KeepFollowing):
            for entry in world.entries:
                entry.store.reachable = True

    world.network.delay_message = delay_message
    world.until(
        lambda: context.old_leader.store.reachable,
        TIMEOUT_SECONDS,
        "it asks for promises",
    )


@then("the leader still leads in the same term {seconds:g} s later")
def step_still_leads(context, seconds):
    epoch = context.old_leader.leadership.leader.epoch
    context.world.wait(seconds)
    assert context.world.leading() == [context.old_leader]
    assert _epoch(context) == epoch
