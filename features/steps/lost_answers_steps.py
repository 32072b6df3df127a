"""Steps on answers that are lost after the endpoint has run the request."""

from collections import Counter

from behave import then, when

from features.steps.deployment_steps import call_until, url
from standins.processes import http

CHARGES_TO_REACH_ALL = 40


@when("each endpoint answers a charge and then loses the answer to the next one")
def step_lose_answers(context):
    cluster = context.cluster
    call_until(context, 200, "POST", "/services/booking-core/charge", b"1")
    for _ in range(CHARGES_TO_REACH_ALL):
        http("POST", url(context, "/services/booking-core/charge"), b"1")
    for endpoint in cluster.endpoint_by_vm_and_service.values():
        endpoint.faults(lose_answers=1)
    context.answer = http("POST", url(context, "/services/booking-core/charge"), b"2")


@then('the caller is answered "{code}" and no charge has run twice')
def step_no_charge_twice(context, code):
    runs = Counter(
        row[3] for vm in context.cluster.vm_by_name for row in context.cluster.runs(vm)
    )
    twice = {request: count for request, count in runs.items() if count > 1}
    assert not twice, twice
    assert context.answer.json()["code"] == code, context.answer.body
