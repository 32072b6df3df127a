"""Runs the operators' command line against a deployment, as a real process."""

import json
import os
import subprocess
import sys
from dataclasses import dataclass

from standins.cluster import ADMIN_TOKEN, Cluster
from standins.processes import ROOT

QUICK = {
    "reservation": 0.5,
    "grant": 3.0,
    "ownership": 2,
    "gossip": 0.2,
    "balancer_notice": 0.1,
}
COMMAND_SECONDS = 60
SETTINGS = "operator.json"


@dataclass(frozen=True)
class Ended:
    """How a command ended, and what it printed."""

    code: int
    out: str
    err: str


class Terminal:
    """An operator's terminal: a folder with files, and settings naming all entries."""

    def __init__(self, cluster: Cluster) -> None:
        """Work in the cluster's folder."""
        self.folder = cluster.folder
        self._environment = os.environ | {
            "PYTHONPATH": str(ROOT),
            "WAGTAILCLEAT_SETTINGS": SETTINGS,
        }
        entries = list(cluster.entry_by_node.values())
        admin = [f"http://127.0.0.1:{e.ready['admin_port']}" for e in entries]
        self.write(
            SETTINGS,
            {"admin": admin, "entry": [e.url for e in entries], "token": ADMIN_TOKEN},
        )
        self.write("inventory.json", cluster.inventory())

    def write(self, name: str, content: object) -> None:
        """Write a JSON file."""
        (self.folder / name).write_text(json.dumps(content, indent=2))

    def run(self, line: str) -> Ended:
        """Run `wagtailcleat LINE` and wait for its end."""
        command = [sys.executable, "-m", "wagtailcleat.operator.app", *line.split()]
        result = subprocess.run(
            command,
            cwd=self.folder,
            env=self._environment,
            capture_output=True,
            text=True,
            check=False,
            timeout=COMMAND_SECONDS,
        )
        return Ended(result.returncode, result.stdout, result.stderr)


def team_rules(cores: float, team: str = "travel-desk") -> dict:
    """Return rules with one team and its quota."""
    return {"teams": [{"name": team, "cores": cores, "memory_mb": 200_000}]}
