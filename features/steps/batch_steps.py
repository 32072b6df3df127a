"""Steps on batch jobs in a deployment of real processes."""

import time
from concurrent.futures import ThreadPoolExecutor

from batch_oracle import overlaps, peak, running, runs, runs_by_task
from behave import given, then, when

from standins.cluster import Cluster, VmOptions
from standins.processes import HttpError, http, wait_for
from wagtailcleat.batch.shards import fair_share, find_shard, rank_nodes
from wagtailcleat.clock import boot_time
from wagtailcleat.configuration.models import Team

TEAM = "travel-desk"
TEAM_SHARDS = 4
TIMING = {
    "reservation": 0.5,
    "grant": 2.0,
    "ownership": 2,
    "gossip": 0.2,
    "suspicion": 1.0,
    "outage_grant": 20.0,
    "store_call": 1.0,
    "drain": 5.0,
}
AGENT_SETTINGS = {"shards": 4}
WAIT_SECONDS = 40
SHOWN_LOG_CHARACTERS = 10_000
WORKER_CORES_FACTOR = 4
CHECKPOINT_ROUNDING_SECONDS = 0.1


def team():
    return {"name": TEAM, "cores": 200, "memory_mb": 800_000, "shards": TEAM_SHARDS}


def job_body(name, tasks, command, cores, **more):
    shared = {"memory_mb": 100, "deadline_seconds": 600}
    body = {"id": name, "command": command, "cores": cores, "tasks": tasks}
    return body | shared | more


def jobs_url(context, name=""):
    port = context.cluster.entry.ready["http_port"]
    return f"http://127.0.0.1:{port}/teams/{TEAM}/jobs" + (f"/{name}" if name else "")


def submit(context, body):
    """Submit until the job is accepted; return the last answer."""

    def accepted():
        try:
            answer = http("POST", jobs_url(context), body)
        except HttpError:
            return None
        if answer.status in (200, 201):
            return answer
        print(answer)
        return None

    return wait_or_show(context, accepted, f"job {body['id']} is accepted")


def account(context, name):
    try:
        answer = http("GET", jobs_url(context, name))
    except HttpError:
        return {}
    return answer.json() if answer.status == 200 else {}


def ended(context, name):
    def check():
        found_account = account(context, name)
        return (
            found_account
            if found_account.get("state") in ("finished", "failed", "cancelled")
            else None
        )

    return wait_or_show(context, check, f"job {name} ends")


def wait_or_show(context, condition, what):
    """Wait for the condition; if it does not hold in time, print what would show why.

    That is each run, and each agent's log and state.
    """
    try:
        return wait_for(condition, WAIT_SECONDS, what)
    except AssertionError:
        agents = context.cluster.agent_by_vm.values()
        for run in runs(context.cluster):
            print(run)
        for process in agents:
            print(process.stderr.read_text()[-SHOWN_LOG_CHARACTERS:])
        for process in agents:
            print(process.name, state(process))
        raise


def state(process):
    return http("GET", process.url + "/state", timeout=2).json()


def shard_of(name):
    return find_shard(Team(**team()), name, AGENT_SETTINGS["shards"])


def owner_vm(context, name):
    """Return the VM whose agent owns the job's shard."""
    shard = str(shard_of(name))
    paused = {process.name for process in context.paused}

    def find():
        for vm, agent in context.cluster.agent_by_vm.items():
            if agent.name in paused or not agent.alive:
                continue
            if shard in state(agent)["shards"]:
                return vm
        return None

    return wait_for(find, WAIT_SECONDS, f"shard {shard} has an owner")


@given('a batch deployment of VMs "{vms}"')
def step_deployment(context, vms):
    deploy(context, vms, TIMING)


@given('a batch deployment of VMs "{vms}" whose owners keep a shard {seconds:d} second')
def step_rebalancing(context, vms, seconds):
    deploy(context, vms, TIMING | {"rebalance": seconds})


def deploy(context, vms, timing):
    options = []
    for number, text in enumerate(vms.split()):
        name, zone, cores = text.split("=")
        rack = f"rack-{number}"
        # The worker accepts more than the inventory allows, so that its refusal can't
        # be what keeps a VM within its capacity.
        worker_cores = int(cores) * WORKER_CORES_FACTOR
        options.append(VmOptions(name, zone, rack, cores=worker_cores, services=()))
    context.paused = []
    context.cluster = Cluster(
        options,
        services=(),
        entries=1,
        timing=timing,
        agent_settings=AGENT_SETTINGS,
        entry_settings=AGENT_SETTINGS,
    )
    context.add_cleanup(context.cluster.close)
    answer = context.cluster.apply(inventory(context), {"teams": [team()]})
    assert answer.status == 200, answer.body
    wait_for(lambda: all_owned(context), WAIT_SECONDS, "all shards are owned")


