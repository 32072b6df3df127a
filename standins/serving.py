"""The base of every stand-in process: start, fault switches, record and handlers."""

import asyncio
import json
import os
import signal
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any, Generic, TypeVar

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

HOST = "127.0.0.1"
RECORD_LIMIT = 200_000
BODY_LIMIT = 256 * 1024 * 1024

F = TypeVar("F", bound=msgspec.Struct)


class CommonFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Fault switches of every stand-in that serves HTTP.

    `hang` leaves calls unanswered, `slow_seconds` delays them, and `lose_answers` is
    the number of answers to lose after the call has taken effect.
    """

    hang: bool = False
    slow_seconds: float = 0.0
    lose_answers: int = 0


class Switches(Generic[F]):
    """The current fault switches and the callback for their changes."""

    def __init__(self, kind: type[F]) -> None:
        """Start without faults."""
        self.kind = kind
        self.current = kind()
        self.on_change: Callable[[F, F], None] = lambda before, after: None

    def update(self, patch: dict[str, Any]) -> None:
        """Set the switches in `patch` and keep the others."""
        self._set(msgspec.convert(msgspec.to_builtins(self.current) | patch, self.kind))

    def reset(self) -> None:
        """Reset all switches."""
        self._set(self.kind())

    def _set(self, after: F) -> None:
        before, self.current = self.current, after
        self.on_change(before, after)


class Record:
    """A bounded list of events, optionally also kept in a file that survives a kill."""

    def __init__(self, path: Path | None = None) -> None:
        """Keep rows in memory, and append them to `path` where one is given."""
        self.rows: deque[list[Any]] = deque(maxlen=RECORD_LIMIT)
        self._file = path.open("a", buffering=1) if path else None

    def add(self, *row: Any) -> None:
        """Append one row."""
        self.rows.append(list(row))
        if self._file:
            self._file.write(json.dumps(row) + "\n")


class FaultsHandler(RequestHandler):
    """`GET` shows the fault switches, `PUT` sets some, `DELETE` resets them all."""

    def initialize(self, switches: Switches[Any]) -> None:
        """Store the switches."""
        self.switches = switches

    def get(self) -> None:
        """Show the switches."""
        self.finish(msgspec.json.encode(self.switches.current))

    def put(self) -> None:
        """Set the given switches."""
        try:
            self.switches.update(json.loads(self.request.body))
        except (ValueError, TypeError, msgspec.ValidationError) as error:
            self.set_status(400)
            self.finish({"message": str(error)})
            return
        self.get()

    def delete(self) -> None:
        """Reset every switch."""
        self.switches.reset()
        self.get()


class RecordHandler(RequestHandler):
    """`GET` shows the record of the stand-in."""

    def initialize(self, show: Callable[[], dict[str, Any]]) -> None:
        """Store the function that builds the answer."""
        self.show = show

    def get(self) -> None:
        """Show the record."""
        self.finish(self.show())


class FaultInjectingHandler(RequestHandler):
    """A handler that first applies the faults that are switched on."""

    def initialize(self, switches: Switches[Any], **state: Any) -> None:
        """Store the switches, and the state as attributes."""
        self.switches = switches
        self.disconnected = asyncio.Event()
        for name, value in state.items():
            setattr(self, name, value)

    def on_connection_close(self) -> None:
        """Set `disconnected` when the client has closed the connection."""
        self.disconnected.set()

    async def prepare(self) -> None:
        """Hang or wait, as the switches say."""
        if self.switches.current.hang:
            await self.disconnected.wait()
            self.drop()
            return
        if self.switches.current.slow_seconds:
            await asyncio.sleep(self.switches.current.slow_seconds)

    def drop(self) -> None:
        """Close the connection without an answer."""
        stream = self.detach()
        if stream is not None:
            stream.close()

    def loses_answer(self) -> bool:
        """Return whether this answer is to be lost; if so, decrement `lose_answers`."""
        if self.switches.current.lose_answers <= 0:
            return False
        self.switches.current.lose_answers -= 1
        return True

    def answer(self, body: Any, status: int = 200) -> None:
        """Answer with JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))


def log_nothing(handler: RequestHandler) -> None:
    """Log no request, so that stderr shows only errors."""


def listen(routes: list[Any], port: int, *, more_hosts: Iterable[str] = ()) -> int:
    """Serve `routes` on loopback and return the port.

    Parameters: `more_hosts` are loopback addresses to serve too, on the same port.
    """
    sockets = bind_sockets(port, HOST)
    bound = int(sockets[0].getsockname()[1])
    for host in more_hosts:
        sockets += bind_sockets(bound, host)
    server = HTTPServer(
        Application(routes, log_function=log_nothing), max_buffer_size=BODY_LIMIT
    )
    server.add_sockets(sockets)
    return bound


def run(start: Callable[[], Awaitable[dict[str, Any]]]) -> None:
    """Start a stand-in, print its ready line and serve until SIGTERM."""

    async def serve() -> None:
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, stop.set)
        ready = await start()
        print("ready " + json.dumps(ready), flush=True)
        await stop.wait()
        # A normal return would cancel the open streams, and tornado would log an error
        # for each. Records are flushed line by line, so nothing is lost by this exit.
        os._exit(0)

    asyncio.run(serve())
