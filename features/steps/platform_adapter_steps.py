"""Steps on decoding, on the logs of a job, and on invalid input at the ports."""

import asyncio
import json
import logging
import os
import random
import re
import resource
import secrets
import time

from behave import given, then, when
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from standins.platform_cluster import HOST, PREFIX, free_ports, host_of
from standins.processes import wait_for
from wagtailcleat.ids import JobId, ServiceName
from wagtailcleat.logs import BoundedOutput
from wagtailcleat.operator.explain import gap_lines, read_timeline, timeline_lines
from wagtailcleat.platform.fields import BodyError
from wagtailcleat.platform.heartbeats import decode_heartbeat
from wagtailcleat.platform.http_client import HttpClient, NoAnswer, Reply
from wagtailcleat.platform.runs import _parse_run_list
from wagtailcleat.platform.submissions import decode_job
from wagtailcleat.scheduling.queues import Queue

WALL_NOW = 1_800_000_000.0
QUEUE = Queue("holds", HOST, PREFIX, ServiceName("booking-core"), 0, 4, 1.5, 0.25)
HEARTBEAT = {
    "service": "booking-core",
    "addr": "10.1.0.9:8080",
    "zone": "zilina-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "born": 1_800_000_000_000,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 2},
    "labels": ["a", "r1-3"],
    "clockMs": 482113,
    "seq": 4,
}
JOB = {
    "spec": "x",
    "steps": [
        {"count": 4, "cpu": 500, "memMb": 256, "estMs": 900, "affinity": "r1-3"},
        {"count": 20, "cpu": 2000, "memMb": 1024, "after": [0], "fills": True},
    ],
}
MAX_IN_FLIGHT = 50
CALL_SECONDS = 2.0


@then(
    "a heartbeat of {cpu:d} thousandths of a core is decoded to a worker of"
    ' {cores:d} cores in rack "{rack}"'
)
def step_heartbeat(context, cpu, cores, rack):
    body = HEARTBEAT | {"capacity": {"cpu": cpu, "memMb": 1, "gpu": 0}}
    decoded = decode_heartbeat("i-1", json.dumps(body).encode())
    assert decoded.worker.capacity.cores == cores and decoded.worker.rack == rack, (
        decoded
    )
    assert decoded.sequence == 4, decoded


@then(
    "a heartbeat with an unknown state or a missing field, or without JSON, is rejected"
)
def step_invalid_heartbeat(context):
    bodies = [
        json.dumps(HEARTBEAT | {"state": "asleep"}).encode(),
        json.dumps({k: v for k, v in HEARTBEAT.items() if k != "addr"}).encode(),
        json.dumps(HEARTBEAT | {"seq": True}).encode(),
        b"\xff\xfe",
        b"[]",
    ]
    for body in bodies:
        try:
            decode_heartbeat("i-1", body)
        except BodyError:
            continue
        raise AssertionError(body)


@then(
    "a submission of 2 steps is decoded to a job whose second step depends on the first"
)
def step_submission(context):
    body = json.dumps(JOB).encode()
    job = decode_job(JobId("0" * 16), QUEUE, body, wall_now=WALL_NOW)
    first, second = job.steps
    assert first.size.cores == 0.5 and first.affinity_rack == "r1-3", first
    assert second.after == (0,) and second.fills, second
    assert (job.attempts, job.stretch, job.target_latency) == (4, 1.5, 0.25), job


@then(
    "a submission that depends on a later step, or has no steps or too many tasks,"
    " is rejected"
)
def step_invalid_submission(context):
    one = {"count": 1}
    for steps in (
        [one | {"after": [1]}],
        [one, one | {"after": [False]}],
        [one, one | {"after": [0.0]}],
        [],
        [{}],
        [{"count": 100_000}],
        [one] * 1_001,
        [one] * 150 + [one | {"after": list(range(150))}] * 100,
        [3],
    ):
        try:
            body = json.dumps({"spec": "", "steps": steps}).encode()
            decode_job(JobId("0" * 16), QUEUE, body, wall_now=WALL_NOW)
        except BodyError:
            continue
        raise AssertionError(steps)


@then(
    "a serving run listed with {milliseconds:d} ms is decoded to a value of"
    " {seconds:g} s"
)
def step_run_list(context, milliseconds, seconds):
    row = ["00ff.0.1.17", 2, "", 100, milliseconds]
    body = {"clockMs": 1000, "running": [row], "finished": [], "born": 7}
    listed = _parse_run_list(Reply(200, body))
    assert listed.running[0].measurement == seconds, listed
    assert listed.running[0].key.task == ("00ff", 0, 1, 17), listed


