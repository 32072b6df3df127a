"""Steps on the scheduler alone, without processes, network or real time."""

from behave import given, then, when

from features.steps.kinds_fuzz import run_kinds_histories
from features.steps.scheduling_fuzz import run_random_histories
from features.steps.scheduling_world import (
    REPORT_SECONDS,
    WALL_START,
    SchedulingWorld,
    SimulatedWorker,
    make_job,
    plain,
    serving,
)
from wagtailcleat.scheduling.events import Event
from wagtailcleat.scheduling.hosted_runs import ADOPTED_LATER
from wagtailcleat.scheduling.job_records import record_of
from wagtailcleat.scheduling.models import JobState, Refusal, RunEnd

ROUNDS = 5


@given("{count:d} VM of {cores:d} cores")
@given("{count:d} VMs of {cores:d} cores")
def step_vms(context, count, cores):
    workers = [SimulatedWorker(f"vm-{n}", cores=cores) for n in range(1, count + 1)]
    context.world = SchedulingWorld(workers)


@given('{count:d} VMs of {cores:d} cores, the second in zone "{zone}"')
def step_vms_zones(context, count, cores, zone):
    step_vms(context, count, cores)
    context.world.worker_by_node["vm-2"].zone = zone


def _submit(context, name, *steps, **more):
    context.job = name
    return context.world.submit(make_job(name, *steps, **more))


@given('job "{name}" of {count:d} task')
@given('job "{name}" of {count:d} tasks')
def step_job(context, name, count):
    _submit(context, name, plain(count))


@given('job "{name}" of {count:d} tasks, and then of {second:d} task')
def step_job_two(context, name, count, second):
    _submit(context, name, plain(count), plain(second, after=(0,)))


@given('job "{name}" of {count:d} task with {cores:d} cores')
@given('job "{name}" of {count:d} tasks with {cores:d} cores')
def step_job_cores(context, name, count, cores):
    _submit(context, name, plain(count, cores=cores))
    context.world.round()


@given('job "{name}" of {count:d} task with {attempts:d} attempts')
def step_job_attempts(context, name, count, attempts):
    _submit(context, name, plain(count), attempts=attempts)


@given('job "{name}" of {count:d} serving tasks')
def step_job_serving(context, name, count):
    _submit(context, name, serving(count))
    context.world.round()


@given('job "{name}" of {count:d} tasks, at most {most:d} a VM')
def step_job_max_per_vm(context, name, count, most):
    _submit(context, name, plain(count, max_per_vm=most))


@given('job "{name}" of a gang of {count:d} tasks with {cores:d} cores')
def step_gang(context, name, count, cores):
    _submit(context, name, plain(count, cores=cores, gang=True))


@given('job "{name}" of {count:d} task is placed nevertheless')
def step_placed_anyway(context, name, count):
    # The start is decided just before the connection is found to be broken.
    vm = context.world.scheduler.vm_by_node["vm-1"]
    vm.is_connected = True
    _submit(context, name, plain(count))
    context.world.scheduler.place(
        now=context.world.now, wall_now=context.world.wall_now
    )
    vm.is_connected = False


@given("the agent is disconnected")
def step_disconnected(context):
    context.world.scheduler.mark_disconnected("vm-1")


@given('job "{name}" of {count:d} task runs')
@given('job "{name}" of {count:d} tasks runs')
def step_job_runs(context, name, count):
    _submit(context, name, plain(count))
    context.world.round()
    context.world.round()
    nodes = context.world.running_nodes(name)
    assert len(nodes) == count, nodes
    context.node = nodes[0]
    context.starts_before = len(context.world.starts)


@given('job "{name}" that is due in {seconds:d} s and again {later:d} s later')
def step_recurs(context, name, seconds, later):
    first = context.world.wall_now + seconds
    _submit(
        context, name, plain(1), occurrences=2, first_at=first, interval=float(later)
    )


@given('zone "{zone}" is taken out')
def step_zone_out(context, zone):
    context.world.scheduler.zones_out = frozenset([zone])


