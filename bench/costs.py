"""Measures processor time and memory per request, task and connection.

Each cost is the slope of a line through measurements on real processes.

python -m bench.costs --json costs.json
"""

import asyncio
import json as json_text
import math
import socket
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import cyclopts

from bench.fit import Line, fit
from bench.load import drive
from bench.profiles import TATRASTART, Profile
from bench.real import TEAM, cluster_of, scaled, wait_until_ready
from bench.report import commit, write_json
from bench.services import Arrival
from standins.cluster import Cluster
from standins.processes import Process, http, wait_for

RATES = (40, 80, 160, 240)
LOAD_SECONDS = 6.0
SETTLE_SECONDS = 1.5
TASK_COUNTS = (40, 120, 240, 400)
CONNECTION_COUNTS = (0, 250, 500, 1000)
QUEUED_REQUEST_COUNTS = (0, 100, 200, 400)
PENDING_TASK_COUNTS = (0, 2000, 4000, 8000)
TIMEOUT_SECONDS = 60.0
REQUEST_WORK_SECONDS = 0.005

Meter = Callable[[list[Process]], float]


def total_cpu_seconds(processes: list[Process]) -> float:
    """Return the processor seconds that `processes` have used in total."""
    return sum(process.cpu_seconds() for process in processes)


def total_rss_mb(processes: list[Process]) -> float:
    """Return the resident megabytes of `processes` in total."""
    return sum(process.rss_mb() for process in processes)


def processes_by_role(cluster: Cluster) -> dict[str, list[Process]]:
    """Return the processes of each role."""
    return {
        "entry": list(cluster.entry_by_node.values()),
        "agent": list(cluster.agent_by_vm.values()),
    }


def request_costs(cluster: Cluster, urls: list[str]) -> dict[str, Line]:
    """Return the processor seconds per request, by role."""
    points: dict[str, list[tuple[float, float]]] = {"entry": [], "agent": []}
    for rate in RATES:
        count = int(rate * LOAD_SECONDS)
        load_arrivals = [
            Arrival(n, n / rate, REQUEST_WORK_SECONDS, True) for n in range(count)
        ]
        before = {
            role: total_cpu_seconds(processes)
            for role, processes in processes_by_role(cluster).items()
        }
        asyncio.run(drive(urls, load_arrivals, 2.0, seed=rate))
        for role, processes in processes_by_role(cluster).items():
            points[role].append((count, total_cpu_seconds(processes) - before[role]))
    return {role: fit(pairs) for role, pairs in points.items()}


def task_costs(cluster: Cluster) -> dict[str, Line]:
    """Return the processor seconds per task start, of all agents together."""
    points = []
    for tasks in TASK_COUNTS:
        name = f"starts-{tasks}"
        before = total_cpu_seconds(processes_by_role(cluster)["agent"])
        started = time.monotonic()
        _submit(cluster, name, tasks, "echo:x", 0.1)
        wait_for(
            lambda n=name: _job_account(cluster, n)["state"] == "finished",
            TIMEOUT_SECONDS,
            f"{name} is finished",
        )
        # Larger jobs take longer, so the agents' idle use over that time is subtracted:
        # otherwise it would count as a cost of the tasks.
        seconds = time.monotonic() - started
        used = total_cpu_seconds(processes_by_role(cluster)["agent"]) - before
        points.append((tasks, used - _idle_cpu_rate(cluster) * seconds))
    return {"owner and agents": fit(points)}


def connection_memory(cluster: Cluster) -> dict[str, Line]:
    """Return the megabytes of the first entry per idle connection."""
    entry = cluster.entry
    port = entry.ready["http_port"]
    sockets: list[socket.socket] = []
    points = []
    for count in CONNECTION_COUNTS:
        while len(sockets) < count:
            sockets.append(socket.create_connection(("127.0.0.1", port)))
        time.sleep(SETTLE_SECONDS)
        points.append((float(count), total_rss_mb([entry])))
    for connection in sockets:
        connection.close()
    return {"entry": fit(points)}


