"""Steps on bad input: fuzzed requests and frames, and callers that exceed limits."""

import asyncio
import itertools
import random
import socket

import msgspec
from bad_input_valid_calls import VALID_PATH, ValidCalls
from behave import given, then, when
from hypothesis import given as given_data
from hypothesis import settings
from hypothesis import strategies as st

from standins.callers import Peer, count_runs, request, settle
from standins.cluster import Cluster, ServiceOptions, VmOptions
from standins.processes import http, wait_for
from wagtailcleat.entry.watchers import EventSplitter
from wagtailcleat.wire.frames import FrameReader
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.results import Refused

TIMEOUT_SECONDS = 15
CONCURRENCY = 40
MAX_CONNECTIONS = 60
MAX_BODY_BYTES = 100_000
PREFIX = "/services/booking-core"
SETTINGS = {
    "max_body_bytes": MAX_BODY_BYTES,
    "max_connections": MAX_CONNECTIONS,
    "idle_connection": 2.0,
    "slow_body": 0.5,
}
REQUESTS = [
    b"GET /services/booking-core/x HTTP/1.1\r\nHost: e\r\n\r\n",
    b"POST /services/booking-core/x HTTP/1.1\r\nHost: e\r\n"
    b"Content-Length: 4\r\nIdempotency-Key: agent-vm-1.1.e.1.k1.0\r\n\r\nhold",
    b"PUT /services/booking-core/x HTTP/1.1\r\nHost: e\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n4\r\nhold\r\n0\r\n\r\n",
    b"GET /services/booking-core/events?count=1 HTTP/1.1\r\nHost: e\r\n"
    b"Accept: text/event-stream\r\nLast-Event-ID: 0\r\n\r\n",
    b"POST /services/booking-core:request-id HTTP/1.1\r\nHost: e\r\n\r\n",
    b"POST /teams/t/jobs HTTP/1.1\r\nHost: e\r\nContent-Length: 13\r\n\r\n"
    b'{"id": [1,2]}',
    b"GET /health HTTP/1.1\r\nHost: e\r\nWagtailcleat-Deadline-Ms: 10\r\n\r\n",
]
# No msgpack value begins with this byte. There are enough of them to complete a
# truncated value first, so that decoding then fails for sure.
INVALID_BYTES = b"\xc1" * 70_000
ODD_BYTES = [
    b"\0",
    b"\r\n",
    b"\xff\xfe",
    b" ",
    b"%zz",
    b"-1",
    b"9" * 30,
    b":",
    b"{" * 200,
]


def mutated(rng, message):
    """Return `message` with some bytes changed, removed, inserted or repeated."""
    data = bytearray(message)
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(data) + 1)
        choice = rng.randrange(5)
        if choice == 0 and at < len(data):
            data[at] = rng.randrange(256)
        elif choice == 1:
            del data[at : at + rng.randint(1, 8)]
        elif choice == 2:
            data[at:at] = rng.choice(ODD_BYTES)
        elif choice == 3:
            data[at:at] = data[: rng.randint(0, 60)]
        elif rng.random() < 0.1:
            data[at:at] = b"a" * 70_000
    return bytes(data) or b"\0"


@given("the feature's small deployment with short bounds for slow callers")
def step_cluster(context):
    if "cluster" not in context.feature.__dict__:
        context.feature.cluster = start_cluster(context)
    context.cluster = context.feature.cluster
    context.port = context.cluster.entry.ready["http_port"]
    context.agent = context.cluster.agent_by_vm["vm-1"]
    context.processes_before = [(p, p.pid, p.rss_mb()) for p in processes(context)]


def start_cluster(context):
    vm = VmOptions("vm-1", "zilina-a", "rack-a1")
    service = ServiceOptions(slots=64, queue=256)
    cluster = Cluster([vm], [service], 1, entry_settings=SETTINGS)
    context.add_cleanup(cluster.close, layer="feature")
    assert cluster.apply().status == 200
    good = f"http://127.0.0.1:{cluster.entry.ready['http_port']}{VALID_PATH}"
    wait_for(lambda: http("GET", good).status == 200, TIMEOUT_SECONDS, "it serves")
    return cluster


def processes(context):
    return [context.cluster.entry, context.agent]


def with_valid_requests(context, fuzz):
    """Run `fuzz` while a caller makes valid requests; return what `fuzz` returns."""
    context.valid_calls = ValidCalls(context.cluster, context.agent)
    try:
        return asyncio.run(fuzz)
    finally:
        context.valid_calls.stop()


async def in_parallel(count, act):
    """Return the results of `act(number)` for `count` numbers, run concurrently."""
    numbers = iter(range(count))

    async def worker():
        return [await act(number) for number in numbers]

    lists = await asyncio.gather(*(worker() for _ in range(CONCURRENCY)))
    return [item for items in lists for item in items]


