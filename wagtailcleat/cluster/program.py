"""Parts that both programs share: settings, identity, streams, store, metrics, signals.

`entry_app` and `agent_app` call `make_common_parts`, `serve_metrics` and `main`.
"""

import asyncio
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol, TypeVar

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from wagtailcleat.clock import boot_time, wall_time
from wagtailcleat.cluster.settings import CommonSettings, load
from wagtailcleat.cluster.stored_values import StoredValues, unreadable_counts
from wagtailcleat.cluster.timing import STORE_CALL_SECONDS
from wagtailcleat.draining_server import MAX_UNUSED_BODY_BYTES
from wagtailcleat.errors import SettingsError
from wagtailcleat.ids import NodeId
from wagtailcleat.introspection import Introspection, Kind
from wagtailcleat.logs import lines_dropped, part_logger, start_bounded_logging
from wagtailcleat.platform.keyvalue import KeyValueStore
from wagtailcleat.process import (
    EXIT_OK,
    EXIT_SETTINGS,
    Dispatch,
    bind,
    dump_on_signal,
    make_incarnation,
    report_problems,
    run_to_end,
)
from wagtailcleat.supervise import Supervisor
from wagtailcleat.wire.handshake import Role
from wagtailcleat.wire.limits import StreamTiming
from wagtailcleat.wire.peers import Identity, Listener, Peers

log = part_logger("process")

STREAM_TIMING = StreamTiming(ping=0.25, silence=0.75, idle_close=20.0, connect=0.6)
"""Seconds; a silent stream is noticed within one, and round trips take milliseconds."""
SETTINGS_POLL_SECONDS = 5.0
"""How often the settings file is checked for a change without a signal."""
SETTINGS_VARIABLE = "WAGTAILCLEAT_BOOT"
"""Environment variable with the settings file if the command line has none."""
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
USAGE = f"usage: PROGRAM SETTINGS.json, or {SETTINGS_VARIABLE} names the file"

S = TypeVar("S", bound=CommonSettings)


@dataclass(frozen=True)
class CommonParts:
    """Parts that every program has, with its port bound but nothing running yet."""

    identity: Identity
    introspection: Introspection
    dispatch: Dispatch
    listener: Listener
    peers: Peers
    store: KeyValueStore
    values: StoredValues
    supervisor: Supervisor

    def close(self) -> None:
        """Close the streams to other processes."""
        self.listener.stop()
        self.peers.close()
        for stream in list(self.listener.streams):
            stream.close("this process ends")


class Program(Protocol):
    """What `main` needs of a program."""

    common: CommonParts

    def start(self) -> None:
        """Serve."""

    async def stop(self) -> None:
        """Finish requests in progress, then end."""

    def stop_fields(self) -> dict[str, int]:
        """Return the fields of the log lines at the beginning and end of a stop."""


def make_common_parts(settings: CommonSettings, role: Role) -> CommonParts:
    """Create the parts that every program has, and bind the peer port."""
    node = NodeId(settings.node)
    identity = Identity(node, role, make_incarnation(wall_time()), settings.secret)
    introspection = Introspection()
    dispatch = Dispatch(introspection)
    listener = Listener(identity, dispatch, STREAM_TIMING)
    sockets = bind(settings.host, settings.peer_port)
    listener.add_sockets(sockets)  # type: ignore[arg-type]
    store = KeyValueStore(
        settings.store, clock=boot_time, call_seconds=STORE_CALL_SECONDS
    )
    common = CommonParts(
        identity,
        introspection,
        dispatch,
        listener,
        Peers(identity, dispatch, STREAM_TIMING),
        store,
        StoredValues(),
        Supervisor(settings.node),
    )
    _add_metrics(common)
    return common


def _add_metrics(common: CommonParts) -> None:
    add, metric = common.introspection.add, common.introspection.metric
    add("node", lambda: common.identity.node)
    add("incarnation", lambda: common.identity.incarnation)
    add("supervisor", common.supervisor.dump)
    common.introspection.labelled(
        Kind.COUNTER,
        "store_calls",
        "Calls to the platform's store, by kind.",
        "kind",
        lambda: {
            "read": common.store.counts.reads,
            "write": common.store.counts.writes,
            "watch": common.store.counts.watches,
        },
    )
    metric(
        Kind.COUNTER,
        "store_failures",
        "Calls to the platform's store that were not served.",
        lambda: common.store.counts.failed,
    )
    common.introspection.labelled(
        Kind.COUNTER,
        "unreadable_values",
        "Values that other programs have left and that can't be used, by kind.",
        "kind",
        lambda: unreadable_counts(common.values),
    )
    metric(
        Kind.GAUGE,
        "store_up",
        "1 while the platform's store answers.",
        lambda: common.store.down_since is None,
    )
    metric(
        Kind.COUNTER,
        "child_restarts",
        "Restarts of crashed parts of this process.",
        common.supervisor.restarts,
    )
    metric(
        Kind.COUNTER,
        "log_lines_dropped",
        "Log lines dropped because nobody read them in time.",
        lines_dropped,
    )


