"""Steps on settings of the platform's programs that can't be used."""

import json
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import then, when

from standins.platform_cluster import free_ports

ROOT = Path(__file__).resolve().parents[2]
START_TIMEOUT_SECONDS = 20.0


def _start(context, program, field, address):
    peer, metrics, front, ready, control = free_ports(5, "127.0.0.1")
    settings = {
        "node": f"{program}-1",
        "zone": "zilina-a",
        "host": "127.0.0.1",
        "peer_port": peer,
        "metrics_port": metrics,
        "secret": "a secret of this test run",
        "store": "127.0.0.1:1",
        "front": f"127.0.0.1:{front}",
        "ready": f"127.0.0.1:{ready}",
        "control": f"127.0.0.1:{control}",
    }
    with TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_text(json.dumps(settings | {field: address}))
        context.started = subprocess.run(
            [sys.executable, "-m", f"wagtailcleat_start.{program}", str(path)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
            timeout=START_TIMEOUT_SECONDS,
        )


@when("an entry is started with {address} as its {field}")
def step_entry(context, address, field):
    _start(context, "entry", field, address)


@when("an agent is started with {address} as its {field}")
def step_agent(context, address, field):
    _start(context, "agent", field, address)


@then('it ends with {code:d} and reports "{problem}"')
def step_reported(context, code, problem):
    started = context.started
    assert started.returncode == code, started
    assert problem in started.stderr + started.stdout, started
