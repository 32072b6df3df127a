"""Odd values of another writer, in the store and in heartbeats."""

import json
import random
import secrets
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from soak.active_faults import ActiveFaults
from soak.poison import TIMEOUT_SECONDS, foreign_heartbeat
from standins.platform_cluster import host_of
from standins.processes import HttpError, Process, http
from standins.stored_jobs import put
from wagtailcleat.cluster import keys
from wagtailcleat.ids import Incarnation, JobId, NodeId, ServiceName
from wagtailcleat.scheduling.interference import StoredEstimates
from wagtailcleat.scheduling.models import Job, JobRecord, JobState
from wagtailcleat.scheduling.run_times import StoredQueue, StoredRunTimes
from wagtailcleat.wire.scheduling import Leads

DEEP = 100_000
LONG_HOST = "h" * 300
REWRITE_SECONDS = 1.0
REWRITES = 4
UNREADABLE = (b"\xc1\xff", b"", b"{", b"\x91" * DEEP + b"\xc0")
NUMBERS: list[Any] = [2**63, 2**64 - 1, -1, 0, float("nan"), float("inf"), 1e308]
PORTS: list[Any] = [*NUMBERS, 70_000, "80", None]
HOSTS: list[Any] = [LONG_HOST, "", "host.invalid", "::1", 7, None, "127.0.0.1"]
SINGLE_KEYS = (keys.LEADER_KEY, keys.HEARTBEAT_KEY)
LEARNT_KEYS = (keys.INTERFERENCE_KEY, keys.RUN_TIMES_KEY)
PREFIXES = (keys.ENTRY_PREFIX, keys.AGENT_PREFIX, keys.JOB_PREFIX, keys.RECORD_PREFIX)
ODD_NAMES = ("", "/", "a/b", "x" * 150, "0" * 16, "\u017eilina")
ODD_BODIES = (b"", b"{", b"\xff\xfe", b"[" * DEEP + b"]" * DEEP, b"[]", b"null")
REQUIRED_FIELDS = ("addr", "capacity", "labels", "seq", "service", "state", "zone")
ODD_FIELDS: dict[str, list[Any]] = {
    "addr": ["127.0.0.1", "127.0.0.1:x", "127.0.0.1:99999", "127.0.0.1:-1"]
    + ["127.0.0.1:0", f"{LONG_HOST}:80", "host.invalid:80", ":", 5, None, []],
    "born": [-1, 2**63, 2**70, 1.5, float("nan"), "1", None, True],
    "seq": [-1, 2**63, 2**70, 1.5, float("inf"), "1", None],
    "capacity": [None, [], {"cpu": float("nan")}, {"cpu": 2**70, "memMb": -1}]
    + [{"cpu": float("inf"), "memMb": 1, "gpu": 0}],
    "labels": [None, "a", [None, {}], [[[]]]],
    "coldLeftMs": [float("nan"), float("inf"), "1", {}],
    "service": [None, "", 5, "no-such-service"],
    "zone": [None, [], 5],
    "state": ["", "gone", 5, None],
}


