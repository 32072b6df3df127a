"""Steps on odd values in the store of a deployment of real processes."""

from base64 import b64encode

import msgspec
from behave import then, when

from features.steps.odd_values import UNDECODABLE, addressed_values, packed
from standins.processes import http, wait_for
from wagtailcleat.cluster.keys import AGENT_PREFIX, ENTRY_PREFIX, LEADER_KEY

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
