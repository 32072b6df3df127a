"""Steps on bad input: fuzzed requests and frames, slow and greedy callers."""

import asyncio
import itertools
import random
import socket
import threading

import msgspec
from behave import given, then, when
from hypothesis import given as given_data
from hypothesis import settings
from hypothesis import strategies as st

from standins.callers import Caller, Peer, request, settle
from standins.cluster import Cluster, ServiceOptions, VmOptions
from standins.processes import http, wait_for
from wagtailcleat.entry.watchers import EventSplitter
from wagtailcleat.wire.frames import FrameReader
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.results import Refused

PATIENCE = 15
AT_ONCE = 40
MAX_CONNECTIONS = 60
MAX_BODY = 100_000
GOOD = "/services/booking-core/good"
SETTINGS = {
    "max_body_bytes": MAX_BODY,
    "max_connections": MAX_CONNECTIONS,
    "idle_connection": 2.0,
    "slow_body": 0.5,
}
PARTS = [
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
# No msgpack value begins with this byte; enough of them to fill a cut value first.
NEVER_USED = b"\xc1" * 70_000
ODD = [b"\0", b"\r\n", b"\xff\xfe", b" ", b"%zz", b"-1", b"9" * 30, b":", b"{" * 200]


def mutated(rng, message):
    """Return `message` with some bytes changed, cut out, repeated or blown up."""
    data = bytearray(message)
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(data) + 1)
        choice = rng.randrange(5)
        if choice == 0 and at < len(data):
            data[at] = rng.randrange(256)
        elif choice == 1:
            del data[at : at + rng.randint(1, 8)]
        elif choice == 2:
            data[at:at] = rng.choice(ODD)
        elif choice == 3:
            data[at:at] = data[: rng.randint(0, 60)]
        elif rng.random() < 0.1:
            data[at:at] = b"a" * 70_000
    return bytes(data) or b"\0"


@given("the feature's small deployment with short bounds for slow callers")
def step_cluster(context):
    if "cluster" not in context.feature.__dict__:
        context.feature.cluster = start(context)
    context.cluster = context.feature.cluster
    context.port = context.cluster.entry.ready["http_port"]
    context.agent = context.cluster.agent_by_vm["vm-1"]
    context.before = [(p, p.pid, p.rss_mb()) for p in programs(context)]


def start(context):
    vm = VmOptions("vm-1", "zilina-a", "rack-a1")
    service = ServiceOptions(slots=64, queue=256)
    cluster = Cluster([vm], [service], 1, entry_settings=SETTINGS)
    context.add_cleanup(cluster.close, layer="feature")
    assert cluster.apply().status == 200
    good = f"http://127.0.0.1:{cluster.entry.ready['http_port']}{GOOD}"
    wait_for(lambda: http("GET", good).status == 200, PATIENCE, "it serves")
    return cluster


def programs(context):
    return [context.cluster.entry, context.agent]


def with_good_calls(context, fuzz):
    """Run `fuzz` while a caller makes good calls; return what `fuzz` returns."""
    context.good = []
    done = threading.Event()

    def call():
        caller = Caller(context.cluster.entry)
        while not done.is_set():
            context.good.append(caller.call("GET", GOOD))
            done.wait(0.01)
        caller.close()

    thread = threading.Thread(target=call)
    thread.start()
    try:
        return asyncio.run(fuzz)
    finally:
        done.set()
        thread.join()


async def in_parallel(count, act):
    """Run `act(number)` for each number up to `count`, some at once."""
    numbers = iter(range(count))

    async def some():
        return [await act(number) for number in numbers]

    lists = await asyncio.gather(*(some() for _ in range(AT_ONCE)))
    return [item for items in lists for item in items]


