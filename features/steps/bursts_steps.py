"""Steps on bursts of wide jobs, and on placement rounds whose time is up."""

import random
from collections import Counter
from unittest import mock

import msgspec
from behave import given, then, when

from features.steps.scheduling_world import (
    REPORT_SECONDS,
    SERVICE,
    SchedulingWorld,
    SimulatedWorker,
    make_job,
    plain,
    serving,
)
from wagtailcleat.resources import Resources
from wagtailcleat.scheduling import placement
from wagtailcleat.scheduling.job_table import JobTable
from wagtailcleat.scheduling.models import WorkerInfo, WorkerState
from wagtailcleat.scheduling.placement import Candidates, choose
from wagtailcleat.scheduling.vms import HostedRun, Vm

START_BYTES = 1000


@when('job "{name}" of {count:d} tasks with {cores:d} cores is placed')
def step_placed(context, name, count, cores):
    world = context.world
    world.submit(make_job(name, plain(count, cores=cores)))
    score = mock.Mock(side_effect=placement._score)
    with mock.patch.object(placement, "_score", score):
        world.round()
    context.scored = score.call_count


@then('{count:d} tasks of job "{name}" run')
def step_run(context, count, name):
    assert len(context.world.running_nodes(name)) == count


@then("its VMs were scored {count:d} times at most")
def step_scored(context, count):
    assert context.scored <= count, context.scored


@given("{jobs:d} jobs of {count:d} tasks with {cores:d} cores wait")
def step_wait(context, jobs, count, cores):
    for number in range(jobs):
        context.world.submit(make_job(f"j-{number}", plain(count, cores=cores)))


def _round(context, may_continue):
    world = context.world
    for worker in world.worker_by_node.values():
        world.report(worker)
    context.is_complete = world.scheduler.place(
        now=world.now, wall_now=world.wall_now, may_continue=may_continue
    )
    for vm, orders in world.scheduler.orders(now=world.now):
        world.worker_by_node[vm.node].take(orders)


@when("a round has time for one job only")
def step_short_round(context):
    _round(context, lambda: False)


@when("a round has time for all")
def step_complete_round(context):
    _round(context, lambda: True)


@when('job "{name}" ends')
def step_ends(context, name):
    context.world.end_all(job=name)


@when("rounds have time for one job only, {count:d} of them")
def step_short_rounds(context, count):
    for _ in range(count):
        _round(context, lambda: False)


@then("{count:d} tasks run and the round was cut short")
def step_running_cut_short(context, count):
    assert _running(context) == count
    assert not context.is_complete


@then("{count:d} tasks run and the round was complete")
def step_running_complete(context, count):
    assert _running(context) == count
    assert context.is_complete


def _running(context):
    return sum(len(w.running) for w in context.world.worker_by_node.values())


@then("in {count:d} random fleets both choose the same VMs")
def step_same(context, count):
    for seed in range(count):
        single = _chosen_one_by_one(*_fleet(random.Random(seed)))
        shared = _chosen_from_candidates(*_fleet(random.Random(seed)))
        assert single == shared, (seed, single, shared)


def _fleet(chance):
    """Return VMs that are partly used, and the waiting tasks of a step."""
    vms = [_vm(chance, number) for number in range(chance.randint(1, 12))]
    more = {
        "max_per_vm": chance.choice((0, 0, 1, 2)),
        "required_label": chance.choice(("", "", "a")),
        "affinity_rack": chance.choice(("", "r1")),
        "same_rack": chance.random() < 0.3,
    }
    kind = chance.choice((plain, serving))
    step = kind(chance.randint(1, 20), cores=chance.choice((1.0, 4.0, 9.0)), **more)
    entry = JobTable().add(make_job("job", step), now=0.0, wall_now=0.0)
    tasks = entry.tasks_by_step[0, 0]
    for task in tasks:
        if chance.random() < 0.2:
            task.failed_on.add(chance.choice(vms).node)
    return vms, tasks


def _vm(chance, number):
    info = WorkerInfo(
        f"i-{number}",
        1,
        SERVICE,
        "zilina-a",
        WorkerState.READY,
        Resources(chance.choice((8.0, 16.0, 32.0)), 64_000, 0),
        chance.choice((("a",), ("b",))),
        chance.choice(("r1", "r2", "r3")),
        chance.choice((0.0, 0.0, 1.5)),
    )
    vm = Vm(f"vm-{number}", "127.0.0.1", 1, "zilina-a", 0.0, worker=info)
    used = plain(1, cores=float(chance.randint(0, 8)))
    other = JobTable().add(make_job(f"used-{number}", used), now=0.0, wall_now=0.0)
    _host(vm, other.tasks_by_step[0, 0][0])
    return vm


def _host(vm, task):
    vm.host_run(HostedRun(task.run_key, task.step, 0.0))


def _chosen_one_by_one(vms, tasks):
    racks = Counter()
    chosen = []
    for task in tasks:
        vm = choose(vms, task, now=0.0, racks=racks)
        if vm is None:
            break
        _host(vm, task)
        racks[vm.rack] += 1
        chosen.append(vm.node)
    return chosen


def _chosen_from_candidates(vms, tasks):
    racks = Counter()
    chosen = []
    candidates_by_key = {}
    for task in tasks:
        key = placement.scoring_key(task, racks)
        if key not in candidates_by_key:
            candidates_by_key[key] = Candidates(vms, task, now=0.0, racks=racks)
        vm = candidates_by_key[key].best()
        if vm is None:
            break
        _host(vm, task)
        racks[vm.rack] += 1
        chosen.append(vm.node)
        for candidates in candidates_by_key.values():
            candidates.rescore(vm)
    return chosen


