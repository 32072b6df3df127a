"""A small deployment of the project's own programs, for the scripts of this review.

Entries and agents are started with the commands of the deploy file, on loopback
addresses, with settings as its templates render them. The store is the project's
stand-in (`standins.platform_store`), the workers and the advice service are those of
`review.sound_platform`. Everything that is sent, answered and run is recorded.
"""

import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from base64 import b64encode
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.processes import HttpError, http

ROOT = Path(__file__).resolve().parent.parent
HOST_NAME = "tours.example"
SERVICE = "booking"
READY_SECONDS = 25.0
POLL_SECONDS = 0.1
PROBE_SECONDS = 1.0
CANNOT_RUN = 2
ZONES = ("za", "zb", "zc", "zd")


class CannotRunError(Exception):
    """The deployment did not come up, so the case shows nothing."""


@dataclass
class Queue:
    """A queue of the configuration."""

    name: str
    priority: int = 0
    hint: dict[str, int] = field(default_factory=dict)


@dataclass
class Shape:
    """Sizes and bounds of a deployment; the defaults are those of a site sheet."""

    entries: int = 4
    agents: int = 11
    link_mbps: float = 1000.0
    cpu: int = 32_000
    memory_mb: int = 125_000
    hold_max_seconds: float = 10.0
    gang_wait_seconds: float = 3.0
    decide_seconds: float = 0.1
    period_seconds: float = 0.02
    valid_seconds: float = 3.0
    queues: tuple[Queue, ...] = (Queue("builds", 2), Queue("seats"), Queue("watch"))


class Record:
    """`record.txt`: one line for each event, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Start an empty file."""
        self._file = path.open("w", buffering=1)
        self.began = time.time()

    def add(self, text: str, at: float | None = None) -> None:
        """Append a line for an event at a wall clock time, by default now."""
        seconds = (at or time.time()) - self.began
        self._file.write(f"{seconds:8.3f} {text}\n")


