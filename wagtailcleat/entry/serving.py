"""The HTTP server of the callers' port: a connection limit, and a graceful drain."""

import asyncio
from collections.abc import Awaitable, Callable

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from wagtailcleat.draining_server import DrainingServer
from wagtailcleat.entry.context import CallersState
from wagtailcleat.logs import part_logger

log = part_logger("callers")

IDLE_BEFORE_CLOSE_SECONDS = 1.0
IDLE_POLL_INTERVAL_SECONDS = 0.05

CONNECTION_LIMIT_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Content-Type: application/json\r\nRetry-After: 1\r\n"
    b"Content-Length: 64\r\nConnection: close\r\n\r\n"
    b'{"code": "not_run", "message": "this entry has no connection."}\n'
)


class CallersServer(DrainingServer):
    """A draining server that limits its connections and counts requests in flight.

    A request is in flight from its headers until its answer has been sent.
    """

    def set_limits(self, state: CallersState, max_connections: int) -> None:
        """Count requests in `state`; allow at most `max_connections` connections."""
        self._state = state
        self._max_connections = max_connections
        self._connections_in_request: set[object] = set()
        self._active_at_by_connection: dict[object, float] = {}

    def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve a new connection, or reject it if the connection limit is reached."""
        if len(self._connections) >= self._max_connections:
            self._state.rejected_connections += 1
            asyncio.ensure_future(_reject_connection(stream))
            return
        super().handle_stream(stream, address)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Start the next request of a connection; the previous one is answered."""
        self._request_done(server_conn)
        delegate = super().start_request(server_conn, request_conn)
        return _HeadersObserver(delegate, lambda: self._request_begun(server_conn))

    def on_close(self, server_conn: object) -> None:
        """Record that a connection was closed, which ends its request."""
        self._request_done(server_conn)
        self._active_at_by_connection.pop(server_conn, None)
        super().on_close(server_conn)

    async def drain(self, seconds: float) -> None:
        """Wait up to `seconds` for requests in flight, then close all connections."""
        self.stop()
        # From now on each answer has `Connection: close`, and its connection is closed
        # after it. Otherwise a caller that keeps its connection busy would delay the
        # shutdown forever, or be cut off in a request without learning the outcome.
        self.conn_params.no_keep_alive = True
        give_up_at = asyncio.get_running_loop().time() + seconds
        try:
            async with asyncio.timeout(seconds):
                await self._state.idle.wait()
        except TimeoutError:
            log.warning("The drain timed out with requests still in flight")
        else:
            await self._wait_until_idle(give_up_at)
            await super().drain(give_up_at - asyncio.get_running_loop().time())
        await self.close_all_connections()

    async def _wait_until_idle(self, give_up_at: float) -> None:
        # A caller may be sending its next request on a keep-alive connection just now;
        # closing the connection would reset that request. So a connection stays open
        # until it was answered with `Connection: close` or was idle for
        # `IDLE_BEFORE_CLOSE_SECONDS`.
        loop = asyncio.get_running_loop()
        while loop.time() < give_up_at:
            last_active_at = max(
                (
                    self._active_at_by_connection.setdefault(c, loop.time())
                    for c in self._connections
                ),
                default=0.0,
            )
            remaining = last_active_at + IDLE_BEFORE_CLOSE_SECONDS - loop.time()
            if remaining <= 0 and not self._connections_in_request:
                return
            await asyncio.sleep(max(remaining, IDLE_POLL_INTERVAL_SECONDS))

    def _request_begun(self, server_conn: object) -> None:
        self._active_at_by_connection[server_conn] = asyncio.get_running_loop().time()
        if server_conn not in self._connections_in_request:
            self._connections_in_request.add(server_conn)
            self._state.request_started()

    def _request_done(self, server_conn: object) -> None:
        self._active_at_by_connection[server_conn] = asyncio.get_running_loop().time()
        if server_conn in self._connections_in_request:
            self._connections_in_request.discard(server_conn)
            self._state.request_ended()


class _HeadersObserver(HTTPMessageDelegate):
    """A delegate that reports the headers of a request and forwards all events."""

    def __init__(
        self, delegate: HTTPMessageDelegate, on_headers: Callable[[], None]
    ) -> None:
        self._delegate = delegate
        self._on_headers = on_headers

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        self._on_headers()
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        self._delegate.finish()

    def on_connection_close(self) -> None:
        self._delegate.on_connection_close()


async def _reject_connection(stream: IOStream) -> None:
    try:
        await stream.write(CONNECTION_LIMIT_RESPONSE)
    except StreamClosedError:
        return
    stream.close()