def inventory(context):
    listed = context.cluster.inventory()
    for vm in listed["vms"]:
        vm["cores"] = vm["cores"] // WORKER_CORES_FACTOR
    return listed


def all_owned(context):
    agents = context.cluster.agent_by_vm.values()
    return sum(len(state(agent)["shards"]) for agent in agents) == 4


def owned(context):
    agents = context.cluster.agent_by_vm.items()
    return {vm: len(state(agent)["shards"]) for vm, agent in agents if agent.alive}


@when('all agents but that on "{vm}" are killed')
def step_kill_others(context, vm):
    context.killed = [a for v, a in context.cluster.agent_by_vm.items() if v != vm]
    for agent in context.killed:
        agent.kill()


@then('"{vm}" eventually owns all {count:d} shards')
def step_owns_all(context, vm, count):
    wait_for(lambda: owned(context)[vm] == count, WAIT_SECONDS, f"{vm} owns all")


@when("the killed agents are restarted")
def step_start_again(context):
    for agent in context.killed:
        agent.start()


@then("each shard is owned by the first-ranked agent or one within its fair share")
def step_shared(context):
    agents = {a.name: vm for vm, a in context.cluster.agent_by_vm.items()}
    shards = AGENT_SETTINGS["shards"]
    firsts = [rank_nodes(shard, sorted(agents), 1)[0] for shard in range(shards)]
    limit_by_vm = {
        vm: max(firsts.count(name), fair_share(shards, len(agents)))
        for name, vm in agents.items()
    }

    def shared():
        found = owned(context)
        within = all(found[vm] <= limit_by_vm[vm] for vm in found)
        return found if within and sum(found.values()) == shards else None

    wait_for(shared, WAIT_SECONDS, f"nobody owns more than {limit_by_vm}")


@given(
    'job "{name}" of {tasks:d} tasks of "{command}" with {cores:d} cores'
    ' runs on "{vm}" and {other:d} on "{other_vm}"'
)
def step_runs_on(context, name, tasks, command, cores, vm, other, other_vm):
    submit(context, job_body(name, tasks, command, cores))
    held = context.cluster.vm_by_name[vm].cores // WORKER_CORES_FACTOR // cores
    wanted = min(held, tasks - other) if tasks > other else 0

    def full():
        return len(running(context.cluster, vm)) >= wanted - 1

    wait_for(full, WAIT_SECONDS, f"{vm} is full")


@given(
    'job "{name}" of {tasks:d} tasks of "{command}" with {cores:d} cores fills all VMs'
)
def step_fills(context, name, tasks, command, cores):
    submit(context, job_body(name, tasks, command, cores))
    wait_for(lambda: len(running(context.cluster)) == tasks, WAIT_SECONDS, "all run")


@when(
    'job "{name}" of {tasks:d} tasks of "{command}" with {cores:d} cores is submitted'
)
@when(
    'job "{name}" of {tasks:d} tasks of "{command}" with {cores:d} cores'
    " is submitted until it is accepted"
)
def step_submit(context, name, tasks, command, cores):
    submit(context, job_body(name, tasks, command, cores))


@when(
    'urgent job "{name}" of {tasks:d} task of "{command}" with {cores:d} cores'
    " is submitted"
)
def step_urgent(context, name, tasks, command, cores):
    submit(context, job_body(name, tasks, command, cores, urgent=True))
    context.submitted_at = boot_time()


@when(
    'job "{name}" of {tasks:d} tasks of "{command}" with {cores:d} cores'
    " is submitted {times:d} times at once"
)
def step_many_times(context, name, tasks, command, cores, times):
    body = job_body(name, tasks, command, cores)

    def send(_):
        return http("POST", jobs_url(context), body).status

    with ThreadPoolExecutor(times) as pool:
        context.statuses = list(pool.map(send, range(times)))


@then("every one of these submissions was accepted")
def step_accepted(context):
    assert set(context.statuses) <= {200, 201}, context.statuses


