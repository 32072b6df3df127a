"""Steps on processes that are paused, restarted or twice there."""

from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.steps.deployment_steps import PATIENCE_SECONDS, url
from standins.processes import http, wait_for
from wagtailcleat.clock import boot_time

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


@then('no endpoint in zone "{out}" ran any of them and zone "{other}" ran some')
def step_none_ran(context, out, other):
    assert _runs(context, out) == context.before[out], context.statuses
    assert _runs(context, other) > context.before[other], context.statuses
