"""Steps on what other programs store and send beside a real deployment."""

import asyncio
import tempfile
import threading
import time
from pathlib import Path

import msgspec
from behave import given, then, when
from tornado.iostream import StreamClosedError

from features.steps.odd_values import DEEP, UNDECODABLE, changed, common_values, packed
from standins.platform_cluster import PlatformCluster, host_of
from standins.processes import HttpError
from wagtailcleat.cluster.keys import (
    AGENT_PREFIX,
    ENTRY_PREFIX,
    HEARTBEAT_KEY,
    INTERFERENCE_KEY,
    JOB_PREFIX,
    LEADER_KEY,
    RECORD_PREFIX,
    ROOT,
    RUN_TIMES_KEY,
    encode,
)
from wagtailcleat.errors import Code, FrameError
from wagtailcleat.ids import Incarnation, NodeId
from wagtailcleat.wire.frames import FrameReader
from wagtailcleat.wire.handshake import Role
from wagtailcleat.wire.limits import StreamTiming
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.peers import Identity, Peers
from wagtailcleat.wire.results import Refused
from wagtailcleat.wire.scheduling import CountWaiting

SMALL_STEP = [{"count": 1, "cpu": 500, "memMb": 50, "estMs": 300}]
ENDS = [-1, 0, 2**31, 2**53, 2**53 + 1, 2**63, 2**64 - 1, -(2**63)]
ENDS += [1e308, -1e308, 1e-290, float("inf"), float("nan")]
OTHER_TYPES = [True, None, "x", "a" * 300, "é\n\0", b"\xff", [], {}, [[[[]]]]]
ODD_NAMES = ["", "/", "a/b", "A B", "é", "\n", "..", "x" * 150, "a.b.c", "cancelled"]
ODD_NAMES += ["/cancelled", "a/cancelled/cancelled"]
PROCESS = ["10.9.0.1", 7720, 1, 1.0]
PORT = 1
JOB = {
    "queue": "holds",
    "service": "booking-core",
    "spec": "{}",
    "steps": [{"count": 1, "size": [0.5, 50, 0]}],
    "accepted_at": 1.0,
    "priority": 0,
    "attempts": 3,
    "stretch": 2.0,
    "target_latency": 0.5,
    "occurrences": 1,
    "first_at": 0.0,
    "interval": 0.0,
}
RECORD = ["running", [], [], 0.0, 0]
INTERVAL_SECONDS = 1.0
SUBMISSION_SECONDS = 0.5
SECRET = "a secret of this test run"
TASK = ["00000000000000aa", 0, 0, 0]
WORKER = ["i-9", 1, "booking-core", "zilina-a", "ready", [8.0, 64_000, 0], ["a", "r1"]]
FIELDS_BY_TAG = {
    "who_leads": ["10.9.0.1", 7720, 1, 1.0],
    "keep_following": [1],
    "take_over": [1],
    "submitted": ["00000000000000aa", b"x"],
    "store_job": ["00000000000000ab", b"x"],
    "show_state": ["00000000000000aa"],
    "cancel_steps": ["00000000000000aa"],
    "count_waiting": ["holds"],
    "report": [
        "agent-9",
        1,
        "zilina-a",
        "10.9.0.1",
        7720,
        [*WORKER, "r1", 0.0, 0.0],
        False,
        True,
        [[[TASK, 1], "", 10, 0.5]],
        [[1, [TASK, 2], "succeeded", ""]],
        [[TASK, 3]],
        [[[TASK, 4], "stale"]],
        0.0,
        1.0,
        0,
        1,
        1,
        True,
        True,
        1.0,
    ],
    # Of an epoch that no agent follows.
    "orders": [9, 1, 1, [[[TASK, 1], "{}", "", ""]], [[TASK, 2]], [[[TASK, 3], 50]], 0],
}
"""Fields of messages, which are valid, by the message's tag."""
CALL = 0
FIRST_CALL = 1_000_000
"""Far from the ids of the calls that the stream itself makes."""
BROKEN_FRAMES = [
    DEEP,
    bytes([0x93, CALL, 1]) + DEEP,
    # An array, a map and bytes of 2^32 - 1 items.
    *(bytes([code]) + b"\xff" * 4 for code in (0xDD, 0xDF, 0xC6)),
    UNDECODABLE,
]
CALL_SECONDS = 5.0


