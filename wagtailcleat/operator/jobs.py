"""The commands `job submit`, `job show`, `job list` and `job cancel`."""

import asyncio
from pathlib import Path
from typing import Any

from wagtailcleat.checked import read_json
from wagtailcleat.clock import Clock
from wagtailcleat.errors import SettingsError
from wagtailcleat.operator.client import Client, Reply, Unreached
from wagtailcleat.operator.exits import Exit
from wagtailcleat.operator.options import Options, UsageError, report_failure
from wagtailcleat.operator.settings import read_file
from wagtailcleat.operator.show import print_status, show, show_table

POLL_SECONDS = 0.3
COLUMNS = ("id", "state", "tasks", "succeeded", "failed", "evictions", "deadline")
ENDED_STATES = ("finished", "failed", "cancelled")
FINISHED = "finished"


def read_job(path: Path) -> dict[str, Any]:
    """Return a job file's object; the entry checks its fields.

    Raises:
        UsageError: the file can't be read or is no JSON object.

    """
    try:
        raw = read_json(read_file(path))
    except SettingsError as error:
        raise UsageError([f"{path}: {problem}" for problem in error.problems]) from None
    if not isinstance(raw, dict):
        raise UsageError([f"{path}: $: a job is an object"])
    return raw


async def submit(
    client: Client, options: Options, team: str, job: dict[str, Any], fields: str
) -> Exit:
    """Submit a job and print its account; the entry answers once it is stored."""
    outcome = await client.call("POST", f"/teams/{team}/jobs", job)
    return _show_outcome(outcome, options, fields)


async def show_job(
    client: Client, options: Options, team: str, job: str, fields: str
) -> Exit:
    """Print a job's account."""
    outcome = await client.call("GET", f"/teams/{team}/jobs/{job}")
    return _show_outcome(outcome, options, fields)


async def wait_for_job(
    client: Client,
    options: Options,
    team: str,
    job: str,
    *,
    fields: str,
    timeout: float,
    clock: Clock,
) -> Exit:
    """Print progress until the job has ended, then its account.

    Parameters: `timeout` in seconds.
    """
    deadline = clock() + timeout
    last_progress = ""
    while True:
        outcome = await client.call("GET", f"/teams/{team}/jobs/{job}")
        if isinstance(outcome, Reply) and outcome.status < 500:
            if not outcome.ok or outcome.body["state"] in ENDED_STATES:
                return _show_ended_job(outcome, options, fields)
            account = outcome.body
            counts = f"{account['state']}, {account['succeeded']} of {account['tasks']}"
            progress = f"{counts} tasks succeeded"
        else:
            progress = "no answer; retrying"
        if progress != last_progress:
            print_status(f"{job}: {progress}")
            last_progress = progress
        if clock() >= deadline:
            print_status(f"{job}: has not ended within {timeout:g} s; it continues")
            return Exit.TIMED_OUT
        await asyncio.sleep(POLL_SECONDS)


async def list_jobs(client: Client, options: Options, team: str) -> Exit:
    """Print all jobs of a team, the earliest deadline first."""
    outcome = await client.call("GET", f"/teams/{team}/jobs")
    if not isinstance(outcome, Reply) or not outcome.ok:
        return report_failure(outcome, options)
    if options.json:
        show(outcome.body, as_json=True)
    else:
        show_table(outcome.body["jobs"], COLUMNS)
    return Exit.OK


async def cancel(
    client: Client, options: Options, team: str, job: str, fields: str
) -> Exit:
    """Cancel a job, which stops its running tasks, and print its account."""
    outcome = await client.call("DELETE", f"/teams/{team}/jobs/{job}")
    return _show_outcome(outcome, options, fields)


def _show_ended_job(outcome: Reply, options: Options, fields: str) -> Exit:
    code = _show_outcome(outcome, options, fields)
    if code is Exit.OK and outcome.body["state"] != FINISHED:
        return Exit.REFUSED
    return code


def _show_outcome(outcome: Reply | Unreached, options: Options, fields: str) -> Exit:
    if not isinstance(outcome, Reply) or not outcome.ok:
        return report_failure(outcome, options)
    show(outcome.body, as_json=options.json, fields=fields)
    return Exit.OK
