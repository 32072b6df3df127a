"""`zone out`, `zone in`, `zone show`: progress is shown while a zone empties."""

import asyncio
import secrets
from typing import Any

from wagtailcleat.clock import Clock
from wagtailcleat.operator.client import Client, NotReached, Reply
from wagtailcleat.operator.exits import Exit
from wagtailcleat.operator.options import Options, failed
from wagtailcleat.operator.show import say, show, tell

CHANGE_ID_BYTES = 9
POLL_SECONDS = 0.5


async def move(
    client: Client, options: Options, zone: str, direction: str, change_id: str
) -> int | Exit:
    """Take a zone `out` or `in`; return the revision, or the exit code."""
    change_id = change_id or secrets.token_urlsafe(CHANGE_ID_BYTES)
    path = f"/admin/zones/{zone}/{direction}?change_id={change_id}"
    outcome = await client.call("POST", path)
    if not isinstance(outcome, Reply) or not outcome.ok:
        return failed(outcome, options, repeat=f"with --change-id {change_id}")
    return int(outcome.body["revision"])


async def move_and_wait(
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
    """Move a zone, and wait until every agent there has followed, if asked to.

    Parameters: `timeout` in seconds.
    """
    revision = await move(client, options, zone, direction, change_id)
    if isinstance(revision, Exit):
        return revision
    if not wait:
        _say_moved(options, {"zone": zone, "revision": revision}, direction)
        return Exit.OK
    give_up_at = clock() + timeout
    last = ""
    while True:
        outcome = await client.call("GET", f"/admin/zones/{zone}")
        if isinstance(outcome, Reply) and not outcome.ok:
            return failed(outcome, options)
        progress = _progress(outcome, direction)
        if isinstance(outcome, Reply) and _settled(outcome.body, direction, revision):
            _say_moved(options, {"zone": zone, "revision": revision}, direction)
            return Exit.OK
        if progress != last:
            tell(f"{zone}: {progress}")
            last = progress
        if clock() >= give_up_at:
            tell(f"{zone}: not settled within {timeout:g} s; the change stands")
            tell(f"  look again with `wagtailcleat zone show {zone}`")
            return Exit.TIMED_OUT
        await asyncio.sleep(POLL_SECONDS)


async def show_zone(client: Client, options: Options, zone: str, fields: str) -> Exit:
    """Print what runs in a zone and whether it is out."""
    outcome = await client.call("GET", f"/admin/zones/{zone}")
    if not isinstance(outcome, Reply) or not outcome.ok:
        return failed(outcome, options)
    show(outcome.body, as_json=options.json, fields=fields)
    return Exit.OK


def _settled(zone: dict[str, Any], direction: str, revision: int) -> bool:
    # An agent that is not reached may still run tasks, so the zone is not empty
    # until it answers or its neighbours hold it for lost.
    heard = zone["revision"] >= revision
    heard = heard and not zone["agents_behind"] and not zone["agents_not_reached"]
    # Watchers are not waited for: an endpoint may hold them for hours, and they resume
    # elsewhere without a gap when it goes.
    empty = not zone["tasks_running"] and not zone["requests_in_flight"]
    return bool(heard and (empty or direction == "in"))


def _progress(outcome: Reply | NotReached, direction: str) -> str:
    if isinstance(outcome, NotReached):
        return "no entry answers; trying on"
    zone = outcome.body
    waiting = zone["agents_behind"] + zone["agents_not_reached"]
    told = f"{zone['agents'] - waiting} of {zone['agents']} agents have heard"
    if direction == "in":
        return told
    return (
        f"{zone['tasks_running']} tasks running, {zone['requests_in_flight']} requests"
        f" and {zone['watchers']} watchers in flight, {told}"
    )


def _say_moved(options: Options, moved: dict[str, Any], direction: str) -> None:
    if options.json:
        show(moved | {"out": direction == "out"}, as_json=True)
        return
    word = "out of service" if direction == "out" else "in service"
    say(f"{moved['zone']} is {word} from revision {moved['revision']} on")
