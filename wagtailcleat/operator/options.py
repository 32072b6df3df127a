"""Options that every command shares, and the client made of them."""

import asyncio
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from wagtailcleat.errors import SettingsError
from wagtailcleat.operator.client import Client, NotReached, Reply
from wagtailcleat.operator.exits import Exit
from wagtailcleat.operator.settings import OperatorSettings, load
from wagtailcleat.operator.show import not_reached, refused, tell
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
        Operators' address of an entry, instead of those of the settings file.
    entry
        Callers' address of an entry, instead of those of the settings file.
    json
        Print JSON.

    """

    settings: Annotated[Path | None, Parameter(env_var=SETTINGS_VARIABLE)] = None
    admin: Annotated[list[str], Parameter(negative=())] = None  # type: ignore[assignment]
    entry: Annotated[list[str], Parameter(negative=())] = None  # type: ignore[assignment]
    json: Annotated[bool, Parameter(negative=())] = False


class UsageError(Exception):
    """A command that can't begin; carries the lines to print."""

    def __init__(self, lines: list[str]) -> None:
        """Keep the lines."""
        super().__init__("; ".join(lines))
        self.lines = lines


def run(
    options: Options, callers: bool, work: Callable[[Client], Awaitable[Exit]]
) -> Exit:
    """Run `work` with a client of the callers' or the operators' port."""

    async def with_client() -> Exit:
        client = _client(options, callers)
        try:
            return await work(client)
        finally:
            client.close()

    try:
        return asyncio.run(with_client())
    except UsageError as error:
        for line in error.lines:
            tell(line)
        return Exit.USAGE


def failed(outcome: Reply | NotReached, options: Options, *, repeat: str = "") -> Exit:
    """Print why a call was not done; return the exit code."""
    if isinstance(outcome, NotReached):
        return not_reached(outcome, as_json=options.json, repeat=repeat)
    return refused(outcome, as_json=options.json)


def done(outcome: Reply | NotReached) -> bool:
    """Tell whether a call was carried out."""
    return isinstance(outcome, Reply) and outcome.ok


def _client(options: Options, callers: bool) -> Client:
    settings = _settings(options)
    if callers:
        urls = options.entry or settings.entry
        return Client(_named(urls, "--entry", "entry"))
    urls = options.admin or settings.admin
    return Client(_named(urls, "--admin", "admin"), settings.token)


def _settings(options: Options) -> OperatorSettings:
    try:
        return load(options.settings)
    except SettingsError as error:
        lines = [f"{options.settings}: {problem}" for problem in error.problems]
        raise UsageError(lines) from None


def _named(urls: list[str], option: str, key: str) -> list[str]:
    wrong = [url for url in urls if not re.match(URL_PATTERN, url.rstrip("/"))]
    if wrong:
        lines = [f"{option} {url}: an address is http://HOST:PORT" for url in wrong]
        raise UsageError(lines)
    if not urls:
        raise UsageError(
            [
                f"no entry is named: give {option} http://HOST:PORT, or `{key}` in the"
                f" file that --settings or {SETTINGS_VARIABLE} names"
            ]
        )
    return [url.rstrip("/") for url in urls]
