"""A deployment of real entries and agents on stand-ins for the platform.

The tests and the soak runs use it. Every node has a loopback address of its own, so
that all nodes use the same peer port, as on the users' machines.
"""

import json
import os
import secrets
import socket
from base64 import b64decode, b64encode
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from types import MappingProxyType
from typing import Any

from standins.processes import HttpError, Process, http, wait_for

ZONES = ("zilina-a", "zilina-b", "martin-a")
HOST = "seats.example"
PREFIX = "/holds/"
ADVICE_HINT = {"hint": {"decideMs": 1, "periodMs": 1, "validMs": 3000}}
METRICS_TIMEOUT_SECONDS = 1.0
"""A process that is paused does not answer."""
READY_SECONDS = 15.0
MAX_PUTS = 24
"""Keys that are written in one transaction; the store takes 32 entries."""
NETWORK = f"127.{16 + os.getpid() % 224}"
"""The loopback network of this test run. A concurrent run uses another one, so it can't
take ports that this run has found free but not bound yet, or released for a restart."""
MAX_PARALLEL_STARTS = 4
STARTED_MESSAGE = "process: Started"


class Program(Process):
    """One of the project's programs; ready once it has logged that it started."""

    def _ready_line(self) -> dict[str, Any] | None:
        for line in self._stdout.read_text().splitlines():
            if STARTED_MESSAGE in line:
                shown: dict[str, Any] = json.loads(line)
                return shown
        if not self.alive:
            raise AssertionError(f"{self.name} ended with {self._child.returncode}")
        return None

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the log lines since the last start."""
        lines = self._stdout.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


class PlatformCluster:
    """A store, some entries, and agents each with a worker."""

    def __init__(
        self,
        folder: Path,
        *,
        entries: int = 2,
        agents: int = 2,
        cores: float = 8.0,
        speeds: tuple[float, ...] = (),
        stored: Mapping[str, bytes] = MappingProxyType({}),
    ) -> None:
        """Start all processes, with the queue `holds` configured.

        Parameters: `cores` of each worker; `speeds`, the `cpu_speed` of each entry;
        `stored`, values by key that are in the store before the programs start.
        """
        self.folder = folder
        self.speeds = speeds
        self.cores = cores
        self.store = Process("store", folder, "standins.platform_store")
        self.ports = free_ports(5)
        self.entries: list[Program] = []
        self.agents: list[Program] = []
        self.workers: list[Process] = []
        if stored:
            self.put(stored)
        self.configure(version=1)
        hosts = [host_of(number) for number in range(1, entries + agents + 1)]
        self.seeds = [f"{host}:1" for host in hosts[:entries]]
        with ThreadPoolExecutor(MAX_PARALLEL_STARTS) as pool:
            started = [
                pool.submit(self._start_entry, number, host)
                for number, host in enumerate(hosts[:entries])
            ]
            on_vms = [
                (
                    pool.submit(self._start_agent, n, host),
                    pool.submit(self._start_worker, n, host),
                )
                for n, host in enumerate(hosts[entries:])
            ]
            self.entries += [entry.result() for entry in started]
            self.agents += [agent.result() for agent, _ in on_vms]
            self.workers += [worker.result() for _, worker in on_vms]

    @property
    def processes(self) -> list[Process]:
        """All processes, the stand-ins for the platform first."""
        return [self.store, *self.workers, *self.agents, *self.entries]

    def close(self) -> None:
        """Kill every process."""
        for process in reversed(self.processes):
            process.kill()

    def _start_program(
        self, name: str, module: str, settings: dict[str, Any]
    ) -> Program:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        return Program(name, self.folder, module, [str(path)])

    def _common_settings(self, name: str, number: int, host: str) -> dict[str, Any]:
        peer, metrics, *_ = self.ports
        return {
            "node": name,
            "zone": ZONES[number % len(ZONES)],
            "host": host,
            "peer_port": peer,
            "metrics_port": metrics,
            "secret": "a secret of this test run",
            "store": f"127.0.0.1:{self.store.ready['port']}",
            "seeds": self.seeds,
            "grace": 4.0,
        }

    def _start_entry(self, number: int, host: str) -> Program:
        name = f"entry-{number + 1}"
        front, ready = self.ports[2:4]
        extra: dict[str, Any] = {
            "front": f"{host}:{front}",
            "ready": f"{host}:{ready}",
        }
        extra["store"] = f"{store_host(number)}:{self.store.ready['port']}"
        extra["advice"] = extra["store"]
        if self.speeds:
            extra["cpu_speed"] = self.speeds[number]
        settings = self._common_settings(name, number, host) | extra
        return self._start_program(name, "wagtailcleat_start.entry", settings)

    def _start_agent(self, number: int, host: str) -> Program:
        name = f"agent-{number + 1}"
        extra = {"control": f"{host}:{self.ports[4]}"}
        settings = self._common_settings(name, number, host) | extra
        return self._start_program(name, "wagtailcleat_start.agent", settings)

    def _start_worker(self, number: int, host: str) -> Process:
        arguments = ["--instance", f"i-{number + 1}", "--cores", str(self.cores)]
        arguments += ["--control", f"{host}:{self.ports[4]}"]
        arguments += ["--zone", ZONES[number % len(ZONES)]]
        name = f"worker-{number + 1}"
        return Process(name, self.folder, "standins.platform_worker", arguments)

    def configure(self, *, version: int, queues: tuple[str, ...] = ("holds",)) -> None:
        """Write a configuration with the rights of an operator."""
        routes = [
            {
                "name": name,
                "host": HOST,
                "prefix": f"/{name}/",
                "service": "booking-core",
                "attempts": 3,
                "priority": 0,
                "stretch": 2.0,
                "targetLatencyMs": 500,
            }
            | (ADVICE_HINT if name.startswith("advised") else {})
            for name in queues
        ]
        value = {"version": version, "routes": routes, "services": [], "limits": {}}
        self.write_as_operator({"op/config": value})

    def write_as_operator(
        self, value_by_key: dict[str, Any], remove: tuple[str, ...] = ()
    ) -> None:
        """Write and remove keys with the rights of an operator."""
        encoded = {
            key: json.dumps(value).encode() for key, value in value_by_key.items()
        }
        self.put(encoded, remove)

    def put(
        self, value_by_key: Mapping[str, bytes], remove: tuple[str, ...] = ()
    ) -> None:
        """Write and remove keys as another program with all rights would."""
        items = list(value_by_key.items())
        for first in range(0, max(1, len(items)), MAX_PUTS):
            puts = [
                {"key": key, "value": b64encode(value).decode()}
                for key, value in items[first : first + MAX_PUTS]
            ]
            body = {"expectRev": [], "setKeys": puts, "remove": list(remove)}
            url = f"{self.store.url}/kv-txn"
            answer = http("POST", url, body, headers={"Operator": "yes"})
            assert answer.status == 200, answer

    def stored(self, prefix: str) -> dict[str, bytes]:
        """Return the stored values under a prefix, by key."""
        answer = http("GET", f"{self.store.url}/kv-range?prefix={prefix}")
        items = answer.json()["items"]
        return {item["key"]: b64decode(item["value"]) for item in items}

    def url(self, entry: int) -> str:
        """Return the base URL of an entry for callers."""
        host = host_of(entry + 1)
        return f"http://{host}:{self.ports[2]}"

    def call(
        self, method: str, path: str, body: Any = None, *, entry: int = 0
    ) -> tuple[int, Any]:
        """Call an entry; return status and body, with status 0 if no answer came.

        The body is None where it isn't JSON, as with an internal error.
        """
        try:
            answer = http(
                method,
                self.url(entry) + path,
                body,
                headers={"Host": HOST, "Wagtailcleat-Deadline-Ms": "3000"},
                timeout=3.5,
            )
        except HttpError:
            return 0, None
        is_json = answer.headers.get("content-type", "").startswith("application/json")
        return answer.status, answer.json() if answer.body and is_json else None

    def wait_until_ready(self) -> None:
        """Wait until every entry serves the queue and the leader knows all agents."""
        for number in range(len(self.entries)):
            wait_for(
                lambda n=number: self.call("GET", PREFIX, entry=n)[0] == 200,
                READY_SECONDS,
                f"entry {number + 1} serves the queue",
            )
        wait_for(
            lambda: len(self.stored("wagtailcleat/agents/")) == len(self.agents),
            READY_SECONDS,
            "the leader knows all agents",
        )

    def submit(
        self,
        steps: list[dict[str, Any]],
        *,
        entry: int = 0,
        prefix: str = PREFIX,
        **spec: Any,
    ) -> str:
        """Submit a job, with retries, until it is accepted; return its id."""
        job = secrets.token_hex(8)
        body = {"spec": json.dumps(spec), "steps": steps}
        wait_for(
            lambda: self.call("POST", prefix + job, body, entry=entry)[0] == 200,
            READY_SECONDS,
            "the job is accepted",
        )
        return job

    def state(self, job: str, *, entry: int = 0, prefix: str = PREFIX) -> str:
        """Return a job's state; empty if the entry does not answer 200."""
        status, body = self.call("GET", prefix + job, entry=entry)
        return str(body["state"]) if status == 200 else ""

    def wait_for_state(
        self, job: str, state: str, *, entry: int = 0, timeout: float = 20.0
    ) -> None:
        """Wait until an entry reports that a job is in `state`."""
        wait_for(
            lambda: self.state(job, entry=entry) == state,
            timeout,
            f"job {job} is {state}",
        )

    def rows(self) -> list[list[Any]]:
        """Return the record rows of all workers, ordered by time."""
        rows = [row for worker in self.workers for row in worker.record()["rows"]]
        return sorted(rows, key=lambda row: row[1])

    def starts(self, job: str) -> list[str]:
        """Return the task names of a job, one for each start."""
        return [r[3] for r in self.rows() if r[0] == "start" and r[3].startswith(job)]

    def overlaps(self) -> list[Any]:
        """Return the pairs of runs of one task that ran at the same time."""
        running: dict[str, int] = {}
        found = []
        for kind, _, instance, task, run, _ in self.rows():
            if kind == "start":
                if task in running:
                    found.append((task, run, running[task], instance))
                running[task] = run
            elif kind == "end" and running.get(task) == run:
                del running[task]
        return found

    def find_leader(self) -> Program | None:
        """Return an entry that leads, or None if none says so now."""
        for entry in self.entries:
            if not entry.alive:
                continue
            host = host_of(self.entries.index(entry) + 1)
            try:
                url = f"http://{host}:{self.ports[1]}/metrics"
                text = http("GET", url, timeout=METRICS_TIMEOUT_SECONDS).body
            except HttpError:
                continue
            if b"wagtailcleat_leads 1.0" in text:
                return entry
        return None

    def leader(self) -> Program:
        """Wait until an entry leads, and return it."""
        return wait_for(self.find_leader, READY_SECONDS, "an entry leads")


def store_host(entry: int) -> str:
    """Return the store's address that is reserved for one of the first two entries."""
    return f"127.0.2.{entry + 1}"


def host_of(number: int) -> str:
    """Return the loopback address of a node."""
    return f"{NETWORK}.1.{number}"


def free_ports(count: int, host: str = "") -> list[int]:
    """Return ports that are free now on `host`, by default that of the first node."""
    host = host or host_of(1)
    sockets = [socket.socket() for _ in range(count)]
    try:
        for bound in sockets:
            bound.bind((host, 0))
        return [int(bound.getsockname()[1]) for bound in sockets]
    finally:
        for bound in sockets:
            bound.close()
