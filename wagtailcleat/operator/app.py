"""`wagtailcleat`: the operators' command line.

Exit codes: 0 success, 1 refused or problems found, 2 wrong usage, 3 conflict with
another change, 4 no entry or store reached and nothing done, 5 outcome unknown, 6 the
awaited state was not reached within the timeout.
"""

from pathlib import Path
from typing import Annotated, Any

from cyclopts import App, Parameter

from wagtailcleat.clock import boot_time
from wagtailcleat.command_line import run_program
from wagtailcleat.operator.client import Client
from wagtailcleat.operator.configuration import ApplyRequest, show_configuration
from wagtailcleat.operator.configuration import apply as apply_files
from wagtailcleat.operator.configuration import check as check_files
from wagtailcleat.operator.exits import Exit
from wagtailcleat.operator.explain import explain as explain_job
from wagtailcleat.operator.jobs import (
    cancel,
    list_jobs,
    read_job,
    show_job,
    submit,
    wait_for_job,
)
from wagtailcleat.operator.nodes import (
    show_nodes,
    show_state,
    show_teams,
    wait_for_revision,
)
from wagtailcleat.operator.options import Options, run
from wagtailcleat.operator.zones import change_zone_and_wait, show_zone

ZONE_TIMEOUT_SECONDS = 300.0
REVISION_TIMEOUT_SECONDS = 30.0
JOB_TIMEOUT_SECONDS = 86_400.0
DEFAULTS = Options()

app = App(name="wagtailcleat", help=__doc__, version_flags=[])
zone_app = App(name="zone", help="Take availability zones out and bring them back.")
job_app = App(name="job", help="Batch jobs of a team.")
config_app = App(name="config", help="The accepted configuration.")
app.command(zone_app)
app.command(job_app)
app.command(config_app)

Fields = Annotated[str, Parameter(help="Only these fields, separated by commas.")]
Wait = Annotated[bool, Parameter(help="Show progress until it is done.", negative=())]
Timeout = Annotated[float, Parameter(help="Seconds to wait at the most.")]
ChangeId = Annotated[
    str, Parameter(help="Repeats the change of this id, whose answer was lost.")
]


@app.command
def explain(job: str, *files: Path) -> int:
    """Print the timeline of a job from the logs of many processes."""
    return explain_job(job, list(files))


@app.command
def check(*files: Path, json: Annotated[bool, Parameter(negative=())] = False) -> int:
    """Check inventory and rules files, offline; print every problem with its path."""
    return check_files(list(files), as_json=json)


@app.command
def apply(
    *,
    inventory: Path | None = None,
    rules: Path | None = None,
    dry_run: Annotated[bool, Parameter(negative=())] = False,
    base_revision: int | None = None,
    change_id: ChangeId = "",
    options: Options = DEFAULTS,
) -> int:
    """Apply an inventory, rules, or both, and print the difference.

    Parameters
    ----------
    inventory
        Inventory file, JSON.
    rules
        Rules file, JSON.
    dry_run
        Only print the difference.
    base_revision
        Revision on which the files are based; by default the current one.

    """
    request = ApplyRequest(inventory, rules, dry_run, base_revision, change_id)
    return run(options, False, lambda client: apply_files(client, options, request))


@config_app.command(name="show")
def config_show(
    *,
    in_force: Annotated[bool, Parameter(negative=())] = False,
    fields: Fields = "",
    options: Options = DEFAULTS,
) -> int:
    """Print the accepted configuration as JSON.

    Parameters
    ----------
    in_force
        Print the one in force at the entry, which needs no store.

    """
    return run(
        options,
        False,
        lambda client: show_configuration(
            client, options, in_force=in_force, fields=fields
        ),
    )


@zone_app.command(name="out")
def zone_out(
    zone: str,
    *,
    wait: Wait = False,
    timeout: Timeout = ZONE_TIMEOUT_SECONDS,
    change_id: ChangeId = "",
    options: Options = DEFAULTS,
) -> int:
    """Take an availability zone out of service: nothing new starts there."""
    return _change_zone(zone, "out", wait, timeout, change_id, options)


@zone_app.command(name="in")
def zone_in(
    zone: str,
    *,
    wait: Wait = False,
    timeout: Timeout = ZONE_TIMEOUT_SECONDS,
    change_id: ChangeId = "",
    options: Options = DEFAULTS,
) -> int:
    """Bring an availability zone back into service."""
    return _change_zone(zone, "in", wait, timeout, change_id, options)


@zone_app.command(name="show")
def zone_show(zone: str, *, fields: Fields = "", options: Options = DEFAULTS) -> int:
    """Print whether a zone is out of service and what still runs there."""
    return run(options, False, lambda client: show_zone(client, options, zone, fields))


