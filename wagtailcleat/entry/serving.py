"""The callers' HTTP server: bounded connections, and a drain that cuts nothing."""

import asyncio
from collections.abc import Awaitable, Callable

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from wagtailcleat.entry.context import CallersState
from wagtailcleat.logs import part_logger

log = part_logger("callers")

QUIET_SECONDS = 1.0
QUIET_POLL_SECONDS = 0.05

FULL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Content-Type: application/json\r\nRetry-After: 1\r\n"
    b"Content-Length: 64\r\nConnection: close\r\n\r\n"
    b'{"code": "not_run", "message": "this entry has no connection."}\n'
)


class CallersServer(HTTPServer):
    """Counts each request from its headers until its answer has left."""

    def serve_for(self, state: CallersState, max_connections: int) -> None:
        """Count in `state`, and hold at most `max_connections` open."""
        self._state = state
        self._max_connections = max_connections
        self._counted: set[object] = set()
        self._active_at: dict[object, float] = {}

    def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve a new connection, or turn it away where there are too many."""
        if len(self._connections) >= self._max_connections:
            self._state.turned_away += 1
            asyncio.ensure_future(_turn_away(stream))
            return
        super().handle_stream(stream, address)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Take the next request of a connection; the one before it is answered."""
        self._done(server_conn)
        delegate = super().start_request(server_conn, request_conn)
        return _Counted(delegate, lambda: self._begun(server_conn))

    def on_close(self, server_conn: object) -> None:
        """Note that a connection has ended, and its request with it."""
        self._done(server_conn)
        self._active_at.pop(server_conn, None)
        super().on_close(server_conn)

    async def drain(self, seconds: float) -> None:
        """Finish what is in flight within `seconds`, then close what is idle."""
        self.stop()
        # From now on each answer says `Connection: close`, and the connection is
        # closed after it: a caller that keeps its connection busy would never let
        # this process end, and one that is cut off in a request would be told nothing.
        self.conn_params.no_keep_alive = True
        give_up_at = asyncio.get_running_loop().time() + seconds
        try:
            async with asyncio.timeout(seconds):
                await self._state.idle.wait()
        except TimeoutError:
            log.warning("Not every request was finished in time")
        else:
            await self._quiet(give_up_at)
        await self.close_all_connections()

    async def _quiet(self, give_up_at: float) -> None:
        # A caller may be sending its next request on a kept connection at this very
        # moment. Closed now, it would be reset in the middle of a request; so a
        # connection stays until it was answered `Connection: close`, or was quiet
        # for a while.
        loop = asyncio.get_running_loop()
        while loop.time() < give_up_at:
            newest = max(
                (self._active_at.setdefault(c, loop.time()) for c in self._connections),
                default=0.0,
            )
            left = newest + QUIET_SECONDS - loop.time()
            if left <= 0 and not self._counted:
                return
            await asyncio.sleep(max(left, QUIET_POLL_SECONDS))

    def _begun(self, server_conn: object) -> None:
        self._active_at[server_conn] = asyncio.get_running_loop().time()
        if server_conn not in self._counted:
            self._counted.add(server_conn)
            self._state.enter()

    def _done(self, server_conn: object) -> None:
        self._active_at[server_conn] = asyncio.get_running_loop().time()
        if server_conn in self._counted:
            self._counted.discard(server_conn)
            self._state.leave()


class _Counted(HTTPMessageDelegate):
    """Notes the arrival of a request's headers, and passes everything on."""

    def __init__(self, inner: HTTPMessageDelegate, begun: Callable[[], None]) -> None:
        self._inner = inner
        self._begun = begun

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        self._begun()
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        self._inner.finish()

    def on_connection_close(self) -> None:
        self._inner.on_connection_close()


async def _turn_away(stream: IOStream) -> None:
    try:
        await stream.write(FULL)
    except StreamClosedError:
        return
    stream.close()
