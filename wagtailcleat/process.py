"""Functions that all daemons share: incarnation, dispatch, ports, start and stop."""

import asyncio
import contextlib
import json
import os
import signal
import sys
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any, NoReturn

from tornado.netutil import bind_sockets

from wagtailcleat.errors import (
    Code,
    IdentityError,
    InvariantError,
    ListenError,
    SettingsError,
)
from wagtailcleat.ids import Incarnation
from wagtailcleat.introspection import Introspection
from wagtailcleat.logs import part_logger
from wagtailcleat.settings import Timing
from wagtailcleat.wire.answer_writer import AnswerWriter
from wagtailcleat.wire.dumps import Dump, DumpState
from wagtailcleat.wire.limits import StreamTiming
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.results import Refused
from wagtailcleat.wire.streams import Stream

log = part_logger("process")

EXIT_OK = 0
EXIT_IDENTITY = 69
EXIT_INVARIANT = 70
EXIT_LISTEN = 71
EXIT_SETTINGS = 78
MILLISECONDS = 1000

Handlers = dict[
    type, Callable[[Stream, AnyMessage, AnswerWriter], Awaitable[AnyMessage]]
]
PlainHandlers = dict[type, Callable[[AnyMessage], Awaitable[AnyMessage]]]


def make_incarnation(wall_now: float) -> Incarnation:
    """Return the start time in milliseconds, which grows with each start of a node."""
    return Incarnation(int(wall_now * MILLISECONDS))


def stream_timing(timing: Timing) -> StreamTiming:
    """Return the timing settings that streams use."""
    return StreamTiming(timing.ping, timing.silence, timing.idle_close, timing.connect)


class Dispatch:
    """Routes each inbound call to the handler of its message type."""

    def __init__(self, introspection: Introspection) -> None:
        """Answer `DumpState` only, until handlers are added."""
        self._introspection = introspection
        self._handler_by_type: Handlers = {}

    def add(self, handlers: Handlers) -> None:
        """Add handlers by message type."""
        self._handler_by_type.update(handlers)

    def add_plain(self, handlers: PlainHandlers) -> None:
        """Add handlers that take only the message, by message type."""
        for kind, handler in handlers.items():
            self._handler_by_type[kind] = _plain(handler)

    async def __call__(
        self, stream: Stream, message: AnyMessage, answer_writer: AnswerWriter
    ) -> AnyMessage:
        """Return the answer to one inbound call; refuse a type without a handler."""
        if isinstance(message, DumpState):
            return Dump(self._introspection.text(message.sections))
        handler = self._handler_by_type.get(type(message))
        if handler is None:
            kind = type(message).__name__
            return Refused(Code.INVALID.value, f"{kind} is not for this process")
        return await handler(stream, message, answer_writer)


def _plain(
    handler: Callable[[AnyMessage], Awaitable[AnyMessage]],
) -> Callable[[Stream, AnyMessage, AnswerWriter], Awaitable[AnyMessage]]:
    async def answer(
        stream: Stream, message: AnyMessage, answer_writer: AnswerWriter
    ) -> AnyMessage:
        return await handler(message)

    return answer


def bound_port(sockets: list[object]) -> int:
    """Return the port that bound sockets listen on."""
    return int(sockets[0].getsockname()[1])  # type: ignore[attr-defined]


def bind(host: str, port: int) -> list[object]:
    """Bind a listening port; 0 lets the kernel choose.

    Raises:
        ListenError: the address is not this VM's, or the port is taken.

    """
    try:
        return list(bind_sockets(port, host))
    except OSError as error:
        raise ListenError(
            f"can't listen on {host}:{port}: {error.strerror}; another process may"
            " use the port, or the address is not this VM's"
        ) from None


def print_ready(ports: dict[str, int]) -> None:
    """Print the line `ready {ports}` to standard output, once the process serves."""
    print("ready", json.dumps(ports), flush=True)


async def wait_for_stop(broken: "asyncio.Future[InvariantError]") -> int:
    """Wait for SIGTERM, SIGINT or a broken invariant; return the exit code."""
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    broken.add_done_callback(lambda _: stop_requested.set())
    await stop_requested.wait()
    if broken.done():
        return EXIT_INVARIANT
    return EXIT_OK


def dump_on_signal(introspection: Introspection) -> None:
    """Write the state dump to standard error on SIGUSR1."""

    def write() -> None:
        print(introspection.text(), file=sys.stderr, flush=True)

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, write)


def ignore_reload() -> None:
    """On SIGHUP log that the settings are not read again; it would end the process."""

    def note() -> None:
        log.warning(
            "SIGHUP has no effect: this program reads settings only as it starts"
        )

    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, note)


def run_to_end(serving: Coroutine[Any, Any, int]) -> int:
    """Run a program to its end; return its exit code, or print why it can't start."""
    try:
        return asyncio.run(serving)
    except ListenError as error:
        print(error.message, file=sys.stderr)
        return EXIT_LISTEN
    except IdentityError as error:
        print(error.message, file=sys.stderr)
        return EXIT_IDENTITY


def end_process(code: int) -> NoReturn:
    """End the process at once, without freeing its objects one by one.

    A leader of many tasks needs seconds for that, and a stop has a time limit.
    """
    for output in filter(None, (sys.stdout, sys.stderr)):
        with contextlib.suppress(OSError):
            output.flush()
    os._exit(code)


def report_problems(path: Path, error: SettingsError) -> int:
    """Print every problem of a settings file; return the exit code."""
    for problem in error.problems:
        print(f"{path}: {problem}", file=sys.stderr)
    return EXIT_SETTINGS
