"""Open TCP connections to peers, some of which have just come back.

The packet that opens a connection is lost if the peer has no power yet, and the kernel
repeats it only after a second. So another attempt begins before that.
"""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from tornado.iostream import IOStream
from tornado.netutil import BlockingResolver
from tornado.tcpclient import TCPClient
from tornado.util import TimeoutError as TornadoTimeoutError

ATTEMPT_INTERVAL_SECONDS = 0.2
"""Time without an answer after which another attempt to connect begins.

Longer than any round trip in the deployments, shorter than a heartbeat of any kind.
"""

OpenConnection = Callable[[str, int, float], Awaitable[IOStream]]
"""Opens a connection to a host and port, within a time limit in seconds."""


async def open_connection(host: str, port: int, timeout: float) -> IOStream:
    """Open one connection.

    Raises:
        OSError: the connection was refused or reset.
        TimeoutError: the peer did not answer within `timeout` seconds.

    """
    # Addresses are numeric: resolving does not block and needs no thread.
    client = TCPClient(resolver=BlockingResolver())
    try:
        return await client.connect(host, port, timeout=timedelta(seconds=timeout))
    except TornadoTimeoutError as error:
        raise TimeoutError("the peer did not answer") from error


async def connect(
    host: str,
    port: int,
    *,
    timeout: float,
    open_connection: OpenConnection = open_connection,
) -> IOStream:
    """Return the first of several connections that is established.

    The first attempt that fails, rather than stays without an answer, ends the others.

    Raises:
        OSError: the connection was refused or reset.
        TimeoutError: the peer did not answer within `timeout` seconds.

    """
    attempts: set[asyncio.Future[IOStream]] = set()
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + timeout
    try:
        while (left := ends_at - loop.time()) > 0:
            attempts.add(asyncio.ensure_future(open_connection(host, port, left)))
            done, _ = await asyncio.wait(
                attempts,
                timeout=min(left, ATTEMPT_INTERVAL_SECONDS),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                first = done.pop()
                attempts.discard(first)
                return first.result()
        raise TimeoutError("the peer did not answer")
    finally:
        for attempt in attempts:
            attempt.add_done_callback(_close)


def _close(attempt: asyncio.Future[IOStream]) -> None:
    if not attempt.cancelled() and attempt.exception() is None:
        attempt.result().close()
