"""Steps on the demonstration."""

import os
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import then, when

from standins.processes import ROOT

DEMO_SECONDS = 120


@when("the demonstration is run")
def step_run(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    # Its processes have its own folder in their command lines, to be found by.
    context.ended = subprocess.run(
        [sys.executable, "-m", "tools.demo"],
        cwd=ROOT,
        env=os.environ | {"TMPDIR": folder.name, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        check=False,
        timeout=DEMO_SECONDS,
    )


@then("it ends with 0 after showing these")
def step_shown(context):
    assert context.ended.returncode == 0, context.ended
    missing = [
        r["shown"] for r in context.table if r["shown"] not in context.ended.stdout
    ]
    assert not missing, (missing, context.ended.stdout)


@then("no process of it is left")
def step_none_left(context):
    lines = [_read(path) for path in Path("/proc").glob("[0-9]*/cmdline")]
    left = [line for line in lines if str(context.folder).encode() in line]
    assert not left, left
    assert not list(context.folder.iterdir())


def _read(path):
    # Any other process of the machine may end between the listing and the reading.
    try:
        return path.read_bytes()
    except OSError:
        return b""
