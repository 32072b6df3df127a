"""`make demo`: runs real commands against a small deployment on loopback.

Starts the stand-ins for the platform, two entries and three agents in two
availability zones, runs commands against them, prints each with its output, and
stops everything. The exit code is 0 only if every command succeeded with the expected
output.
"""

import json
import os
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

from standins.cluster import ADMIN_TOKEN, Cluster
from standins.processes import ROOT

EXAMPLES = ROOT / "examples"
COMMAND_TIMEOUT_SECONDS = 60
OUTPUT_TIMEOUT_SECONDS = 20
RETRY_PAUSE_SECONDS = 0.3
SETTINGS = "operator.json"
FILES = ("rules.json", "job.json")


class DemoError(Exception):
    """A command failed or did not print the expected output."""


def main() -> int:
    """Run the demonstration; return the process exit code."""
    print("Starting a store, three VMs with worker and endpoint, agents and entries.")
    try:
        with Cluster() as cluster:
            _run_steps(_Shell(cluster))
    except DemoError as error:
        print(f"\nFAILED: {error}")
        return 1
    print("\nEverything did what it should; all processes are stopped.")
    return 0


class _Shell:
    """Runs commands in a folder with the example files, and prints their output."""

    def __init__(self, cluster: Cluster) -> None:
        self._folder = cluster.folder
        entries = list(cluster.entry_by_node.values())
        ports = [entry.ready["admin_port"] for entry in entries]
        admin = [f"http://127.0.0.1:{port}" for port in ports]
        urls = [entry.url for entry in entries]
        settings = {"admin": admin, "entry": urls, "token": ADMIN_TOKEN}
        (self._folder / SETTINGS).write_text(json.dumps(settings))
        (self._folder / "inventory.json").write_text(json.dumps(cluster.inventory()))
        for name in FILES:
            (self._folder / name).write_bytes((EXAMPLES / name).read_bytes())
        self._environment = os.environ | {
            "PATH": f"{_command_folder(self._folder)}{os.pathsep}{os.environ['PATH']}",
            "PYTHONPATH": str(ROOT),
            "WAGTAILCLEAT_SETTINGS": SETTINGS,
            "ENTRY": urls[0],
            "ADMIN": admin[0],
            "TOKEN": ADMIN_TOKEN,
        }

    def run(self, command: str, expected: str = "") -> str:
        """Run a command, print and return its output, and check it for `expected`.

        Raises:
            DemoError: the command failed, or `expected` is not in its output.

        """
        code, output = self._run(command)
        _print(command, output)
        if code != 0:
            raise DemoError(f"`{command}` failed with exit code {code}")
        if expected not in output:
            raise DemoError(f"`{command}` did not print '{expected}'")
        return output

    def run_until(self, command: str, expected: str) -> str:
        """Repeat a command until its output has `expected`; print and return that.

        Raises:
            DemoError: that did not happen within 20 s.

        """
        give_up_at = time.monotonic() + OUTPUT_TIMEOUT_SECONDS
        while time.monotonic() < give_up_at:
            code, output = self._run(command)
            if code == 0 and expected in output:
                _print(command, output)
                return output
            time.sleep(RETRY_PAUSE_SECONDS)
        raise DemoError(f"`{command}` did not print '{expected}', but: {output}")

    def _run(self, command: str) -> tuple[int, str]:
        result = subprocess.run(
            ["/bin/sh", "-c", command],
            cwd=self._folder,
            env=self._environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            check=False,
            timeout=COMMAND_TIMEOUT_SECONDS,
        )
        return result.returncode, result.stdout


def _print(command: str, output: str) -> None:
    print(f"\n$ {command}\n{output.rstrip()}", flush=True)


def _command_folder(folder: Path) -> Path:
    # The script lets the shell find the command where the package is not installed.
    folder_in_path = folder / "bin"
    folder_in_path.mkdir()
    script = folder_in_path / "wagtailcleat"
    script.write_text(
        f'#!/bin/sh\nexec "{sys.executable}" -m wagtailcleat.operator.app "$@"\n'
    )
    script.chmod(0o755)
    return folder_in_path


def _run_steps(shell: _Shell) -> None:
    steps: tuple[tuple[str, Callable[[_Shell], None]], ...] = (
        ("An operator checks and applies an inventory and rules", _apply),
        (
            "A caller's request reaches an endpoint, and its whole answer comes",
            _request,
        ),
        ("A batch job runs to its end", _job),
        ("An availability zone is taken out and brought back", _zone),
    )
    for title, step in steps:
        print(f"\n== {title}", flush=True)
        step(shell)


def _apply(shell: _Shell) -> None:
    shell.run("wagtailcleat check inventory.json rules.json", "0 problems")
    files = "--inventory inventory.json --rules rules.json"
    shell.run(f"wagtailcleat apply {files} --dry-run", "nothing applied")
    shell.run(f"wagtailcleat apply {files}", "accepted as revision 1")
    shell.run("wagtailcleat nodes --wait", "agent-vm-3")


def _request(shell: _Shell) -> None:
    url = '"$ENTRY/services/booking-core/hold/7?seat=12a&echo=1"'
    shell.run_until(f"curl -sS -f -X POST -d 'for the Kovac group' {url}", "Kovac")
    shell.run('curl -sS "$ENTRY/services/no-such-service/hold/7"', "not_found")


def _job(shell: _Shell) -> None:
    curl = "curl -sS -f -X POST -d @ledger.json"
    shell.run('sed \'s/^{/{"id": "ledger",/\' job.json > ledger.json')
    shell.run_until(f'{curl} "$ENTRY/teams/travel-desk/jobs"', '"id": "ledger"')
    shell.run("wagtailcleat job show travel-desk ledger --wait", "state: finished")
    shell.run('curl -sS -f "$ENTRY/teams/travel-desk/jobs/ledger"', '"succeeded": 3')


def _zone(shell: _Shell) -> None:
    # Next to its endpoint a VM has room for one such task, so two run in zilina-a.
    job = "--command sleep:5 --cores 20 --memory-mb 100 --tasks 3"
    shell.run(f"wagtailcleat job submit travel-desk rebuild {job} --fields id,state")
    shell.run_until("wagtailcleat zone show zilina-a --fields tasks_running", "g: 2")
    shell.run("wagtailcleat zone out zilina-a --wait", "out of service from revision 2")
    shell.run("wagtailcleat zone show zilina-a", "tasks_running: 0")
    shell.run("wagtailcleat nodes --wait", "2")
    url = '"$ENTRY/services/booking-core/hold/8?echo=1"'
    shell.run(f"curl -sS -f {url}", "/hold/8")
    shell.run("wagtailcleat zone in zilina-a --wait", "in service from revision 3")
    shell.run("wagtailcleat nodes --wait", "3")
    fields = "--fields state,tasks,succeeded,attempts,evictions"
    shell.run(f"wagtailcleat job show travel-desk rebuild --wait {fields}", "finished")
    header = '-H "Authorization: Bearer $TOKEN"'
    shell.run(f'curl -sS -f {header} "$ADMIN/admin/zones/zilina-a"', '"out": false')


if __name__ == "__main__":
    sys.exit(main())