def _processes(prefix):
    """Return values of processes that do not exist, none of them valid."""
    values = list(common_values().values())
    for index in range(len(PROCESS)):
        # Zeros, and a weight of any size, are valid but for the port.
        odd = [*OTHER_TYPES, -1, 2**63, float("nan")]
        values += [packed(changed(PROCESS, index, value)) for value in odd]
    values += [packed(changed(PROCESS, PORT, port)) for port in (0, 70_000)]
    stored = {f"{prefix}odd-{n}": value for n, value in enumerate(values)}
    names = [name for name in ODD_NAMES if name != "cancelled"]
    return stored | {prefix + name: packed(PROCESS) for name in names}


def _jobs():
    """Return jobs and records, valid with numbers at their ends or invalid."""
    jobs = [JOB | {name: value} for name in JOB for value in [*ENDS, *OTHER_TYPES]] + [
        JOB | {"steps": [step | {name: value}]}
        for step in JOB["steps"]
        for name in ("count", "size", "estimate_seconds", "after", "target_seconds")
        for value in [*ENDS, *OTHER_TYPES]
    ]
    records = [
        changed(RECORD, index, value)
        for index in range(len(RECORD))
        for value in [*ENDS, *OTHER_TYPES]
    ]
    stored = {}
    for number, job in enumerate(jobs + [JOB] * len(records)):
        name = f"{number:016x}"
        stored[JOB_PREFIX + name] = encode(job | {"id": name})
        if number >= len(jobs):
            stored[RECORD_PREFIX + name] = encode(records[number - len(jobs)])
    for name in ODD_NAMES:
        stored[JOB_PREFIX + name] = encode(JOB | {"id": name})
        stored[RECORD_PREFIX + name] = encode(RECORD)
    return stored


def _stored_before():
    stored = _processes(ENTRY_PREFIX) | _processes(AGENT_PREFIX) | _jobs()
    own = [ENTRY_PREFIX + "entry-1", AGENT_PREFIX + "agent-1"]
    single = [LEADER_KEY, HEARTBEAT_KEY, INTERFERENCE_KEY, RUN_TIMES_KEY, ROOT]
    return stored | dict.fromkeys(own + single, UNDECODABLE)


