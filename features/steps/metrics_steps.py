"""Steps on the number of time series in the metrics of real processes."""

import secrets
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from behave import then, when
from prometheus_client.parser import text_string_to_metric_families

from standins.platform_cluster import HOST, PREFIX, host_of
from standins.processes import http, wait_for

MAX_CONCURRENT_CALLERS = 4
STEP = {"count": 1, "cpu": 100, "memMb": 10, "estMs": 100}
OTHER_METHODS_SERIES = 'wagtailcleat_submission_calls_total{outcome="other 405"}'


def _metrics_by_node(context):
    cluster = context.cluster
    programs = [*cluster.entries, *cluster.agents]
    port = cluster.ports[1]
    return {
        program.name: http("GET", f"http://{host_of(n)}:{port}/metrics").body.decode()
        for n, program in enumerate(programs, start=1)
    }


@when("the operator adds {count:d} queues")
def step_add_queues(context, count):
    context.queues = tuple(f"queue{number:03d}" for number in range(count))
    context.cluster.configure(version=2, queues=context.queues)


@then("within {seconds:d} s both entries serve the last of them")
def step_last_queue_served(context, seconds):
    path = f"/{context.queues[-1]}/"

    def served():
        return all(
            context.cluster.call("GET", path, entry=entry) == (200, {"pending": 0})
            for entry in range(2)
        )

    wait_for(served, seconds, "both entries serve the last queue")


@when("a job is submitted, queried, counted and cancelled at each queue")
def step_use_each_queue(context):
    with ThreadPoolExecutor(MAX_CONCURRENT_CALLERS) as pool:
        numbers = range(len(context.queues))
        context.jobs = list(pool.map(lambda n: _use_queue(context, n), numbers))


def _use_queue(context, number):
    cluster, job = context.cluster, secrets.token_hex(8)
    prefix, entry = f"/{context.queues[number]}/", number % 2
    body = {"spec": "{}", "steps": [STEP]}
    statuses = [
        cluster.call("POST", prefix + job, body, entry=entry)[0],
        cluster.call("GET", prefix + job, entry=entry)[0],
        cluster.call("GET", prefix, entry=entry)[0],
        cluster.call("DELETE", prefix + job, entry=entry)[0],
    ]
    assert statuses == [200] * 4, (prefix, statuses)
    return job


@then("the metrics of every process contain no queue name and no job id")
def step_no_names(context):
    names = (*context.queues, *context.jobs)
    for node, text in _metrics_by_node(context).items():
        found = [name for name in names if name in text]
        assert not found, (node, len(found), found[:3])


@then("no metric of any process has more than {most:d} series")
def step_series_bounded(context, most):
    for node, text in _metrics_by_node(context).items():
        series = Counter(
            family.name
            for family in text_string_to_metric_families(text)
            for _ in family.samples
        )
        excessive = {name: count for name, count in series.items() if count > most}
        assert series and not excessive, (node, excessive)


@when("a caller sends requests with {count:d} made-up methods")
def step_made_up_methods(context, count):
    url = context.cluster.url(0) + PREFIX
    for number in range(count):
        answer = http(f"FETCH{number}", url, headers={"Host": HOST})
        assert answer.status == 405, answer


@then("the metrics of entry 1 count {count:d} calls of other methods")
def step_other_methods_counted(context, count):
    text = _metrics_by_node(context)["entry-1"]
    assert f"{OTHER_METHODS_SERIES} {count:.1f}" in text, text