@when(
    '{jobs:d} jobs of {tasks:d} tasks of "{command}" with {cores:d} cores'
    " are submitted at once"
)
@when(
    '{jobs:d} more jobs of {tasks:d} tasks of "{command}" with {cores:d} cores'
    " are submitted at once"
)
def step_jobs(context, jobs, tasks, command, cores):
    first = len(getattr(context, "jobs", []))
    names = [f"job-{first + number}" for number in range(jobs)]
    bodies = [job_body(name, tasks, command, cores) for name in names]
    with ThreadPoolExecutor(jobs) as pool:
        list(pool.map(lambda body: submit(context, body), bodies))
    context.jobs = getattr(context, "jobs", []) + names


@when("{count:d} tasks run")
def step_run(context, count):
    wait_for(lambda: len(running(context.cluster)) >= count, WAIT_SECONDS, "tasks run")


@when("{count:d} tasks have each run for {seconds:d} second")
def step_run_for(context, count, seconds):
    def have_run_long_enough():
        ages = [boot_time() - run.start for run in running(context.cluster)]
        return len(ages) >= count and min(ages) >= seconds

    wait_or_show(context, have_run_long_enough, f"{count} tasks run for {seconds} s")


@when("{count:d} tasks have run")
def step_have_run(context, count):
    wait_for(
        lambda: len(runs(context.cluster)) >= count, WAIT_SECONDS, "tasks have run"
    )


@then('job "{name}" ends with {count:d} tasks succeeded')
def step_ends(context, name, count):
    found_account = ended(context, name)
    assert found_account["succeeded"] == count, found_account


@then("all {jobs:d} jobs end with {count:d} tasks succeeded")
def step_all_end(context, jobs, count):
    for name in context.jobs[:jobs]:
        step_ends(context, name, count)


def pause(context, process):
    process.freeze()
    context.paused.append(process)


def find_vm_of_non_owner(context, name):
    """Return a VM that runs tasks and whose agent does not own the job's shard."""
    shard = str(shard_of(name))

    def find():
        for vm, agent in context.cluster.agent_by_vm.items():
            if running(context.cluster, vm) and shard not in state(agent)["shards"]:
                return vm
        return None

    return wait_for(
        find, WAIT_SECONDS, "a VM whose agent does not own the shard runs tasks"
    )


@when('the owner of job "{name}" is paused as soon as a task runs')
def step_pause_owner(context, name):
    vm = owner_vm(context, name)
    wait_for(lambda: running(context.cluster), WAIT_SECONDS, "a task runs")
    pause(context, context.cluster.agent_by_vm[vm])


@when('another agent owns the shard of job "{name}"')
def step_another(context, name):
    owner_vm(context, name)


@when('an agent that runs tasks and owns no shard of job "{name}" is paused')
def step_pause_non_owner(context, name):
    context.vm = find_vm_of_non_owner(context, name)
    context.tasks = {run.task for run in running(context.cluster, context.vm)}
    pause(context, context.cluster.agent_by_vm[context.vm])


@when('an agent that runs tasks and owns no shard of job "{name}" is told to stop')
def step_stop_non_owner(context, name):
    context.vm = find_vm_of_non_owner(context, name)
    agent = context.cluster.agent_by_vm[context.vm]
    context.stopping = ThreadPoolExecutor(1).submit(agent.terminate, 15)


@when('the owner of job "{name}" is killed and restarted')
def step_kill_owner(context, name):
    vm = owner_vm(context, name)
    wait_for(
        lambda: any(run.state == "stopped" for run in runs(context.cluster)),
        WAIT_SECONDS,
        "a task is checkpointed",
    )
    agent = context.cluster.agent_by_vm[vm]
    agent.kill()
    agent.start()
    assert context.stopping.result() == 0


@when(
    'an agent that runs tasks and owns no shard of job "{name}" is killed and restarted'
)
def step_kill_non_owner(context, name):
    agent = context.cluster.agent_by_vm[find_vm_of_non_owner(context, name)]
    agent.kill()
    agent.start()


@when('the agent on "{vm}" is paused')
def step_pause(context, vm):
    pause(context, context.cluster.agent_by_vm[vm])


@when("the paused agent resumes")
def step_resume(context):
    for process in context.paused:
        process.thaw()
    context.paused = []


