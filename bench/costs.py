"""What a request, a task, a connection cost, as slopes on real processes.

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
from bench.real import TEAM, cluster_of, ready, scaled
from bench.report import commit, write_json
from bench.services import Arrival
from standins.cluster import Cluster
from standins.processes import Process, http, wait_for

RATES = (40, 80, 160, 240)
LOAD_SECONDS = 6.0
SETTLE_SECONDS = 1.5
TASKS = (40, 120, 240, 400)
CONNECTIONS = (0, 250, 500, 1000)
QUEUED = (0, 100, 200, 400)
HELD_TASKS = (0, 2000, 4000, 8000)
PATIENCE_SECONDS = 60.0
WORK_SECONDS = 0.005

Meter = Callable[[list[Process]], float]


def cpu(processes: list[Process]) -> float:
    """Return the processor seconds that processes have used."""
    return sum(process.cpu_seconds() for process in processes)


def rss(processes: list[Process]) -> float:
    """Return the resident megabytes of processes."""
    return sum(process.rss_mb() for process in processes)


def roles(cluster: Cluster) -> dict[str, list[Process]]:
    """Return the processes of each role."""
    return {
        "entry": list(cluster.entry_by_node.values()),
        "agent": list(cluster.agent_by_vm.values()),
    }


def request_costs(cluster: Cluster, urls: list[str]) -> dict[str, Line]:
    """Return the processor seconds for each request, by role."""
    points: dict[str, list[tuple[float, float]]] = {"entry": [], "agent": []}
    for rate in RATES:
        count = int(rate * LOAD_SECONDS)
        coming = [Arrival(n, n / rate, WORK_SECONDS, True) for n in range(count)]
        before = {role: cpu(found) for role, found in roles(cluster).items()}
        asyncio.run(drive(urls, coming, 2.0, seed=rate))
        for role, found in roles(cluster).items():
            points[role].append((count, cpu(found) - before[role]))
    return {role: fit(found) for role, found in points.items()}


def task_costs(cluster: Cluster) -> dict[str, Line]:
    """Return the processor seconds for each task start, of all agents together."""
    points = []
    for tasks in TASKS:
        name = f"starts-{tasks}"
        before = cpu(roles(cluster)["agent"])
        started = time.monotonic()
        _submit(cluster, name, tasks, "echo:x", 0.1)
        wait_for(
            lambda n=name: _account(cluster, n)["state"] == "finished",
            PATIENCE_SECONDS,
            f"{name} is finished",
        )
        # What agents use without any task goes off: the time is not the cost.
        seconds = time.monotonic() - started
        used = cpu(roles(cluster)["agent"]) - before
        points.append((tasks, used - _idle(cluster) * seconds))
    return {"owner and agents": fit(points)}


def connection_memory(cluster: Cluster) -> dict[str, Line]:
    """Return the megabytes of the first entry for each idle connection."""
    entry = cluster.entry
    port = entry.ready["http_port"]
    sockets: list[socket.socket] = []
    points = []
    for count in CONNECTIONS:
        while len(sockets) < count:
            sockets.append(socket.create_connection(("127.0.0.1", port)))
        time.sleep(SETTLE_SECONDS)
        points.append((float(count), rss([entry])))
    for each in sockets:
        each.close()
    return {"entry": fit(points)}


def queued_memory(cluster: Cluster, urls: list[str]) -> dict[str, Line]:
    """Return the megabytes for each request that waits for its endpoint."""
    points: dict[str, list[tuple[float, float]]] = {"entry": [], "agent": []}
    for count in QUEUED:
        coming = [Arrival(n, 0.0, 4.0, True) for n in range(count)]
        load = threading.Thread(
            target=lambda c=coming: asyncio.run(drive(urls, c, 60.0, seed=1))
        )
        load.start()
        time.sleep(SETTLE_SECONDS * 2)
        for role, found in roles(cluster).items():
            points[role].append((float(count), rss(found)))
        load.join()
    return {role: fit(found) for role, found in points.items()}


def task_memory(cluster: Cluster) -> dict[str, Line]:
    """Return the megabytes of the owner for each task it holds."""
    points = []
    held = 0
    for count in HELD_TASKS:
        if count > held:
            # The team's quota is taken, so the tasks wait.
            _submit(cluster, f"held-{count}", count - held, "sleep:600", 900.0)
            held = count
        time.sleep(SETTLE_SECONDS)
        points.append((float(count), rss(roles(cluster)["agent"])))
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
        return http("POST", _jobs(cluster), body).status == 201

    wait_for(accepted, PATIENCE_SECONDS, f"{name} is accepted")


def _account(cluster: Cluster, name: str) -> dict[str, Any]:
    account: dict[str, Any] = http("GET", f"{_jobs(cluster)}/{name}").json()
    return account


def _jobs(cluster: Cluster) -> str:
    port = cluster.entry.ready["http_port"]
    return f"http://127.0.0.1:{port}/teams/{TEAM}/jobs"


def _idle(cluster: Cluster) -> float:
    before = cpu(roles(cluster)["agent"])
    time.sleep(SETTLE_SECONDS)
    return (cpu(roles(cluster)["agent"]) - before) / SETTLE_SECONDS


def profile_of_costs() -> Profile:
    """Return a deployment whose slots are never what limits."""
    from dataclasses import replace

    return replace(scaled(TATRASTART), slots=200, connections=400, queue=1000)


def main(
    *,
    json: Annotated[Path | None, cyclopts.Parameter(help="Write it here.")] = None,
) -> int:
    """Measure every slope once; the points and the greatest distance are shown."""
    profile = profile_of_costs()
    lines: dict[str, Line] = {}
    with cluster_of(profile) as cluster:
        urls = ready(cluster, profile)
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
                print(_shown(f"{what}, {role}", line), flush=True)
    if json is not None:
        shown = {what: line.shown() for what, line in lines.items()}
        write_json(json, {"commit": commit(), "lines": shown})
    return 0


def _shown(what: str, line: Line) -> str:
    digits = 3 - math.floor(math.log10(abs(line.slope))) if line.slope else 3
    slope = f"{line.slope:.{max(0, digits)}f}"
    return f"{what}: {slope} (base {line.base:.3f}, spread {line.spread:.3f})"


if __name__ == "__main__":
    app = cyclopts.App(help=__doc__)
    app.default(main)
    sys.exit(app())
