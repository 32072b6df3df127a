"""Steps on filling tasks beside serving tasks, with the scheduler alone."""

from behave import given, then, when

from features.steps.scheduling_world import (
    REPORT_SECONDS,
    SchedulingWorld,
    SimulatedWorker,
    filling,
    make_job,
    serving,
)
from features.steps.sharing_world import VaryingLoadFleet
from wagtailcleat.scheduling.interference import MIN_VARIANCE, Estimate

LEAST_DONE = 200
"""Of 240 tasks; the number varies with the order in which unprofiled images start."""
LONG_AGO = 8.0
"""Seconds: more than the objective of the jobs here, less than three times that."""
MOST_OVER = 0.03
"""Share of the reports of serving tasks that may be over their target."""


@given("a serving task runs, at {share:g} of its target")
def step_serving(context, share):
    world = context.world
    world.submit(make_job("serving", serving(1), priority=0))
    for _ in range(4):
        world.round()
        _report_serving_load(world, share)
    context.serving_node = world.running_nodes("serving")[0]


def _report_serving_load(world, share):
    for worker in world.worker_by_node.values():
        for key in worker.running:
            if key.task.job == "serving":
                worker.figure_by_run[key] = share * 0.02


@given('a filling task of image "{image}" runs beside it')
def step_beside(context, image):
    _fill_beside(context, filling(1, image=image))


@given('a filling task without checkpoints of image "{image}" runs beside it')
def step_beside_plain(context, image):
    _fill_beside(context, filling(1, image=image, checkpointable=False))


def _fill_beside(context, step):
    world = context.world
    world.now += 2.0
    world.submit(make_job("beside", step, priority=2))
    world.round()
    context.image = step.image
    assert world.running_nodes("beside") == [context.serving_node]


@when("the serving task reports {share:g} times its target for {seconds:d} s")
@when("the serving task reports {share:g} of its target for {seconds:d} s")
def step_reports(context, share, seconds):
    # One report more: the first one after a change covers the time before it, too.
    for _ in range(round(seconds / REPORT_SECONDS) + 1):
        _report_serving_load(context.world, share)
        context.world.round()


@then("the filling task is stopped")
def step_fill_stopped(context):
    assert not context.world.running_nodes("beside")


@then('no other task of image "{image}" is admitted there')
def step_not_admitted(context, image):
    world = context.world
    world.submit(make_job("other", filling(1, image=image), priority=2))
    _report_serving_load(world, 0.3)
    world.round()
    assert not world.running_nodes("other")


@then('{count:d} more tasks of image "{image}" are admitted')
def step_admitted(context, count, image):
    world = context.world
    world.submit(make_job("more", filling(count, image=image), priority=2))
    world.round()
    assert len(world.running_nodes("more")) == count


@given('job "{name}" of {count:d} filling task of image "{image}"')
@given('job "{name}" of {count:d} filling tasks of image "{image}"')
def step_job_filling(context, name, count, image):
    job = make_job(name, filling(count, image=image), priority=2)
    context.world.submit(job)


@then('all of job "{name}" runs on other VMs than the serving task')
def step_on_other_vms(context, name):
    nodes = context.world.running_nodes(name)
    assert nodes and context.serving_node not in nodes, nodes


@given("jobs of filling tasks with {count:d} unprofiled images")
def step_unprofiled(context, count):
    context.world.now += 2.0
    for number in range(count):
        job = make_job(f"s{number}", filling(2, image=f"new-{number}"), priority=2)
        context.world.submit(job)


@then("at most {count:d} filling task runs beside the serving one")
def step_at_most(context, count):
    fills = [key for _, key in context.world.starts if key.task.job.startswith("s")]
    fills = [key for key in fills if key.task.job != "serving"]
    assert 0 < len(fills) <= count, fills


@then("its image's estimated load by itself is at most {share:g}")
def step_estimated_load(context, share):
    learnt = context.world.scheduler.sharing.interference
    load = learnt.idle("watch") / (1 - learnt.base("watch"))
    assert load <= share, load


@then("the filling task is throttled and not stopped")
def step_paced(context):
    worker = context.world.worker_by_node["vm-1"]
    assert context.world.running_nodes("beside")
    assert list(worker.pace_by_run.values())[-1] < 100, worker.pace_by_run


@given("{count:d} filling tasks with {cores:d} cores run")
def step_filling_run(context, count, cores):
    step = filling(count, cores=cores)
    context.world.submit(make_job("fillers", step, priority=2))
    context.world.round()
    assert len(context.world.running_nodes("fillers")) == count


@given("{count:d} serving tasks of {cores:d} cores run, at {share:g} of their target")
def step_many_serving(context, count, cores, share):
    world: SchedulingWorld = context.world
    world.submit(make_job("serving", serving(count, cores=cores), priority=0))
    for _ in range(4):
        world.round()
        _report_serving_load(world, share)


def _set_estimate(context, image, added):
    learnt = context.world.scheduler.sharing.interference
    known = Estimate(added, MIN_VARIANCE)
    learnt.added_by_pair["watch", image] = known


@given('a filling task of image "{image}" is known to slow nobody')
def step_known_light(context, image):
    _set_estimate(context, image, 0.0)


@given('filling tasks of images "{light}" and "{heavy}" run beside it, and are known')
def step_two_beside(context, light, heavy):
    world = context.world
    world.now += 2.0
    for image, added in ((light, 0.05), (heavy, 0.8)):
        _set_estimate(context, image, added)
        step = filling(1, image=image)
        job = make_job(image, step, priority=2, accepted_at=world.wall_now)
        world.submit(job)
    world.round()
    assert world.running_nodes(light) and world.running_nodes(heavy)
    context.light, context.heavy = light, heavy


