"""Steps of features/operator/pages.feature: compare the docs with the code."""

import ast
import json
from pathlib import Path

import msgspec
from behave import then

from standins.processes import ROOT
from wagtailcleat.configuration.check import check_inventory, check_rules
from wagtailcleat.operator.exits import Exit
from wagtailcleat.settings import AgentSettings, EntrySettings, Timing, load

EXAMPLES = ROOT / "examples"
REPORTED_METHODS = ("warning", "error", "critical", "exception")


def _page(name):
    return (ROOT / "docs" / name).read_text()


def _settings_row(field):
    if field.required:
        return f"| `{field.encode_name}` | | "
    default = field.default
    if default is msgspec.NODEFAULT:
        default = field.default_factory()
    if isinstance(default, Timing):
        default = {}
    text = json.dumps(default, default=lambda value: value.value)
    return f"| `{field.encode_name}` | `{text}` | "


@then(
    'the settings of "wagtailcleat-entry", "wagtailcleat-agent" and their timing'
    " are listed in docs/OPERATIONS.md"
)
def step_settings_page(context):
    page = _page("OPERATIONS.md")
    rows = {
        _settings_row(field)
        for kind in (EntrySettings, AgentSettings, Timing)
        for field in msgspec.structs.fields(kind)
    }
    missing = sorted(row for row in rows if row not in page)
    assert not missing, missing


@then(
    "each warning, error and crash that the code logs is listed in docs/OPERATIONS.md"
)
def step_log_page(context):
    page = _page("OPERATIONS.md")
    sentences = [
        sentence
        for path in sorted((ROOT / "wagtailcleat").rglob("*.py"))
        for sentence in _logged_sentences(path)
    ]
    missing = [sentence for sentence in sentences if sentence not in page]
    assert sentences and not missing, missing


def _logged_sentences(path: Path):
    prefix = ""
    for node in ast.walk(ast.parse(path.read_text())):
        if not (isinstance(node, ast.Call) and node.args):
            continue
        first = node.args[0]
        if not (isinstance(first, ast.Constant) and isinstance(first.value, str)):
            continue
        if getattr(node.func, "id", "") == "part_logger":
            prefix = first.value
        elif getattr(node.func, "attr", "") in REPORTED_METHODS and _is_module_log(
            node.func
        ):
            yield f"{prefix}: {first.value.partition('%')[0].strip()}"


def _is_module_log(function):
    return getattr(function.value, "id", "") == "log"


@then("each exit code is listed in docs/ADMIN.md")
def step_exit_page(context):
    page = _page("ADMIN.md")
    missing = [code.name for code in Exit if f"| {code.value} | " not in page]
    assert not missing, missing


@then("the example inventory and rules have no problem")
def step_example_files(context):
    inventory = json.loads((EXAMPLES / "inventory.json").read_text())
    rules = json.loads((EXAMPLES / "rules.json").read_text())
    assert check_inventory(inventory)[1] + check_rules(rules)[1] == []


@then("the example settings of both programs have no problem")
def step_example_settings(context):
    load(EXAMPLES / "entry.json", EntrySettings)
    load(EXAMPLES / "agent.json", AgentSettings)
