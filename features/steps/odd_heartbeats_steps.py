"""Steps on heartbeats of other writers."""

import json
import math
import socket

from behave import given, then, when
from hypothesis import given as draw
from hypothesis import settings, strategies

from features.steps.leader_world import LeaderWorld
from features.steps.platform_adapter_steps import HEARTBEAT
from features.steps.scheduling_world import make_job, plain
from standins.platform_cluster import host_of
from standins.processes import HttpError, http, wait_for
from wagtailcleat.cluster.settings import split_address
from wagtailcleat.platform.fields import BodyError
from wagtailcleat.platform.heartbeats import decode_heartbeat

INVALID = 400
MAX_PORT = 65_535
ODD_CHANGES = [
    {"addr": "10.1.0.9"},
    {"addr": "10.1.0.9:99999"},
    {"addr": "10.1.0.9:port"},
    {"service": 7},
    {"zone": None},
    {"state": "asleep"},
    {"born": 2**53},
    {"capacity": {"cpu": 1e300}},
    {"seq": "4"},
]
DEEP = b'{"service": ' + b"[" * 100_000


@then('a heartbeat whose "{field}" is {value} is invalid')
def step_invalid(context, field, value):
    raw = {**HEARTBEAT}
    body = json.dumps(raw | {field: "VALUE"}).replace('"VALUE"', value).encode()
    try:
        decoded = decode_heartbeat("i-1", body)
    except BodyError:
        return
    raise AssertionError(decoded)


@then("of {count:d} heartbeats with any values each is invalid, or within all bounds")
def step_any(context, count):
    scalars = (
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.floats()
        | strategies.text(max_size=20)
    )
    values = strategies.recursive(
        scalars,
        lambda inner: (
            strategies.lists(inner, max_size=3)
            | strategies.dictionaries(strategies.text(max_size=3), inner, max_size=3)
        ),
        max_leaves=5,
    )
    fields = strategies.dictionaries(
        strategies.sampled_from(sorted(HEARTBEAT)), values, min_size=1, max_size=2
    )
    addresses = strategies.builds(
        lambda port, host: {"addr": f"{host}:{port}"},
        strategies.integers(-1, 2**17) | strategies.text(max_size=6),
        strategies.sampled_from(["10.1.0.9", "", "a b", "::1", "host"]),
    )

    @settings(max_examples=count, deadline=None, derandomize=True, database=None)
    @draw(fields | addresses, strategies.just("i-1") | strategies.text(max_size=5))
    def check(changes, instance):
        body = json.dumps(HEARTBEAT | changes).encode()
        try:
            decoded = decode_heartbeat(instance, body)
        except BodyError:
            return
        worker = decoded.worker
        host, port = split_address(decoded.address)
        assert host and 1 <= port <= MAX_PORT, decoded
        numbers = [worker.capacity.cores, worker.cold_seconds, worker.remaining_seconds]
        assert all(math.isfinite(number) for number in numbers), decoded
        assert worker.id.isprintable() and worker.id.isascii(), decoded
        assert worker.service and worker.zone, decoded

    check()


ODD_LEAVES = [
    {"born": True},
    {"born": "1"},
    {"born": -1},
    {"born": 1.5},
    {"born": None},
    {"born": 2**60},
    [],
    "leave",
]


def _control(cluster):
    host = host_of(len(cluster.entries) + 1)
    return f"http://{host}:{cluster.ports[4]}"


def _send_odd(context, count):
    cluster = context.cluster
    context.statuses = []
    for number in range(count):
        changes = ODD_CHANGES[number % len(ODD_CHANGES)]
        body = HEARTBEAT | {"born": HEARTBEAT["born"] + number, "seq": number} | changes
        url = f"{_control(cluster)}/instances/odd-{number}/heartbeat"
        try:
            answer = http("POST", url, body, timeout=2.0)
        except HttpError:
            context.statuses.append(0)
            continue
        context.statuses.append(answer.status)


@when("{count:d} odd heartbeats are sent to the agent")
def step_send(context, count):
    _send_odd(context, count)


@when("the agent restarts, and {count:d} odd heartbeats are sent to it as it starts")
def step_restart(context, count):
    agent = context.cluster.agents[0]
    agent.kill()
    agent.start()
    _send_odd(context, count)


@when("{count:d} odd leaves of its worker are sent to the agent")
def step_odd_leaves(context, count):
    cluster = context.cluster
    known = (
        line["worker"]
        for line in cluster.agents[0].log_lines()
        if line["message"].endswith("Worker began")
    )
    url = f"{_control(cluster)}/instances/{next(known)}/leave"
    bodies = [ODD_LEAVES[number % len(ODD_LEAVES)] for number in range(count)]
    context.statuses = [http("POST", url, body).status for body in bodies]


@when("a body of {size:d} bytes is announced at each port for HTTP")
def step_announce(context, size):
    cluster = context.cluster
    _, metrics, front, ready, control = cluster.ports
    entry, agent = host_of(1), host_of(len(cluster.entries) + 1)
    addresses = [(entry, port) for port in (metrics, front, ready)]
    addresses += [(agent, port) for port in (metrics, control)]
    head = f"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n{{"
    context.connections = []
    for address in addresses:
        connection = socket.create_connection(address, timeout=2.0)
        context.add_cleanup(connection.close)
        connection.sendall(head.encode())
        context.connections.append(connection)


@then("each of these ports refuses it within {seconds:g} s, without having read it")
def step_refused(context, seconds):
    for connection in context.connections:
        connection.settimeout(seconds)
        try:
            answer = connection.recv(100)
        except TimeoutError:
            answer = b"nothing"
        assert answer.startswith(b"HTTP/1.1 4"), (connection.getpeername(), answer)


@then("each of them is answered {status:d}")
def step_answered(context, status):
    assert set(context.statuses) == {status}, context.statuses


@then("the agent has counted all of them, and logged at most {most:d}")
def step_counted(context, most):
    cluster = context.cluster
    host = host_of(len(cluster.entries) + 1)
    text = http("GET", f"http://{host}:{cluster.ports[1]}/metrics").body.decode()
    line = f"wagtailcleat_heartbeats_rejected_total {len(context.statuses)}.0"
    assert line in text, text
    rejected = [
        shown
        for shown in cluster.agents[0].log_lines()
        if "Heartbeat rejected" in shown["message"]
    ]
    assert 1 <= len(rejected) <= most, rejected


@then("a job submitted afterwards is done within {seconds:g} s")
def step_job(context, seconds):
    cluster = context.cluster
    job = cluster.submit([{"count": 1, "cpu": 500, "memMb": 50, "estMs": 300}])
    wait_for(lambda: cluster.state(job) == "done", seconds, "the job is done")


@given("a leader with a worker of an unknown service, and another worker")
def step_leader(context):
    world = context.leader_world = LeaderWorld()
    context.add_cleanup(world.close)
    stranger = world.workers[0]
    stranger.service = "nobody-names-this"
    context.stranger = stranger


@when("{count:d} jobs are stored, and the agents report")
def step_jobs(context, count):
    world = context.leader_world
    context.count = count
    for number in range(count):
        world.store_job(make_job(f"job-{number}", plain(1)))
    world.lead(2)
    world.until(lambda: world.leader.ready)
    for _ in range(4):
        world.rounds()
        world.wait_rounds()


@then("all of them run at the other worker")
def step_at_other(context):
    workers = context.leader_world.workers
    assert not context.stranger.running
    running = [len(worker.running) for worker in workers]
    assert sum(running) == context.count, running
