"""The options that all commands share, and the client made from them."""

import asyncio
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from wagtailcleat.errors import SettingsError
from wagtailcleat.operator.client import Client, Reply, Unreached
from wagtailcleat.operator.exits import Exit
from wagtailcleat.operator.settings import OperatorSettings, load
from wagtailcleat.operator.show import print_status, report_refusal, report_unreached
from wagtailcleat.settings import URL_PATTERN

SETTINGS_VARIABLE = "WAGTAILCLEAT_SETTINGS"


@Parameter(name="*")
@dataclass(frozen=True)
class Options:
    """Shared options.

    Parameters
    ----------
    settings
        Settings file, JSON: `admin` and `entry` addresses, `token`.
    admin
        Operators' address of an entry; overrides those of the settings file.
    entry
        Callers' address of an entry; overrides those of the settings file.
    json
        Print JSON.

    """

    settings: Annotated[Path | None, Parameter(env_var=SETTINGS_VARIABLE)] = None
    admin: Annotated[list[str], Parameter(negative=())] = None  # type: ignore[assignment]
    entry: Annotated[list[str], Parameter(negative=())] = None  # type: ignore[assignment]
    json: Annotated[bool, Parameter(negative=())] = False


class UsageError(Exception):
    """A command that can't be run as given; carries the lines to print."""

    def __init__(self, lines: list[str]) -> None:
        """Store the lines."""
        super().__init__("; ".join(lines))
        self.lines = lines


def run(
    options: Options, for_callers: bool, work: Callable[[Client], Awaitable[Exit]]
) -> Exit:
    """Run `work` with a client of the callers' or the operators' port.

    Return its exit code, or `Exit.USAGE` after printing a usage error.
    """

    async def work_with_client() -> Exit:
        client = _make_client(options, for_callers)
        try:
            return await work(client)
        finally:
            client.close()

    try:
        return asyncio.run(work_with_client())
    except UsageError as error:
        for line in error.lines:
            print_status(line)
        return Exit.USAGE


def report_failure(
    outcome: Reply | Unreached, options: Options, *, repeat: str = ""
) -> Exit:
    """Print why a call was not carried out; return the exit code.

    Parameters: `repeat` says how to repeat the same change.
    """
    if isinstance(outcome, Unreached):
        return report_unreached(outcome, as_json=options.json, repeat=repeat)
    return report_refusal(outcome, as_json=options.json)


def done(outcome: Reply | Unreached) -> bool:
    """Return whether a call was carried out."""
    return isinstance(outcome, Reply) and outcome.ok


def _make_client(options: Options, for_callers: bool) -> Client:
    settings = _load_settings(options)
    if for_callers:
        urls = options.entry or settings.entry
        return Client(_checked_urls(urls, "--entry", "entry"))
    urls = options.admin or settings.admin
    return Client(_checked_urls(urls, "--admin", "admin"), settings.token)


def _load_settings(options: Options) -> OperatorSettings:
    try:
        return load(options.settings)
    except SettingsError as error:
        lines = [f"{options.settings}: {problem}" for problem in error.problems]
        raise UsageError(lines) from None


def _checked_urls(urls: list[str], option: str, key: str) -> list[str]:
    invalid_urls = [url for url in urls if not re.match(URL_PATTERN, url.rstrip("/"))]
    if invalid_urls:
        lines = [
            f"{option} {url}: an address is http://HOST:PORT" for url in invalid_urls
        ]
        raise UsageError(lines)
    if not urls:
        raise UsageError(
            [
                f"no entry is named: give {option} http://HOST:PORT, or `{key}` in the"
                f" file that --settings or {SETTINGS_VARIABLE} names"
            ]
        )
    return [url.rstrip("/") for url in urls]