@when("some rounds have passed")
def step_rounds(context):
    for _ in range(ROUNDS):
        context.world.round()


@when("one round has passed")
def step_round(context):
    context.world.round()


@when("{seconds:d} s have passed")
def step_pass(context, seconds):
    context.world.now += seconds
    context.world.round()
    context.world.now -= REPORT_SECONDS


@when("{seconds:d} s have passed in rounds")
def step_pass_rounds(context, seconds):
    for _ in range(round(seconds / REPORT_SECONDS)):
        context.world.round()


@when("all tasks of the first step but one have succeeded")
def step_but_one(context):
    context.world.round()
    worker, key = _any_run(context.world)
    context.kept = (worker, key)
    for other in context.world.worker_by_node.values():
        for run in list(other.running):
            if run != key:
                other.end(run, RunEnd.SUCCEEDED)
    context.world.round()


@when("the last one has succeeded too")
def step_last(context):
    worker, key = context.kept
    worker.end(key, RunEnd.SUCCEEDED)
    context.world.round()
    context.world.round()


def _any_run(world):
    return next(
        (worker, key)
        for worker in world.worker_by_node.values()
        for key in worker.running
    )


@then("no task of the second step has started")
def step_none_second(context):
    assert not _second(context.world), context.world.starts


@then("{count:d} task of the second step runs")
def step_second(context, count):
    assert len(_second(context.world)) == count, context.world.starts


def _second(world):
    return [key for _, key in world.starts if key.task.step == 1]


@when('job "{name}" is cancelled, and its stops are on their way')
def step_cancel(context, name):
    world = context.world
    world.scheduler.cancel(name, now=world.now, wall_now=world.wall_now)
    context.held = world.decide()


@then('job "{name}" does not run')
def step_not_running(context, name):
    world = context.world
    assert not world.running_nodes(name), world.starts
    assert name not in [key.task.job for _, key in world.starts], world.starts


@when("the worker lists the ends")
def step_ends_listed(context):
    for node, orders in context.held:
        context.world.worker_by_node[node].take(orders)
    context.world.round()


@then('job "{name}" runs')
def step_running(context, name):
    assert context.world.running_nodes(name), context.world.starts


@when("its start is sent and an earlier report arrives")
def step_old_report(context):
    world = context.world
    early = [(worker, worker.report()) for worker in world.worker_by_node.values()]
    context.held = world.decide()
    context.starts_before = len(world.starts)
    for worker, report in early:
        world.scheduler.process_report(
            report, worker.session, now=world.now, wall_now=world.wall_now
        )


@then("no second start is sent")
def step_no_second(context):
    context.world.decide()
    assert len(context.world.starts) == context.starts_before, context.world.starts


@when("a report arrives that has taken the orders and does not show the run")
def step_report_without(context):
    for node, orders in context.held:
        worker = context.world.worker_by_node[node]
        worker.take(orders)
        worker.running.clear()
        context.world.report(worker)


@then("a second start with a higher run is sent")
def step_second_start(context):
    context.world.decide()
    runs = [key.run for _, key in context.world.starts]
    assert len(runs) > context.starts_before, context.world.starts
    assert runs[-1] > max(runs[: context.starts_before]), runs


@when('job "{name}" is cancelled and the agent reconnects')
def step_cancel_back(context, name):
    world = context.world
    world.scheduler.cancel(name, now=world.now, wall_now=world.wall_now)
    world.round()
    world.round()


@then("its start is never sent")
def step_never_sent(context):
    assert not context.world.starts, context.world.starts


@when("each of its runs fails")
def step_each_fails(context):
    for _ in range(10):
        context.world.round()
        context.world.end_all(RunEnd.FAILED)
        context.world.now += 1.0


@then('it was started {count:d} times and job "{name}" has failed')
def step_failed(context, count, name):
    assert len(context.world.starts) == count, context.world.starts
    entry = context.world.scheduler.job_table.entry_by_id[name]
    assert entry.durable_state is JobState.FAILED, entry.state