def queued_memory(cluster: Cluster, urls: list[str]) -> dict[str, Line]:
    """Return the megabytes per request that waits for its endpoint, by role."""
    points: dict[str, list[tuple[float, float]]] = {"entry": [], "agent": []}
    for count in QUEUED_REQUEST_COUNTS:
        load_arrivals = [Arrival(n, 0.0, 4.0, True) for n in range(count)]
        load = threading.Thread(
            target=lambda c=load_arrivals: asyncio.run(drive(urls, c, 60.0, seed=1))
        )
        load.start()
        time.sleep(SETTLE_SECONDS * 2)
        for role, processes in processes_by_role(cluster).items():
            points[role].append((float(count), total_rss_mb(processes)))
        load.join()
    return {role: fit(pairs) for role, pairs in points.items()}


def task_memory(cluster: Cluster) -> dict[str, Line]:
    """Return the megabytes of the agents, the owner among them, per pending task."""
    points = []
    submitted = 0
    for count in PENDING_TASK_COUNTS:
        if count > submitted:
            # The team's quota is used up, so the tasks stay pending.
            _submit(cluster, f"held-{count}", count - submitted, "sleep:600", 900.0)
            submitted = count
        time.sleep(SETTLE_SECONDS)
        points.append((float(count), total_rss_mb(processes_by_role(cluster)["agent"])))
    return {"agents": fit(points)}


def _submit(
    cluster: Cluster, name: str, tasks: int, command: str, cores: float
) -> None:
    job = {
        "id": name,
        "command": command,
        "cores": min(cores, 20.0),
        "memory_mb": 10,
        "tasks": tasks,
    }
    body = json_text.dumps(job).encode()

    def accepted() -> bool:
        return http("POST", _jobs_url(cluster), body).status == 201

    wait_for(accepted, TIMEOUT_SECONDS, f"{name} is accepted")


def _job_account(cluster: Cluster, name: str) -> dict[str, Any]:
    account: dict[str, Any] = http("GET", f"{_jobs_url(cluster)}/{name}").json()
    return account


def _jobs_url(cluster: Cluster) -> str:
    port = cluster.entry.ready["http_port"]
    return f"http://127.0.0.1:{port}/teams/{TEAM}/jobs"


def _idle_cpu_rate(cluster: Cluster) -> float:
    before = total_cpu_seconds(processes_by_role(cluster)["agent"])
    time.sleep(SETTLE_SECONDS)
    return (
        total_cpu_seconds(processes_by_role(cluster)["agent"]) - before
    ) / SETTLE_SECONDS


def unlimited_profile() -> Profile:
    """Return a deployment whose slots, connections and queue never limit the load."""
    from dataclasses import replace

    return replace(scaled(TATRASTART), slots=200, connections=400, queue=1000)


def main(
    *,
    json: Annotated[
        Path | None, cyclopts.Parameter(help="File for the report as JSON.")
    ] = None,
) -> int:
    """Measure every slope once; print it with the base and the spread of the points."""
    profile = unlimited_profile()
    lines: dict[str, Line] = {}
    with cluster_of(profile) as cluster:
        urls = wait_until_ready(cluster, profile)
        steps: list[tuple[str, Callable[[], dict[str, Line]]]] = [
            ("processor seconds a request", lambda: request_costs(cluster, urls)),
            ("processor seconds a task start", lambda: task_costs(cluster)),
            ("megabytes a connection", lambda: connection_memory(cluster)),
            ("megabytes a queued request", lambda: queued_memory(cluster, urls)),
            ("megabytes a task", lambda: task_memory(cluster)),
        ]
        for what, measure in steps:
            for role, line in measure().items():
                lines[f"{what}, {role}"] = line
                print(_format_line(f"{what}, {role}", line), flush=True)
    if json is not None:
        shown = {what: line.to_dict() for what, line in lines.items()}
        write_json(json, {"commit": commit(), "lines": shown})
    return 0


def _format_line(what: str, line: Line) -> str:
    digits = 3 - math.floor(math.log10(abs(line.slope))) if line.slope else 3
    slope = f"{line.slope:.{max(0, digits)}f}"
    return f"{what}: {slope} (base {line.base:.3f}, spread {line.spread:.3f})"


if __name__ == "__main__":
    app = cyclopts.App(help=__doc__)
    app.default(main)
    sys.exit(app())
