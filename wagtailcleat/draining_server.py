"""An HTTP server that stops without cutting off a request that has reached it.

`HTTPServer.close_all_connections` also closes connections whose request is in progress,
and `HTTPServer.stop` resets connections that wait to be accepted.
"""

import asyncio
import socket
from collections.abc import Awaitable, Iterable
from dataclasses import dataclass
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from wagtailcleat.clock import boot_time

POLL_SECONDS = 0.02
FIRST_REQUEST_SECONDS = 0.3
"""How long the first request of a new connection may take to arrive."""

MAX_UNUSED_BODY_BYTES = 64 * 1024
"""Limit of bodies at ports whose requests need none; a server buffers them."""


@dataclass
class _Connection:
    accepted_at: float
    is_waiting: bool = False
    """Whether the head of a request is the next thing to be read whole."""
    was_used: bool = False


class DrainingServer(HTTPServer):
    """A server that can answer what has reached it before its process ends."""

    def initialize(self, *arguments: Any, **options: Any) -> None:
        """Take the arguments of `HTTPServer`."""
        super().initialize(*arguments, **options)
        self._listeners: list[socket.socket] = []
        self._connection_by_stream: dict[IOStream, _Connection] = {}

    async def drain(self, seconds: float) -> None:
        """Close the ports, and each connection once no request is in progress on it.

        Return after `seconds` if some connections are still open then.
        """
        self.stop()
        deadline = boot_time() + seconds
        while self._connection_by_stream and boot_time() < deadline:
            for stream, connection in list(self._connection_by_stream.items()):
                if _is_idle(stream, connection):
                    stream.close()
            await asyncio.sleep(POLL_SECONDS)

    def stop(self) -> None:
        """Close the ports, after accepting the connections that wait at them."""
        self._accept_all()
        super().stop()

    def _accept_all(self) -> None:
        # The kernel resets the connections that wait at a port when it is closed.
        while self._listeners:
            listener = self._listeners.pop()
            while True:
                try:
                    accepted, address = listener.accept()
                except ConnectionAbortedError:
                    continue
                except OSError:
                    break
                self.handle_stream(IOStream(accepted), address)

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections on listening sockets."""
        listeners = list(sockets)
        self._listeners += listeners
        super().add_sockets(listeners)

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a new connection."""
        self._connection_by_stream[stream] = _Connection(boot_time())
        super().handle_stream(stream, address)

    def start_request(
        self, server_conn: Any, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return what receives the next request of a connection."""
        connection = self._connection_by_stream[server_conn.stream]
        connection.is_waiting = True
        delegate = super().start_request(server_conn, request_conn)
        return _RequestDelegate(delegate, connection)

    def on_close(self, server_conn: Any) -> None:
        """Forget a connection that has ended."""
        self._connection_by_stream.pop(server_conn.stream, None)
        super().on_close(server_conn)


class _RequestDelegate(HTTPMessageDelegate):
    """Notes when the head of a request has been read, and passes everything on."""

    def __init__(self, inner: HTTPMessageDelegate, connection: _Connection) -> None:
        self._inner = inner
        self._connection = connection

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        self._connection.is_waiting = False
        self._connection.was_used = True
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        self._inner.finish()

    def on_connection_close(self) -> None:
        self._inner.on_connection_close()


def _is_idle(stream: IOStream, connection: _Connection) -> bool:
    """Return whether nothing of a request has arrived, here or at the kernel."""
    if not connection.is_waiting or stream.closed():
        return False
    if not connection.was_used:
        age = boot_time() - connection.accepted_at
        if age < FIRST_REQUEST_SECONDS:
            return False
    # Part of a head, or a whole one that has been read and is not handled yet: tornado
    # offers no other way to see it.
    if stream._read_buffer_size or stream._read_future is None:
        return False
    try:
        return not stream.socket.recv(1, socket.MSG_PEEK)
    except OSError:
        # Nothing has arrived, or the connection is broken.
        return True
