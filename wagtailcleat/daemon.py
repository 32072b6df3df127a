"""The life of a daemon: settings checked, its name its own, served, stopped."""

from collections.abc import Callable
from pathlib import Path
from typing import Protocol

from wagtailcleat.errors import SettingsError
from wagtailcleat.ids import NodeId
from wagtailcleat.logs import start_logging
from wagtailcleat.node import Node
from wagtailcleat.process import (
    EXIT_OK,
    dump_on_signal,
    report_problems,
    run_to_end,
    say_ready,
    until_told_to_stop,
)
from wagtailcleat.settings import S, load


class Daemon(Protocol):
    """What an entry and an agent have in common to the one who runs them."""

    node: Node

    def start(self) -> dict[str, int]:
        """Serve; return the ports."""

    async def stop(self) -> None:
        """Finish what is in flight, hand the rest on, then end."""


def run_daemon(
    path: Path, kind: type[S], make: Callable[[S], Daemon], *, check: bool
) -> int:
    """Run the daemon that `make` wires from the settings at `path`.

    Parameters: `check` only checks the settings. Returns the exit code.
    """
    try:
        settings = load(path, kind)
    except SettingsError as error:
        return report_problems(path, error)
    if check:
        print(f"{path}: no problems")
        return EXIT_OK
    start_logging(NodeId(settings.node), level=settings.log_level)
    return run_to_end(_serve(settings, make))


async def _serve(settings: S, make: Callable[[S], Daemon]) -> int:
    daemon = make(settings)
    await daemon.node.refuse_taken_name()
    ports = daemon.start()
    dump_on_signal(daemon.node.introspection)
    say_ready(ports)
    code = await until_told_to_stop(daemon.node.supervisor.broken)
    await daemon.stop()
    return code