class _MetricsHandler(RequestHandler):
    def initialize(self, introspection: Introspection) -> None:
        self._introspection = introspection

    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self._introspection.metrics())


class _StateHandler(RequestHandler):
    def initialize(self, introspection: Introspection) -> None:
        self._introspection = introspection

    def get(self) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(self._introspection.text())


def serve_metrics(common: CommonParts, settings: CommonSettings) -> HTTPServer:
    """Serve metrics and the state dump on the metrics port."""
    parts = {"introspection": common.introspection}
    application = Application(
        [
            (r"/metrics", _MetricsHandler, parts),
            (r"/state", _StateHandler, parts),
        ],
        log_function=lambda handler: None,
    )
    server = HTTPServer(application, max_body_size=MAX_UNUSED_BODY_BYTES)
    server.listen(settings.metrics_port, settings.host)
    return server


def main(kind: type[S], make: Callable[[S], Program]) -> int:
    """Run a program until it is told to stop, and return the exit code.

    The settings file is named on the command line or by the environment variable
    `SETTINGS_VARIABLE`; `make` creates the program from the settings.
    """
    named = sys.argv[1] if len(sys.argv) == 2 else os.environ.get(SETTINGS_VARIABLE)
    if not named:
        print(USAGE, file=sys.stderr)
        return EXIT_SETTINGS
    path = Path(named)
    text = _read(path)
    try:
        settings = load(path, kind)
    except SettingsError as error:
        return report_problems(path, error)
    start_bounded_logging(NodeId(settings.node), level=settings.log_level)
    reload = _Reload(path, text, settings, kind)
    return run_to_end(_serve(reload, settings, make))


async def _serve(reload: "_Reload", settings: S, make: Callable[[S], Program]) -> int:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    # The ports open after that: a signal must not end a process that has connections.
    loop.add_signal_handler(signal.SIGHUP, reload.request)
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop_requested.set)
    program = make(settings)
    program.common.supervisor.broken.add_done_callback(lambda _: stop_requested.set())
    program.start()
    program.common.supervisor.spawn("settings", reload.run)
    program.common.supervisor.spawn(
        "store", program.common.store.probe_while_unavailable
    )
    dump_on_signal(program.common.introspection)
    log.info(
        "Started",
        extra={
            "incarnation": program.common.identity.incarnation,
            "peer_port": settings.peer_port,
        },
    )
    await stop_requested.wait()
    log.info("Stops", extra=program.stop_fields())
    await program.stop()
    log.info("Stopped", extra=program.stop_fields())
    _ignore_signals(loop)
    return EXIT_OK


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore the signals that the loop handles, for what is left of the process.

    The end of the loop would restore what they do by default: end the process. They
    are blocked meanwhile, for so does the removal of a handler.
    """
    numbers = (*STOP_SIGNALS, signal.SIGHUP)
    signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
    for number in numbers:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError:
        return b""


class _Reload:
    """Reloads changed settings: the log level at once, the rest at the next restart."""

    def __init__(
        self,
        path: Path,
        text: bytes,
        settings: CommonSettings,
        kind: type[CommonSettings],
    ) -> None:
        """Compare with `text`, which was read no later than `settings`."""
        self._path = path
        self._text = text
        self._settings = settings
        self._kind = kind
        self._requested = asyncio.Event()

    def request(self) -> None:
        """Reload the file even if it is the same."""
        self._requested.set()

    async def run(self) -> None:
        self._check(signalled=False)
        while True:
            try:
                async with asyncio.timeout(SETTINGS_POLL_SECONDS):
                    await self._requested.wait()
            except TimeoutError:
                pass
            signalled = self._requested.is_set()
            self._requested.clear()
            self._check(signalled=signalled)

    def _check(self, *, signalled: bool) -> None:
        found = _read(self._path)
        if found == self._text and not signalled:
            return
        self._text = found
        try:
            settings = load(self._path, self._kind)
        except SettingsError as error:
            log.error("Settings not reloaded", extra={"why": error.message})
            return
        changed = [
            name
            for name in settings.__struct_fields__
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = settings
        start_bounded_logging(NodeId(settings.node), level=settings.log_level)
        log.info("Settings reloaded", extra={"changed": changed})
