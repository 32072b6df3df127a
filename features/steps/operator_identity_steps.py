"""Steps on two processes with the same node name."""

import json
import subprocess
import sys

from behave import then, when

from standins.processes import ROOT, Process, wait_for

TIMEOUT_SECONDS = 15
AGENT_MODULE = "wagtailcleat.agent.app"


def _incarnation(context, node):
    answer = context.cluster.admin("GET", f"/admin/state/{node}?section=incarnation")
    return answer.json().get("incarnation") if answer.status == 200 else None


@when('the settings of "{node}" are copied and started on other ports')
def step_copy(context, node):
    settings = json.loads((context.cluster.folder / f"{node}.json").read_text())
    settings |= {"peer_port": 0, "http_port": 0}
    context.copied_settings = context.cluster.folder / "copy.json"
    context.copied_settings.write_text(json.dumps(settings))
    context.known_incarnation = _incarnation(context, node)


@then('it ends with {code:d} and prints "{text}"')
def step_refused(context, code, text):
    command = [
        sys.executable,
        "-m",
        AGENT_MODULE,
        "--settings",
        str(context.copied_settings),
    ]
    ended = subprocess.run(
        command,
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=TIMEOUT_SECONDS,
    )
    assert ended.returncode == code, ended
    assert text in ended.stderr and "ready" not in ended.stdout, ended


@then('the entries still know the first "{node}"')
def step_still_known(context, node):
    assert context.known_incarnation is not None
    assert _incarnation(context, node) == context.known_incarnation


@when('the first "{node}" is killed')
def step_kill(context, node):
    context.killed_incarnation = context.known_incarnation
    context.cluster.agent_by_vm["vm-1"].kill()


@then("it starts, and the entries know its new incarnation")
def step_new_incarnation_known(context):
    arguments = ["--settings", str(context.copied_settings)]
    process = Process("copy", context.cluster.folder, AGENT_MODULE, arguments)
    context.add_cleanup(process.close)

    def new_incarnation():
        incarnation = _incarnation(context, "agent-vm-1")
        return (
            incarnation
            if incarnation not in (None, context.killed_incarnation)
            else None
        )

    wait_for(new_incarnation, TIMEOUT_SECONDS, "the new process is known")
