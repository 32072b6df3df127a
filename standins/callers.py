"""Clients for tests: HTTP callers, a load generator and a peer on internal streams."""

import http.client
import itertools
import json
import threading
import time
from collections import Counter
from dataclasses import dataclass
from typing import Any

from standins.cluster import SECRET, Cluster
from standins.processes import Process
from wagtailcleat.ids import Incarnation, NodeId, RequestId, ServiceName
from wagtailcleat.wire.answer_writer import AnswerWriter
from wagtailcleat.wire.handshake import Role
from wagtailcleat.wire.limits import StreamTiming
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.peers import Identity, Peers
from wagtailcleat.wire.requests import ServiceRequest, Settle
from wagtailcleat.wire.results import Refused
from wagtailcleat.wire.streams import Stream

CALL_SECONDS = 15.0
PAUSE_SECONDS = 0.005
SERVICE = "booking-core"
_load_ids = itertools.count()


@dataclass
class CallResult:
    """The result of one call: an HTTP status and body, or a connection error."""

    path: str
    status: int = 0
    body: bytes = b""
    error: str = ""
    entry: str = ""

    @property
    def code(self) -> str:
        """The error code of a refused call; empty for an endpoint's answer."""
        found = json.loads(self.body) if self.body.startswith(b'{"code"') else {}
        return str(found.get("code", ""))

    @property
    def retry_after(self) -> float:
        """The seconds after which to repeat a refused call; 0 if none are given."""
        found = json.loads(self.body) if self.code else {}
        return float(found.get("retry_after_seconds", 0.0))


class Caller:
    """A caller with one keep-alive connection to an entry, reopened when needed."""

    def __init__(self, entry: Process) -> None:
        """Use `entry`; the connection is opened on the first call."""
        self.entry = entry
        self._connection: http.client.HTTPConnection | None = None

    def call(
        self, method: str, path: str, body: bytes = b"", **headers: str
    ) -> CallResult:
        """Make a call on the keep-alive connection; return an error as a result."""
        result = CallResult(path, entry=self.entry.name)
        try:
            if self._connection is None:
                port = self.entry.ready["http_port"]
                self._connection = http.client.HTTPConnection(
                    "127.0.0.1", port, timeout=CALL_SECONDS
                )
                self._connection.connect()
        except OSError:
            self._connection = None
            result.error = "not connected"
            return result
        try:
            names = {k.replace("_", "-"): v for k, v in headers.items()}
            self._connection.request(method, path, body or None, names)
            answer = self._connection.getresponse()
            result.status, result.body = answer.status, answer.read()
            if answer.getheader("Connection") == "close":
                self.close()
        except (OSError, http.client.HTTPException) as error:
            result.error = type(error).__name__
            self.close()
        return result

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class LoadGenerator:
    """Threads that post one request after another, each request to a unique path.

    A thread whose entry refuses the connection continues at the next entry, as behind
    a load balancer.
    """

    def __init__(self, cluster: Cluster, threads: int, query: str = "") -> None:
        """Start the threads."""
        self.seen: list[CallResult] = []
        self._entries = list(cluster.entry_by_node.values())
        self._query = query
        self._number = next(_load_ids)
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(threads)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[CallResult]:
        """Stop all threads; return the results of all calls."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        return self.seen

    def _run(self, number: int) -> None:
        callers = [Caller(entry) for entry in self._entries]
        calls = 0
        start = f"/services/{SERVICE}/load/{self._number}-{number}"
        while not self._stopping.is_set():
            calls += 1
            caller = callers[number % len(callers)]
            path = f"{start}-{calls}{self._query}"
            result = caller.call("POST", path, b"hold")
            self.seen.append(result)
            if result.error == "not connected":
                number += 1
            time.sleep(PAUSE_SECONDS)
        for caller in callers:
            caller.close()


def count_runs(cluster: Cluster) -> Counter[str]:
    """Return how often each path ran, according to the endpoints' records."""
    rows = [row for vm in cluster.vm_by_name for row in cluster.runs(vm)]
    return Counter(path for _, _, path, _ in rows)


def find_false_answers(cluster: Cluster, results: list[CallResult]) -> list[str]:
    """Return a sentence for each answer that contradicts the endpoints' records."""
    runs = count_runs(cluster)
    found = []
    for call in results:
        path = call.path.partition("?")[0].removeprefix(f"/services/{SERVICE}")
        count = runs[path]
        if call.status == 200 and (
            count != 1 or call.body not in (f"POST {path}\n".encode(), b"")
        ):
            found.append(f"{path}: answered {call.body[:50]!r}, ran {count} times")
        elif call.code == "not_run" and count:
            found.append(f"{path}: not_run, but ran {count} times")
        elif count > 1:
            found.append(f"{path}: {call.code or call.error}, ran {count} times")
    return found


class Peer:
    """A client on the internal streams that identifies as an entry; has one stream."""

    def __init__(
        self, name: str, incarnation: int, port: int, secret: str = SECRET
    ) -> None:
        """Use the peer port `port`; connect on first use."""
        identity = Identity(NodeId(name), Role.ENTRY, Incarnation(incarnation), secret)
        timing = StreamTiming(silence=5.0)
        self._port = port
        self._peers = Peers(identity, _refuse, timing)

    async def open(self) -> Stream | Lost:
        """Return the open stream, or the reason why there is none."""
        return await self._peers.stream("127.0.0.1", self._port)

    async def stream(self) -> Stream:
        """Return the open stream; fail if there is none."""
        stream = await self.open()
        assert isinstance(stream, Stream), stream
        return stream

    async def call(self, message: AnyMessage, timeout: float = 5.0) -> Any:
        """Send `message` and return the answer; `timeout` is in seconds."""
        return await (await self.stream()).call(message, timeout=timeout)

    def close(self) -> None:
        """Close the stream."""
        self._peers.close()


async def _refuse(
    stream: Stream, message: AnyMessage, answer_writer: AnswerWriter
) -> AnyMessage:
    return Refused("invalid", "this is a caller only")


def request(agent_incarnation: int, request_id: str, path: str) -> ServiceRequest:
    """Return a POST to `path` as an entry would forward it to an agent."""
    return ServiceRequest(
        RequestId(request_id),
        ServiceName(SERVICE),
        "POST",
        path,
        [],
        b"",
        2.0,
        Incarnation(agent_incarnation),
    )


def settle(agent_incarnation: int, request_id: str) -> Settle:
    """Return the message by which an entry asks for the outcome of a request."""
    return Settle(
        RequestId(request_id),
        ServiceName(SERVICE),
        Incarnation(agent_incarnation),
        1.0,
    )