async def send_raw(port, message):
    """Send bytes and the end of the stream; return all that comes back."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(message)
        writer.write_eof()
        async with asyncio.timeout(PATIENCE):
            return await reader.read()
    except TimeoutError:
        raise
    except OSError:
        # The other side has closed already, which shows as one of several errors.
        return b""
    finally:
        writer.close()


@when("{count:d} fuzzed requests are sent to the callers' port")
def step_fuzz_http(context, count):
    rng = random.Random("callers' port")
    messages = [mutated(rng, rng.choice(PARTS)) for _ in range(count)]

    async def act(number):
        return await send_raw(context.port, messages[number])

    context.answers = with_good_calls(context, in_parallel(count, act))


@then('each was answered as HTTP says, or its connection closed, and none as "{code}"')
def step_http_answers(context, code):
    odd = [a for a in context.answers if a and not a.startswith(b"HTTP/1.1 ")]
    assert not odd, odd[:5]
    internal = [a for a in context.answers if f'"{code}"'.encode() in a]
    assert not internal, internal[:5]
    assert sum(a.startswith(b"HTTP/1.1 4") for a in context.answers) > 1000


@then("the good requests made meanwhile were all answered 200")
def step_good(context):
    bad = [seen for seen in context.good if seen.status != 200]
    assert context.good and not bad, (len(context.good), bad[:5])


@then("the processes are the same, grown by less than {mb:d} MB, with no error logged")
def step_same(context, mb):
    for process, pid, rss_mb in context.before:
        assert process.alive and process.pid == pid, process.name
        assert process.rss_mb() < rss_mb + mb, (rss_mb, process.rss_mb())
        logged = process.stderr.read_text()
        assert "Traceback" not in logged, logged[logged.index("Traceback") :][:3000]
    wait_for(lambda: idle(context), PATIENCE, "nothing is in flight")


def idle(context):
    state = http("GET", f"{context.agent.url}/state").json()
    watchers = state["services"]["booking-core"]["watchers"]
    return state["requests_in_flight"] == 0 and watchers == 0


def odd_frames(rng, incarnation):
    """Return frames that decode, of things that nobody does."""
    # Far from the numbers of the calls that the stream itself makes.
    number = rng.choice([100, 7000, 2**63, -50])
    asked = request(incarnation, f"fuzz.1.r{rng.randrange(10**9)}", "/odd")
    odd = {
        "method": rng.choice(["G ET", "", "POST", "\r\n", "GET"]),
        "path": rng.choice(["", "/a b", "/\r\nX: y", "//", "/é", "/ok"]),
        "headers": [("a\r\nb", "c"), ("é", "ü"), ("x", "\0"), ("Accept", "*/*")],
        "deadline": rng.choice([-1.0, 0.0, float("nan"), 1e300, 0.2]),
        "parts": rng.random() < 0.2,
    }
    messages = [
        msgspec.structs.replace(asked, **odd),
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
    before = [mutated(rng, hello) for _ in range(count // 2)]
    after = [odd_frames(rng, incarnation) for _ in range(count // 10)]
    broken = [mutated(rng, encode(frames[0])) + NEVER_USED for frames in after]

    async def act(number):
        if number < len(before):
            await send_raw(port, before[number])
            return True, True
        number -= len(before)
        peer = Peer(f"fuzz-{number}", 1, port)
        stream = await peer.stream()
        for frame in after[number]:
            stream._connection.write(encode(frame))
        still = await stream.call(settle(incarnation, "fuzz.1.r1"), timeout=PATIENCE)
        stream._connection.write(broken[number])
        ended = await stream.call(settle(incarnation, "fuzz.1.r1"), timeout=PATIENCE)
        peer.close()
        return isinstance(still, Refused), isinstance(ended, Lost) or (still, ended)

    total = len(before) + len(after)
    context.streams = with_good_calls(context, in_parallel(total, act))


@then("each stream with a broken frame was closed and no other")
def step_streams(context):
    odd = [pair for pair in context.streams if pair != (True, True)]
    assert not odd, odd[:5]


# ---- slow and greedy callers


def talk(context, data, end=False):
    """Send bytes; return all that comes until the other side closes."""
    with socket.create_connection(("127.0.0.1", context.port)) as connection:
        connection.settimeout(PATIENCE)
        received = b""
        try:
            connection.sendall(data)
            while chunk := connection.recv(65_536):
                received += chunk
        except ConnectionError:
            pass
        return received


@then("a caller that stops within its headers or its body is cut off")
def step_slow(context):
    assert talk(context, PARTS[0][:30]) == b""
    assert talk(context, PARTS[1][:-2]) == b""


@then('a body over the bound is refused as "{code}", chunked or not')
def step_too_large(context, code):
    url = f"http://127.0.0.1:{context.port}{GOOD}"
    answer = http("POST", url, b"x" * (MAX_BODY + 1))
    assert answer.json()["code"] == code, answer
    chunked = {"Transfer-Encoding": "chunked"}
    answer = http("POST", url, b"x" * (MAX_BODY + 1), chunked)
    assert answer.json()["code"] == code, answer
    assert http("POST", url, b"x" * MAX_BODY).status == 200


@then("headers over the bound are refused")
def step_headers(context):
    big = PARTS[0][:-2] + b"X: " + b"y" * 70_000 + b"\r\n\r\n"
    answer = talk(context, big)
    assert answer == b"" or answer.startswith(b"HTTP/1.1 4"), answer[:200]


@then('connections over the bound are refused as "{code}"')
def step_connections(context, code):
    address = ("127.0.0.1", context.port)
    held = [socket.create_connection(address) for _ in range(MAX_CONNECTIONS)]
    answer = talk(context, b"")
    assert f'"{code}"'.encode() in answer, answer
    for connection in held:
        connection.close()


# ---- strangers


@then("a peer with another secret is turned away, with a log line")
def step_other_secret(context):
    port = context.agent.ready["peer_port"]

    async def call():
        stranger = Peer("stranger", 1, port, "another secret than theirs")
        return await stranger.open()

    assert isinstance(asyncio.run(call()), Lost)
    logged = "does not know the cluster secret"
    wait_for(
        lambda: logged in context.agent.stderr.read_text(), PATIENCE, "it is logged"
    )


@then("one that sends back what it was shown is turned away")
def step_reflected(context):
    port = context.agent.ready["peer_port"]
    with socket.create_connection(("127.0.0.1", port)) as connection:
        connection.settimeout(PATIENCE)
        shown = b""
        while chunk := connection.recv(65_536):
            shown += chunk
            connection.sendall(chunk)
    frames = list(FrameReader().feed(shown))
    assert [type(frame.message).__name__ for frame in frames] == ["Hello", "Proof"]


# ---- event streams

LINE_ENDS = st.sampled_from([b"\n", b"\r\n", b"\r"])
LINES = st.sampled_from([b"data: x", b": beat", b"id: 7", b"id:8", b"id", b"event: y"])


@then("events come out whole and in order however their bytes are cut")
def step_cut_events(context):
    events = st.lists(st.tuples(st.lists(LINES, min_size=1), LINE_ENDS), min_size=1)

    @settings(derandomize=True, deadline=None, database=None, max_examples=400)
    @given_data(events, st.lists(st.integers(1, 9), min_size=1))
    def check(made, sizes):
        texts = [end.join([*lines, b"", b""]) for lines, end in made]
        data = b"".join(texts)
        cutter, out, sizes = EventSplitter("0"), [], itertools.cycle(sizes)
        at = 0
        while at < len(data):
            size = next(sizes)
            out.append(cutter.feed(data[at : at + size]))
            at += size
        # A CR at the very end may yet be followed by LF, so the last event may wait.
        whole = b"".join(out) + cutter.feed(b":")
        assert data.startswith(whole.removesuffix(b":"))
        assert len(data) - len(whole) <= 1, (data, whole)
        ids = [line[3:].strip() for lines, _ in made for line in lines if is_id(line)]
        assert cutter.last_id.encode() == (ids[-1] if ids else b"0")
        assert all(not piece or ends_whole(data, out, n) for n, piece in enumerate(out))

    check()


def is_id(line):
    return line.partition(b":")[0] == b"id"


def ends_whole(data, out, number):
    """Tell whether what came out so far ends after an event or a comment."""
    done = b"".join(out[: number + 1])
    last = done.rstrip(b"\r\n").splitlines()[-1]
    return last.startswith(b":") or done.endswith((b"\n\n", b"\r\n\r\n", b"\r\r"))