@given(
    "{count:d} VMs of {cores:d} cores whose leader may send {rate:d} bytes of starts"
    " a second"
)
def step_slow_link(context, count, cores, rate):
    workers = [SimulatedWorker(f"vm-{n + 1}", cores=cores) for n in range(count)]
    context.world = SchedulingWorld(workers, start_bytes_per_second=rate)


def _lengthen_specs(world):
    for entry in world.scheduler.job_table.open_by_id.values():
        entry.job = msgspec.structs.replace(entry.job, spec="x" * START_BYTES)


@given('job "{name}" of {count:d} task with {cores:d} cores runs')
@given('job "{name}" of {count:d} tasks with {cores:d} cores runs')
def step_large_runs(context, name, count, cores):
    world = context.world
    world.submit(make_job(name, plain(count, cores=cores)))
    while len(world.running_nodes(name)) < count:
        world.round()


def _send(context):
    """Send orders and let the workers carry them out; return the orders."""
    world = context.world
    sent = world.scheduler.orders(now=world.now)
    for vm, orders in sent:
        world.worker_by_node[vm.node].take(orders)
    return [orders for _, orders in sent]


@when("each start is {size:d} bytes long, and orders are sent each {pause:g} s")
def step_send_orders(context, size, pause):
    assert size == START_BYTES
    world = context.world
    _lengthen_specs(world)
    world.scheduler.place(now=world.now, wall_now=world.wall_now)
    context.began = world.now
    context.bytes_at = []
    while True:
        orders = _send(context)
        sent = sum(len(start.spec) for order in orders for start in order.starts)
        context.bytes_at.append((world.now, sent))
        if not world.scheduler.holds_starts:
            break
        world.now += pause
        assert world.now < context.began + 10


@then("no {seconds:g} s carried more than {size:d} bytes of starts")
def step_rate(context, seconds, size):
    for begin, _ in context.bytes_at:
        carried = sum(n for at, n in context.bytes_at if begin <= at < begin + seconds)
        assert carried <= size, (begin, carried)


@then("{count:d} tasks run within {seconds:g} s")
def step_run_within(context, count, seconds):
    assert _running(context) == count, _running(context)
    assert context.world.now - context.began <= seconds


@when('a round is placed, and job "{name}" is cancelled while starts are held back')
def step_cancel_one(context, name):
    _place_and_hold(context)
    context.world.scheduler.cancel(
        name, now=context.world.now, wall_now=context.world.wall_now
    )
    context.orders = _send(context)


def _place_and_hold(context):
    world = context.world
    _lengthen_specs(world)
    world.scheduler.place(now=world.now, wall_now=world.wall_now)
    _send(context)
    assert world.scheduler.holds_starts


@then("the {count:d} stops are sent at once")
def step_stops(context, count):
    stops = [key for orders in context.orders for key in orders.stops]
    assert len(stops) == count, stops
    assert not any(orders.starts for orders in context.orders)


@when("a round is placed, and all jobs are cancelled while starts are held back")
def step_cancel_all(context):
    _place_and_hold(context)
    world = context.world
    for job in list(world.scheduler.job_table.open_by_id):
        world.scheduler.cancel(job, now=world.now, wall_now=world.wall_now)


@then("no start is sent after that, and no run keeps its room")
def step_nothing_left(context):
    world = context.world
    for _ in range(10):
        world.now += 0.5
        assert not any(orders.starts for orders in _send(context))
        for worker in world.worker_by_node.values():
            world.report(worker)
    hosted = {vm.node: vm.hosted_by_run for vm in world.scheduler.vm_by_node.values()}
    assert not any(hosted.values()), hosted


@when("a round is placed, and all agents restart while starts are held back")
def step_agents_restart(context):
    _place_and_hold(context)
    world = context.world
    for worker in world.worker_by_node.values():
        worker.unknown = True
        world.report(worker)
    _send(context)
    for worker in world.worker_by_node.values():
        worker.unknown = False


@given('{jobs:d} jobs of {count:d} tasks with {cores:d} cores and label "{label}" wait')
def step_wait_label(context, jobs, count, cores, label):
    for number in range(jobs):
        step = plain(count, cores=cores, required_label=label)
        context.world.submit(make_job(f"j-{number}", step))


@when("a round is placed, and while starts are held back the workers are replaced:")
def step_replaced(context):
    _place_and_hold(context)
    for row in context.table:
        worker = context.world.worker_by_node[row["worker"]]
        worker.restart()
        worker.cores = float(row["cores"])
        worker.labels = (row["kind"], worker.rack)
        worker.service = row["service"]


@then("no start broke a rule at its worker within {rounds:d} rounds")
def step_rules_held(context, rounds):
    world = context.world
    broken = []
    for _ in range(rounds):
        for worker in world.worker_by_node.values():
            world.report(worker)
        for node, orders in world.decide():
            broken += world.deliver(world.worker_by_node[node], orders)
        world.now += REPORT_SECONDS
    assert not broken, (len(broken), broken[:3])


@then(
    '{count:d} tasks run, {some:d} of them on worker "{one}" and {others:d} on worker'
    ' "{other}"'
)
def step_run_on(context, count, some, one, others, other):
    runs = {n: len(w.running) for n, w in context.world.worker_by_node.items()}
    assert sum(runs.values()) == count, runs
    assert (runs[one], runs[other]) == (some, others), runs


@then("all {count:d} tasks run within {rounds:d} rounds")
def step_all_run(context, count, rounds):
    for _ in range(rounds):
        context.world.round()
    assert _running(context) == count, _running(context)