@when("the paused agent resumes after {seconds:d} second")
def step_resume_later(context, seconds):
    resume_at = context.zone_out_at + seconds
    wait_for(lambda: boot_time() >= resume_at, seconds + 1, "the pause")
    step_resume(context)


@when('the store loses the next {count:d} answers to writes of "{part}"')
def step_store_loses_answers(context, count, part):
    context.cluster.store.faults(lose_answers=count, lose_answers_matching=part)


@when("the store answers {seconds:g} seconds late")
def step_store_slow(context, seconds):
    context.cluster.store.faults(slow_seconds=seconds)


@when("the store answers at once")
def step_store_fast(context):
    context.cluster.store.faults()


@when('the operator lowers "{vm}" to {cores:d} cores')
def step_lower(context, vm, cores):
    lowered = inventory(context)
    for item in lowered["vms"]:
        if item["name"] == vm:
            item["cores"] = cores
    rules = {"teams": [team()]}
    answer = context.cluster.apply(lowered, rules, base_revision=1)
    assert answer.status == 200, answer.body


@when('the operator takes zone "{zone}" out')
def step_zone_out(context, zone):
    answer = context.cluster.admin("POST", f"/admin/zones/{zone}/out")
    assert answer.status == 200, answer.body
    context.zone_out_at = boot_time()


@when('the operator brings zone "{zone}" back')
def step_zone_in(context, zone):
    answer = context.cluster.admin("POST", f"/admin/zones/{zone}/in")
    assert answer.status == 200, answer.body
    context.zone_in_at = boot_time()


@when('the operator takes zone "{zone}" out and the store goes down')
def step_zone_out_and_store_down(context, zone):
    step_zone_out(context, zone)
    step_store_down(context)


def step_store_down(context):
    context.cluster.store.faults(down=True)
    context.store_down_at = boot_time()


@when('the store goes down while {count:d} tasks of "{name}" run')
def step_store_down_while(context, count, name):
    def running_now():
        return sum(f".{name}~" in r.task for r in running(context.cluster)) == count

    wait_for(running_now, WAIT_SECONDS, f"{count} tasks of {name} run")
    step_store_down(context)


@when("the store hangs for {seconds:d} seconds")
def step_store_hang(context, seconds):
    context.cluster.store.faults(hang=True)
    context.store_down_at = boot_time()
    step_store_back(context, seconds)


@when("callers submit jobs for {seconds:d} seconds")
def step_submit_during(context, seconds):
    context.refused = []
    until = context.store_down_at + seconds
    number = 0
    while boot_time() < until:
        name = f"refused-{number}"
        answer = http("POST", jobs_url(context), job_body(name, 1, "sleep:0.1", 1))
        context.refused.append((name, answer))
        number += 1
        time.sleep(0.2)


@when("the store is back after {seconds:d} seconds")
def step_store_back(context, seconds):
    store_back_at = context.store_down_at + seconds
    wait_for(lambda: boot_time() >= store_back_at, seconds + 1, "the outage")
    context.cluster.store.faults()
    context.store_back_at = boot_time()


@then("no task ever ran in two places")
def step_no_overlap(context):
    assert not overlaps(context.cluster), overlaps(context.cluster)


@then('"{vm}" never ran more than {count:d} tasks at a time')
def step_peak(context, vm, count):
    assert peak(context.cluster, vm) <= count, peak(context.cluster, vm)


@then('"{vm}" runs at most {count:d} tasks within {seconds:d} seconds')
def step_at_most(context, vm, count, seconds):
    wait_for(
        lambda: len(running(context.cluster, vm)) <= count,
        seconds,
        f"{vm} runs at most {count} tasks",
    )


@then("each evicted task was checkpointed")
def step_checkpointed(context):
    stopped = [run for run in runs(context.cluster) if run.state == "stopped"]
    assert stopped, "nothing was evicted"
    lapsed = [run for run in runs(context.cluster) if run.state == "lapsed"]
    assert not lapsed, lapsed


@then('a task of "{name}" runs within {seconds:d} seconds')
def step_runs_within(context, name, seconds):
    wait_for(
        lambda: any(f".{name}~" in run.task for run in running(context.cluster)),
        seconds,
        f"{name} runs",
    )


@then("its tasks run on other VMs")
def step_run_on_other_vms(context):
    def moved():
        found = {r.task for r in runs(context.cluster) if r.vm != context.vm}
        return context.tasks <= found

    wait_for(moved, WAIT_SECONDS, "the tasks run elsewhere")