@when("its runs end by a failure, and then by a success")
def step_long_running_ends(context):
    for how in (RunEnd.FAILED, RunEnd.SUCCEEDED):
        context.world.round()
        context.world.end_all(how)
        context.world.round()


@then("{count:d} of its tasks run again")
def step_run_again(context, count):
    context.world.round()
    assert len(context.world.running_nodes(context.job)) == count


@when("it succeeds while the store is unavailable")
def step_succeeds_no_store(context):
    context.world.round(commit=False)
    context.world.end_all()
    context.world.round(commit=False)
    context.world.round(commit=False)


@then("its end is not acknowledged and it is shown as {state}")
def step_not_acknowledged(context, state):
    worker = context.world.worker_by_node["vm-1"]
    entry = context.world.scheduler.job_table.entry_by_id[context.job]
    assert worker.acknowledged == 0
    assert entry.durable_state.value == state, entry.durable_state


@when("the store has its record")
def step_has_record(context):
    context.world.commit()
    context.world.round()


@then("its end is acknowledged and it is shown as {state}")
def step_acknowledged(context, state):
    worker = context.world.worker_by_node["vm-1"]
    entry = context.world.scheduler.job_table.entry_by_id[context.job]
    assert worker.acknowledged == 1
    assert entry.durable_state.value == state, entry.durable_state


@then("each VM runs {count:d} of them")
def step_each_vm(context, count):
    for worker in context.world.worker_by_node.values():
        assert len(worker.running) == count, worker.running


@then("only the first VM runs tasks")
def step_only_first(context):
    workers = context.world.worker_by_node
    assert workers["vm-1"].running and not workers["vm-2"].running


@then("only the second VM runs tasks")
def step_only_second(context):
    workers = context.world.worker_by_node
    assert workers["vm-2"].running and not workers["vm-1"].running


@when("another VM of {cores:d} cores comes")
def step_second_vm(context, cores):
    context.world.worker_by_node["vm-2"] = SimulatedWorker("vm-2", cores=cores)
    context.world.round()
    context.world.round()


@then("all {count:d} members run under one run number")
def step_members(context, count):
    runs = {key.run for _, key in context.world.starts}
    assert len(context.world.running_nodes("g")) == count and len(runs) == 1, runs


@then("it was started {count:d} times")
def step_started_times(context, count):
    assert len(context.world.starts) == count, context.world.starts


@then("{count:d} random histories violate no invariant")
def step_histories(context, count):
    run_random_histories(count)


@then("{count:d} random histories with workers of many kinds break no rule at a worker")
def step_kinds_histories(context, count):
    run_kinds_histories(count)


def restored(context):
    """Replace the leader by one that restores the stored records; return the world."""
    world = context.world
    job_table = world.scheduler.job_table
    records = [
        (entry.job, record_of(entry)) for entry in job_table.entry_by_id.values()
    ]
    world.lead(2)
    world.scheduler.unreported_agents = set(world.worker_by_node)
    for job, record in records:
        world.scheduler.job_table.add(
            job, now=world.now, wall_now=world.wall_now, record=record
        ).may_start_tasks = False
    return world


@when("a new leader restores the jobs and gets only the report of the idle VM")
def step_new_leader_partly(context):
    world = restored(context)
    for node, worker in world.worker_by_node.items():
        if node != context.node:
            world.report(worker)


@when("a new leader restores the jobs and gets the reports of all agents")
def step_new_leader(context):
    world = restored(context)
    for worker in world.worker_by_node.values():
        world.report(worker)


@given('job "{name}" of 1 task runs, and a later run of it on the other VM')
def step_two_runs(context, name):
    step_job_runs(context, name, 1)
    workers = context.world.worker_by_node.values()
    earlier = next(worker for worker in workers if worker.running)
    later = next(worker for worker in workers if not worker.running)
    ((key, start),) = earlier.running.items()
    later.running[key._replace(run=key.run + 1)] = start
    context.hosts = {"earlier": earlier, "later": later}