@given("a deployment that starts with odd values and odd keys under each prefix")
def step_deployment(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.killed = None
    context.cluster = PlatformCluster(Path(folder.name), stored=_stored_before())
    context.add_cleanup(context.cluster.close)


@when("the leader is killed, and {count:d} jobs are submitted")
def step_kill(context, count):
    context.killed = context.cluster.leader()
    context.killed.kill()
    context.execute_steps(f"When {count} jobs are submitted")


@when("another writer rewrites the keys of all processes and of the leader each second")
def step_rewrite(context):
    cluster = context.cluster
    keys = [LEADER_KEY, INTERFERENCE_KEY, RUN_TIMES_KEY]
    keys += [key for p in (ENTRY_PREFIX, AGENT_PREFIX) for key in cluster.stored(p)]
    ended = threading.Event()

    def rewrite():
        while not ended.is_set():
            try:
                cluster.put(dict.fromkeys(keys, UNDECODABLE))
            except HttpError:
                return
            ended.wait(INTERVAL_SECONDS)

    thread = threading.Thread(target=rewrite)
    context.add_cleanup(thread.join)
    context.add_cleanup(ended.set)
    thread.start()


@when("jobs are submitted for {seconds:g} s, and the leader is killed in the middle")
def step_submit(context, seconds):
    cluster = context.cluster
    context.killed = cluster.leader()
    context.entry = 1 - cluster.entries.index(context.killed)
    context.jobs = []
    began_at = time.monotonic()
    while (passed := time.monotonic() - began_at) < seconds:
        if passed >= seconds / 2 and context.killed.alive:
            context.killed.kill()
        context.jobs.append(cluster.submit(SMALL_STEP, entry=context.entry))
        time.sleep(SUBMISSION_SECONDS)


@then("no task has overlapped with itself")
def step_no_overlap(context):
    assert not context.cluster.overlaps(), context.cluster.overlaps()


def _with_odd_leaf(fields):
    """Yield copies of nested lists, each with one item replaced."""
    for index, item in enumerate(fields):
        for odd in [*ENDS, *OTHER_TYPES]:
            yield changed(fields, index, odd)
        if isinstance(item, list):
            for inner in _with_odd_leaf(item):
                yield changed(fields, index, inner)


def _is_frame(data):
    try:
        list(FrameReader().feed(data))
    except FrameError:
        return False
    return True


def _odd_calls():
    """Return the calls that can be decoded, and some of those that can't."""
    documents = [
        [tag, *fields]
        for tag, valid in FIELDS_BY_TAG.items()
        for fields in _with_odd_leaf(valid)
    ]
    encoded = [
        msgspec.msgpack.encode([CALL, FIRST_CALL + number, document])
        for number, document in enumerate(documents)
    ]
    decodable = [data for data in encoded if _is_frame(data)]
    return decodable, [data for data in encoded if not _is_frame(data)][::100]


class _Sender:
    """A peer that knows the secret of the deployment."""

    def __init__(self, host, port):
        self.address = host, port
        timing = StreamTiming()
        incarnation = Incarnation(int(time.time() * 1000))
        identity = Identity(NodeId("entry-9"), Role.ENTRY, incarnation, SECRET)
        self.peers = Peers(identity, self._refuse, timing)

    async def _refuse(self, stream, message, answer_writer):
        return Refused(Code.INVALID.value, "nothing is served here")

    async def send(self, calls):
        """Send frames on one stream, which stays open."""
        stream = await self.peers.stream(*self.address)
        assert not isinstance(stream, Lost), stream
        for data in calls:
            await stream._connection.write(data)
        assert stream.is_usable
        self.peers.close()

    async def send_broken(self, frames):
        """Send each frame on a stream of its own, which its peer closes."""
        for data in frames:
            stream = await self.peers.stream(*self.address)
            assert not isinstance(stream, Lost), stream
            try:
                await stream._connection.write(data + UNDECODABLE)
            except StreamClosedError:
                continue
            answer = await stream.call(CountWaiting("holds"), timeout=CALL_SECONDS)
            assert isinstance(answer, Lost), (data[:40], answer)
            assert answer.reason != "no answer in time", data[:40]
        self.peers.close()


def _to_each_process(context, send):
    cluster = context.cluster
    context.killed = None
    count = len(cluster.entries) + len(cluster.agents)

    async def send_to_all():
        senders = [_Sender(host_of(n + 1), cluster.ports[0]) for n in range(count)]
        await asyncio.gather(*(send(sender) for sender in senders))

    asyncio.run(send_to_all())


@when("a peer sends each process messages with a field at the ends of its range")
def step_odd_calls(context):
    decodable, context.broken = _odd_calls()
    _to_each_process(context, lambda sender: sender.send(decodable))


@when("a peer sends each process frames that nest deeply or end early")
def step_broken_frames(context):
    frames = [*BROKEN_FRAMES, *context.broken]
    _to_each_process(context, lambda sender: sender.send_broken(frames))


@then("no part of any process has crashed, and no handler of a call has failed")
def step_none_failed(context):
    context.execute_steps("Then no part of any process has crashed")
    for process in [*context.cluster.entries, *context.cluster.agents]:
        failed = [line for line in process.log_lines() if "exc_info" in line]
        assert not failed, f"{process.name}: {failed[:3]}"