def _call(port):
    async def call():
        client = HttpClient(f"127.0.0.1:{port}")
        try:
            return await client.call("POST", "/hold", {}, timeout=CALL_SECONDS)
        finally:
            client.close()

    return call()


@then("a call to a port of this VM without a listener is reported as refused")
def step_refused(context):
    (port,) = free_ports(1, "127.0.0.1")
    assert asyncio.run(_call(port)) is NoAnswer.REFUSED


async def _call_server(serve):
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        return await _call(server.sockets[0].getsockname()[1])


@then("a call whose connection breaks before the answer is reported as broken")
def step_broken(context):
    async def close_connection(reader, writer):
        await reader.readline()
        writer.close()

    assert asyncio.run(_call_server(close_connection)) is NoAnswer.BROKEN


@then("a call whose kept connection breaks before the answer is reported as broken")
def step_kept_broken(context):
    async def answer_once(reader, writer):
        await reader.readuntil(b"{}")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        await reader.readuntil(b"{}")
        writer.close()

    async def run():
        server = await asyncio.start_server(answer_once, "127.0.0.1", 0)
        client = HttpClient(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        try:
            async with server:
                calls = [
                    await client.call("POST", "/hold", {}, timeout=CALL_SECONDS)
                    for _ in range(2)
                ]
        finally:
            client.close()
        return calls

    first, second = asyncio.run(run())
    assert first.code == 200 and second is NoAnswer.BROKEN, (first, second)


@then("a call that is not answered in time is reported as lost")
def step_lost(context):
    async def keep_silent(reader, writer):
        await reader.read()
        writer.close()

    assert asyncio.run(_call_server(keep_silent)) is NoAnswer.LOST


@then("a call without a free file descriptor is reported as lost")
def step_no_descriptor(context):
    async def run():
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        client = HttpClient(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        # Open descriptors stay open; no further one fits below the limit.
        resource.setrlimit(resource.RLIMIT_NOFILE, (0, hard))
        try:
            return await client.call("POST", "/hold", {}, timeout=CALL_SECONDS)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            client.close()
            server.close()

    outcome = asyncio.run(run())
    assert outcome is NoAnswer.LOST, outcome


@when("{count:d} fuzzed bodies are sent to the port of callers")
def step_fuzz_callers(context, count):
    cluster = context.cluster
    url = cluster.url(0)
    headers = {"Host": HOST, "Wagtailcleat-Deadline-Ms": "3000"}

    def request(rng):
        path = rng.choice([PREFIX + secrets.token_hex(8), "/", PREFIX, "/%ff/" + "a"])
        method = rng.choice(["POST", "POST", "POST", "GET", "DELETE", "PUT"])
        body = _fuzzed_body(rng, JOB) if method in ("POST", "PUT") else None
        return HTTPRequest(url + path, method=method, body=body, headers=headers)

    context.statuses = asyncio.run(_send_all(count, request))


@when("{count:d} fuzzed bodies are sent to the port of heartbeats")
def step_fuzz_heartbeats(context, count):
    cluster = context.cluster
    control = f"http://{host_of(2)}:{cluster.ports[4]}"

    def request(rng):
        path = f"/instances/x-{rng.randrange(10)}/" + rng.choice(
            ["heartbeat"] * 5 + [""]
        )
        # A body that happens to be valid would announce another worker on this VM.
        body = _fuzzed_body(rng, HEARTBEAT | {"state": "asleep"})
        return HTTPRequest(control + path, method="POST", body=body)

    context.statuses += asyncio.run(_send_all(count, request))


async def _send_all(count, make):
    rng = random.Random(count)
    client = AsyncHTTPClient(force_instance=True, max_clients=MAX_IN_FLIGHT)
    semaphore = asyncio.Semaphore(MAX_IN_FLIGHT)

    async def send_one():
        async with semaphore:
            answer = await client.fetch(make(rng), raise_error=False)
            return answer.code

    try:
        return list(await asyncio.gather(*(send_one() for _ in range(count))))
    finally:
        client.close()


def _fuzzed_body(rng, valid):
    kind = rng.randrange(4)
    if kind == 0:
        return bytes(rng.randrange(256) for _ in range(rng.randrange(60)))
    if kind == 1:
        text = json.dumps(valid)
        return text[: rng.randrange(len(text))].encode()
    invalid_values = [None, -1, 1e308, "x", [], {}, True, [[]], 10**30]
    name = rng.choice(list(valid))
    if kind == 2 and isinstance(valid.get("steps"), list):
        step = dict(rng.choice(valid["steps"]))
        step[rng.choice(list(step))] = rng.choice(invalid_values)
        return json.dumps(valid | {"steps": [step]}).encode()
    return json.dumps(valid | {name: rng.choice(invalid_values)}).encode()


@then("no answer was an internal error")
def step_no_internal_error(context):
    assert len(context.statuses) == 20_000
    faults = [status for status in context.statuses if status >= 500]
    assert not faults, faults[:10]
    cluster = context.cluster
    for process in [*cluster.entries, *cluster.agents]:
        bad = [line for line in process.log_lines() if line.get("level") == "ERROR"]
        assert not bad, bad[:2]


@then('a job submitted afterwards is shown as "{state}"')
def step_job_afterwards(context, state):
    step = {"count": 2, "cpu": 1000, "memMb": 100}
    job = context.cluster.submit([step])
    context.cluster.wait_for_state(job, state)


@when('it has ended as "{state}" at the other entry')
def step_has_ended(context, state):
    context.cluster.wait_for_state(context.job, state, entry=context.entry, timeout=20)


@then("its timeline shows, in this order")
def step_story(context):
    cluster = context.cluster
    expected = [row["line"] for row in context.table]

    def told():
        lines = []
        for process in [*cluster.entries, *cluster.agents]:
            lines += [json.dumps(line) for line in process.log_lines()]
        return list(timeline_lines(read_timeline(context.job, lines)))

    def in_order():
        texts = iter(told())
        return all(any(line in text for text in texts) for line in expected)

    wait_for(in_order, 5.0, "the logs of the job show these lines in order")


def _own_lines():
    first = {"time": "2026-01-01 00:00:01,000", "message": "submissions: Accepted"}
    second = {"time": "2026-01-01 00:00:02,000", "message": "leader: Starts"}
    return [
        json.dumps(first | {"node": "entry-1", "job": "a1"}),
        json.dumps(second | {"node": "entry-1", "run": "a1/0/0/0#1"}),
    ]


@given('log lines of job "{job}" with a truncated line and a line of another program')
def step_unreadable_lines(context, job):
    own = _own_lines()
    context.story = read_timeline(job, [own[0], own[1], own[1][:40], "hello"])


@given('log lines of job "{job}" behind columns of time and node')
def step_columns(context, job):
    lines = [f"  12.0001 entry-1 {line}" for line in _own_lines()]
    context.story = read_timeline(job, lines)


@then("its timeline has {own:d} lines of its own and {bad:d} that could not be read")
def step_counts(context, own, bad):
    story = context.story
    assert (len(story.job_lines), story.unreadable) == (own, bad), story


@then('it says that run "{run}" has no end')
def step_run_without_end(context, run):
    told = list(gap_lines(context.story))
    assert any(run in text and "how it ended" in text for text in told), told


def _timed(seconds, message, **fields):
    moment = f"2026-01-01 00:00:{seconds:02d},000"
    return {"time": moment, "message": message, "node": "entry-1"} | fields


@given(
    "log lines of a job that waited 1 s, then lost 8 s in a step and 2 s in the next"
)
def step_lost_time(context):
    # Two steps of 2 s each; the objective is 8 s after the job was accepted.
    first, again, second = (f"a1/0/{place}" for place in ("0/0#1", "0/0#2", "1/0#1"))
    lines = [
        _timed(1, "submissions: Accepted", job="a1"),
        _timed(2, "leader: Starts", run=first, slack=3.0, due=7.0),
        _timed(8, "leader: Run is gone", run=first, why="a crash"),
        _timed(10, "leader: Starts", run=again, slack=-5.0, due=-1.0),
        _timed(12, "leader: Run ended", run=again, why="succeeded"),
        _timed(12, "leader: Starts", run=second, slack=-5.0, due=-3.0),
        _timed(16, "leader: Run ended", run=second, why="succeeded"),
    ]
    context.story = read_timeline("a1", map(json.dumps, lines))


@given("log lines of two runs that started again, one after its worker began anew")
def step_lost_runs(context):
    began, starts = "hosting: Worker began", "leader: Starts"
    lines = [
        _timed(1, began, born=5) | {"node": "agent-1"},
        _timed(1, began, born=6) | {"node": "agent-2"},
        _timed(9, starts, run="a1/0/0/0#1", agent="agent-1"),
        _timed(9, starts, run="a1/0/0/1#1", agent="agent-2"),
        _timed(12, began, born=7) | {"node": "agent-1"},
        # Only the agent was restarted; its worker is in the same incarnation.
        _timed(12, began, born=6) | {"node": "agent-2"},
        _timed(14, starts, run="a1/0/0/0#2", agent="agent-1"),
        _timed(14, starts, run="a1/0/0/1#2", agent="agent-2"),
    ]
    context.story = read_timeline("a1", map(json.dumps, lines))


@given("log lines of a job refused 9 s after its entry lost the store and a stream")
def step_lost_before(context):
    away, back = "store: The store does not answer", "store: The store answers again"
    lines = [
        _timed(1, away, why="lost"),
        # The outage of another entry and the one that has ended are not the cause.
        _timed(3, away, why="lost") | {"node": "entry-2"},
        _timed(3, away, why="lost") | {"node": "agent-1"},
        _timed(4, back) | {"node": "agent-1"},
        _timed(9, "wire: A stream went silent", peer="entry-2"),
        _timed(10, "submissions: Not accepted", job="a1", outcome="not_stored"),
        _timed(11, "leader: Starts", run="a1/0/0/0#1", agent="agent-1"),
    ]
    context.story = read_timeline("a1", map(json.dumps, lines))


@then('its timeline shows "{message}" of "{moment}"')
def step_shows(context, message, moment):
    told = list(timeline_lines(context.story))
    assert any(message in text and f"{moment},000" in text for text in told), told


@then('its timeline shows no line of "{moment}"')
def step_shows_none(context, moment):
    told = list(timeline_lines(context.story))
    assert not any(f"{moment},000" in text for text in told), told


@then('it says that run "{run}" was lost with its worker')
def step_lost_with_worker(context, run):
    told = list(gap_lines(context.story))
    assert any(run in text and "was lost" in text for text in told), told


def _after_objective(story):
    found = [
        re.search(r"([0-9.]+) s after its objective", t) for t in timeline_lines(story)
    ]
    return [float(match[1]) for match in found if match]


@then("its timeline shows that it ended {seconds:g} s after its objective")
def step_late_by(context, seconds):
    assert _after_objective(context.story) == [seconds], list(
        timeline_lines(context.story)
    )


@then(
    "its timeline shows that it ended more than {least:g} s and less than {most:g} s"
    " after its objective"
)
def step_late_between(context, least, most):
    lines = [
        json.dumps(line)
        for process in [*context.cluster.entries, *context.cluster.agents]
        for line in process.log_lines()
    ]
    story = read_timeline(context.job, lines)
    found = _after_objective(story)
    assert len(found) == 1, list(timeline_lines(story))
    (late,) = found
    assert least < late < most, list(timeline_lines(story))


@then('it says first that {seconds:g} s were lost from "{start}" to "{end}"')
def step_lost_first(context, seconds, start, end):
    _lost(context, 0, seconds, start, end)


@then('it says next that {seconds:g} s were lost from "{start}" to "{end}"')
def step_lost_next(context, seconds, start, end):
    _lost(context, 1, seconds, start, end)


def _lost(context, position, seconds, start, end):
    told = [text for text in timeline_lines(context.story) if "lost" in text]
    text = told[position]
    assert f"lost {seconds:.1f} s" in text, told
    assert f"{start},000 and" in text and f"{end},000" in text, told


@then("its timeline shows no objective")
def step_no_objective(context):
    assert not any("objective" in text for text in timeline_lines(context.story))


@given("a log whose reader stalls")
def step_stalled_reader(context):
    context.reader, writer = os.pipe()
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, writer)
    context.output = BoundedOutput(writer)


def _write(output, count):
    record = logging.makeLogRecord({"msg": "a line of a usual length " * 3})
    for _ in range(count):
        output.emit(record)


@when("{count:d} lines are written")
def step_write_lines(context, count):
    began = time.monotonic()
    _write(context.output, count)
    context.seconds = time.monotonic() - began


@then("writing took less than {seconds:d} s and lines were dropped")
def step_dropped(context, seconds):
    assert context.seconds < seconds
    assert context.output.dropped > 0


@when("the reader goes on and {count:d} line more is written")
def step_reader_resumes(context, count):
    os.set_blocking(context.reader, False)
    _read_available(context.reader)
    _write(context.output, count)
    context.read = _read_available(context.reader)


def _read_available(reader):
    found = b""
    while True:
        try:
            chunk = os.read(reader, 65_536)
        except BlockingIOError:
            return found
        found += chunk


@then("a line tells how many were dropped")
def step_dropped_lines_logged(context):
    told = [line for line in context.read.splitlines() if b"Lines were dropped" in line]
    assert json.loads(told[0])["lines"] == context.output.dropped, context.read