@job_app.command(name="submit")
def job_submit(
    team: str,
    job: str,
    *,
    file: Path | None = None,
    command: str | None = None,
    cores: float | None = None,
    memory_mb: int | None = None,
    accelerators: int | None = None,
    tasks: int | None = None,
    deadline: float | None = None,
    deadline_seconds: float | None = None,
    run_seconds: float | None = None,
    urgent: Annotated[bool | None, Parameter(negative=())] = None,
    job_class: str | None = None,
    wait: Wait = False,
    timeout: Timeout = JOB_TIMEOUT_SECONDS,
    fields: Fields = "",
    options: Options = DEFAULTS,
) -> int:
    """Submit a batch job; idempotent by the job's id.

    Parameters
    ----------
    file
        Job file, JSON; options override its fields.
    command
        Command of each task.
    cores
        Cores of each task.
    memory_mb
        Megabytes of each task.
    accelerators
        Accelerators of each task.
    tasks
        Number of tasks.
    deadline
        Time by which all tasks must have ended, in seconds since 1970.
    deadline_seconds
        The same, in seconds after the job is first accepted.
    run_seconds
        Expected run time of a task, in seconds.
    urgent
        Start before tasks that are not urgent.
    job_class
        Jobs of one class share learned estimates of their sizes.

    """
    given_fields: dict[str, Any] = {
        "id": job,
        "command": command,
        "cores": cores,
        "memory_mb": memory_mb,
        "accelerators": accelerators,
        "tasks": tasks,
        "deadline": deadline,
        "deadline_seconds": deadline_seconds,
        "run_seconds": run_seconds,
        "urgent": urgent,
        "job_class": job_class,
    }

    async def work(client: Client) -> Exit:
        body = read_job(file) if file is not None else {}
        body |= {
            name: value for name, value in given_fields.items() if value is not None
        }
        if not wait:
            return await submit(client, options, team, body, fields)
        accepted = await submit(client, options, team, body, "id,state")
        if accepted is not Exit.OK:
            return accepted
        return await _wait_for_job(client, options, team, job, fields, timeout)

    return run(options, True, work)


@job_app.command(name="show")
def job_show(
    team: str,
    job: str,
    *,
    wait: Wait = False,
    timeout: Timeout = JOB_TIMEOUT_SECONDS,
    fields: Fields = "",
    options: Options = DEFAULTS,
) -> int:
    """Print a job's account."""
    if wait:
        return run(
            options,
            True,
            lambda client: _wait_for_job(client, options, team, job, fields, timeout),
        )
    return run(
        options, True, lambda client: show_job(client, options, team, job, fields)
    )


@job_app.command(name="list")
def job_list(team: str, *, options: Options = DEFAULTS) -> int:
    """Print all jobs of a team, the earliest deadline first."""
    return run(options, True, lambda client: list_jobs(client, options, team))


@job_app.command(name="cancel")
def job_cancel(
    team: str, job: str, *, fields: Fields = "", options: Options = DEFAULTS
) -> int:
    """Cancel a job and print its account; idempotent."""
    return run(options, True, lambda client: cancel(client, options, team, job, fields))


@app.command
def nodes(
    *,
    wait: Annotated[bool, Parameter(negative=())] = False,
    timeout: Timeout = REVISION_TIMEOUT_SECONDS,
    columns: Fields = "",
    options: Options = DEFAULTS,
) -> int:
    """Print every process, with the revision in force at each.

    Parameters
    ----------
    wait
        First wait until the accepted revision is in force at every process.
    columns
        Only these columns, separated by commas.

    """

    async def work(client: Client) -> Exit:
        code = Exit.OK
        if wait:
            code = await wait_for_revision(
                client, options, timeout=timeout, clock=boot_time
            )
        if code in (Exit.OK, Exit.TIMED_OUT):
            exit_code = await show_nodes(client, options, columns)
            return exit_code if code is Exit.OK else code
        return code

    return run(options, False, work)


@app.command
def teams(*, options: Options = DEFAULTS) -> int:
    """Print each team's quota and its tasks."""
    return run(options, False, lambda client: show_teams(client, options))


@app.command
def state(
    process: str,
    *,
    section: Annotated[list[str], Parameter(negative=())] = None,  # type: ignore[assignment]
    options: Options = DEFAULTS,
) -> int:
    """Print the state dump of a process, for example of `agent-vm-1`.

    Parameters
    ----------
    section
        Only this section; may be given more than once.

    """
    return run(
        options,
        False,
        lambda client: show_state(client, options, process, section or []),
    )


def _change_zone(
    zone: str,
    direction: str,
    wait: bool,
    timeout: float,
    change_id: str,
    options: Options,
) -> int:
    return run(
        options,
        False,
        lambda client: change_zone_and_wait(
            client,
            options,
            zone,
            direction,
            change_id=change_id,
            wait=wait,
            timeout=timeout,
            clock=boot_time,
        ),
    )


async def _wait_for_job(
    client: Client, options: Options, team: str, job: str, fields: str, timeout: float
) -> Exit:
    return await wait_for_job(
        client, options, team, job, fields=fields, timeout=timeout, clock=boot_time
    )


def main() -> None:
    """Run the program."""
    run_program(app)


if __name__ == "__main__":
    main()