@when("a new leader hears of the {first} run first")
def step_hears_first(context, first):
    world = restored(context)
    hosts = context.hosts
    for worker in (hosts[first], *(w for w in hosts.values() if w is not hosts[first])):
        world.report(worker)


@then("it stops the earlier run, and not the later one")
def step_stops_earlier(context):
    stops = {node: orders.stops for node, orders in context.world.decide()}
    earlier, later = context.hosts["earlier"], context.hosts["later"]
    assert stops.get(earlier.node) == list(earlier.running), stops
    assert not stops.get(later.node), stops


@when('a worker lists a run of job "{name}" that it did not list before')
def step_lists_later(context, name):
    world = context.world
    worker = next(w for w in world.worker_by_node.values() if w.running)
    key = next(key for key in worker.running if key.task.job == name)
    worker.running[key._replace(run=key.run + 1)] = worker.running.pop(key)
    world.report(worker)


@then(
    "the log says of {count:d} adopted run that it was not known since an earlier list"
)
def step_adopted_later(context, count):
    logged = context.world.scheduler.take_logged_events()
    adopted = [event.why for event in logged if event.event is Event.ADOPTED]
    assert adopted.count(ADOPTED_LATER) == count, adopted


@then('no task of job "{name}" is started')
def step_none_started(context, name):
    context.world.decide()
    assert len(context.world.starts) == context.starts_before, context.world.starts


@when("it has waited for as long as runs can go on without a leader")
def step_waited(context):
    world = context.world
    world.now = world.claimed_at + 5.0
    for node, worker in world.worker_by_node.items():
        if node != context.node:
            world.report(worker)


@then('job "{name}" is started again with a higher run')
def step_started_again(context, name):
    step_second_start(context)


@when("its agent sends no report for {seconds:d} s")
@when("its agent sends no report for {seconds:d} s more")
def step_no_report(context, seconds):
    world = context.world
    world.scheduler.mark_disconnected(context.node)
    for _ in range(round(seconds / REPORT_SECONDS)):
        world.now += REPORT_SECONDS
        for node, worker in world.worker_by_node.items():
            if node != context.node:
                world.report(worker)


@when("its worker crashes and comes back")
def step_crashes(context):
    worker = context.world.worker_by_node[context.node]
    worker.restart()
    context.world.report(worker)


@when("its worker leaves for good")
def step_leaves(context):
    worker = context.world.worker_by_node[context.node]
    worker.left = True
    context.world.report(worker)


@then("the agent may be removed from the store")
def step_removable(context):
    idle = [vm.node for vm in context.world.scheduler.idle_vms_without_worker()]
    assert idle == [context.node], idle


@when("it succeeds, and a new leader gets that report before it is stored")
def step_succeeds_new_leader(context):
    context.world.end_all()
    step_new_leader(context)


@then('job "{name}" has succeeded without another start')
def step_succeeded(context, name):
    entry = context.world.scheduler.job_table.entry_by_id[name]
    assert entry.state is JobState.SUCCEEDED, entry.state
    step_no_second(context)


@given("{count:d} jobs of priority {priority:d} wait for room")
def step_many_wait(context, count, priority):
    for number in range(count):
        context.world.submit(make_job(f"j{number}", plain(1), priority=priority))
    context.world.round()


@given('job "{name}" of {count:d} task with priority {priority:d}')
def step_job_priority(context, name, count, priority):
    _submit(context, name, plain(count), priority=priority)


@when("the room of one task becomes free")
def step_room(context):
    worker, key = _any_run(context.world)
    worker.end(key, RunEnd.SUCCEEDED)
    context.world.round()


@given('job "{name}" of {count:d} task that was submitted {seconds:d} s ago')
def step_job_aged(context, name, count, seconds):
    accepted = context.world.wall_now - seconds
    _submit(context, name, plain(count), accepted_at=accepted)


