"""The commands `check`, `apply` and `config show`."""

import json
import secrets
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from wagtailcleat.operator.client import Client, Reply
from wagtailcleat.operator.exits import Exit
from wagtailcleat.operator.files import (
    CheckedFile,
    read_inventory,
    read_inventory_or_rules,
    read_rules,
)
from wagtailcleat.operator.options import Options, UsageError, report_failure
from wagtailcleat.operator.show import (
    INDENT,
    print_result,
    print_status,
    show,
    show_changes,
)

CONFIGURATION = "/admin/configuration"
CHANGE_ID_BYTES = 9


@dataclass(frozen=True)
class ApplyRequest:
    """The options given to `apply`."""

    inventory: Path | None
    rules: Path | None
    dry_run: bool
    base_revision: int | None
    change_id: str


def check(files: list[Path], *, as_json: bool) -> Exit:
    """Check inventory and rules files offline; print every problem."""
    problems = [
        problem for path in files for problem in read_inventory_or_rules(path).problems
    ]
    if as_json:
        print_result(json.dumps({"problems": problems}, indent=INDENT))
    else:
        for problem in problems:
            print_result(problem)
        print_result(f"{len(problems)} problems in {len(files)} files")
    return Exit.REFUSED if problems else Exit.OK


async def apply(client: Client, options: Options, request: ApplyRequest) -> Exit:
    """Check the files, show the difference, and apply them unless it is a dry run."""
    body = _request_body(request)
    problems = body.pop("problems")
    if problems:
        return _show_problems(problems, options)
    base = await _base_revision(client, request)
    if not isinstance(base, int):
        return report_failure(base, options)
    body["base_revision"] = base
    changes: list[dict[str, Any]] = []
    # A repeated change may be accepted already; a dry run would show no difference.
    if not request.change_id:
        preview = await client.call("PUT", f"{CONFIGURATION}?dry_run=true", body)
        if not isinstance(preview, Reply) or not preview.ok:
            return report_failure(preview, options)
        changes = preview.body["changes"]
        if not options.json:
            show_changes(changes)
        if request.dry_run:
            return _show_dry_run(base, changes, options)
    return await _send_change(client, options, request, body, changes)


async def show_configuration(
    client: Client, options: Options, *, in_force: bool, fields: str
) -> Exit:
    """Print the accepted configuration, or the one in force at the entry."""
    query = "?in_force=true" if in_force else ""
    outcome = await client.call("GET", CONFIGURATION + query)
    if not isinstance(outcome, Reply) or not outcome.ok:
        return report_failure(outcome, options)
    show(outcome.body, as_json=True, fields=fields)
    return Exit.OK


def _request_body(request: ApplyRequest) -> dict[str, Any]:
    if request.inventory is None and request.rules is None:
        raise UsageError(["nothing to apply: give --inventory FILE, --rules FILE"])
    if request.change_id and request.base_revision is None:
        raise UsageError(["--change-id repeats a change: give its --base-revision too"])
    checked_by_name: dict[str, CheckedFile] = {}
    if request.inventory is not None:
        checked_by_name["inventory"] = read_inventory(request.inventory)
    if request.rules is not None:
        checked_by_name["rules"] = read_rules(request.rules)
    body: dict[str, Any] = {
        name: checked.raw for name, checked in checked_by_name.items()
    }
    body["problems"] = [
        p for checked in checked_by_name.values() for p in checked.problems
    ]
    return body


async def _base_revision(client: Client, request: ApplyRequest) -> int | Any:
    if request.base_revision is not None:
        return request.base_revision
    outcome = await client.call("GET", CONFIGURATION)
    if isinstance(outcome, Reply) and outcome.ok:
        return int(outcome.body["revision"])
    return outcome


async def _send_change(
    client: Client,
    options: Options,
    request: ApplyRequest,
    body: dict[str, Any],
    changes: list[dict[str, Any]],
) -> Exit:
    change_id = request.change_id or secrets.token_urlsafe(CHANGE_ID_BYTES)
    base = body["base_revision"]
    outcome = await client.call("PUT", CONFIGURATION, body | {"change_id": change_id})
    if not isinstance(outcome, Reply) or not outcome.ok:
        repeat_options = f"with --base-revision {base} --change-id {change_id}"
        return report_failure(outcome, options, repeat=repeat_options)
    revision = outcome.body["revision"]
    if options.json:
        answer = {"revision": revision, "change_id": change_id, "changes": changes}
        show(answer, as_json=True)
    elif revision == base:
        print_result(f"revision {revision} stands; nothing differs")
    else:
        print_result(f"accepted as revision {revision}")
    return Exit.OK


def _show_dry_run(base: int, changes: list[dict[str, Any]], options: Options) -> Exit:
    if options.json:
        show({"revision": base, "changes": changes}, as_json=True)
    else:
        print_result(
            f"{len(changes)} parts would change on revision {base}; nothing applied"
        )
    return Exit.OK


def _show_problems(problems: list[str], options: Options) -> Exit:
    if options.json:
        show({"code": "invalid", "problems": problems}, as_json=True)
        return Exit.REFUSED
    for problem in problems:
        print_status(problem)
    print_status(f"{len(problems)} problems; nothing applied")
    return Exit.REFUSED
