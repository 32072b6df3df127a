"""Callers that use connections until these end, and note where an answer is missing."""

import json
import random
import secrets
import socket
import threading
import time
from dataclasses import dataclass
from typing import Any

from soak.callers import Submitted
from soak.deployment import SoakDeployment
from standins.platform_cluster import HOST, PREFIX, host_of

CONNECT_SECONDS = 1.0
ANSWER_SECONDS = 3.0
"""How long callers wait for an answer; also what they tell the entry."""
RECONNECT_PAUSE_SECONDS = 0.02
BYTES = 65_536
INTERNAL_ERROR = 500
SUBMIT_SHARE = 0.2
LASTING_SHARE = 0.05
MOST_LASTING = 2
"""Lasting jobs per caller; the workers have capacity for all of these."""
HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True)
class Cut:
    """A connection that ended without a complete answer to a whole request."""

    entry: str
    request: str
    sent_at: float
    """Wall clock seconds of the last byte of the request."""
    ended_at: float
    received: int
    """Bytes of the answer."""
    first: bool
    """Whether it was the first request on its connection."""


class ConnectionCaller(threading.Thread):
    """A thread that calls one entry, over one connection for as long as it lasts."""

    def __init__(
        self, deployment: SoakDeployment, seed: int, entry: int, *, keep: bool
    ) -> None:
        """Seed the random choices; without `keep`, each request has a connection."""
        super().__init__(daemon=True)
        self.jobs: list[Submitted] = []
        self.cuts: list[Cut] = []
        self.silent: list[tuple[float, str]] = []
        """Wall clock seconds and request of each that got no answer in time."""
        self.errors: list[str] = []
        """One for each answer that says that the entry has failed."""
        self.stopping = threading.Event()
        self._entry = deployment.entries[entry].name
        self._address = (host_of(entry + 1), deployment.ports[2])
        self._keep = keep
        self._random = random.Random(f"connections/{seed}/{entry}/{keep}")
        self._connection: socket.socket | None = None
        self._is_first = True

    def run(self) -> None:
        """Submit and poll until `stopping` is set."""
        while not self.stopping.is_set():
            submitted = [job for job in self.jobs if job.accepted_at]
            waiting = [
                job
                for job in self.jobs
                if not job.accepted_at and not {400, 404} & set(job.statuses)
            ]
            if waiting:
                self._submit(waiting[0])
            elif not submitted or self._random.random() < SUBMIT_SHARE:
                self.jobs.append(self._draw_job())
            elif self._random.random() < 0.2:
                self._call("GET", PREFIX)
            else:
                self._poll(self._random.choice(submitted[-6:]))
            self.stopping.wait(self._random.uniform(0.005, 0.15))
        self._close()

    def _draw_job(self) -> Submitted:
        step = {"count": 1, "cpu": 500, "memMb": 64, "estMs": 200}
        job = Submitted(secrets.token_hex(8), [step])
        lasting = sum(1 for other in self.jobs if other.is_lasting)
        if lasting < MOST_LASTING and self._random.random() < LASTING_SHARE:
            step |= {"cpu": 100, "longRunning": True}
            job.is_lasting = job.is_endless = True
        return job

    def _submit(self, job: Submitted) -> None:
        seconds = 600.0 if job.is_lasting else self._random.choice([0.05, 0.2, 0.4])
        body = {"spec": json.dumps({"seconds": seconds}), "steps": job.steps}
        status, _ = self._call("POST", PREFIX + job.job, body)
        job.statuses.append(status)
        if status == 200:
            job.accepted_at = time.time()

    def _poll(self, job: Submitted) -> None:
        status, body = self._call("GET", PREFIX + job.job)
        if status == 200:
            job.states.append((time.time(), body["state"]))
        elif status == 410:
            job.states.append((time.time(), "gone"))

    def _call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Make a request; return status and body, with status 0 if no answer came."""
        data = json.dumps(body).encode() if body is not None else b""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Wagtailcleat-Deadline-Ms: {ANSWER_SECONDS * 1000:.0f}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}"
        ).encode() + HEAD_END
        in_parts = bool(data) and self._random.random() < 0.3
        connection = self._connect()
        if connection is None:
            self.stopping.wait(RECONNECT_PAUSE_SECONDS)
            return 0, None
        received = b""
        sent_at = 0.0
        try:
            if in_parts:
                connection.sendall(head)
                time.sleep(RECONNECT_PAUSE_SECONDS)
            connection.sendall(data if in_parts else head + data)
            sent_at = time.time()
            while not (answer := _parse(received)):
                chunk = connection.recv(BYTES)
                if not chunk:
                    raise ConnectionError
                received += chunk
        except TimeoutError:
            self.silent.append((sent_at, f"{method} at {self._entry}"))
            self._close()
            return 0, None
        except OSError:
            if sent_at:
                self.cuts.append(
                    Cut(
                        self._entry,
                        method,
                        sent_at,
                        time.time(),
                        len(received),
                        self._is_first,
                    )
                )
            self._close()
            return 0, None
        self._is_first = False
        status, closes, content = answer
        if closes or not self._keep:
            self._close()
        if status == INTERNAL_ERROR:
            shown = f"internal error: {method} {path} at {self._entry}: {content!r:.99}"
            self.errors.append(shown)
        return status, json.loads(content) if status == 200 and content else None

    def _connect(self) -> socket.socket | None:
        if self._connection is None:
            try:
                self._connection = socket.create_connection(
                    self._address, CONNECT_SECONDS
                )
            except OSError:
                return None
            self._connection.settimeout(ANSWER_SECONDS + 0.5)
            self._is_first = True
        return self._connection

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _parse(received: bytes) -> tuple[int, bool, bytes] | None:
    """Return status, whether the connection closes, and body; None if incomplete."""
    head, end, content = received.partition(HEAD_END)
    if not end:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    header_by_name = {name.strip().lower(): value.strip() for name, _, value in pairs}
    if len(content) < int(header_by_name.get("content-length", 0)):
        return None
    closes = header_by_name.get("connection", "").lower() == "close"
    return int(first.split()[1]), closes, content