@when("{count:d} runs in a row fail on the first VM")
def step_failures(context, count):
    world = context.world
    world.worker_by_node["vm-2"].state = type(world.worker_by_node["vm-2"].state)(
        "draining"
    )
    for number in range(count):
        world.submit(make_job(f"bad{number}", plain(1), attempts=1))
        world.round()
        world.end_all(RunEnd.FAILED)
        world.round()
    world.worker_by_node["vm-2"].state = world.worker_by_node["vm-1"].state
    world.round()


@when('job "{name}" is cancelled, and a new leader comes before its runs have stopped')
def step_cancel_new_leader(context, name):
    world = context.world
    world.scheduler.cancel(name, now=world.now, wall_now=world.wall_now)
    step_new_leader(context)


@when('job "{name}" of {count:d} tasks with {cores:d} cores is submitted')
def step_cores_submitted(context, name, count, cores):
    _submit(context, name, plain(count, cores=cores))
    context.held = context.world.decide()


@when("its runs are stopped")
def step_runs_stopped(context):
    step_ends_listed(context)
    context.world.round()


@when('job "{name}" of {count:d} tasks is submitted')
def step_submitted(context, name, count):
    step_job(context, name, count)
    context.world.round()


@then(
    "of {count:d} jobs in a burst at {times:g} times the room,"
    " more are in time than in order of arrival"
)
def step_burst(context, count, times):
    ranked = _in_time(count, times, by_rank=True)
    arrival = _in_time(count, times, by_rank=False)
    assert ranked > arrival, (ranked, arrival)


def _in_time(count, times, *, by_rank):
    """Simulate jobs of 1 to 16 one-second tasks on 8 slots; count those in time.

    The objective is 3 s: twice the one second of a task, and 1 s more. Arrivals are
    evenly spread over the time in which the slots can do `1 / times` of the work.
    """
    sizes = [1 + (number * 7) % 16 for number in range(count)]
    span = sum(sizes) / 8 / times
    waiting = [(WALL_START + span * n / count, size) for n, size in enumerate(sizes)]
    world = SchedulingWorld([SimulatedWorker("vm-1", cores=8)])
    world.now = 0.0
    done = 0
    left = [(at - WALL_START, size, n) for n, (at, size) in enumerate(waiting)]
    for _ in range(200):
        while left and left[0][0] <= world.now:
            at, size, number = left.pop(0)
            # For the order of arrival, each job has a priority of its own that goes
            # before all later ones.
            priority = 0 if by_rank else number
            world.submit(
                make_job(
                    f"j{number}",
                    plain(size, cores=1.0),
                    accepted_at=WALL_START + at,
                    priority=priority,
                    target_latency=1.0,
                )
            )
        world.end_all()
        world.now += 0.7
        world.round()
    for entry in world.scheduler.job_table.entry_by_id.values():
        done += entry.ended_at - entry.job.accepted_at <= 3.0 and (
            entry.state is JobState.SUCCEEDED
        )
    return done


@given("a long-running job and a short one are submitted together")
def step_long_running_and_short(context):
    context.world.submit(make_job("lasting", serving(2, cores=6.0)))
    context.world.submit(make_job("short", plain(1, cores=4.0)))


@given("{count:d} VMs of {cores:d} cores, the first with {more:d} more")
def step_vms_uneven(context, count, cores, more):
    step_vms(context, count, cores)
    context.world.worker_by_node["vm-1"].cores = cores + more


@when("tasks on the first VM make no progress for {seconds:d} s")
def step_no_progress(context, seconds):
    # Simulated workers always report the same percentage, so these tasks make no
    # progress. The second VM is draining, so that all of them run on the first.
    world = context.world
    workers = world.worker_by_node
    ready = workers["vm-2"].state
    workers["vm-2"].state = type(ready)("draining")
    world.submit(make_job("stuck", plain(4)))
    for _ in range(round(seconds / REPORT_SECONDS)):
        world.round()
    workers["vm-2"].state = ready
    world.round()


