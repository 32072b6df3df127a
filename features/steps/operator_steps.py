"""Steps on the operators' command line and port, and the settings of daemons."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when
from prometheus_client.parser import text_string_to_metric_families

from features.operator_support import QUICK, Terminal, team_rules
from standins.cluster import ADMIN_TOKEN, Cluster, VmOptions
from standins.processes import ROOT, HttpError, http, wait_for
from wagtailcleat.introspection import Introspection

TIMEOUT_SECONDS = 15
START_TIMEOUT_SECONDS = 20
AUTHORIZATION_BY_TOKEN_KIND = {
    "none": "",
    "wrong": "Bearer wrong",
    "right": f"Bearer {ADMIN_TOKEN}",
}
CONFIGURATION_KEY = "/wagtailcleat/configuration"


@given("an operator's terminal on a deployment of two entries and one agent")
def step_terminal(context):
    context.cluster = _deployment()
    context.add_cleanup(context.cluster.close)
    context.terminal = Terminal(context.cluster)


@given("an operator's terminal on the deployment that this feature shares")
def step_shared_terminal(context):
    if not hasattr(context.feature, "deployment"):
        context.feature.deployment = _deployment()
        context.add_cleanup(context.feature.deployment.close, layer="feature")
    context.cluster = context.feature.deployment
    context.terminal = Terminal(context.cluster)


def _deployment():
    return Cluster([VmOptions("vm-1", "zilina-a", "rack-a1")], timing=QUICK)


@given('rules that give team "{team}" {cores:d} cores in "{name}"')
def step_rules(context, team, cores, name):
    context.terminal.write(name, team_rules(cores, team))


@given("the inventory is applied")
def step_applied(context):
    answer = context.cluster.apply()
    assert answer.status == 200, answer
    wait_for(lambda: _in_force(context) == [1] * 3, TIMEOUT_SECONDS, "in force")


def _in_force(context):
    nodes = context.cluster.admin("GET", "/admin/nodes").json()["nodes"]
    return [node["revision"] for node in nodes]


def _entry(context, number):
    return context.cluster.entry_by_node[f"entry-{number}"]


@when('the operator runs "{line}"')
def step_run(context, line):
    context.ended = context.terminal.run(line)


@then("it ends with {code:d}")
def step_exit_code(context, code):
    assert context.ended.code == code, context.ended


@then('it says "{text}"')
def step_says(context, text):
    assert text in context.ended.out + context.ended.err, context.ended


@when(
    'zone "{zone}" is moved "{direction}" with change id "{change}" through entry {n:d}'
)
def step_move(context, zone, direction, change, n):
    path = f"/admin/zones/{zone}/{direction}?change_id={change}"
    context.answer = context.cluster.admin("POST", path, entry=_entry(context, n))
    assert context.answer.status == 200, context.answer


@then("the answer's revision is {revision:d}")
def step_answer_revision(context, revision):
    assert context.answer.json() == {"revision": revision}, context.answer


@then("revision {revision:d} is accepted, with no zone out")
def step_accepted(context, revision):
    def stored_configuration():
        answer = context.cluster.admin("GET", "/admin/configuration")
        return answer.json() if answer.status == 200 else None

    shown = wait_for(stored_configuration, TIMEOUT_SECONDS, "the store answers")
    assert (shown["revision"], shown["zones_out"]) == (revision, []), shown


@given('the store loses the next answer to a write of "{key}"')
def step_lose_answer(context, key):
    context.cluster.store.faults(lose_answers=1, lose_answers_matching=key)


@then("the store has written the configuration {count:d} time")
@then("the store has written the configuration {count:d} times")
def step_written(context, count):
    writes = context.cluster.store.record()["writes"]
    found = [write for write in writes if write[1] == CONFIGURATION_KEY]
    assert len(found) == count, found


@when("entry {number:d} is killed")
def step_kill(context, number):
    _entry(context, number).kill()


@when("the store goes out of reach")
def step_store_down(context):
    context.cluster.store.faults(down=True)


@when("the store comes back")
def step_store_up(context):
    context.cluster.store.faults()


@when('VM "{vm}" is paused')
def step_pause(context, vm):
    context.cluster.freeze_vm(vm)


@then("these calls are refused")
def step_refused(context):
    for row in context.table:
        port = "admin_port" if row["port"] == "admin" else "http_port"
        url = f"http://127.0.0.1:{context.cluster.entry.ready[port]}{row['path']}"
        headers = {"Authorization": AUTHORIZATION_BY_TOKEN_KIND[row["token"]]}
        answer = http(row["method"], url, headers=headers)
        seen = (str(answer.status), answer.json()["code"])
        assert seen == (row["status"], row["code"]), (row, answer)


@then("a body of {size:d} bytes is refused at the operators' port")
def step_too_large(context, size):
    body = b"x" * size
    try:
        answer = context.cluster.admin("PUT", "/admin/configuration", body)
    except HttpError:
        # The server may answer and close the connection while the body is being sent.
        return
    assert 400 <= answer.status < 500, answer


@then("no change was accepted")
def step_nothing_accepted(context):
    shown = context.cluster.admin("GET", "/admin/configuration").json()
    assert shown["revision"] == 0, shown


def _metric_families(context, process):
    if process == "agent":
        url = context.cluster.agent_by_vm["vm-1"].url
        text = http("GET", f"{url}/metrics").body.decode()
    else:
        text = context.cluster.admin("GET", "/metrics").body.decode()
    return list(text_string_to_metric_families(text))


@then("the agent and the entry export these metrics")
def step_metrics(context):
    for row in context.table:
        names = sorted(
            family.name for family in _metric_families(context, row["process"])
        )
        expected = [f"wagtailcleat_{name}" for name in row["metrics"].split()]
        assert names == expected, names


@then('no metric has a label with "{word}"')
def step_labels(context, word):
    for process in ("agent", "entry"):
        for family in _metric_families(context, process):
            for sample in family.samples:
                assert word not in str(sample.labels), sample


@given("a dump of {count:d} attempts")
def step_large_dump(context, count):
    introspection = Introspection()
    attempts = {
        f"0001.travel-desk.ledger/{i}/1": {"phase": "running"} for i in range(count)
    }
    introspection.add("attempts", lambda: attempts)
    context.dump = introspection.text()


@then('its text is JSON of at most {size:d} bytes, with "{left_out:d}" left out')
def step_bounded(context, size, left_out):
    assert len(context.dump) <= size, len(context.dump)
    assert json.loads(context.dump)["attempts"]["left_out"] == left_out


@when("the agent is sent SIGUSR1")
def step_signal(context):
    context.agent = context.cluster.agent_by_vm["vm-1"]
    os.kill(context.agent.pid, signal.SIGUSR1)


@then('its standard error shows a state dump of "{node}"')
def step_dumped(context, node):
    def read_dumps():
        lines = context.agent.stderr.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith('{"node"')]

    dumps = wait_for(read_dumps, TIMEOUT_SECONDS, "a dump is written")
    assert dumps[0]["node"] == node, dumps[0]


@then(
    "each section of the agent's and the entry's dump is listed in docs/OPERATIONS.md"
)
def step_sections(context):
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    for node in ("agent-vm-1", "entry-1"):
        state = context.cluster.admin("GET", f"/admin/state/{node}").json()
        missing = [name for name in state if f"`{name}`" not in page]
        assert not missing, missing


def _temporary_folder(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return Path(folder.name)


@given("a settings file")
def step_settings(context):
    context.settings = _temporary_folder(context) / "settings.json"
    context.settings.write_text(context.text)


@given("a settings file whose callers' port is taken")
def step_port_in_use(context):
    taken = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(taken.close)
    settings = {
        "node": "entry-1",
        "zone": "zilina-a",
        "secret": "0123456789abcdef",
        "admin_token": "0123456789abcdef",
        "store": ["http://127.0.0.1:1"],
        "http_port": taken.getsockname()[1],
    }
    context.settings = _temporary_folder(context) / "settings.json"
    context.settings.write_text(json.dumps(settings))


@when('"{module}" is started with it')
def step_start(context, module):
    _start(context, module)


@when('"{module}" is started with it and --check')
def step_start_check(context, module):
    _start(context, module, "--check")


@when('"{module}" of the platform is started with it')
def step_start_on_platform(context, module):
    _run(context, module, str(context.settings))


def _start(context, module, *options):
    _run(context, module, "--settings", str(context.settings), *options)


def _run(context, module, *arguments):
    context.started = subprocess.run(
        [sys.executable, "-m", module, *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=START_TIMEOUT_SECONDS,
    )


@then("it ends with {code:d} and has opened nothing")
def step_not_opened(context, code):
    assert context.started.returncode == code, context.started
    assert "ready" not in context.started.stdout, context.started


@then("these lines are printed, each after the file's name")
def step_lines(context):
    printed = context.started.stderr.splitlines()
    expected = {f"{context.settings}: {row['line']}" for row in context.table}
    assert set(printed) == expected, printed


@then('it prints "{text}"')
def step_prints(context, text):
    assert text in context.started.stderr, context.started
