"""Steps on odd values in the store of a deployment of real processes."""

import json
import secrets
from base64 import b64encode

import msgspec
from behave import then, when

from features.steps.odd_values import UNDECODABLE, addressed_values, packed
from standins.platform_cluster import host_of
from standins.processes import http, wait_for
from wagtailcleat.cluster.keys import (
    AGENT_PREFIX,
    ENTRY_PREFIX,
    JOB_PREFIX,
    LEADER_KEY,
)
from wagtailcleat.operator.explain import read_timeline, timeline_lines

SMALL_STEP = [{"count": 1, "cpu": 500, "memMb": 50, "estMs": 300}]


def put_value(cluster, key, value):
    """Store a value as another writer does."""
    put = {"key": key, "value": b64encode(value).decode()}
    body = {"expectRev": [], "setKeys": [put], "remove": []}
    url = f"{cluster.store.url}/kv-txn"
    answer = http("POST", url, body, headers={"Operator": "yes"})
    assert answer.status == 200, answer


@when("another writer overwrites the leader's key, and the leader is killed")
def step_leader_key(context):
    cluster = context.cluster
    leader = cluster.leader()
    put_value(cluster, LEADER_KEY, UNDECODABLE)
    leader.kill()
    context.killed = leader


@when("another writer stores odd keys of entries and agents, and the leader is killed")
def step_odd_keys(context):
    cluster = context.cluster
    leader = cluster.leader()
    fields = msgspec.msgpack.decode(next(iter(cluster.stored(ENTRY_PREFIX).values())))
    odd = addressed_values(fields, host=0, port=1).values()
    for prefix in (ENTRY_PREFIX, AGENT_PREFIX):
        for number, value in enumerate(odd):
            put_value(cluster, f"{prefix}0-odd-{number}", value)
        put_value(cluster, prefix + "0/odd", packed(fields))
    leader.kill()
    context.killed = leader


@when("{count:d} jobs are submitted")
def step_jobs(context, count):
    cluster = context.cluster
    alive = [
        e for e, entry in enumerate(cluster.entries) if entry is not context.killed
    ]
    context.jobs = [
        cluster.submit(SMALL_STEP, entry=alive[number % len(alive)])
        for number in range(count)
    ]
    context.entry = alive[0]


@then("all of them are done within {seconds:g} s")
def step_done(context, seconds):
    cluster = context.cluster

    def all_done():
        states = [cluster.state(job, entry=context.entry) for job in context.jobs]
        return all(state == "done" for state in states)

    wait_for(all_done, seconds, f"{len(context.jobs)} jobs are done")


@then("no part of any process has crashed")
def step_no_crash(context):
    cluster = context.cluster
    for process in [*cluster.entries, *cluster.agents]:
        if process is context.killed:
            continue
        lines = [
            line for line in process.log_lines() if line["message"].endswith("crashed")
        ]
        assert not lines, f"{process.name}: {lines[:3]}"


@when("a job that can't be decoded is written into the store")
def step_unreadable_job(context):
    context.job = secrets.token_hex(8)
    put_value(context.cluster, f"{JOB_PREFIX}{context.job}", UNDECODABLE)


def _operators_page(context, name):
    """Return a page of the first entry's port for operators."""
    port = context.cluster.ports[1]
    return http("GET", f"http://{host_of(1)}:{port}/{name}").body.decode()


@then("the leader's metrics count {count:d} unreadable job")
def step_unreadable_metric(context, count):
    line = f"wagtailcleat_unreadable_jobs {float(count)}"
    wait_for(
        lambda: line in _operators_page(context, "metrics").splitlines(), 5.0, line
    )


@then(
    "the state dump of the leader, and the timeline of the job, tell why it can't be"
    " decoded"
)
def step_unreadable_told(context):
    held_back = json.loads(_operators_page(context, "state"))["unreadable_jobs"]
    assert list(held_back) == [context.job], held_back
    why = held_back[context.job]
    lines = [json.dumps(line) for line in context.cluster.entries[0].log_lines()]
    timeline = list(timeline_lines(read_timeline(context.job, lines)))
    assert why and any(why in line for line in timeline), (why, timeline)
