"""Steps on bad input at the operators' port and in files."""

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
KIND_BY_FILE = {
    "inventory.json": Inventory,
    "rules.json": Rules,
    "job.json": Submission,
    "agent.json": AgentSettings,
    "entry.json": EntrySettings,
}
PROBLEMS_BY_KIND = {Inventory: inventory_problems, Rules: rules_problems}
# A base revision that does not exist: even a whole change is not applied.
CHANGE = b'{"base_revision": 999, "change_id": "x", "inventory": {}, "rules": {}}'
HEAD = b" HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer " + ADMIN_TOKEN.encode()
LENGTH = b"\r\nContent-Length: %d\r\n\r\n" % len(CHANGE)
REQUESTS = [
    b"PUT /admin/configuration" + HEAD + LENGTH + CHANGE,
    b"PUT /admin/configuration?dry_run=true" + HEAD + LENGTH + CHANGE,
    b"GET /admin/nodes" + HEAD + b"\r\n\r\n",
    b"GET /admin/state/entry-1" + HEAD + b"\r\n\r\n",
    b"POST /admin/zones/no-such-zone/out" + HEAD + b"\r\nContent-Length: 0\r\n\r\n",
    b"GET /metrics HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer x\r\n\r\n",
]


@when("{count:d} fuzzed requests are sent to the operators' port")
def step_fuzz_port(context, count):
    rng = random.Random("operators' port")
    port = context.cluster.entry.ready["admin_port"]
    messages = [mutated(rng, rng.choice(REQUESTS)) for _ in range(count)]

    async def act(number):
        return await send_raw(port, messages[number])

    context.answers = with_valid_requests(context, in_parallel(count, act))


@then("the configuration in force is still revision {revision:d}")
def step_revision(context, revision):
    seen = context.cluster.admin("GET", "/admin/configuration").json()
    assert seen["revision"] == revision, seen["revision"]


@when("{count:d} fuzzed documents are read as what they were before")
def step_fuzz_documents(context, count):
    rng = random.Random("documents")
    texts = {name: (EXAMPLES / name).read_bytes() for name in KIND_BY_FILE}
    context.taken = context.refused = 0
    context.nameless = []
    for _ in range(count):
        name = rng.choice(sorted(texts))
        text = mutated(rng, texts[name])
        try:
            _read(context, KIND_BY_FILE[name], text)
            context.taken += 1
        except SettingsError as error:
            context.refused += 1
            context.nameless += [p for p in error.problems if "$" not in p]


def _read(context, kind, text):
    if kind in (AgentSettings, EntrySettings):
        return load(_Text(text), kind)
    value = convert(read_json(text), kind)
    found = PROBLEMS_BY_KIND.get(kind, lambda _: [])(value)
    if found:
        raise SettingsError(found)
    return value


class _Text:
    """Text that reads as a settings file does."""

    def __init__(self, text):
        self._text = text

    def read_bytes(self):
        return self._text


@then("each was taken whole or refused with problems that name a path")
def step_refused(context):
    assert not context.nameless, context.nameless[:5]
    assert context.taken > 100, context.taken
    assert context.refused > 1000, context.refused
