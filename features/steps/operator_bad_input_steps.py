"""Steps with invalid input at the operators' port and in files."""

import random
from pathlib import Path

from bad_input_steps import in_parallel, mutated, send_raw, with_valid_requests
from behave import then, when

from standins.cluster import ADMIN_TOKEN
from wagtailcleat.checked import convert, read_json
from wagtailcleat.configuration.check import inventory_problems, rules_problems
from wagtailcleat.configuration.models import Inventory, Rules
from wagtailcleat.entry.jobs import Submission
from wagtailcleat.errors import SettingsError
from wagtailcleat.settings import AgentSettings, EntrySettings, load

EXAMPLES = Path(__file__).resolve().parent.parent.parent / "examples"
TYPE_BY_FILE_NAME = {
    "inventory.json": Inventory,
    "rules.json": Rules,
    "job.json": Submission,
    "agent.json": AgentSettings,
    "entry.json": EntrySettings,
}
FIND_PROBLEMS_BY_TYPE = {Inventory: inventory_problems, Rules: rules_problems}
# The base revision does not exist, so even a valid change is not applied.
CHANGE_BODY = b'{"base_revision": 999, "change_id": "x", "inventory": {}, "rules": {}}'
HEADERS = b" HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer " + ADMIN_TOKEN.encode()
CONTENT_LENGTH = b"\r\nContent-Length: %d\r\n\r\n" % len(CHANGE_BODY)
REQUESTS = [
    b"PUT /admin/configuration" + HEADERS + CONTENT_LENGTH + CHANGE_BODY,
    b"PUT /admin/configuration?dry_run=true" + HEADERS + CONTENT_LENGTH + CHANGE_BODY,
    b"GET /admin/nodes" + HEADERS + b"\r\n\r\n",
    b"GET /admin/state/entry-1" + HEADERS + b"\r\n\r\n",
    b"POST /admin/zones/no-such-zone/out" + HEADERS + b"\r\nContent-Length: 0\r\n\r\n",
    b"GET /metrics HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer x\r\n\r\n",
]


@when("{count:d} fuzzed requests are sent to the operators' port")
def step_fuzz_port(context, count):
    rng = random.Random("operators' port")
    port = context.cluster.entry.ready["admin_port"]
    messages = [mutated(rng, rng.choice(REQUESTS)) for _ in range(count)]

    async def send(number):
        return await send_raw(port, messages[number])

    context.answers = with_valid_requests(context, in_parallel(count, send))


@then("the configuration in force is still revision {revision:d}")
def step_revision(context, revision):
    configuration = context.cluster.admin("GET", "/admin/configuration").json()
    assert configuration.get("revision") == revision, configuration


@when("{count:d} fuzzed documents are parsed as their original types")
def step_fuzz_documents(context, count):
    rng = random.Random("documents")
    texts = {name: (EXAMPLES / name).read_bytes() for name in TYPE_BY_FILE_NAME}
    context.accepted = context.refused = 0
    context.problems_without_path = []
    for _ in range(count):
        name = rng.choice(sorted(texts))
        text = mutated(rng, texts[name])
        try:
            _parse(context, TYPE_BY_FILE_NAME[name], text)
            context.accepted += 1
        except SettingsError as error:
            context.refused += 1
            context.problems_without_path += [p for p in error.problems if "$" not in p]


def _parse(context, document_type, text):
    if document_type in (AgentSettings, EntrySettings):
        return load(_InMemoryFile(text), document_type)
    value = convert(read_json(text), document_type)
    problems = FIND_PROBLEMS_BY_TYPE.get(document_type, lambda _: [])(value)
    if problems:
        raise SettingsError(problems)
    return value


class _InMemoryFile:
    """An in-memory replacement for the path of a settings file."""

    def __init__(self, text):
        self._text = text

    def read_bytes(self):
        return self._text


@then("each was accepted as a whole or refused with problems that name a path")
def step_refused(context):
    assert not context.problems_without_path, context.problems_without_path[:5]
    assert context.accepted > 100, context.accepted
    assert context.refused > 1000, context.refused
