"""Steps on records that are larger than the values that the store takes."""

from behave import given, then, when

from features.steps.leader_world import LeaderWorld
from features.steps.scheduling_world import make_job, plain
from wagtailcleat.cluster.keys import decode, record_key
from wagtailcleat.scheduling.models import JobRecord, RunEnd

JOB = "ab" * 8


@given("a leader whose store takes values of {size:d} bytes at most")
def step_leader(context, size):
    world = context.leader_world = LeaderWorld()
    context.add_cleanup(world.close)
    world.max_value_bytes = size
    world.store.max_write_bytes = size
    world.store.limits_single_writes = True
    world.lead()
    world.until(lambda: world.leader.ready)
    world.rounds()


def _report_until(world, condition):
    def reported():
        world.rounds(1)
        return condition()

    world.until(reported)


@when(
    "a job of {count:d} tasks has a run that succeeds and two with {size:d} bytes of"
    " checkpoint"
)
def step_runs_end(context, count, size):
    world = context.leader_world
    world.store_job(make_job(JOB, plain(count, cores=0.5, checkpointable=True)))
    _report_until(world, lambda: len(_running(world)) == count)
    (worker, done), *others = _running(world)
    for number, (host, key) in enumerate(others):
        host.end(key, RunEnd.STOPPED, checkpoint=str(number) * size)
    worker.end(done, RunEnd.SUCCEEDED)
    context.worker = worker
    context.done = done


def _running(world):
    return [(worker, key) for worker in world.workers for key in worker.running]


@then("its end is stored within {seconds:d} s, with the checkpoint of {count:d} task")
def step_stored(context, seconds, count):
    world = context.leader_world

    def record():
        found = world.store.found_by_key.get(record_key(JOB))
        return found and decode(found.value, JobRecord)

    _report_until(world, lambda: record() and record().succeeded)
    assert [task for task in record().tasks if task.checkpoint], record()
    assert len([task for task in record().tasks if task.checkpoint]) == count


@then("the end is acknowledged")
def step_acknowledged(context):
    world, worker = context.leader_world, context.worker
    _report_until(world, lambda: context.done not in {e.key for e in worker.ended})