class OddEntries:
    """Faults that another writer causes, for `ActiveFaults`."""

    def __init__(self, faults: ActiveFaults) -> None:
        """Use the deployment of `faults`."""
        self._faults = faults
        self._random = faults.random
        self._deployment = faults.deployment
        self.kinds: list[Callable[[], None]] = [
            self._write,
            self._write,
            self._write_before_start,
            self._rewrite,
            self._heartbeat,
            self._change_leader,
        ]

    def _write(self) -> None:
        key, value = self._draw()
        self._put(key, value)
        if self._random.random() < 0.4:
            self._change_leader()

    def _write_before_start(self) -> None:
        """Write an odd value while a program is down, which it finds at its start."""
        program = self._faults.pick_unaffected(self._faults.programs())
        if program is None:
            return
        program.kill()
        self._put(*self._draw())
        self._begin_kill(program, f"kill {program.name}")

    def _rewrite(self) -> None:
        """Write an odd value each second."""
        key, value = self._draw()

        def again(left: int) -> None:
            self._put(key, value)
            if left:
                self._faults.begin(
                    [], f"{left} rewrites", REWRITE_SECONDS, lambda: again(left - 1)
                )

        again(REWRITES)

    def _change_leader(self) -> None:
        """Kill the leader, or tell it to stop."""
        leader = self._deployment.find_leader()
        if leader is None or leader.name in self._faults.affected:
            return
        if self._random.random() < 0.5:
            leader.kill()
            self._begin_kill(leader, f"kill the leader {leader.name}")
            return
        leader.signal_to_stop()

        def restart() -> None:
            leader.wait_for_end()
            leader.start()

        seconds = self._random.uniform(0.5, 4.0)
        description = f"terminate the leader {leader.name}"
        self._faults.begin([leader.name], description, seconds, restart, planned=True)

    def _begin_kill(self, program: Process, description: str) -> None:
        seconds = self._random.uniform(0.1, 2.5)
        self._faults.begin([program.name], description, seconds, program.start)

    def _put(self, key: str, value: bytes) -> None:
        self._faults.record(f"odd value at {key[:80]!r}: {_show(value)}")
        with suppress(HttpError, AssertionError):
            put(self._deployment.store, {key: value})

    def _draw(self) -> tuple[str, bytes]:
        """Return a key that programs read, and an odd value for it."""
        draw = self._random.random()
        if draw < 0.25:
            key = self._random.choice(SINGLE_KEYS)
            return key, odd_value(self._random, key)
        if draw < 0.35:
            key = self._random.choice(LEARNT_KEYS)
            return key, odd_value(self._random, key)
        prefix = self._random.choice(PREFIXES)
        name = f"{self._random.getrandbits(64):016x}"
        if self._random.random() < 0.2:
            name = self._random.choice(ODD_NAMES)
        elif prefix == keys.ENTRY_PREFIX and self._random.random() < 0.3:
            name = self._random.choice(self._deployment.entries).name
        elif prefix == keys.AGENT_PREFIX and self._random.random() < 0.3:
            name = self._random.choice(self._deployment.agents).name
        elif prefix == keys.JOB_PREFIX and self._random.random() < 0.2:
            name += keys.CANCELLED
        return prefix + name, odd_value(self._random, prefix)

    def _heartbeat(self) -> None:
        """Send an agent odd heartbeats, once or each second with a rising `born`."""
        number = self._random.randrange(len(self._deployment.agents))
        host = host_of(len(self._deployment.entries) + number + 1)
        odd: bytes | dict[str, Any] = self._random.choice(ODD_BODIES)
        instance = f"i-{number + 1}"
        if self._random.random() < 0.75:
            odd = self._odd_fields()
            instance = f"i-odd-{secrets.token_hex(2)}"
        address = f"{host}:{self._deployment.ports[4]}"
        url = f"http://{address}/instances/{instance}/heartbeat"

        def send(left: int) -> None:
            with suppress(HttpError):
                http("POST", url, _odd_body(host, odd), timeout=TIMEOUT_SECONDS)
            if left:
                self._faults.begin(
                    [], "heartbeats", REWRITE_SECONDS, lambda: send(left - 1)
                )

        self._faults.record(f"odd heartbeat of {instance} at {host}: {odd!r:.100}")
        send(self._random.choice([0, REWRITES]))

    def _odd_fields(self) -> dict[str, Any]:
        """Return fields that replace those of a usual heartbeat; `...` for none."""
        if self._random.random() < 0.2:
            return {self._random.choice(REQUIRED_FIELDS): ...}
        names = self._random.sample(sorted(ODD_FIELDS), self._random.choice([1, 2]))
        return {name: self._random.choice(ODD_FIELDS[name]) for name in names}


def _odd_body(host: str, odd: bytes | dict[str, Any]) -> Any:
    if isinstance(odd, bytes):
        return odd
    body = foreign_heartbeat(host) | {"service": "booking-core"} | odd
    return {name: value for name, value in body.items() if value is not ...}


def odd_value(source: random.Random, place: str) -> bytes:
    """Return a value that names nothing to use, for a key or under a prefix."""
    if source.random() < 0.35:
        return source.choice(UNREADABLE)
    if source.random() < 0.15:
        return json.dumps({"host": "x", "port": 1}).encode()
    number = source.choice(NUMBERS)
    host, port = source.choice(HOSTS), source.choice(PORTS)
    if place == keys.HEARTBEAT_KEY:
        value: Any = keys.LeaderHeartbeat(source.choice([True, "x"]), False, number)
    elif place in (keys.ENTRY_PREFIX, keys.AGENT_PREFIX):
        value = keys.ProcessInfo(host, port, source.choice([1, number]), number)
    elif place == keys.LEADER_KEY:
        value = Leads(number, NodeId("odd"), Incarnation(1), host, port)
    elif place == keys.INTERFERENCE_KEY:
        value = StoredEstimates([("a", "b", number, number)], [("a", number, 1.0)])
    elif place == keys.RUN_TIMES_KEY:
        value = StoredRunTimes([StoredQueue("holds", number, 1.0, number, 0.0, 1.0)])
    elif place == keys.JOB_PREFIX:
        job, service = JobId("0" * 16), ServiceName("booking-core")
        value = Job(job, "holds", service, "{}", (), number, occurrences=number)
    else:
        value = JobRecord(JobState.RUNNING, [(0, number, [number])], [], number)
    return keys.encode(value)


def _show(value: bytes) -> str:
    return f"{value[:40]!r} of {len(value)} bytes"
