"""Steps on processes of the same name."""

import json
import subprocess
import sys

from behave import then, when

from standins.processes import ROOT, Process, wait_for

PATIENCE_SECONDS = 15
AGENT = "wagtailcleat.agent.app"


def _incarnation(context, node):
    answer = context.cluster.admin("GET", f"/admin/state/{node}?section=incarnation")
    return answer.json().get("incarnation") if answer.status == 200 else None


@when('the settings of "{node}" are copied and started on other ports')
def step_copy(context, node):
    settings = json.loads((context.cluster.folder / f"{node}.json").read_text())
    settings |= {"peer_port": 0, "http_port": 0}
    context.copy = context.cluster.folder / "copy.json"
    context.copy.write_text(json.dumps(settings))
    context.before = _incarnation(context, node)


@then('it ends with {code:d} and tells "{text}"')
def step_refused(context, code, text):
    command = [sys.executable, "-m", AGENT, "--settings", str(context.copy)]
    ended = subprocess.run(
        command,
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=PATIENCE_SECONDS,
    )
    assert ended.returncode == code, ended
    assert text in ended.stderr and "ready" not in ended.stdout, ended


@then('the first "{node}" is still the one that the entries know')
def step_still(context, node):
    assert context.before is not None
    assert _incarnation(context, node) == context.before


@when('the first "{node}" is killed')
def step_kill(context, node):
    context.first = context.before
    context.cluster.agent_by_vm["vm-1"].kill()


@then("it serves, and the entries know it by its new incarnation")
def step_serves(context):
    arguments = ["--settings", str(context.copy)]
    process = Process("copy", context.cluster.folder, AGENT, arguments)
    context.add_cleanup(process.close)

    def known():
        incarnation = _incarnation(context, "agent-vm-1")
        return incarnation if incarnation not in (None, context.first) else None

    wait_for(known, PATIENCE_SECONDS, "the new process is known")
