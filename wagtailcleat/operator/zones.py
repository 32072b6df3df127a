"""The commands `zone out`, `zone in` and `zone show`."""

import asyncio
import secrets
from typing import Any

from wagtailcleat.clock import Clock
from wagtailcleat.operator.client import Client, Reply, Unreached
from wagtailcleat.operator.exits import Exit
from wagtailcleat.operator.options import Options, report_failure
from wagtailcleat.operator.show import print_result, print_status, show

CHANGE_ID_BYTES = 9
POLL_SECONDS = 0.5


async def change_zone(
    client: Client, options: Options, zone: str, direction: str, change_id: str
) -> int | Exit:
    """Take a zone `out` of service or back `in`; return the revision or exit code."""
    change_id = change_id or secrets.token_urlsafe(CHANGE_ID_BYTES)
    path = f"/admin/zones/{zone}/{direction}?change_id={change_id}"
    outcome = await client.call("POST", path)
    if not isinstance(outcome, Reply) or not outcome.ok:
        return report_failure(outcome, options, repeat=f"with --change-id {change_id}")
    return int(outcome.body["revision"])


async def change_zone_and_wait(
    client: Client,
    options: Options,
    zone: str,
    direction: str,
    *,
    change_id: str,
    wait: bool,
    timeout: float,
    clock: Clock,
) -> Exit:
    """Take a zone out of service or back in, and print progress if `wait` is set.

    Waiting ends once all agents of the zone have the revision and, for `out`, no tasks
    and requests are left.

    Parameters: `timeout` in seconds.
    """
    revision = await change_zone(client, options, zone, direction, change_id)
    if isinstance(revision, Exit):
        return revision
    if not wait:
        _show_changed(options, {"zone": zone, "revision": revision}, direction)
        return Exit.OK
    deadline = clock() + timeout
    last_progress = ""
    while True:
        outcome = await client.call("GET", f"/admin/zones/{zone}")
        if isinstance(outcome, Reply) and not outcome.ok:
            return report_failure(outcome, options)
        progress = _progress(outcome, direction)
        if isinstance(outcome, Reply) and _is_complete(
            outcome.body, direction, revision
        ):
            _show_changed(options, {"zone": zone, "revision": revision}, direction)
            return Exit.OK
        if progress != last_progress:
            print_status(f"{zone}: {progress}")
            last_progress = progress
        if clock() >= deadline:
            print_status(
                f"{zone}: not complete within {timeout:g} s; the change stays in force"
            )
            print_status(f"  look again with `wagtailcleat zone show {zone}`")
            return Exit.TIMED_OUT
        await asyncio.sleep(POLL_SECONDS)


async def show_zone(client: Client, options: Options, zone: str, fields: str) -> Exit:
    """Print what runs in a zone and whether it is out."""
    outcome = await client.call("GET", f"/admin/zones/{zone}")
    if not isinstance(outcome, Reply) or not outcome.ok:
        return report_failure(outcome, options)
    show(outcome.body, as_json=options.json, fields=fields)
    return Exit.OK


def _is_complete(zone: dict[str, Any], direction: str, revision: int) -> bool:
    # An agent that is not reached may still run tasks, so the zone is not empty until
    # the agent answers or membership declares it lost.
    is_current = zone["revision"] >= revision
    is_current = (
        is_current and not zone["agents_behind"] and not zone["agents_not_reached"]
    )
    # Watchers are not waited for: an endpoint may serve them for hours, and they resume
    # at another one without a gap when it stops.
    is_empty = not zone["tasks_running"] and not zone["requests_in_flight"]
    return bool(is_current and (is_empty or direction == "in"))


def _progress(outcome: Reply | Unreached, direction: str) -> str:
    if isinstance(outcome, Unreached):
        return "no entry answers; retrying"
    zone = outcome.body
    behind = zone["agents_behind"] + zone["agents_not_reached"]
    agents_text = f"{zone['agents'] - behind} of {zone['agents']} agents have heard"
    if direction == "in":
        return agents_text
    return (
        f"{zone['tasks_running']} tasks running, {zone['requests_in_flight']} requests"
        f" and {zone['watchers']} watchers in flight, {agents_text}"
    )


def _show_changed(options: Options, change: dict[str, Any], direction: str) -> None:
    if options.json:
        show(change | {"out": direction == "out"}, as_json=True)
        return
    word = "out of service" if direction == "out" else "in service"
    print_result(f"{change['zone']} is {word} from revision {change['revision']} on")
