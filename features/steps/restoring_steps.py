"""Steps on a leader that takes long to restore the stored jobs, on virtual time."""

import asyncio

import msgspec
from behave import given, then, when

from features.steps.leader_world import TIMEOUT_SECONDS as LEADER_SECONDS
from features.steps.leader_world import LeaderWorld
from features.steps.scheduling_world import make_job, plain
from features.steps.takeover_world import TakeoverWorld
from wagtailcleat.cluster.keys import JOB_PREFIX, cancel_key, encode, record_key
from wagtailcleat.scheduling.models import RunEnd
from wagtailcleat.wire.scheduling import KeepFollowing, Leads

TIMEOUT_SECONDS = 20.0
AGENTS = 3


@given(
    "{count:d} entries on virtual time,"
    " the first of them {weight:d} times as large, which leads"
)
def step_world(context, count, weight):
    weights = [float(weight)] + [1.0] * (count - 1)
    world = TakeoverWorld(entries=count, agents=AGENTS, weights=weights)
    context.world = world
    context.add_cleanup(world.close)
    context.large = world.until_led()
    assert context.large is world.entries[0]
    # By then every agent is registered, and the entries know each other.
    world.wait(2.0)


@when("the large entry dies, and the list of jobs takes the others {seconds:g} s")
def step_dies(context, seconds):
    for entry in context.world.entries[1:]:
        entry.store.job_list_delay_seconds = seconds
    context.large.kill()


@when("another entry claims")
def step_claims(context):
    world = context.world

    def claimed():
        return any(entry.leader for entry in world.entries[1:])

    world.until(claimed, TIMEOUT_SECONDS, "another entry claims")
    context.small = next(entry for entry in world.entries[1:] if entry.leader)
    assert not context.small.leader.ready


@when("the large entry comes back")
def step_comes_back(context):
    context.large = context.world.restart(context.large)


@then("it leads within {seconds:g} s")
def step_leads(context, seconds):
    world = context.world
    world.until(
        lambda: context.large in world.leading(), seconds, "the large entry leads"
    )


@when("it has restored the stored jobs")
def step_restored(context):
    leader = context.small.leader
    context.world.until(
        lambda: leader.ready, TIMEOUT_SECONDS, "the stored jobs are restored"
    )


@then("each agent was refused {count:d} times at most")
def step_refused(context, count):
    refused = context.small.refused_reports
    assert len(refused) == AGENTS, refused
    assert max(refused.values()) <= count, refused


@then("each agent has reported within {seconds:g} s")
def step_reported(context, seconds):
    scheduler = context.small.leader.scheduler
    context.world.until(
        lambda: not scheduler.unreported_agents, seconds, "every agent has reported"
    )


@when("a small entry dies, comes back and learns at once who leads")
def step_learns_early(context):
    world = context.world
    small = world.entries[-1]
    small.kill()
    context.small = world.restart(small)
    announced = context.small.leadership.leader_announced(
        context.large.leadership.leader
    )
    world.loop.run_until_complete(announced)


@then("it gives the leader its promise within {seconds:g} s")
def step_promise(context, seconds):
    world = context.world
    leadership = context.small.leadership

    def given():
        asked = KeepFollowing(context.large.leadership.leader.epoch)
        promise = world.loop.run_until_complete(leadership.keep_following(asked))
        return promise.seconds > 0

    world.until(given, seconds, "it gives its promise")


@given("a leader whose store answers no write of several records above {size:d} bytes")
def step_leader(context, size):
    context.leading = LeaderWorld()
    context.add_cleanup(context.leading.close)
    context.leading.store.max_write_bytes = size
    context.leading.lead()
    context.leading.until(lambda: context.leading.leader.ready)
    context.leading.rounds()


@when("{count:d} jobs have a run that ends with {size:d} bytes of checkpoint")
def step_large(context, count, size):
    _run_jobs(context, count)
    _end_runs(context.leading, size)


def _run_jobs(context, count):
    world = context.leading
    context.jobs = [f"{number:016x}" for number in range(count)]
    for job in context.jobs:
        world.store_job(make_job(job, plain(1, cores=0.5)))
    world.until(lambda: all(world.runs(job) for job in context.jobs))


def _end_runs(world, size):
    for worker in world.workers:
        for key in list(worker.running):
            worker.end(key, RunEnd.STOPPED, checkpoint="x" * size)
    world.rounds()


@then("the progress of each of them is stored")
def step_stored(context):
    world = context.leading
    stored = world.store.found_by_key
    world.until(lambda: all(record_key(job) in stored for job in context.jobs))


@given("a leader of {count:d} jobs with specs of {size:d} bytes")
def step_leader_of_jobs(context, count, size):
    world = context.leading = LeaderWorld()
    context.add_cleanup(world.close)
    world.lead()
    world.until(lambda: world.leader.ready)
    world.rounds()
    context.jobs = [f"{number:016x}" for number in range(count)]
    for job in context.jobs:
        make_report = make_job(job, plain(1, cores=0.5))
        world.store_job(msgspec.structs.replace(make_report, spec="x" * size))
    world.until(lambda: all(world.runs(job) for job in context.jobs))


@when("{count:d} of the jobs succeed and {cancelled:d} are cancelled")
def step_end_and_cancel(context, count, cancelled):
    world = context.leading
    ended = set(context.jobs[:count])
    for worker in world.workers:
        for key in list(worker.running):
            if key.task.job in ended:
                worker.end(key, RunEnd.SUCCEEDED)
    for job in context.jobs[count : count + cancelled]:
        world.store.put(cancel_key(job), b"1")
    context.open = context.jobs[count + cancelled :]
    world.rounds()
    stored = world.store.found_by_key
    ended = [job for job in context.jobs if job not in context.open]
    world.until(lambda: all(record_key(job) in stored for job in ended))


