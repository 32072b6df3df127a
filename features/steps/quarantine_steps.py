"""Steps on VMs on which every run fails, with the scheduler alone."""

from behave import given, then, when

from features.steps.scheduling_world import REPORT_SECONDS, filling, make_job
from wagtailcleat.scheduling.models import JobState, RunEnd

FIRST = "vm-1"
CORES = 4
TASKS_A_VM = 8


def _pass(world, seconds, failing=()):
    for _ in range(round(seconds / REPORT_SECONDS)):
        world.round()
        _fail_on(world, failing)


def _fail_on(world, nodes):
    for node in nodes:
        worker = world.worker_by_node[node]
        for key in list(worker.running):
            worker.end(key, RunEnd.FAILED)


@given("filling tasks have taken all cores")
def step_full(context):
    world = context.world
    count = TASKS_A_VM * len(world.worker_by_node)
    world.submit(make_job("busy", filling(count, cores=CORES), priority=2))
    world.round()
    assert len(world.running_nodes("busy")) == count
    context.starts_before = len(world.starts)


@when("every run on the first VM fails, and {seconds:d} s pass")
def step_first_fails(context, seconds):
    _fail_on(context.world, [FIRST])
    _pass(context.world, seconds, failing=[FIRST])


@when("{seconds:d} s pass in which no run there fails")
def step_fails_nothing(context, seconds):
    _pass(context.world, seconds)


@then("no job has failed")
def step_none_failed(context):
    entries = context.world.scheduler.job_table.entry_by_id
    failed = [job for job, entry in entries.items() if entry.state is JobState.FAILED]
    assert not failed, failed


@then("the first VM started at most {count:d} tasks")
def step_started_at_most(context, count):
    starts = context.world.starts[context.starts_before :]
    started = sum(node == FIRST for node, _ in starts)
    assert started <= count, started


@when("the tasks on the other VMs succeed, and {seconds:d} s pass")
def step_elsewhere(context, seconds):
    world = context.world
    for node, worker in world.worker_by_node.items():
        if node != FIRST:
            for key in list(worker.running):
                worker.end(key, RunEnd.SUCCEEDED)
    _pass(world, seconds, failing=[FIRST])


@then('job "{name}" runs on other VMs than the first')
def step_not_on_first(context, name):
    nodes = context.world.running_nodes(name)
    assert nodes and FIRST not in nodes, nodes


@then("{count:d} task runs on the first VM")
@then("{count:d} tasks run on the first VM")
def step_on_first(context, count):
    running = context.world.worker_by_node[FIRST].running
    assert len(running) == count, list(running)


@when("that task succeeds, and {seconds:d} s passes")
def step_trial_succeeds(context, seconds):
    worker = context.world.worker_by_node[FIRST]
    for key in list(worker.running):
        worker.end(key, RunEnd.SUCCEEDED)
    _pass(context.world, seconds)


@when(
    "on {count:d} VMs every run fails, and "
    'job "{name}" of {tasks:d} filling tasks is submitted'
)
def step_many_fail(context, count, name, tasks):
    world = context.world
    failing = [f"vm-{number}" for number in range(1, count + 1)]
    step = filling(TASKS_A_VM * len(world.worker_by_node), cores=CORES)
    for number in range(2):
        world.submit(make_job(f"bad-{number}", step, attempts=9, priority=2))
        _pass(world, 0.6, failing=failing)
        world.scheduler.cancel(f"bad-{number}", now=world.now, wall_now=world.wall_now)
        _pass(world, 0.6, failing=failing)
    world.submit(make_job(name, filling(tasks, cores=CORES), priority=2))
    _pass(world, 0.6)


@then('job "{name}" runs on all VMs')
def step_everywhere(context, name):
    world = context.world
    nodes = set(world.running_nodes(name))
    assert nodes == set(world.worker_by_node), nodes