async def send_raw(port, message):
    """Send bytes and end the sending side; return all bytes received."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(message)
        writer.write_eof()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await reader.read()
    except TimeoutError:
        raise
    except OSError:
        # The entry or agent has already closed, which raises one of several errors.
        return b""
    finally:
        writer.close()


@when("{count:d} fuzzed requests are sent to the callers' port")
def step_fuzz_http(context, count):
    rng = random.Random("callers' port")
    messages = [mutated(rng, rng.choice(REQUESTS)) for _ in range(count)]

    async def act(number):
        return await send_raw(context.port, messages[number])

    context.answers = with_valid_requests(context, in_parallel(count, act))


@then('each was answered as HTTP says, or its connection closed, and none as "{code}"')
def step_http_answers(context, code):
    invalid = [a for a in context.answers if a and not a.startswith(b"HTTP/1.1 ")]
    assert not invalid, invalid[:5]
    internal = [a for a in context.answers if f'"{code}"'.encode() in a]
    assert not internal, internal[:5]
    assert sum(a.startswith(b"HTTP/1.1 4") for a in context.answers) > 1000


@then("the good requests made meanwhile were all answered 200")
def step_all_valid_answered(context):
    made = context.valid_calls
    bad = [call for call in made.calls if call.answer.status != 200]
    assert made.calls and not bad, (len(made.calls), bad[:5])


@then(
    "the good requests made meanwhile were answered 200, or refused only while the"
    " agent stood still and then served"
)
def step_valid_answers(context):
    made = context.valid_calls
    bad = [c for c in made.calls if c.answer.status != 200 and c not in made.excused]
    assert made.calls and not bad, (len(made.calls), bad[:5])
    assert len(made.repeats) == len(made.excused), made.excused
    unserved = [answer for answer in made.repeats if answer.status != 200]
    assert not unserved, unserved
    counts = count_runs(context.cluster)
    run_twice = [a for a in made.repeats if counts[a.path.removeprefix(PREFIX)] != 1]
    assert not run_twice, run_twice


@then("the processes are the same, grown by less than {mb:d} MB, with no error logged")
def step_processes(context, mb):
    for process, pid, rss_mb in context.processes_before:
        assert process.alive and process.pid == pid, process.name
        assert process.rss_mb() < rss_mb + mb, (rss_mb, process.rss_mb())
        logged = process.stderr.read_text()
        assert "Traceback" not in logged, logged[logged.index("Traceback") :][:3000]
    wait_for(lambda: idle(context), TIMEOUT_SECONDS, "nothing is in flight")


def idle(context):
    state = http("GET", f"{context.agent.url}/state").json()
    watchers = state["services"]["booking-core"]["watchers"]
    return state["requests_in_flight"] == 0 and watchers == 0


def unusual_frames(rng, incarnation):
    """Return frames that can be decoded, with values that no process sends."""
    # Far from the ids of the calls that the stream itself makes.
    number = rng.choice([100, 7000, 2**63, -50])
    valid = request(incarnation, f"fuzz.1.r{rng.randrange(10**9)}", "/odd")
    values = {
        "method": rng.choice(["G ET", "", "POST", "\r\n", "GET"]),
        "path": rng.choice(["", "/a b", "/\r\nX: y", "//", "/é", "/ok"]),
        "headers": [("a\r\nb", "c"), ("é", "ü"), ("x", "\0"), ("Accept", "*/*")],
        "deadline": rng.choice([-1.0, 0.0, float("nan"), 1e300, 0.2]),
        "parts": rng.random() < 0.2,
    }
    messages = [
        msgspec.structs.replace(valid, **values),
        settle(incarnation, rng.choice(["", "r", "...", "x" * 1000])),
        ["done"],
        ["part", b"zz"],
        ["parts_end", True],
        None,
    ]
    kinds = rng.sample(range(8), 4)
    return [[k, number + at, rng.choice(messages)] for at, k in enumerate(kinds)]


@when("{count:d} fuzzed messages are sent to the agent's peer port")
def step_fuzz_peer(context, count):
    rng = random.Random("peer port")
    port = context.agent.ready["peer_port"]
    incarnation = http("GET", f"{context.agent.url}/state").json()["incarnation"]
    encode = msgspec.msgpack.encode
    hello = encode([0, 0, ["hello", 1, "fuzz", "entry", 1, b"n" * 16]])
    hellos = [mutated(rng, hello) for _ in range(count // 2)]
    unusual = [unusual_frames(rng, incarnation) for _ in range(count // 10)]
    broken = [mutated(rng, encode(frames[0])) + INVALID_BYTES for frames in unusual]

    async def act(number):
        if number < len(hellos):
            await send_raw(port, hellos[number])
            return True, True
        number -= len(hellos)
        peer = Peer(f"fuzz-{number}", 1, port)
        stream = await peer.stream()
        for frame in unusual[number]:
            stream._connection.write(encode(frame))
        first = await stream.call(
            settle(incarnation, "fuzz.1.r1"), timeout=TIMEOUT_SECONDS
        )
        stream._connection.write(broken[number])
        last = await stream.call(
            settle(incarnation, "fuzz.1.r1"), timeout=TIMEOUT_SECONDS
        )
        peer.close()
        return isinstance(first, Refused), isinstance(last, Lost) or (first, last)

    total = len(hellos) + len(unusual)
    context.streams = with_valid_requests(context, in_parallel(total, act))


@then("each stream with a broken frame was closed and no other")
def step_streams(context):
    wrong = [pair for pair in context.streams if pair != (True, True)]
    assert not wrong, wrong[:5]


def send_until_closed(context, data, end=False):
    """Send bytes; return all bytes received until the entry closes."""
    with socket.create_connection(("127.0.0.1", context.port)) as connection:
        connection.settimeout(TIMEOUT_SECONDS)
        received = b""
        try:
            connection.sendall(data)
            while chunk := connection.recv(65_536):
                received += chunk
        except ConnectionError:
            pass
        return received


@then("a caller that stops within its headers or its body is disconnected")
def step_slow(context):
    assert send_until_closed(context, REQUESTS[0][:30]) == b""
    assert send_until_closed(context, REQUESTS[1][:-2]) == b""


@then('a body over the limit is refused as "{code}", chunked or not')
def step_too_large(context, code):
    url = f"http://127.0.0.1:{context.port}{VALID_PATH}"
    answer = http("POST", url, b"x" * (MAX_BODY_BYTES + 1))
    assert answer.json()["code"] == code, answer
    chunked = {"Transfer-Encoding": "chunked"}
    answer = http("POST", url, b"x" * (MAX_BODY_BYTES + 1), chunked)
    assert answer.json()["code"] == code, answer
    assert http("POST", url, b"x" * MAX_BODY_BYTES).status == 200


@then("headers over the limit are refused")
def step_headers(context):
    big = REQUESTS[0][:-2] + b"X: " + b"y" * 70_000 + b"\r\n\r\n"
    answer = send_until_closed(context, big)
    assert answer == b"" or answer.startswith(b"HTTP/1.1 4"), answer[:200]


@then('connections over the limit are refused as "{code}"')
def step_connections(context, code):
    address = ("127.0.0.1", context.port)
    held = [socket.create_connection(address) for _ in range(MAX_CONNECTIONS)]
    answer = send_until_closed(context, b"")
    assert f'"{code}"'.encode() in answer, answer
    for connection in held:
        connection.close()


@then("a peer with another secret is refused, with a log line")
def step_other_secret(context):
    port = context.agent.ready["peer_port"]

    async def call():
        peer = Peer("stranger", 1, port, "another secret than theirs")
        return await peer.open()

    assert isinstance(asyncio.run(call()), Lost)
    logged = "does not know the cluster secret"
    wait_for(
        lambda: logged in context.agent.stderr.read_text(),
        TIMEOUT_SECONDS,
        "it is logged",
    )


@then("one that reflects all that it receives is refused")
def step_reflected(context):
    port = context.agent.ready["peer_port"]
    with socket.create_connection(("127.0.0.1", port)) as connection:
        connection.settimeout(TIMEOUT_SECONDS)
        received = b""
        while chunk := connection.recv(65_536):
            received += chunk
            connection.sendall(chunk)
    frames = list(FrameReader().feed(received))
    assert [type(frame.message).__name__ for frame in frames] == ["Hello", "Proof"]


LINE_ENDS = st.sampled_from([b"\n", b"\r\n", b"\r"])
LINES = st.sampled_from([b"data: x", b": beat", b"id: 7", b"id:8", b"id", b"event: y"])


@then("events are relayed complete and in order however their bytes are split")
def step_split_events(context):
    events = st.lists(st.tuples(st.lists(LINES, min_size=1), LINE_ENDS), min_size=1)

    @settings(derandomize=True, deadline=None, database=None, max_examples=400)
    @given_data(events, st.lists(st.integers(1, 9), min_size=1))
    def check(generated, sizes):
        texts = [end.join([*lines, b"", b""]) for lines, end in generated]
        data = b"".join(texts)
        cutter, out, sizes = EventSplitter("0"), [], itertools.cycle(sizes)
        at = 0
        while at < len(data):
            size = next(sizes)
            out.append(cutter.feed(data[at : at + size]))
            at += size
        # A CR at the end may be followed by LF, so the last event may be held back.
        relayed = b"".join(out) + cutter.feed(b":")
        assert data.startswith(relayed.removesuffix(b":"))
        assert len(data) - len(relayed) <= 1, (data, relayed)
        ids = [
            line[3:].strip() for lines, _ in generated for line in lines if is_id(line)
        ]
        assert cutter.last_id.encode() == (ids[-1] if ids else b"0")
        assert all(
            not piece or ends_after_event(data, out, n) for n, piece in enumerate(out)
        )

    check()


def is_id(line):
    return line.partition(b":")[0] == b"id"


def ends_after_event(data, out, number):
    """Return whether the output so far ends after an event or a comment."""
    done = b"".join(out[: number + 1])
    last = done.rstrip(b"\r\n").splitlines()[-1]
    return last.startswith(b":") or done.endswith((b"\n\n", b"\r\n\r\n", b"\r\r"))
