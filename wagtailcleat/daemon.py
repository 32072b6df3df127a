"""Runs an entry or an agent: checks settings and node name, serves, then stops."""

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
    ignore_reload,
    print_ready,
    report_problems,
    run_to_end,
    wait_for_stop,
)
from wagtailcleat.settings import S, load


class Daemon(Protocol):
    """The interface of an entry or agent as `run_daemon` uses it."""

    node: Node

    def start(self) -> dict[str, int]:
        """Start serving; return the listening ports by name."""

    async def stop(self) -> None:
        """Finish requests in flight, hand over the rest, then close everything."""


def run_daemon(
    path: Path, kind: type[S], make_daemon: Callable[[S], Daemon], *, check: bool
) -> int:
    """Run the daemon that `make_daemon` builds from the settings at `path`.

    Return the exit code. With `check`, only check the settings.
    """
    try:
        settings = load(path, kind)
    except SettingsError as error:
        return report_problems(path, error)
    if check:
        print(f"{path}: no problems")
        return EXIT_OK
    start_logging(NodeId(settings.node), level=settings.log_level)
    return run_to_end(_serve(settings, make_daemon))


async def _serve(settings: S, make_daemon: Callable[[S], Daemon]) -> int:
    ignore_reload()
    daemon = make_daemon(settings)
    await daemon.node.refuse_taken_name()
    ports = daemon.start()
    dump_on_signal(daemon.node.introspection)
    print_ready(ports)
    code = await wait_for_stop(daemon.node.supervisor.broken)
    await daemon.stop()
    return code
