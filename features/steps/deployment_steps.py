"""Steps on a complete deployment of separate processes."""

import json

from behave import given, then, when

from standins.cluster import Cluster
from standins.processes import http, wait_for

SHORT_TIMING = {"reservation": 0.5, "grant": 3.0, "ownership": 2, "gossip": 0.2}
WAIT_TIMEOUT_SECONDS = 15


def url(context, path, entry=None):
    """Return the URL of a path on the callers' port of an entry."""
    process = entry or context.cluster.entry
    return f"http://127.0.0.1:{process.ready['http_port']}{path}"


def call_until(context, status, method, path, body=None, headers=None):
    """Repeat a call until the answer has `status`; return the answer."""

    def attempt():
        answer = http(method, url(context, path), body, headers)
        return answer if answer.status == status else None

    return wait_for(attempt, WAIT_TIMEOUT_SECONDS, f"{method} {path} answers {status}")


@given("a deployment of two entries and three agents in two availability zones")
def step_deployment(context):
    context.cluster = Cluster(timing=SHORT_TIMING)
    context.add_cleanup(context.cluster.close)


@given('the operator has applied its inventory and the rules of team "{team}"')
def step_apply(context, team):
    rules = {"teams": [{"name": team, "cores": 60, "memory_mb": 200_000}]}
    answer = context.cluster.apply(rules=rules)
    assert answer.status == 200, answer.body


@when('a caller posts "{body}" to "{path}"')
def step_post(context, body, path):
    headers = {"X-Guide": "jana"}
    context.answer = call_until(context, 200, "POST", path, body.encode(), headers)


@then("the endpoint's complete answer reaches the caller")
def step_complete_answer(context):
    seen = context.answer.json()
    assert seen["method"] == "POST", seen
    assert seen["path"] == "/hold/7", seen
    assert seen["query"] == {"echo": ["1"], "seat": ["12a"]}, seen
    assert seen["headers"]["X-Guide"] == "jana", seen
    assert seen["body"] == "hello", seen


@when('team "{team}" submits a job of {tasks:d} tasks of "{command}"')
def step_submit(context, team, tasks, command):
    job = {
        "id": "ledger",
        "command": command,
        "cores": 1,
        "memory_mb": 100,
        "tasks": tasks,
    }
    context.job_path = f"/teams/{team}/jobs"
    call_until(context, 201, "POST", context.job_path, json.dumps(job).encode())


@then('the job\'s account shows "{state}" with {count:d} succeeded tasks')
def step_account(context, state, count):
    def ended():
        answer = http("GET", url(context, f"{context.job_path}/ledger"))
        account = answer.json()
        return account if account.get("state") == state else None

    account = wait_for(ended, WAIT_TIMEOUT_SECONDS, f"the job is {state}")
    assert account["succeeded"] == count, account


@when('the operator takes availability zone "{zone}" out')
def step_zone_out(context, zone):
    answer = context.cluster.admin("POST", f"/admin/zones/{zone}/out")
    assert answer.status == 200, answer.body


@when('the operator brings availability zone "{zone}" back')
def step_zone_in(context, zone):
    answer = context.cluster.admin("POST", f"/admin/zones/{zone}/in")
    assert answer.status == 200, answer.body


@then("revision {revision:d} is in force at all {count:d} processes")
def step_in_force(context, revision, count):
    def everywhere():
        nodes = context.cluster.admin("GET", "/admin/nodes").json()["nodes"]
        return [n["revision"] for n in nodes] == [revision] * count

    wait_for(everywhere, WAIT_TIMEOUT_SECONDS, f"revision {revision} everywhere")
