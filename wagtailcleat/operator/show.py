"""Output of the command line: JSON or readable lines."""

import json
import sys
from collections.abc import Sequence
from typing import Any

from wagtailcleat.operator.client import Reply, Unreached
from wagtailcleat.operator.exits import Exit, advice_for, exit_for

INDENT = 2


def print_result(text: str) -> None:
    """Print a line of the result to standard output."""
    print(text, flush=True)


def print_status(text: str) -> None:
    """Print a line of progress or of an error to standard error."""
    print(text, file=sys.stderr, flush=True)


def show(body: Any, *, as_json: bool, fields: str = "") -> None:
    """Print an object as JSON or as `name: value` lines; only `fields`, if given."""
    selected = [name for name in fields.split(",") if name]
    if selected and isinstance(body, dict):
        body = {name: body.get(name) for name in selected}
    if as_json or not isinstance(body, dict):
        print_result(json.dumps(body, indent=INDENT))
        return
    for name, value in body.items():
        print_result(f"{name}: {_text(value)}")


def show_table(rows: list[dict[str, Any]], columns: Sequence[str]) -> None:
    """Print rows under a heading, each column as wide as its widest value."""
    lines = [[column.upper() for column in columns]]
    lines += [[_text(row.get(column)) for column in columns] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    for line in lines:
        cells = (c.ljust(width) for c, width in zip(line, widths, strict=True))
        print_result("  ".join(cells).rstrip())


def show_changes(changes: list[dict[str, Any]]) -> None:
    """Print a difference, one line for each part or field that differs."""
    for change in changes:
        for line in _change_lines(change):
            print_result(line)


def report_refusal(reply: Reply, *, as_json: bool) -> Exit:
    """Print a refusal and what to do about it; return the exit code."""
    body: dict[str, Any] = {"message": str(reply.body)}
    if isinstance(reply.body, dict):
        body = reply.body
    if as_json:
        print_result(json.dumps(body, indent=INDENT))
        return exit_for(reply.code)
    print_status(f"refused ({reply.code or reply.status}): {body.get('message', '')}")
    for problem in body.get("problems", []):
        print_status(f"  {problem}")
    show_changes(body.get("changes", []))
    if body.get("changes_known") is False:
        print_status(
            "  the difference is not kept: the base is too old, or a change too large"
        )
    advice = advice_for(reply.code)
    if "changes" in body:
        revision = body["revision"]
        advice = f"look at the difference, then apply with --base-revision {revision}"
    if advice:
        print_status(f"  {advice}")
    return exit_for(reply.code)


def report_unreached(outcome: Unreached, *, as_json: bool, repeat: str = "") -> Exit:
    """Print that no entry answered; return the exit code.

    Parameters: `repeat` says how to repeat the same change.
    """
    code = "outcome_unknown" if outcome.sent else "unavailable"
    if as_json:
        print_result(
            json.dumps({"code": code, "why_by_url": outcome.why_by_url}, indent=INDENT)
        )
        return exit_for(code)
    for url, why in outcome.why_by_url.items():
        print_status(f"{url}: {why}")
    if outcome.sent:
        print_status("no answer came; it may have been done")
        print_status(f"  repeat {repeat or 'the command'}; it is done once")
    else:
        print_status("no entry was reached; nothing was done")
        print_status(
            "  check the addresses given by --admin, --entry or the settings file"
        )
    return exit_for(code)


def _change_lines(change: dict[str, Any]) -> list[str]:
    part, before, after = change["part"], change["before"], change["after"]
    if not change.get("before_known", True):
        return [f"~ {part}: now {_text(after)} (what it was is not kept)"]
    if before is None:
        return [f"+ {part}: {_text(after)}"]
    if after is None:
        return [f"- {part}"]
    if isinstance(before, dict) and isinstance(after, dict):
        names = sorted(n for n in before | after if before.get(n) != after.get(n))
        return [
            f"~ {part}.{name}: {_text(before.get(name))} -> {_text(after.get(name))}"
            for name in names
        ]
    return [f"~ {part}: {_text(before)} -> {_text(after)}"]


def _text(value: Any) -> str:
    if isinstance(value, str):
        return value
    return json.dumps(value)
