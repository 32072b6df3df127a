"""Steps for processes that are paused while the configuration changes."""

from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from msgspec.structs import replace

from features.steps.deployment_steps import WAIT_TIMEOUT_SECONDS, url
from standins.cluster import Cluster, ServiceOptions, VmOptions
from standins.in_process_nodes import Deployment
from standins.processes import http, wait_for
from wagtailcleat.clock import boot_time
from wagtailcleat.configuration.models import Zone
from wagtailcleat.configuration.writer import Accepted, write

CONCURRENT_REQUESTS = 10
DEADLINE_SECONDS = 10.0


def _second_entry(context):
    return list(context.cluster.entry_by_node.values())[1]


def _vms_in_zone(context, zone):
    return [vm.name for vm in context.cluster.vm_by_name.values() if vm.zone == zone]


def _run_count(context, zone):
    return sum(len(context.cluster.runs(vm)) for vm in _vms_in_zone(context, zone))


@given("every endpoint has answered a request")
def step_all_answered(context):
    entry = _second_entry(context)

    def all_ran():
        http("GET", url(context, "/services/booking-core/hold", entry))
        return all(context.cluster.runs(vm) for vm in context.cluster.vm_by_name)

    wait_for(all_ran, WAIT_TIMEOUT_SECONDS, "a run at every endpoint")


@given('only the endpoints of zone "{zone}" still run')
def step_only_zone_runs(context, zone):
    kept_vms = _vms_in_zone(context, zone)
    stopped_vms = [vm for vm in context.cluster.vm_by_name if vm not in kept_vms]
    for (vm, _), endpoint in context.cluster.endpoint_by_vm_and_service.items():
        if vm in stopped_vms:
            endpoint.kill()

    def endpoints_withdrawn():
        nodes = context.cluster.admin("GET", "/admin/nodes").json()["nodes"]
        return not any(n["services"] for n in nodes if n["vm"] in stopped_vms)

    wait_for(
        endpoints_withdrawn,
        WAIT_TIMEOUT_SECONDS,
        "the other endpoints are known to be gone",
    )


@when('the second entry and the agents of zone "{zone}" are paused')
def step_pause(context, zone):
    agents = [context.cluster.agent_by_vm[vm] for vm in _vms_in_zone(context, zone)]
    context.paused = [_second_entry(context), *agents]
    for process in context.paused:
        process.freeze()
    context.paused_at = boot_time()


@when("they have been paused for {seconds:d} seconds")
def step_paused_for(context, seconds):
    def long_enough():
        return boot_time() - context.paused_at > seconds

    wait_for(long_enough, WAIT_TIMEOUT_SECONDS, f"a pause of {seconds} s")


@when(
    "the paused processes resume and the second entry gets {count:d} requests at once"
)
def step_resume(context, count):
    context.runs_before_by_zone = {
        z: _run_count(context, z) for z in ("zilina-a", "zilina-b")
    }
    address = url(context, "/services/booking-core/hold", _second_entry(context))
    with ThreadPoolExecutor(CONCURRENT_REQUESTS) as pool:
        answers = [pool.submit(http, "GET", address) for _ in range(count)]
        for process in reversed(context.paused):
            process.thaw()
        context.statuses = [answer.result().status for answer in answers]


@then('no endpoint in zone "{zone}" ran any of them')
def step_none_ran(context, zone):
    assert _run_count(context, zone) == context.runs_before_by_zone[zone], (
        context.statuses
    )


@given("two entries and two agents in one process, on virtual time")
def step_in_process(context):
    context.deployment = Deployment()
    context.add_cleanup(context.deployment.close)
    start = context.deployment.start
    start("entry-1", [])
    start("entry-2", ["entry-1"])
    start("agent-3", ["entry-1"])
    start("agent-4", ["agent-3"])
    context.deployment.pass_time(3)
    _change(context, _with_zone)


@when(
    'agent "{name}" is partitioned and paused for {seconds:d} seconds'
    " while a zone is taken out"
)
def step_partition_and_pause(context, name, seconds):
    context.deployment.partition({name})
    _change(context, lambda current: replace(current, zones_out=["zilina-a"]))
    context.deployment.pause(name, seconds)


@then('"{name}" treats its view as stale, also after {seconds:d} more seconds')
def step_view_is_stale(context, name, seconds):
    node = context.deployment.node_by_name[name]
    assert not node.is_view_fresh()
    context.deployment.pass_time(seconds)
    assert not node.is_view_fresh()


@when("the partition heals")
def step_heal(context):
    context.deployment.heal()


@then(
    'within {seconds:d} seconds "{name}" treats its view as fresh and has the zone out'
)
def step_view_is_fresh(context, seconds, name):
    context.deployment.pass_time(seconds)
    node = context.deployment.node_by_name[name]
    assert node.is_view_fresh()
    assert node.in_force.configuration.zones_out == ["zilina-a"]


def _with_zone(current):
    zones = [Zone("zilina-a", "zilina")]
    return replace(current, inventory=replace(current.inventory, zones=zones))


def _change(context, change):
    deployment = context.deployment
    context.changes = getattr(context, "changes", 0) + 1
    store = deployment.store_by_name["entry-1"]
    outcome = deployment.loop.run(
        write(store, None, f"change-{context.changes}", change)
    )
    assert isinstance(outcome, Accepted), outcome
    deployment.pass_time(1)


@given("an entry and an agent whose streams may be silent for {seconds:d} seconds")
def step_patient_streams(context, seconds):
    vm = VmOptions("vm-1", "zilina-a", "rack-a1")
    service = ServiceOptions(deadline_seconds=DEADLINE_SECONDS)
    timing = {"silence": seconds, "suspicion": seconds}
    context.cluster = Cluster([vm], [service], 1, timing=timing)
    context.add_cleanup(context.cluster.close)
    assert context.cluster.apply().status == 200

    def serves():
        return http("GET", url(context, "/services/booking-core/ready")).status == 200

    wait_for(serves, WAIT_TIMEOUT_SECONDS, "it serves")


@when(
    "the agent is paused for {seconds:g} seconds"
    " while {count:d} requests and a watcher wait for it"
)
def step_pause_with_requests(context, seconds, count):
    agent = context.cluster.agent_by_vm["vm-1"]
    paths = [f"/services/booking-core/hold/{number}" for number in range(count)]
    events = "/services/booking-core/events?count=1"
    watching = {"Accept": "text/event-stream"}
    agent.freeze()
    paused_at = boot_time()
    with ThreadPoolExecutor(count + 1) as pool:
        answers = [pool.submit(http, "GET", url(context, path)) for path in paths]
        answers.append(pool.submit(http, "GET", url(context, events), None, watching))
        wait_for(
            lambda: boot_time() - paused_at > seconds,
            WAIT_TIMEOUT_SECONDS,
            f"a pause of {seconds} s",
        )
        agent.thaw()
        context.answers = [answer.result() for answer in answers]


@then("each of them was answered 200")
def step_all_served(context):
    bad = [answer for answer in context.answers if answer.status != 200]
    assert not bad, bad
