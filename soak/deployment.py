"""The deployment under test, with a link before each connection that may fail."""

import json
from pathlib import Path
from typing import Any

from standins.link import HOST
from standins.platform_cluster import (
    NETWORK,
    ZONES,
    PlatformCluster,
    Program,
    free_ports,
    host_of,
)
from standins.processes import HttpError, Process, http

LINK_NETWORK = f"{NETWORK}.3"
"""Nodes advertise addresses in this network; the last number is that of the node's
own address."""
LINK_MODULE = "standins.link"
DEFAULT_KIND = "a"
CRASHES_METRIC = "wagtailcleat_child_restarts"


class SoakDeployment(PlatformCluster):
    """Entries, agents and workers, with links to the store, peers and workers."""

    def __init__(
        self,
        folder: Path,
        *,
        entries: int,
        agents: int,
        speeds: tuple[float, ...] = (),
        grace: float,
    ) -> None:
        """Start all programs and links.

        Parameters: `speeds` are the entries', if they differ; `grace` is how long after
        SIGTERM a process is killed, in seconds.
        """
        self.grace = grace
        self.links: dict[str, Process] = {}
        """By both ends, such as `agent-1>store`."""
        super().__init__(
            folder, entries=entries, agents=agents, cores=6.0, speeds=speeds
        )

    @property
    def processes(self) -> list[Process]:
        """All processes: the deployment's own, then the links."""
        return [*super().processes, *self.links.values()]

    def zone_names(self, zone: int) -> list[str]:
        """Return the names of the entries and agents in the zone of this index."""
        programs = [self.entries[zone :: len(ZONES)], self.agents[zone :: len(ZONES)]]
        return [program.name for listed in programs for program in listed]

    def _common_settings(self, name: str, number: int, host: str) -> dict[str, Any]:
        settings = super()._common_settings(name, number, host)
        link_host = f"{LINK_NETWORK}.{host.rpartition('.')[2]}"
        peer = self.ports[0]
        self._link(
            f"peers>{name}", peer, "--target-host", host, "--host", link_host, port=peer
        )
        store = self._link(f"{name}>store", self.store.ready["port"])
        seeds = [
            f"{LINK_NETWORK}.{seed.rpartition(':')[0].rpartition('.')[2]}:1"
            for seed in self.seeds
        ]
        overrides = {
            "store": f"{HOST}:{store.ready['port']}",
            "advertised_host": link_host,
            "grace": self.grace,
        }
        return settings | overrides | {"seeds": seeds}

    def _start_entry(self, number: int, host: str) -> Program:
        name = f"entry-{number + 1}"
        front, ready = self.ports[2:4]
        extra: dict[str, Any] = {
            "front": f"{host}:{front}",
            "ready": f"{host}:{ready}",
        }
        if self.speeds:
            extra["cpu_speed"] = self.speeds[number]
        settings = self._common_settings(name, number, host) | extra
        return self._start_program(name, "wagtailcleat_start.entry", settings)

    def _start_worker(self, number: int, host: str) -> Process:
        announced_port = free_ports(1, HOST)[0]
        arguments = ["--instance", f"i-{number + 1}"]
        arguments += _capability(self.cores, DEFAULT_KIND)
        arguments += ["--control", f"{host}:{self.ports[4]}"]
        arguments += ["--zone", ZONES[number % len(ZONES)]]
        arguments += ["--announced-port", str(announced_port)]
        arguments += ["--record", str(self.folder / f"worker-{number + 1}.rows")]
        name = f"worker-{number + 1}"
        worker = Process(name, self.folder, "standins.platform_worker", arguments)
        self._link(
            f"agent-{number + 1}>{name}", worker.ready["port"], port=announced_port
        )
        return worker

    def change_worker(self, worker: Process, cores: float, kind: str) -> None:
        """Let a worker that is down come back with other cores and of another kind."""
        place = worker.arguments.index("--cores")
        capability = _capability(cores, kind)
        worker.arguments[place : place + len(capability)] = capability

    def rows_of(self, worker: Process) -> list[list[Any]]:
        """Return the rows that all incarnations of a worker recorded."""
        path = self.folder / f"{worker.name}.rows"
        lines = path.read_text().splitlines() if path.exists() else []
        return [json.loads(line) for line in lines]

    def _link(self, name: str, target: int, *options: str, port: int = 0) -> Process:
        arguments = ["--target-port", str(target), *options]
        if port:
            arguments += ["--port", str(port)]
        link = Process(name.replace(">", "-to-"), self.folder, LINK_MODULE, arguments)
        self.links[name] = link
        return link


def find_crashed_parts(deployment: PlatformCluster) -> list[str]:
    """Return a line for each program of which a part has crashed since its start."""
    found = []
    for number, program in enumerate([*deployment.entries, *deployment.agents]):
        url = f"http://{host_of(number + 1)}:{deployment.ports[1]}/metrics"
        try:
            lines = http("GET", url).body.decode().splitlines()
        except HttpError:
            found.append(f"no metrics: {program.name}")
            continue
        counts = [float(x.split()[1]) for x in lines if x.startswith(CRASHES_METRIC)]
        if any(counts):
            found.append(f"parts crashed: {program.name}, {counts[0]:.0f} times")
    return found


def _capability(cores: float, kind: str) -> list[str]:
    return ["--cores", str(cores), "--kind", kind]