@then('none of job "{name}" runs on the first VM')
def step_none_on_first(context, name):
    nodes = context.world.running_nodes(name)
    assert nodes and "vm-1" not in nodes, nodes


@given('job "{name}" of {count:d} task of an advised queue')
def step_advised_job(context, name, count):
    _submit(context, name, plain(count), advised=True)


def next_question(world):
    """Return the next question to the advice service, or None."""
    scheduler = world.scheduler
    return scheduler.advice.question(
        scheduler.job_table,
        scheduler.vm_by_node.values(),
        now=world.now,
        wall_now=world.wall_now,
    )


@when("the advice service is asked, and grants the second VM for {seconds:d} s")
def step_grant_second(context, seconds):
    world = context.world
    world.round()
    assert not world.starts, "a start without a ticket"
    question = next_question(world)
    assert {incarnation.id for incarnation in question.workers} == {"i-vm-1", "i-vm-2"}
    until = world.now + seconds
    world.scheduler.advice.take(question, {"i-vm-2": "leave"}, until=until)


@when("{seconds:d} s pass without a round")
def step_no_round(context, seconds):
    context.world.now += seconds


@then("only the second VM is asked about again")
def step_asked_again(context):
    context.question = next_question(context.world)
    assert [incarnation.id for incarnation in context.question.workers] == ["i-vm-2"]


@when("it is granted a ticket again")
def step_granted_again(context):
    world = context.world
    until = world.now + 3.0
    world.scheduler.advice.take(context.question, {"i-vm-2": "leave"}, until=until)
    world.round()


@then('job "{name}" runs on the second VM')
def step_runs_second(context, name):
    assert context.world.running_nodes(name) == ["vm-2"]
    assert next_question(context.world) is None


@given("its agent refuses every start")
def step_refuses(context):
    worker = context.world.worker_by_node["vm-1"]
    context.take = worker.take

    def refuse(orders):
        worker.orders_taken = orders.number
        worker.refused = [(s.key, Refusal.NOT_ALLOWED) for s in orders.starts]

    worker.take = refuse


@then("at most {count:d} starts were sent")
def step_few_starts(context, count):
    assert 0 < len(context.world.starts) <= count, len(context.world.starts)


@when("its agent refuses no more, and 1 s has passed")
def step_refuses_no_more(context):
    worker = context.world.worker_by_node["vm-1"]
    worker.take = context.take
    for _ in range(4):
        context.world.round()


@when("its agent reports without a worker for {seconds:d} s")
@when("its agent reports without a worker for {seconds:d} s more")
def step_no_worker(context, seconds):
    world = context.world
    worker = world.worker_by_node[context.node]
    worker.unknown = True
    for _ in range(round(seconds / REPORT_SECONDS)):
        world.round()


@when("its run is stopped, and is reported in doubt for two reports more")
def step_in_doubt(context):
    world = context.world
    worker = world.worker_by_node[context.node]
    (key,) = worker.running
    worker.end(key, RunEnd.STOPPED)
    worker.unsettled = [key]
    # The end is not stored yet, so it is listed again.
    world.report(worker)
    world.report(worker)
    worker.unsettled = []


@when("its run fails, and a new leader restores that and gets the end again")
def step_failure_again(context):
    world = context.world
    world.round(commit=False)
    (worker,) = world.worker_by_node.values()
    (key,) = worker.running
    worker.end(key, RunEnd.FAILED)
    world.report(worker)
    entry = world.scheduler.job_table.entry_by_id[context.job]
    record = record_of(entry)
    world.lead(2)
    world.scheduler.unreported_agents = {worker.node}
    world.scheduler.job_table.add(
        entry.job, now=world.now, wall_now=world.wall_now, record=record
    ).may_start_tasks = False
    worker.orders_taken = 0
    world.round()
    world.round()


@then('job "{name}" has not failed, and runs again')
def step_not_failed(context, name):
    entry = context.world.scheduler.job_table.entry_by_id[name]
    assert entry.open, entry.state
    assert context.world.running_nodes(name), "it does not run"
