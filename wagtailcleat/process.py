"""What both daemons share: identity, dispatch, state dump, start and stop."""

import asyncio
import json
import signal
import sys
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

from prometheus_client import CollectorRegistry
from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector
from tornado.netutil import bind_sockets

from wagtailcleat.errors import Code, InvariantError, SettingsError
from wagtailcleat.ids import Incarnation
from wagtailcleat.logs import part_logger
from wagtailcleat.settings import Timing
from wagtailcleat.wire.messages import AnyMessage, Dump, DumpState, Refused
from wagtailcleat.wire.streams import Outlet, Stream, StreamTiming

log = part_logger("process")

EXIT_OK = 0
EXIT_INVARIANT = 70
EXIT_SETTINGS = 78
MAX_DUMP_BYTES = 1024 * 1024
MILLISECONDS = 1000

Handlers = dict[type, Callable[[Stream, AnyMessage, Outlet], Awaitable[AnyMessage]]]
PlainHandlers = dict[type, Callable[[AnyMessage], Awaitable[AnyMessage]]]
Section = Callable[[], object]


class Introspection:
    """The state dump, section by section, and metrics made of its numbers."""

    def __init__(self) -> None:
        """Start without sections."""
        self.registry = CollectorRegistry()
        self.registry.register(_Numbers(self))
        self._section_by_name: dict[str, Section] = {}

    def add(self, name: str, section: Section) -> None:
        """Show what `section` returns under `name`."""
        self._section_by_name[name] = section

    def state(self) -> dict[str, object]:
        """Return the whole state."""
        return {name: section() for name, section in self._section_by_name.items()}

    def text(self) -> str:
        """Return the state as JSON text, bounded in size."""
        text = json.dumps(self.state(), default=str)
        if len(text) <= MAX_DUMP_BYTES:
            return text
        short = {n: v for n, v in self.state().items() if not isinstance(v, dict)}
        return json.dumps(short | {"cut": "the whole state is too large"}, default=str)


class _Numbers(Collector):
    """Every number of the state dump as a gauge."""

    def __init__(self, introspection: Introspection) -> None:
        self._introspection = introspection

    def collect(self) -> Iterator[Metric]:
        """Yield a gauge for each number, named by its path."""
        gauge_by_name: dict[str, float] = {}
        _numbers("wagtailcleat", self._introspection.state(), gauge_by_name)
        for name, value in gauge_by_name.items():
            yield GaugeMetricFamily(name, "A number of the state dump.", value=value)


def _numbers(path: str, value: object, found: dict[str, float]) -> None:
    if isinstance(value, bool | int | float):
        found[path] = float(value)
    elif isinstance(value, dict):
        for key, inner in value.items():
            clean = "".join(c if c.isalnum() else "_" for c in str(key))
            _numbers(f"{path}_{clean}", inner, found)


def make_incarnation(wall_now: float) -> Incarnation:
    """Return a number that grows with each start of a node."""
    return Incarnation(int(wall_now * MILLISECONDS))


def stream_timing(timing: Timing) -> StreamTiming:
    """Return the part of the settings that streams use."""
    return StreamTiming(timing.ping, timing.silence, timing.idle_close, timing.connect)


class Dispatch:
    """Hands each inbound call to the part that answers its kind of message."""

    def __init__(self, introspection: Introspection) -> None:
        """Answer `DumpState` only, until parts are added."""
        self._introspection = introspection
        self._handler_by_type: Handlers = {}

    def add(self, handlers: Handlers) -> None:
        """Add a part's handlers."""
        self._handler_by_type.update(handlers)

    def add_plain(self, handlers: PlainHandlers) -> None:
        """Add handlers that need only the message."""
        for kind, handler in handlers.items():
            self._handler_by_type[kind] = _plain(handler)

    async def __call__(
        self, stream: Stream, message: AnyMessage, outlet: Outlet
    ) -> AnyMessage:
        """Answer one inbound call."""
        if isinstance(message, DumpState):
            return Dump(self._introspection.text())
        handler = self._handler_by_type.get(type(message))
        if handler is None:
            kind = type(message).__name__
            return Refused(Code.INVALID.value, f"{kind} is not for this process")
        return await handler(stream, message, outlet)


def _plain(
    handler: Callable[[AnyMessage], Awaitable[AnyMessage]],
) -> Callable[[Stream, AnyMessage, Outlet], Awaitable[AnyMessage]]:
    async def answer(stream: Stream, message: AnyMessage, outlet: Outlet) -> AnyMessage:
        return await handler(message)

    return answer


def bound_port(sockets: list[object]) -> int:
    """Return the port that bound sockets listen on."""
    return int(sockets[0].getsockname()[1])  # type: ignore[attr-defined]


def bind(host: str, port: int) -> list[object]:
    """Bind a listening port; 0 lets the kernel choose."""
    return list(bind_sockets(port, host))


def say_ready(ports: dict[str, int]) -> None:
    """Print one line once the process serves."""
    print("ready", json.dumps(ports), flush=True)


async def until_told_to_stop(broken: "asyncio.Future[InvariantError]") -> int:
    """Wait for a signal to stop or a broken invariant; return the exit code."""
    loop = asyncio.get_running_loop()
    told = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    broken.add_done_callback(lambda _: told.set())
    await told.wait()
    if broken.done():
        return EXIT_INVARIANT
    return EXIT_OK


def dump_on_signal(introspection: Introspection) -> None:
    """Write the state dump to standard error on SIGUSR1."""

    def write() -> None:
        print(introspection.text(), file=sys.stderr, flush=True)

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, write)


def report_problems(path: Path, error: SettingsError) -> int:
    """Print every problem of a settings file; return the exit code."""
    for problem in error.problems:
        print(f"{path}: {problem}", file=sys.stderr)
    return EXIT_SETTINGS
