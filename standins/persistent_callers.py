"""Callers with raw connections that record each request that got no complete answer.

A library that repeats a request on a new connection would hide such a request.
"""

import json
import random
import secrets
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.platform_cluster import HOST, PREFIX

ANSWER_SECONDS = 12.0
CONNECT_SECONDS = 2.0
NOT_CONNECTED_PAUSE_SECONDS = 0.02
HEADER_END = b"\r\n\r\n"
BODY = json.dumps(
    {
        "spec": '{"seconds": 0.05}',
        "steps": [{"count": 1, "cpu": 100, "memMb": 10, "estMs": 50}],
    }
).encode()


@dataclass
class Call:
    """One request as its caller observed it; times are monotonic seconds."""

    method: str
    is_first: bool
    """Whether it was the first request on its connection."""
    sent_at: float
    """When its last byte was sent."""
    ended_at: float = 0.0
    status: int = 0
    """0 if the connection ended without a complete answer."""
    says_close: bool = False
    """Whether the answer announced that the connection ends."""
    why: str = ""

    @property
    def seconds(self) -> float:
        """Time from the last byte of the request to the end of its answer."""
        return self.ended_at - self.sent_at


@dataclass
class PersistentCaller:
    """A caller that uses a connection until the entry ends it, in a thread.

    Parameters: `address` chooses an entry for each new connection; `is_persistent` is
    false for one connection per request; `half_seconds` is the longest pause between
    the two halves in which requests are sent; `pause_seconds` the longest between
    requests.
    """

    address: Callable[[], tuple[str, int]]
    seed: int
    is_persistent: bool = True
    half_seconds: float = 0.0
    pause_seconds: float = 0.05
    calls: list[Call] = field(default_factory=list)
    refused_connections: int = 0

    def __post_init__(self) -> None:
        """Start to send."""
        self._random = random.Random(self.seed)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Send no more requests, and wait for the answer of the last."""
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                connection = socket.create_connection(self.address(), CONNECT_SECONDS)
            except OSError:
                self.refused_connections += 1
                self._stopping.wait(NOT_CONNECTED_PAUSE_SECONDS)
                continue
            with connection:
                connection.settimeout(ANSWER_SECONDS)
                self._use(connection)

    def _use(self, connection: socket.socket) -> None:
        is_first = True
        while not self._stopping.is_set():
            call = self._call(connection, is_first)
            if call is None or not call.status or call.says_close:
                return
            if not self.is_persistent:
                return
            is_first = False
            self._stopping.wait(self._random.uniform(0, self.pause_seconds))

    def _call(self, connection: socket.socket, is_first: bool) -> Call | None:
        """Send a request and return it; None if not all of it could be sent."""
        method = self._random.choice(["POST", "GET", "GET", "DELETE"])
        request = make_request(method, secrets.token_hex(8))
        cut = self._random.randrange(1, len(request)) if self.half_seconds else 0
        try:
            if cut:
                connection.sendall(request[:cut])
                time.sleep(self._random.uniform(0, self.half_seconds))
            if has_ended(connection):
                return None
            connection.sendall(request[cut:])
        except OSError:
            return None
        call = Call(method, is_first, time.monotonic())
        self.calls.append(call)
        receive_answer(connection, call)
        return call


def make_request(method: str, job: str) -> bytes:
    """Return a request with the id of a job; a POST submits a small job."""
    body = BODY if method == "POST" else b""
    lines = f"{method} {PREFIX}{job} HTTP/1.1\r\nHost: {HOST}\r\n"
    lines += f"Wagtailcleat-Deadline-Ms: 3000\r\nContent-Length: {len(body)}\r\n\r\n"
    return lines.encode() + body


def has_ended(connection: socket.socket) -> bool:
    """Return whether the other side has closed an idle connection."""
    connection.setblocking(False)
    try:
        return not connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    finally:
        connection.settimeout(ANSWER_SECONDS)


def receive_answer(connection: socket.socket, call: Call) -> None:
    """Receive one answer into `call`."""
    received = b""
    try:
        while HEADER_END not in received:
            received += _receive(connection)
        head, _, rest = received.partition(HEADER_END)
        header_by_name = {}
        for line in head.decode("latin-1").split("\r\n")[1:]:
            name, _, value = line.partition(":")
            header_by_name[name.strip().lower()] = value.strip().lower()
        while len(rest) < int(header_by_name.get("content-length", "0")):
            rest += _receive(connection)
        call.status = int(head.split(b" ", 2)[1])
        call.says_close = header_by_name.get("connection") == "close"
    except OSError as error:
        call.why = f"{type(error).__name__} after {len(received)} bytes"
    call.ended_at = time.monotonic()


def _receive(connection: socket.socket) -> bytes:
    chunk = connection.recv(65536)
    if not chunk:
        raise ConnectionAbortedError
    return chunk