@then('each task of job "{name}" succeeded once')
def step_succeeded_once(context, name):
    for task, found in runs_by_task(context.cluster).items():
        if f".{name}~" in task:
            succeeded = [run for run in found if run.state == "succeeded"]
            assert len(succeeded) == 1, found


@then('no stopped task of "{command}" ran longer than {seconds:d} seconds in total')
def step_total_run_time(context, command, seconds):
    stopped = False
    for found in runs_by_task(context.cluster).values():
        if any(run.state == "lapsed" for run in found):
            continue
        stopped = stopped or any(run.state == "stopped" for run in found)
        total = sum(run.end - run.start for run in found)
        assert total <= seconds + CHECKPOINT_ROUNDING_SECONDS, found
    assert stopped, "nothing was evicted"


@then("no task on another VM failed or was stopped meanwhile")
def step_none_ended(context):
    others = [r for r in runs(context.cluster) if r.vm != "vm-1"]
    assert all(run.state in ("running", "succeeded") for run in others), others


@then(
    'no task started in zone "{zone}" later than {seconds:d} second'
    " after it was taken out"
)
def step_none_started(context, zone, seconds):
    vms = context.cluster.vm_by_name.values()
    inside = {vm.name for vm in vms if vm.zone == zone}
    late = [
        (run, run.start - context.zone_out_at)
        for run in runs(context.cluster)
        if run.vm in inside and run.start > context.zone_out_at + seconds
    ]
    assert not late, late


@then('a task runs in zone "{zone}" within {seconds:d} seconds')
def step_runs_in_zone(context, zone, seconds):
    vms = context.cluster.vm_by_name.values()
    inside = {vm.name for vm in vms if vm.zone == zone}

    def started():
        return any(
            r.vm in inside and r.start > context.zone_in_at
            for r in runs(context.cluster)
        )

    wait_for(started, seconds, f"a task runs in {zone}")


@then("every submission was refused as not run")
def step_refused(context):
    assert context.refused
    for _, answer in context.refused:
        assert answer.status == 503, answer
        assert answer.json()["code"] == "not_run", answer


@then('no task of job "{name}" was stopped')
def step_none_stopped(context, name):
    found = [r for r in runs(context.cluster) if f".{name}~" in r.task]
    assert {r.state for r in found} <= {"running", "succeeded"}, found
    assert len(found) == len({r.task for r in found}), found


@then("no refused job was ever accepted")
def step_never_accepted(context):
    for name, _ in context.refused:
        answer = http("GET", jobs_url(context, name))
        assert answer.status == 404, answer


@then("every process is alive")
def step_alive(context):
    agents = context.cluster.agent_by_vm.values()
    assert all(agent.alive for agent in agents)
    assert context.cluster.entry.alive


@then(
    "the store took at most {writes:d} writes and {reads:d} reads"
    " in any second after its return"
)
def step_store_load(context, writes, reads):
    seconds = context.cluster.store.record()["calls_by_second"]
    after = [row for row in seconds if row[0] >= int(context.store_back_at)]
    assert max(row[2] for row in after) <= writes, after
    assert max(row[1] for row in after) <= reads, after


@when('the worker on "{vm}" fails everything')
def step_failing(context, vm):
    context.cluster.worker_by_vm[vm].faults(fail_everything=True)


@when("every job is cancelled twice at once")
def step_cancel_all(context):
    def cancel(name):
        return http("DELETE", jobs_url(context, name)).status

    with ThreadPoolExecutor(10) as pool:
        statuses = list(pool.map(cancel, context.jobs * 2))
    assert set(statuses) == {200}, statuses


@then('"{vm}" started at most {count:d} tasks')
def step_started_at_most(context, vm, count):
    started = [run for run in runs(context.cluster) if run.vm == vm]
    assert len(started) <= count, len(started)


@then('job "{name}" failed, and its account says where')
def step_failed(context, name):
    found_account = ended(context, name)
    assert found_account["state"] == "failed", found_account
    assert "failed on vm-" in found_account["reason"], found_account


@then('every job\'s account shows "{state_wanted}" and no task runs')
def step_all_in_state(context, state_wanted):
    for name in context.jobs:
        assert ended(context, name)["state"] == state_wanted, account(context, name)
    assert not running(context.cluster), running(context.cluster)
