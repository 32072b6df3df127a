"""Steps of features/operator/demo.feature: run tools/demo.py."""

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
    # The processes of the demonstration have its folder in their command lines, by
    # which they are found.
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


@then("none of its processes is left")
def step_none_left(context):
    lines = [_read_command_line(path) for path in Path("/proc").glob("[0-9]*/cmdline")]
    remaining = [line for line in lines if str(context.folder).encode() in line]
    assert not remaining, remaining
    assert not list(context.folder.iterdir())


def _read_command_line(path):
    # Any process of the machine may end between the listing and this read.
    try:
        return path.read_bytes()
    except OSError:
        return b""
