"""Steps on processes that are paused, restarted or twice there."""

from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from msgspec.structs import replace

from features.steps.deployment_steps import PATIENCE_SECONDS, url
from standins.in_process_nodes import Deployment
from standins.processes import http, wait_for
from wagtailcleat.clock import boot_time
from wagtailcleat.configuration.models import Zone
from wagtailcleat.configuration.writer import Accepted, write

AT_ONCE = 10


def _second_entry(context):
    return list(context.cluster.entry_by_node.values())[1]


def _in_zone(context, zone):
    return [vm.name for vm in context.cluster.vm_by_name.values() if vm.zone == zone]


def _runs(context, zone):
    return sum(len(context.cluster.runs(vm)) for vm in _in_zone(context, zone))


@given("every endpoint has answered a request")
def step_all_answered(context):
    entry = _second_entry(context)

    def all_ran():
        http("GET", url(context, "/services/booking-core/hold", entry))
        return all(context.cluster.runs(vm) for vm in context.cluster.vm_by_name)

    wait_for(all_ran, PATIENCE_SECONDS, "a run at every endpoint")


@given('only the endpoints of zone "{zone}" are left')
def step_only_zone(context, zone):
    kept = _in_zone(context, zone)
    gone = [vm for vm in context.cluster.vm_by_name if vm not in kept]
    for (vm, _), endpoint in context.cluster.endpoint_by_vm_and_service.items():
        if vm in gone:
            endpoint.kill()

    def heard():
        nodes = context.cluster.admin("GET", "/admin/nodes").json()["nodes"]
        return not any(n["services"] for n in nodes if n["vm"] in gone)

    wait_for(heard, PATIENCE_SECONDS, "the other endpoints are known to be gone")


@when('the second entry and the agents of zone "{zone}" are paused')
def step_pause(context, zone):
    agents = [context.cluster.agent_by_vm[vm] for vm in _in_zone(context, zone)]
    context.paused = [_second_entry(context), *agents]
    for process in context.paused:
        process.freeze()
    context.paused_at = boot_time()


@when("they have been paused for {seconds:d} seconds")
def step_paused_for(context, seconds):
    def long_enough():
        return boot_time() - context.paused_at > seconds

    wait_for(long_enough, PATIENCE_SECONDS, f"a pause of {seconds} s")


@when("the paused processes go on and the second entry gets {count:d} requests at once")
def step_go_on(context, count):
    context.before = {z: _runs(context, z) for z in ("zilina-a", "zilina-b")}
    address = url(context, "/services/booking-core/hold", _second_entry(context))
    with ThreadPoolExecutor(AT_ONCE) as pool:
        answers = [pool.submit(http, "GET", address) for _ in range(count)]
        for process in reversed(context.paused):
            process.thaw()
        context.statuses = [answer.result().status for answer in answers]


@then('no endpoint in zone "{zone}" ran any of them')
def step_none_ran(context, zone):
    assert _runs(context, zone) == context.before[zone], context.statuses


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
    'agent "{name}" is cut off and paused for {seconds:d} seconds'
    " while a zone is taken out"
)
def step_cut_and_pause(context, name, seconds):
    context.deployment.cut({name})
    _change(context, lambda current: replace(current, zones_out=["zilina-a"]))
    context.deployment.pause(name, seconds)


@then('"{name}" does not trust its view, also after {seconds:d} more seconds')
def step_no_trust(context, name, seconds):
    node = context.deployment.node_by_name[name]
    assert not node.fresh()
    context.deployment.pass_time(seconds)
    assert not node.fresh()


@when("the cut ends")
def step_heal(context):
    context.deployment.heal()


@then('within {seconds:d} seconds "{name}" trusts its view and has the zone out')
def step_trust(context, seconds, name):
    context.deployment.pass_time(seconds)
    node = context.deployment.node_by_name[name]
    assert node.fresh()
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
