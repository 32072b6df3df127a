"""Steps of features/golden: shell sessions, repeated and compared with golden files.

A golden file begins with `#` lines that say what it shows and what is omitted from its
output. Then come commands, each after a prompt (`$ `, or `anna$ ` where several
operators take part), followed by its output with standard error, and by `exit N` where
the exit code is not 0.

`behave -D record=yes features/golden/operators.feature` rewrites that feature's files.
"""

import difflib
import os
import re
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from features.operator_support import QUICK, Terminal
from standins.cluster import ADMIN_TOKEN, Cluster, VmOptions
from standins.processes import ROOT

GOLDEN = ROOT / "features" / "golden"
PROMPT = re.compile(r"^\w*\$ (?P<command>.+)$")
COMMAND_SECONDS = 60
PROGRAMS = {
    "wagtailcleat": "wagtailcleat.operator.app",
    "wagtailcleat-entry": "wagtailcleat.entry.app",
}
VMS = (
    VmOptions("vm-1", "zilina-a", "rack-a1"),
    VmOptions("vm-2", "zilina-b", "rack-b1"),
)


@given(
    "a shell at a deployment of two entries and two agents in two availability zones"
)
def step_shell(context):
    context.cluster = Cluster(VMS, timing=QUICK)
    context.add_cleanup(context.cluster.close)
    Terminal(context.cluster)
    context.folder = context.cluster.folder
    entry = context.cluster.entry
    context.variables = {
        "ENTRY": entry.url,
        "ADMIN": f"http://127.0.0.1:{entry.ready['admin_port']}",
        "TOKEN": ADMIN_TOKEN,
        "WAGTAILCLEAT_SETTINGS": "operator.json",
    }
    _install_programs(context)


@given("a shell without a deployment")
def step_offline(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    context.variables = {}
    _install_programs(context)


@given('its folder has "{name}"')
def step_file(context, name):
    (context.folder / name).write_text(context.text + "\n")


@when('the session "{name}" is run')
def step_session(context, name):
    context.path = GOLDEN / name
    context.recorded = context.path.read_text()
    context.seen = "".join(_replay(context, context.recorded))
    if context.config.userdata.get("record"):
        context.path.write_text(context.seen)
        context.recorded = context.seen


@then("it goes as recorded")
def step_compare(context):
    difference = difflib.unified_diff(
        context.recorded.splitlines(), context.seen.splitlines(), "recorded", "seen"
    )
    assert context.seen == context.recorded, "\n".join(difference)


def _install_programs(context):
    programs = context.folder / "bin"
    programs.mkdir()
    for name, module in PROGRAMS.items():
        script = programs / name
        script.write_text(f'#!/bin/sh\nexec "{sys.executable}" -m {module} "$@"\n')
        script.chmod(0o755)
    context.environment = os.environ | {
        "PATH": f"{programs}{os.pathsep}{os.environ['PATH']}",
        "PYTHONPATH": str(ROOT),
        "COLUMNS": "80",
    }
    context.environment |= context.variables


def _replay(context, recorded):
    for line in recorded.splitlines(keepends=True):
        found = PROMPT.match(line.rstrip("\n"))
        if found:
            yield line
            yield _output(context, found["command"])
        elif line.startswith("#"):
            yield line


def _output(context, command):
    result = subprocess.run(
        ["/bin/sh", "-c", command],
        cwd=context.folder,
        env=context.environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
        timeout=COMMAND_SECONDS,
    )
    ended = f"exit {result.returncode}\n" if result.returncode else ""
    return result.stdout + ended