@when("the serving task reports {share:g} times its target as long as both run")
def step_over_beside_both(context, share):
    world = context.world
    for _ in range(5):
        both = world.running_nodes(context.light) and world.running_nodes(context.heavy)
        _report_serving_load(world, share if both else 0.5)
        world.round()


@then('only the task of image "{image}" is stopped')
def step_only_stopped(context, image):
    assert context.heavy == image
    # A stopped task continues from its checkpoint in a second run on some VM.
    world = context.world
    jobs = [key.task.job for _, key in world.starts]
    assert world.running_nodes(context.light) and jobs.count(context.light) == 1
    assert not world.running_nodes(image) or jobs.count(image) > 1


@given('a filling task of image "{image}" is known to add {added:g} on a whole VM')
def step_known_heavy(context, image, added):
    _set_estimate(context, image, added)


@when('two jobs of image "{image}" are submitted, one of which will be late')
def step_one_late(context, image):
    world = context.world
    step = filling(1, image=image)
    # The late job is more urgent, so it is placed first.
    late = make_job("late", step, priority=1, accepted_at=world.wall_now - LONG_AGO)
    world.submit(late)
    world.submit(make_job("in-time", step, priority=2, accepted_at=world.wall_now))
    world.round()


@then('job "{name}" runs, and job "{other}" waits')
def step_runs_and_waits(context, name, other):
    assert context.world.running_nodes(name)
    assert not context.world.running_nodes(other)


@when("the serving task's job is cancelled and {seconds:d} s pass")
def step_serving_cancelled(context, seconds):
    world = context.world
    world.scheduler.cancel("serving", now=world.now, wall_now=world.wall_now)
    for _ in range(round(seconds / REPORT_SECONDS)):
        world.round()


@then("the filling task works at full pace")
def step_full_pace(context):
    worker = context.world.worker_by_node["vm-1"]
    assert context.world.running_nodes("beside")
    assert list(worker.pace_by_run.values())[-1] == 100, worker.pace_by_run


@then(
    "in a burst beside varying serving load, filling work progresses and targets hold"
)
def step_burst_beside_serving(context):
    fleet = VaryingLoadFleet()
    fleet.play(seconds=30.0)
    assert fleet.done >= LEAST_DONE, fleet.done
    assert fleet.over_share <= MOST_OVER, fleet.over_share


@given('job "{name}" of {count:d} filling tasks of image "{image}" runs beside it')
def step_job_beside(context, name, count, image):
    world = context.world
    world.now += 2.0
    _set_estimate(context, image, 0.3)
    step = filling(count, image=image)
    world.submit(make_job(name, step, priority=2, accepted_at=world.wall_now))
    world.round()
    running = world.running_nodes(name)
    assert running == [context.serving_node] * count, running
    for worker in world.worker_by_node.values():
        for key in worker.running:
            worker.checkpoint_by_run[key] = "begun"
    _set_estimate(context, image, 3.0)


@then('a task of job "{name}" runs on the other VM, from its checkpoint')
def step_moved(context, name):
    world = context.world
    other = next(
        worker
        for node, worker in world.worker_by_node.items()
        if node != context.serving_node
    )
    moved = [start for key, start in other.running.items() if key.task.job == name]
    assert moved and all(start.checkpoint == "saved" for start in moved), moved


@then('both tasks of job "{name}" run')
def step_both_run(context, name):
    assert len(context.world.running_nodes(name)) == 2


@then('job "{name}" runs where it began, throttled')
def step_stays(context, name):
    worker = context.world.worker_by_node[context.serving_node]
    assert context.world.running_nodes(name) == [context.serving_node]
    paces = [pace for key, pace in worker.pace_by_run.items() if key.task.job == name]
    assert paces and paces[-1] < 100, worker.pace_by_run


@when("the serving task reports {share:g} times its target, and stops take long")
def step_over_with_slow_stops(context, share):
    world = context.world
    worker = world.worker_by_node[context.serving_node]
    context.orders = []
    for _ in range(5):
        _report_serving_load(world, share)
        world.report(worker)
        context.orders += [orders for _, orders in world.decide()]
        world.now += REPORT_SECONDS


@then("the filling task is to be stopped, at pace 0")
def step_stopped_at_pace_0(context):
    stopped = [key for orders in context.orders for key in orders.stops]
    paces = {
        pace.key: pace.percent for orders in context.orders for pace in orders.paces
    }
    assert any(key.task.job == "beside" for key in stopped), context.orders
    assert all(paces.get(key) == 0 for key in stopped), paces


@when("another leader takes over, and the serving task's job is cancelled")
def step_next_leader(context):
    world = context.world
    jobs = [entry.job for entry in world.scheduler.job_table.entry_by_id.values()]
    paces = list(world.worker_by_node["vm-1"].pace_by_run.values())
    assert paces[-1] < 100, paces
    world.worker_by_node["vm-1"].orders_taken = 0
    world.lead(epoch=2)
    for job in jobs:
        world.submit(job)
    step_serving_cancelled(context, 2)


@given("1 VM of {cores:d} cores, and moves that take {seconds:g} s")
def step_slow_moves(context, cores, seconds):
    worker = SimulatedWorker("vm-1", cores=cores)
    context.world = SchedulingWorld([worker], move_seconds=seconds)


@then('both tasks of job "{name}" run where they began, throttled')
def step_both_stay(context, name):
    worker = context.world.worker_by_node[context.serving_node]
    assert context.world.running_nodes(name) == [context.serving_node] * 2
    paces = [pace for key, pace in worker.pace_by_run.items() if key.task.job == name]
    assert len(paces) == 2 and max(paces) < 100, worker.pace_by_run
