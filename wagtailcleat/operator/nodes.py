"""The commands `nodes`, `teams` and `state`, which print the state of processes."""

import asyncio
from urllib.parse import quote, urlencode

from wagtailcleat.clock import Clock
from wagtailcleat.operator.client import Client, Reply
from wagtailcleat.operator.exits import Exit
from wagtailcleat.operator.options import Options, report_failure
from wagtailcleat.operator.show import print_status, show, show_table

POLL_SECONDS = 0.3
NODE_COLUMNS = ("node", "role", "zone", "vm", "state", "revision")
TEAM_COLUMNS = (
    "name",
    "cores",
    "memory_mb",
    "accelerators",
    "jobs",
    "tasks_assigned",
    "tasks_pending",
)


async def wait_for_revision(
    client: Client, options: Options, *, timeout: float, clock: Clock
) -> Exit:
    """Print progress until the accepted revision is in force at every process.

    Parameters: `timeout` in seconds.
    """
    accepted = await client.call("GET", "/admin/configuration")
    if not isinstance(accepted, Reply) or not accepted.ok:
        return report_failure(accepted, options)
    revision = accepted.body["revision"]
    deadline = clock() + timeout
    last_reached = -1
    while True:
        outcome = await client.call("GET", "/admin/nodes")
        if not isinstance(outcome, Reply) or not outcome.ok:
            return report_failure(outcome, options)
        revisions = [node["revision"] or 0 for node in outcome.body["nodes"]]
        reached = sum(1 for in_force in revisions if in_force >= revision)
        if reached == len(revisions):
            return Exit.OK
        if reached != last_reached:
            print_status(
                f"revision {revision}: at {reached} of {len(revisions)} processes"
            )
            last_reached = reached
        if clock() >= deadline:
            print_status(
                f"revision {revision}: not in force everywhere within {timeout:g} s"
            )
            return Exit.TIMED_OUT
        await asyncio.sleep(POLL_SECONDS)


async def show_nodes(client: Client, options: Options, columns: str) -> Exit:
    """Print every known process, with the revision in force at each."""
    outcome = await client.call("GET", "/admin/nodes")
    if not isinstance(outcome, Reply) or not outcome.ok:
        return report_failure(outcome, options)
    if options.json:
        show(outcome.body, as_json=True)
    else:
        wanted = [name for name in columns.split(",") if name]
        show_table(outcome.body["nodes"], wanted or NODE_COLUMNS)
    return Exit.OK


async def show_teams(client: Client, options: Options) -> Exit:
    """Print each team's quota and its tasks."""
    outcome = await client.call("GET", "/admin/teams")
    if not isinstance(outcome, Reply) or not outcome.ok:
        return report_failure(outcome, options)
    if options.json:
        show(outcome.body, as_json=True)
    else:
        show_table(outcome.body["teams"], TEAM_COLUMNS)
    return Exit.OK


async def show_state(
    client: Client, options: Options, process: str, sections: list[str]
) -> Exit:
    """Print the state dump of a process."""
    query = urlencode([("section", name) for name in sections])
    path = f"/admin/state/{quote(process, safe='')}"
    outcome = await client.call("GET", f"{path}?{query}" if query else path)
    if not isinstance(outcome, Reply) or not outcome.ok:
        return report_failure(outcome, options)
    show(outcome.body, as_json=True)
    return Exit.OK
