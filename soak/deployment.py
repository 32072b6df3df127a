"""The programs with a link before each connection that may fail."""

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
)
from standins.processes import Process

RELAY_NETWORK = f"{NETWORK}.3"
"""Peers are told addresses in here; the last number is that of the node's own."""
LINK = "standins.link"


class SoakDeployment(PlatformCluster):
    """Entries, agents and workers; links to the store, the peers and the workers."""

    def __init__(self, folder: Path, *, entries: int, agents: int) -> None:
        """Start everything."""
        self.links: dict[str, Process] = {}
        """By what they lead from and to, such as `agent-1>store`."""
        super().__init__(folder, entries=entries, agents=agents, cores=6.0)

    @property
    def processes(self) -> list[Process]:
        """All processes, those of the platform first."""
        return [*super().processes, *self.links.values()]

    def zone_names(self, zone: int) -> list[str]:
        """Return the names of the entries and agents in one of the zones."""
        programs = [self.entries[zone :: len(ZONES)], self.agents[zone :: len(ZONES)]]
        return [program.name for listed in programs for program in listed]

    def _shared(self, name: str, number: int, host: str) -> dict[str, Any]:
        settings = super()._shared(name, number, host)
        relay = f"{RELAY_NETWORK}.{host.rpartition('.')[2]}"
        peer = self.ports[0]
        self._link(
            f"peers>{name}", peer, "--target-host", host, "--host", relay, port=peer
        )
        store = self._link(f"{name}>store", self.store.ready["port"])
        seeds = [
            f"{RELAY_NETWORK}.{seed.rpartition(':')[0].rpartition('.')[2]}:1"
            for seed in self.seeds
        ]
        more = {"store": f"{HOST}:{store.ready['port']}", "advertised_host": relay}
        return settings | more | {"seeds": seeds}

    def _entry(self, number: int, host: str) -> Program:
        name = f"entry-{number + 1}"
        front, ready = self.ports[2:4]
        more = {"front": f"{host}:{front}", "ready": f"{host}:{ready}"}
        settings = self._shared(name, number, host) | more
        return self._program(name, "wagtailcleat.cluster.entry_app", settings)

    def _worker(self, number: int, host: str) -> Process:
        announced = free_ports(1, HOST)[0]
        arguments = ["--instance", f"i-{number + 1}", "--cores", str(self.cores)]
        arguments += ["--control", f"{host}:{self.ports[4]}"]
        arguments += ["--zone", ZONES[number % len(ZONES)]]
        arguments += ["--announced-port", str(announced)]
        arguments += ["--record", str(self.folder / f"worker-{number + 1}.rows")]
        name = f"worker-{number + 1}"
        worker = Process(name, self.folder, "standins.platform_worker", arguments)
        self._link(f"agent-{number + 1}>{name}", worker.ready["port"], port=announced)
        return worker

    def rows_of(self, worker: Process) -> list[list[Any]]:
        """Return what a worker started and ended, in all its lives."""
        path = self.folder / f"{worker.name}.rows"
        lines = path.read_text().splitlines() if path.exists() else []
        return [json.loads(line) for line in lines]

    def _link(self, name: str, target: int, *more: str, port: int = 0) -> Process:
        arguments = ["--target-port", str(target), *more]
        if port:
            arguments += ["--port", str(port)]
        link = Process(name.replace(">", "-to-"), self.folder, LINK, arguments)
        self.links[name] = link
        return link
