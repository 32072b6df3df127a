"""Steps on the loss of power of every VM while tasks run, without network."""

from behave import given, then, when

from features.steps.leader_world import LeaderWorld
from features.steps.scheduling_world import make_job, plain
from features.steps.takeover_world import LinkState
from wagtailcleat.cluster.keys import record_key
from wagtailcleat.resources import Resources
from wagtailcleat.scheduling.job_table import JobTable
from wagtailcleat.scheduling.models import Step
from wagtailcleat.scheduling.progress import CheckpointSaver

JOB = "00ff00ff00ff00ff"
TICK_SECONDS = 0.1
READY_SECONDS = 5.0
ANNOUNCED_SECONDS = 0.2


@given("a leader of a job of {count:d} tasks with {cores:g} cores, none of which ends")
def step_leader(context, count, cores):
    world = context.leading = LeaderWorld()
    context.add_cleanup(world.close)
    world.lead()
    world.until(lambda: world.leader.ready)
    world.rounds()
    world.store_job(make_job(JOB, plain(count, cores=cores, checkpointable=True)))
    world.until(lambda: len(world.runs(JOB)) == count)
    context.began_at = world.now


@when("each task has a new checkpoint every {interval:g} s, for {seconds:g} s")
def step_checkpoints(context, interval, seconds):
    world = context.leading
    context.record_revisions = set()
    for _ in range(round(seconds / interval)):
        world.now += interval
        for worker in world.workers:
            for key in worker.running:
                worker.checkpoint_by_run[key] = f"{world.now:.3f}"
            world.report(worker)
        world.wait_rounds()
        # Longer than the pause between two writes of records.
        for _ in range(10):
            world.pause()
        found = world.store.found_by_key.get(record_key(JOB))
        if found is not None:
            context.record_revisions.add(found.mod_revision)


@when("every VM loses power, and the next leader begins")
def step_power_lost(context):
    world = context.leading
    world.work.cancel()
    world.pause()
    for worker in world.workers:
        worker.restart()
        worker.orders_taken = 0
    world.stream_by_node.clear()
    context.lost_at = world.now
    world.lead(epoch=3)
    world.until(lambda: world.leader.ready)
    world.rounds()


@then("each task starts again from a checkpoint of {seconds:g} s before at most")
def step_from_checkpoint(context, seconds):
    starts = [
        start for worker in context.leading.workers for start in worker.running.values()
    ]
    assert len(starts) == 10, starts
    ages = [context.lost_at - float(start.checkpoint or 0) for start in starts]
    assert max(ages) <= seconds, ages


@then("its progress was written {count:d} times at most")
def step_written(context, count):
    assert len(context.record_revisions) <= count, context.record_revisions


@given(
    "{jobs:d} jobs of {count:d} running tasks with checkpoints of {size:d} bytes,"
    " and {cores:g} cores a task"
)
def step_many_jobs(context, jobs, count, size, cores):
    table = context.job_table = JobTable()
    step = Step(count, Resources(cores, 100, 0), 60.0, checkpointable=True)
    for number in range(jobs):
        entry = table.add(make_job(f"{number:016x}", step), now=0.0, wall_now=0.0)
        for task in entry.tasks():
            table.mark_placed(task, 1, "vm-1")
            table.update_checkpoint(task, 1, "x" * size)
    context.cores_by_job = count * cores
    context.record_bytes = count * size


@when(
    "each has a new checkpoint every {interval:g} s, for {seconds:g} s,"
    " on a link of {rate:d} bytes a second"
)
def step_on_link(context, interval, seconds, rate):
    saver = CheckpointSaver(rate)
    entries = context.job_table.open_by_id.values()
    ticks_per_checkpoint = round(interval / TICK_SECONDS)
    context.stored_bytes = 0
    for tick in range(round(seconds / TICK_SECONDS)):
        if tick % ticks_per_checkpoint == 0:
            for entry in entries:
                entry.add_unsaved(context.cores_by_job * interval, tick * TICK_SECONDS)
        marked = saver.mark_due(entries, tick * TICK_SECONDS)
        context.stored_bytes += marked * context.record_bytes


@then("the records stored for them are {size:d} bytes at most")
def step_bytes(context, size):
    assert context.stored_bytes <= size, context.stored_bytes


@then("each job was stored at least once")
def step_each_stored(context):
    versions = [entry.version for entry in context.job_table.open_by_id.values()]
    assert min(versions) >= 1, versions


@when("every VM loses power, and the leader, then the agents come back, but no entry")
def step_entries_late(context):
    world = context.world
    leader = world.until_led()
    for process in (*world.entries, *world.agents):
        process.kill()
    late = {entry.host for entry in world.entries if entry is not leader}
    world.network.partitions.append((late, LinkState.SILENT))
    context.leader = world.restart(leader)
    world.until(
        lambda: context.leader.leader and context.leader.leader.ready,
        READY_SECONDS,
        "the leader has restored its jobs",
    )
    # The leader announces itself once, when no agent is there yet.
    world.wait(ANNOUNCED_SECONDS)
    for agent in list(world.agents):
        world.restart(agent)


@then("all agents are back at the leader within {seconds:g} s")
def step_all_reported(context, seconds):
    world = context.world

    scheduler = context.leader.leader.scheduler
    world.until(
        lambda: not scheduler.unreported_agents, seconds, "each agent has reported"
    )
