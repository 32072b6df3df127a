"""Steps on the adapter's decoding, on logs, and on bad input at the ports."""

import asyncio
import json
import logging
import os
import random
import re
import secrets
import time

from behave import given, then, when
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from standins.platform_cluster import HOST, PREFIX, free_ports, host_of
from standins.processes import wait_for
from wagtailcleat.ids import JobId, ServiceName
from wagtailcleat.logs import BoundedOutput
from wagtailcleat.operator.explain import missing, read_story, tell
from wagtailcleat.platform.exchange import Exchange, NoAnswer, Reply
from wagtailcleat.platform.fields import BodyError
from wagtailcleat.platform.heartbeats import decode_heartbeat
from wagtailcleat.platform.runs import _run_list
from wagtailcleat.platform.submissions import decode_job
from wagtailcleat.scheduling.queues import Queue

WALL = 1_800_000_000.0
QUEUE = Queue("holds", HOST, PREFIX, ServiceName("booking-core"), 0, 4, 1.5, 0.25)
BEAT = {
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
IN_FLIGHT = 50
CALL_SECONDS = 2.0


@then(
    "a heartbeat of {cpu:d} thousandths of a core is a worker of {cores:d} cores"
    ' in rack "{rack}"'
)
def step_beat(context, cpu, cores, rack):
    body = BEAT | {"capacity": {"cpu": cpu, "memMb": 1, "gpu": 0}}
    beat = decode_heartbeat("i-1", json.dumps(body).encode())
    assert beat.worker.capacity.cores == cores and beat.worker.rack == rack, beat
    assert beat.worker_seconds == 482.113 and beat.sequence == 4, beat


@then("a heartbeat of an unknown state, of a missing field and of no JSON is refused")
def step_bad_beat(context):
    bodies = [
        json.dumps(BEAT | {"state": "asleep"}).encode(),
        json.dumps({k: v for k, v in BEAT.items() if k != "addr"}).encode(),
        json.dumps(BEAT | {"seq": True}).encode(),
        b"\xff\xfe",
        b"[]",
    ]
    for body in bodies:
        try:
            decode_heartbeat("i-1", body)
        except BodyError:
            continue
        raise AssertionError(body)


@then("a submission of 2 steps is a job whose second step waits for the first")
def step_submission(context):
    body = json.dumps(JOB).encode()
    job = decode_job(JobId("0" * 16), QUEUE, body, wall_now=WALL)
    first, second = job.steps
    assert first.size.cores == 0.5 and first.affinity_rack == "r1-3", first
    assert second.after == (0,) and second.fills, second
    assert (job.attempts, job.stretch, job.target_latency) == (4, 1.5, 0.25), job


@then("a submission that names a later step, no steps or too many tasks is refused")
def step_bad_submission(context):
    for steps in ([{"count": 1, "after": [1]}], [], [{"count": 100_000}], [3]):
        try:
            body = json.dumps({"spec": "", "steps": steps}).encode()
            decode_job(JobId("0" * 16), QUEUE, body, wall_now=WALL)
        except BodyError:
            continue
        raise AssertionError(steps)


@then("a serving run listed at {milliseconds:d} ms shows a figure of {seconds:g} s")
def step_list(context, milliseconds, seconds):
    row = ["00ff.0.1.17", 2, "", 100, milliseconds]
    body = {"clockMs": 1000, "running": [row], "finished": [], "born": 7}
    listed = _run_list(Reply(200, body))
    assert listed.running[0].figure == seconds, listed
    assert listed.running[0].key.task == ("00ff", 0, 1, 17), listed


def _call(port):
    async def call():
        exchange = Exchange(f"127.0.0.1:{port}")
        try:
            return await exchange.call("POST", "/hold", {}, timeout=CALL_SECONDS)
        finally:
            exchange.close()

    return call()


@then("a call to a port of this VM that nobody listens at is told as refused")
def step_refused(context):
    (port,) = free_ports(1, "127.0.0.1")
    assert asyncio.run(_call(port)) is NoAnswer.REFUSED


@then("a call whose connection breaks before the answer is told as lost")
def step_lost(context):
    async def hang_up(reader, writer):
        await reader.readline()
        writer.close()

    async def run():
        server = await asyncio.start_server(hang_up, "127.0.0.1", 0)
        async with server:
            return await _call(server.sockets[0].getsockname()[1])

    assert asyncio.run(run()) is NoAnswer.LOST


@when("{count:d} fuzzed bodies are sent to the port of callers")
def step_fuzz_callers(context, count):
    cluster = context.cluster
    url = cluster.url(0)
    headers = {"Host": HOST, "Wagtailcleat-Deadline-Ms": "3000"}

    def request(rng):
        path = rng.choice([PREFIX + secrets.token_hex(8), "/", PREFIX, "/%ff/" + "a"])
        method = rng.choice(["POST", "POST", "POST", "GET", "DELETE", "PUT"])
        body = _fuzzed(rng, JOB) if method in ("POST", "PUT") else None
        return HTTPRequest(url + path, method=method, body=body, headers=headers)

    context.statuses = asyncio.run(_send(count, request))


@when("{count:d} fuzzed bodies are sent to the port of heartbeats")
def step_fuzz_beats(context, count):
    cluster = context.cluster
    control = f"http://{host_of(2)}:{cluster.ports[4]}"

    def request(rng):
        path = f"/instances/x-{rng.randrange(10)}/" + rng.choice(
            ["heartbeat"] * 5 + [""]
        )
        # A body that happens to be sound would name another worker of this VM.
        body = _fuzzed(rng, BEAT | {"state": "asleep"})
        return HTTPRequest(control + path, method="POST", body=body)

    context.statuses += asyncio.run(_send(count, request))


async def _send(count, make):
    rng = random.Random(count)
    client = AsyncHTTPClient(force_instance=True, max_clients=IN_FLIGHT)
    gate = asyncio.Semaphore(IN_FLIGHT)

    async def one():
        async with gate:
            answer = await client.fetch(make(rng), raise_error=False)
            return answer.code

    try:
        return list(await asyncio.gather(*(one() for _ in range(count))))
    finally:
        client.close()


def _fuzzed(rng, sound):
    kind = rng.randrange(4)
    if kind == 0:
        return bytes(rng.randrange(256) for _ in range(rng.randrange(60)))
    if kind == 1:
        text = json.dumps(sound)
        return text[: rng.randrange(len(text))].encode()
    odd = [None, -1, 1e308, "x", [], {}, True, [[]], 10**30]
    name = rng.choice(list(sound))
    if kind == 2 and isinstance(sound.get("steps"), list):
        step = dict(rng.choice(sound["steps"]))
        step[rng.choice(list(step))] = rng.choice(odd)
        return json.dumps(sound | {"steps": [step]}).encode()
    return json.dumps(sound | {name: rng.choice(odd)}).encode()


@then("no answer was a fault of the program")
def step_no_fault(context):
    assert len(context.statuses) == 20_000
    faults = [status for status in context.statuses if status >= 500]
    assert not faults, faults[:10]
    cluster = context.cluster
    for process in [*cluster.entries, *cluster.agents]:
        bad = [line for line in process.log_lines() if line.get("level") == "ERROR"]
        assert not bad, bad[:2]


@then('a job handed in afterwards is shown as "{state}"')
def step_afterwards(context, state):
    step = {"count": 2, "cpu": 1000, "memMb": 100}
    job = context.cluster.submit([step])
    context.cluster.wait_for_state(job, state)


# ---- logs


@when('it has ended as "{state}" at the other entry')
def step_has_ended(context, state):
    context.cluster.wait_for_state(context.job, state, entry=context.entry, timeout=20)


@then("its story tells, in this order")
def step_story(context):
    cluster = context.cluster
    wanted = [row["line"] for row in context.table]

    def told():
        lines = []
        for process in [*cluster.entries, *cluster.agents]:
            lines += [json.dumps(line) for line in process.log_lines()]
        return list(tell(read_story(context.job, lines)))

    def in_order():
        texts = iter(told())
        return all(any(line in text for text in texts) for line in wanted)

    wait_for(in_order, 5.0, "the story tells these lines in order")


def _own_lines():
    first = {"time": "2026-01-01 00:00:01,000", "message": "submissions: Accepted"}
    second = {"time": "2026-01-01 00:00:02,000", "message": "leader: Starts"}
    return [
        json.dumps(first | {"node": "entry-1", "job": "a1"}),
        json.dumps(second | {"node": "entry-1", "run": "a1/0/0/0#1"}),
    ]


@given('log lines of job "{job}" with a torn line and a foreign line')
def step_torn(context, job):
    own = _own_lines()
    context.story = read_story(job, [own[0], own[1], own[1][:40], "hello"])


@given('log lines of job "{job}" behind columns of time and node')
def step_columns(context, job):
    lines = [f"  12.0001 entry-1 {line}" for line in _own_lines()]
    context.story = read_story(job, lines)


@then("its story has {own:d} lines of its own and {bad:d} that could not be read")
def step_counts(context, own, bad):
    story = context.story
    assert (len(story.own), story.unreadable) == (own, bad), story


@then('it says that run "{run}" has no end')
def step_no_end(context, run):
    told = list(missing(context.story))
    assert any(run in text and "how it ended" in text for text in told), told


def _timed(seconds, message, **fields):
    moment = f"2026-01-01 00:00:{seconds:02d},000"
    return {"time": moment, "message": message, "node": "entry-1"} | fields


@given(
    "log lines of a job that waited 1 s, then lost 8 s in a step and 2 s in the next"
)
def step_lost_time(context):
    # Two steps of 2 s each; the objective is 8 s after it was accepted.
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
    context.story = read_story("a1", map(json.dumps, lines))


@given("log lines of two runs that started again, one after its worker began anew")
def step_lost_runs(context):
    began, starts = "hosting: Worker began", "leader: Starts"
    lines = [
        _timed(1, began, born=5) | {"node": "agent-1"},
        _timed(1, began, born=6) | {"node": "agent-2"},
        _timed(9, starts, run="a1/0/0/0#1", agent="agent-1"),
        _timed(9, starts, run="a1/0/0/1#1", agent="agent-2"),
        _timed(12, began, born=7) | {"node": "agent-1"},
        # The agent alone was started again; its worker is the one it had.
        _timed(12, began, born=6) | {"node": "agent-2"},
        _timed(14, starts, run="a1/0/0/0#2", agent="agent-1"),
        _timed(14, starts, run="a1/0/0/1#2", agent="agent-2"),
    ]
    context.story = read_story("a1", map(json.dumps, lines))


@given("log lines of a job refused 9 s after its entry lost the store and a stream")
def step_lost_before(context):
    away, back = "store: The store does not answer", "store: The store answers again"
    lines = [
        _timed(1, away, why="lost"),
        # An outage of another entry, and one that was over: neither explains it.
        _timed(3, away, why="lost") | {"node": "entry-2"},
        _timed(3, away, why="lost") | {"node": "agent-1"},
        _timed(4, back) | {"node": "agent-1"},
        _timed(9, "wire: A stream went silent", peer="entry-2"),
        _timed(10, "submissions: Not accepted", job="a1", outcome="not_stored"),
        _timed(11, "leader: Starts", run="a1/0/0/0#1", agent="agent-1"),
    ]
    context.story = read_story("a1", map(json.dumps, lines))


@then('its story shows "{message}" of "{moment}"')
def step_shows(context, message, moment):
    told = list(tell(context.story))
    assert any(message in text and f"{moment},000" in text for text in told), told


@then('its story shows no line of "{moment}"')
def step_shows_none(context, moment):
    told = list(tell(context.story))
    assert not any(f"{moment},000" in text for text in told), told


@then('it says that run "{run}" was lost with its worker')
def step_lost_with_worker(context, run):
    told = list(missing(context.story))
    assert any(run in text and "was lost" in text for text in told), told


def _after_objective(story):
    found = [re.search(r"([0-9.]+) s after its objective", t) for t in tell(story)]
    return [float(match[1]) for match in found if match]


@then("its story says that it ended {seconds:g} s after its objective")
def step_late_by(context, seconds):
    assert _after_objective(context.story) == [seconds], list(tell(context.story))


@then(
    "its story says that it ended more than {least:g} s and less than {most:g} s"
    " after its objective"
)
def step_late_between(context, least, most):
    lines = [
        json.dumps(line)
        for process in [*context.cluster.entries, *context.cluster.agents]
        for line in process.log_lines()
    ]
    story = read_story(context.job, lines)
    (late,) = _after_objective(story)
    assert least < late < most, list(tell(story))


@then('it says first that {seconds:g} s were lost from "{start}" to "{end}"')
def step_lost_first(context, seconds, start, end):
    _lost(context, 0, seconds, start, end)


@then('it says next that {seconds:g} s were lost from "{start}" to "{end}"')
def step_lost_next(context, seconds, start, end):
    _lost(context, 1, seconds, start, end)


def _lost(context, position, seconds, start, end):
    told = [text for text in tell(context.story) if "lost" in text]
    text = told[position]
    assert f"lost {seconds:.1f} s" in text, told
    assert f"{start},000 and" in text and f"{end},000" in text, told


@then("its story says nothing of an objective")
def step_no_objective(context):
    assert not any("objective" in text for text in tell(context.story))


@given("a log whose reader stalls")
def step_stalled(context):
    context.reader, writer = os.pipe()
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, writer)
    context.output = BoundedOutput(writer)


def _write(output, count):
    record = logging.makeLogRecord({"msg": "a line of a usual length " * 3})
    for _ in range(count):
        output.emit(record)


@when("{count:d} lines are written")
def step_written(context, count):
    began = time.monotonic()
    _write(context.output, count)
    context.seconds = time.monotonic() - began


@then("writing took less than {seconds:d} s and lines were dropped")
def step_dropped(context, seconds):
    assert context.seconds < seconds
    assert context.output.dropped > 0


@when("the reader goes on and {count:d} line more is written")
def step_goes_on(context, count):
    os.set_blocking(context.reader, False)
    _drain(context.reader)
    _write(context.output, count)
    context.read = _drain(context.reader)


def _drain(reader):
    found = b""
    while True:
        try:
            piece = os.read(reader, 65_536)
        except BlockingIOError:
            return found
        found += piece


@then("a line tells how many were dropped")
def step_told(context):
    told = [line for line in context.read.splitlines() if b"Lines were dropped" in line]
    assert json.loads(told[0])["lines"] == context.output.dropped, context.read
