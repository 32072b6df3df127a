"""`check`, `apply` and `config show`."""

import json
import secrets
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from wagtailcleat.operator.client import Client, Reply
from wagtailcleat.operator.exits import Exit
from wagtailcleat.operator.files import (
    Checked,
    read_either,
    read_inventory,
    read_rules,
)
from wagtailcleat.operator.options import Options, UsageError, failed
from wagtailcleat.operator.show import INDENT, say, show, show_changes, tell

CONFIGURATION = "/admin/configuration"
CHANGE_ID_BYTES = 9


@dataclass(frozen=True)
class Application:
    """What `apply` was asked to do."""

    inventory: Path | None
    rules: Path | None
    dry_run: bool
    base_revision: int | None
    change_id: str


def check(files: list[Path], *, as_json: bool) -> Exit:
    """Check inventories and rules without any entry; print every problem."""
    problems = [problem for path in files for problem in read_either(path).problems]
    if as_json:
        say(json.dumps({"problems": problems}, indent=INDENT))
    else:
        for problem in problems:
            say(problem)
        say(f"{len(problems)} problems in {len(files)} files")
    return Exit.REFUSED if problems else Exit.OK


async def apply(client: Client, options: Options, asked: Application) -> Exit:
    """Check the files, show the difference, and apply them unless it is a dry run."""
    body = _body(asked)
    problems = body.pop("problems")
    if problems:
        return _faulty(problems, options)
    base = await _base(client, asked)
    if not isinstance(base, int):
        return failed(base, options)
    body["base_revision"] = base
    changes: list[dict[str, Any]] = []
    # A repeated change was perhaps accepted already; it would differ from nothing.
    if not asked.change_id:
        tried = await client.call("PUT", f"{CONFIGURATION}?dry_run=true", body)
        if not isinstance(tried, Reply) or not tried.ok:
            return failed(tried, options)
        changes = tried.body["changes"]
        if not options.json:
            show_changes(changes)
        if asked.dry_run:
            return _tried(base, changes, options)
    return await _apply(client, options, asked, body, changes)


async def show_configuration(
    client: Client, options: Options, *, in_force: bool, fields: str
) -> Exit:
    """Print the accepted configuration, or the one in force at the entry."""
    query = "?in_force=true" if in_force else ""
    outcome = await client.call("GET", CONFIGURATION + query)
    if not isinstance(outcome, Reply) or not outcome.ok:
        return failed(outcome, options)
    show(outcome.body, as_json=True, fields=fields)
    return Exit.OK


def _body(asked: Application) -> dict[str, Any]:
    if asked.inventory is None and asked.rules is None:
        raise UsageError(["nothing to apply: give --inventory FILE, --rules FILE"])
    if asked.change_id and asked.base_revision is None:
        raise UsageError(["--change-id repeats a change: give its --base-revision too"])
    read: dict[str, Checked] = {}
    if asked.inventory is not None:
        read["inventory"] = read_inventory(asked.inventory)
    if asked.rules is not None:
        read["rules"] = read_rules(asked.rules)
    body: dict[str, Any] = {name: checked.raw for name, checked in read.items()}
    body["problems"] = [p for checked in read.values() for p in checked.problems]
    return body


async def _base(client: Client, asked: Application) -> int | Any:
    if asked.base_revision is not None:
        return asked.base_revision
    outcome = await client.call("GET", CONFIGURATION)
    if isinstance(outcome, Reply) and outcome.ok:
        return int(outcome.body["revision"])
    return outcome


async def _apply(
    client: Client,
    options: Options,
    asked: Application,
    body: dict[str, Any],
    changes: list[dict[str, Any]],
) -> Exit:
    change_id = asked.change_id or secrets.token_urlsafe(CHANGE_ID_BYTES)
    base = body["base_revision"]
    outcome = await client.call("PUT", CONFIGURATION, body | {"change_id": change_id})
    if not isinstance(outcome, Reply) or not outcome.ok:
        again = f"with --base-revision {base} --change-id {change_id}"
        return failed(outcome, options, repeat=again)
    revision = outcome.body["revision"]
    if options.json:
        answer = {"revision": revision, "change_id": change_id, "changes": changes}
        show(answer, as_json=True)
    elif revision == base:
        say(f"revision {revision} stands; nothing differs")
    else:
        say(f"accepted as revision {revision}")
    return Exit.OK


def _tried(base: int, changes: list[dict[str, Any]], options: Options) -> Exit:
    if options.json:
        show({"revision": base, "changes": changes}, as_json=True)
    else:
        say(f"{len(changes)} parts would change on revision {base}; nothing applied")
    return Exit.OK


def _faulty(problems: list[str], options: Options) -> Exit:
    if options.json:
        show({"code": "invalid", "problems": problems}, as_json=True)
        return Exit.REFUSED
    for problem in problems:
        tell(problem)
    tell(f"{len(problems)} problems; nothing applied")
    return Exit.REFUSED