class SmallDeployment:
    """The processes of one run of a script."""

    def __init__(self, shape: Shape, record: Record) -> None:
        """Start everything, and wait until a job has run."""
        self.shape = shape
        self.record = record
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self._processes: list[subprocess.Popen[bytes]] = []
        network = f"127.{16 + os.getpid() % 200}.{1 + os.getpid() // 200 % 200}"
        count = shape.entries + shape.agents
        self.hosts = [f"{network}.{number}" for number in range(1, count + 1)]
        self.entry_hosts = self.hosts[: shape.entries]
        self._ports = _free_ports(7, self.hosts[0])
        self.rows_file = self.folder / "rows.txt"

    def start(self) -> None:
        """Start the store, the platform, the entries and the agents.

        Raises:
            CannotRunError: they don't serve in time.

        """
        self._start("store", ["standins.platform_store"])
        self._wait(lambda: "ready " in self._output("store"), "the store serves")
        ready = self._output("store").partition("ready ")[2].splitlines()[0]
        self.store = f"127.0.0.1:{json.loads(ready)['port']}"
        self._configure()
        self._start_platform()
        for number, host in enumerate(self.hosts):
            name, module, settings = self._program(number, host)
            path = self.folder / f"{name}.json"
            path.write_text(json.dumps(settings))
            self._start(name, [module, str(path)])
        for number in range(self.shape.entries):
            self._wait(lambda n=number: self._serves(n), f"entry {number} serves")
        self._wait(self._knows_agents, "all agents are registered")

    def close(self) -> None:
        """End all processes, and remove the folder."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self._processes:
            process.wait()
        self._folder.cleanup()

    def submit(
        self,
        queue: str,
        steps: list[dict[str, Any]],
        behaviour: dict[str, Any],
        *,
        entry: int = 0,
        **more: Any,
    ) -> tuple[str, int]:
        """Submit a job once; return its id and the status, 0 without an answer."""
        # The name of a task, ID.K.STEP.INDEX, must not read like an IP address.
        job = secrets.token_hex(8)[:-1] + "a"
        body = {"spec": json.dumps(behaviour), "steps": steps} | more
        text = json.dumps(body).encode()
        at = time.time()
        status, _ = self.call("POST", f"/{queue}/{job}", text, entry=entry)
        tasks = sum(step["count"] for step in steps)
        self.record.add(
            f"sent     POST /{queue}/{job} of {len(text)} bytes, {len(steps)} steps,"
            f" {tasks} tasks, to entry {entry}",
            at,
        )
        self.record.add(f"answered POST /{queue}/{job} {status}")
        return job, status

    def state(self, queue: str, job: str, *, entry: int = 0) -> str:
        """Return the state that an entry shows, or the status without one."""
        at = time.time()
        status, body = self.call("GET", f"/{queue}/{job}", entry=entry)
        shown = str(body["state"]) if status == 200 else f"status {status}"
        seconds = time.time() - at
        self.record.add(
            f"answered GET /{queue}/{job} by entry {entry}: {shown} ({seconds:.2f} s)"
        )
        return shown

    def call(
        self, method: str, path: str, body: bytes | None = None, *, entry: int = 0
    ) -> tuple[int, Any]:
        """Call an entry; return status and body, with status 0 if none came in 3 s."""
        url = f"http://{self.entry_hosts[entry]}:{self._ports[2]}{path}"
        headers = {"Host": HOST_NAME, "Wagtailcleat-Deadline-Ms": "3000"}
        try:
            answer = http(method, url, body, headers=headers, timeout=3.0)
        except HttpError:
            return 0, None
        is_json = answer.headers.get("content-type", "").startswith("application/json")
        return answer.status, answer.json() if answer.body and is_json else None

    def rows(self) -> list[list[Any]]:
        """Return what the workers and the advice service have recorded."""
        lines = self.rows_file.read_text().splitlines()
        return [json.loads(line) for line in lines if line.endswith("]")]

    def metric(self, entry: int, name: str) -> float | None:
        """Return a metric of an entry; None without an answer."""
        url = f"http://{self.entry_hosts[entry]}:{self._ports[1]}/metrics"
        try:
            text = http("GET", url, timeout=PROBE_SECONDS).body.decode()
        except HttpError:
            return None
        for line in text.splitlines():
            if line.startswith(f"wagtailcleat_{name} "):
                return float(line.split()[1])
        return None

    def _program(self, number: int, host: str) -> tuple[str, str, dict[str, Any]]:
        peer, metrics, front, ready, control, *_ = self._ports
        is_entry = number < self.shape.entries
        name = f"{'front' if is_entry else 'side'}-{number + 1}"
        settings: dict[str, Any] = {
            "node": name,
            "zone": self._zone(number),
            "host": host,
            "peer_port": peer,
            "metrics_port": metrics,
            "secret": "wagtailcleat-review-peers",
            "store": self.store,
            "seeds": [f"{each}:{control}" for each in self.entry_hosts[:3]],
            "grace": 6,
        }
        if not is_entry:
            settings["run_lease_limit_ms"] = int(self.shape.hold_max_seconds * 1000)
            settings["control"] = f"{host}:{control}"
            return name, "wagtailcleat_start.agent", settings
        settings |= {
            "front": f"{host}:{front}",
            "ready": f"{host}:{ready}",
            "status_kept": 120,
            "value_bytes": 1048576,
            "advice": self._advice,
            "stop_ms": 900,
            "restore_ms": 100,
            "far_factor": 1.5,
            "cpu_share": 0.537,
            "cpu_speed": 2,
            "link_mbps": self.shape.link_mbps,
        }
        return name, "wagtailcleat_start.entry", settings

    def _zone(self, number: int) -> str:
        first = 0 if number < self.shape.entries else self.shape.entries
        return ZONES[(number - first) % len(ZONES)]

    @property
    def _advice(self) -> str:
        return f"{self.hosts[0]}:{self._ports[6]}"

    def _start_platform(self) -> None:
        shape, first = self.shape, self.shape.entries
        settings = {
            "hosts": self.hosts[first:],
            "zones": [self._zone(n) for n in range(first, len(self.hosts))],
            "worker_port": self._ports[5],
            "control_port": self._ports[4],
            "advice": self._advice,
            "service": SERVICE,
            "cpu": shape.cpu,
            "memory_mb": shape.memory_mb,
            "hold_max_seconds": shape.hold_max_seconds,
            "gang_wait_seconds": shape.gang_wait_seconds,
            "decide_seconds": shape.decide_seconds,
            "period_seconds": shape.period_seconds,
            "valid_seconds": shape.valid_seconds,
            "rows": str(self.rows_file),
        }
        path = self.folder / "platform.json"
        path.write_text(json.dumps(settings))
        self._start("platform", ["review.sound_platform", str(path)])
        self._wait(lambda: "ready " in self._output("platform"), "the workers serve")

    def _configure(self) -> None:
        routes = [
            {
                "name": queue.name,
                "host": HOST_NAME,
                "prefix": f"/{queue.name}/",
                "kind": "unsafe",
                "timeoutMs": 3000,
                "targetLatencyMs": 1000,
                "priority": queue.priority,
                "service": SERVICE,
                "attempts": 4,
                "stretch": 2.0,
            }
            | ({"hint": queue.hint} if queue.hint else {})
            for queue in self.shape.queues
        ]
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144}
        value = {"version": 1, "routes": routes, "services": [], "limits": limits}
        text = b64encode(json.dumps(value).encode()).decode()
        put = {"key": "op/config", "value": text}
        body = {"expectRev": [], "setKeys": [put], "remove": []}
        url = f"http://{self.store}/kv-txn"
        answer = http("POST", url, body, headers={"Operator": "yes"})
        if answer.status != 200:
            raise CannotRunError("the store did not take the configuration")

    def _serves(self, entry: int) -> bool:
        return self.call("GET", "/seats/", entry=entry)[0] == 200

    def _knows_agents(self) -> bool:
        url = f"http://{self.store}/kv-range?prefix=wagtailcleat/agents/"
        return len(http("GET", url).json()["items"]) == self.shape.agents

    def _start(self, name: str, arguments: list[str]) -> None:
        output = (self.folder / f"{name}.log").open("wb")
        environment = os.environ | {"PYTHONUNBUFFERED": "1"}
        self._processes.append(
            subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=ROOT,
                stdout=output,
                stderr=output,
                env=environment,
            )
        )

    def _output(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def _wait(self, condition: Callable[[], bool], what: str) -> None:
        end = time.monotonic() + READY_SECONDS
        while not condition():
            if time.monotonic() > end:
                raise CannotRunError(f"not within {READY_SECONDS:.0f} s: {what}")
            time.sleep(POLL_SECONDS)


def play(
    case: Callable[[SmallDeployment, Record, bool], list[str]], shape: Shape
) -> int:
    """Run a case in the folder that the command line names; return the exit code.

    `case` gets the deployment, the record and whether to bring the trouble about, and
    returns a line for each time that the rule was broken.
    """
    record = Record(Path(sys.argv[1]) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"begins {'with' if trouble else 'without'} the trouble")
    # A stop of the script ends its processes too.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(CANNOT_RUN))
    deployment = SmallDeployment(shape, record)
    try:
        deployment.start()
        record.add("all programs serve")
        broken = case(deployment, record, trouble)
        for at, kind, *row in deployment.rows():
            if kind in ("start", "end", "advised"):
                record.add(" ".join(["ran     ", kind, *map(str, row)]), at)
    except Exception as error:
        # Whatever fails here, the rule was not judged.
        record.add(f"cannot run: {error!r}")
        print(f"cannot run: {error!r}")
        return CANNOT_RUN
    finally:
        deployment.close()
    for line in broken or ["the rule held"]:
        record.add(f"verdict: {line}")
        print(line)
    return 1 if broken else 0


def _free_ports(count: int, host: str) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind((host, 0))
        return [int(each.getsockname()[1]) for each in sockets]
    finally:
        for each in sockets:
            each.close()