@then("the store holds {size:d} bytes of jobs at most once all that is stored")
def step_bytes_of_jobs(context, size):
    held = [
        len(found.value)
        for key, found in context.leading.store.found_by_key.items()
        if key.startswith(JOB_PREFIX)
    ]
    assert sum(held) <= size, sum(held)


@then(
    "a new leader knows the specs of the {count:d} that are open, and the steps of all"
)
def step_new_leader_knows(context, count):
    world = context.leading
    world.work.cancel()
    world.pause()
    world.lead(epoch=3)
    world.until(lambda: world.leader.ready)
    entry_by_id = world.leader.scheduler.job_table.entry_by_id
    assert len(context.open) == count
    assert all(entry_by_id[job].job.spec for job in context.open)
    assert all(entry_by_id[job].job.steps for job in context.jobs)


@when("it is cut off from the store and the entries, and the third one leads")
def step_cut_off(context):
    world = context.world
    small = context.small
    third = next(e for e in world.entries if e.alive and e is not small)
    third.store.job_list_delay_seconds = 0.0
    small.store.reachable = False
    agent = context.agent = world.agents[0]

    async def hold(near, far, message):
        between = {near, far} <= set(world.entry_hosts) and small.host in (near, far)
        not_notified = (
            far == agent.host and isinstance(message, Leads) and near == third.host
        )
        if between or (not_notified and message.node == third.node):
            await asyncio.Event().wait()

    world.network.delay_message = hold
    context.third = third
    world.until(
        lambda: third in world.leading(), TIMEOUT_SECONDS, "the third entry leads"
    )


@then("an agent that was not notified reports to it within {seconds:g} s")
def step_unnotified_reports(context, seconds):
    unreported_agents = context.third.leader.scheduler.unreported_agents
    context.world.until(
        lambda: context.agent.node not in unreported_agents,
        seconds,
        "the agent has reported",
    )


@given("a leader whose store answers no write above {size:d} bytes")
def step_leader_small_writes(context, size):
    step_leader(context, size)
    context.leading.store.limits_single_writes = True


@when(
    "a job's run ends with {size:d} bytes of checkpoint"
    " and {count:d} others with {small:d} bytes"
)
def step_one_large(context, size, count, small):
    world = context.leading
    jobs = [f"{number:016x}" for number in range(count + 1)]
    for job in jobs:
        world.store_job(make_job(job, plain(1, cores=0.5)))
    world.until(lambda: all(world.runs(job) for job in jobs))
    context.others = jobs[1:]
    for worker in world.workers:
        for key in list(worker.running):
            length = size if key.task.job == jobs[0] else small
            worker.end(key, RunEnd.STOPPED, checkpoint="x" * length)
    world.rounds()


@then("the progress of the {count:d} others is stored within {seconds:g} s")
def step_others_stored(context, count, seconds):
    assert seconds == LEADER_SECONDS
    world = context.leading
    assert len(context.others) == count
    stored = world.store.found_by_key
    world.until(lambda: all(record_key(job) in stored for job in context.others))


@when("{count:d} jobs have a run that ends, and {writes:d} writes are not answered")
def step_outage(context, count, writes):
    _run_jobs(context, count)
    world = context.leading
    world.store.max_write_bytes = 1
    world.store.limits_single_writes = True
    _end_runs(world, 10)
    world.until(lambda: world.store.unanswered_writes >= writes)


@when("the store accepts all writes again")
def step_accepts_again(context):
    store = context.leading.store
    store.max_write_bytes = 0
    context.revision = store.revision


@then("the progress of each of them is stored with {count:d} writes at most")
def step_stored_together(context, count):
    step_stored(context)
    writes = context.leading.store.revision - context.revision
    assert writes <= count, writes


@given(
    "{count:d} entries on virtual time with {agents:d} agents,"
    " each of which runs 40 tasks"
)
def step_many_agents(context, count, agents):
    world = context.world = TakeoverWorld(entries=count, agents=agents)
    context.add_cleanup(world.close)
    context.leader = world.until_led()
    world.wait(2.0)
    for _ in range(agents):
        world.submit(count=40, cores=0.2)
    world.until(lambda: len(world.running()) == 40 * agents, TIMEOUT_SECONDS, "all run")


@given(
    "each task has a checkpoint of {size:d} bytes,"
    " and entries receive {rate:d} bytes a second"
)
def step_checkpoints(context, size, rate):
    world = context.world
    for agent, key in world.running():
        agent.worker.checkpoint_by_run[key] = "x" * size
    free_at = dict.fromkeys(world.entry_hosts, 0.0)

    async def hold(near, far, message):
        if far in free_at:
            free_at[far] = (
                max(free_at[far], world.clock()) + len(encode(message)) / rate
            )
            await asyncio.sleep(free_at[far] - world.clock())

    world.network.delay_message = hold


@when("the leader of all of them dies")
def step_leader_dies(context):
    context.leader.kill()


@then("none of the runs has lapsed after {seconds:g} s")
def step_none_lapsed(context, seconds):
    world = context.world
    context.world.until_led(but=context.leader)
    runs = len(world.running())
    world.wait(seconds)
    left = len(world.running())
    assert left == runs, f"{runs - left} of {runs} runs have lapsed"
