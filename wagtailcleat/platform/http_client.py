"""HTTP client for the platform's services; the other clients of this package use it.

A call returns a `Reply`, or a `NoAnswer` that says how it failed.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import pycurl
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from wagtailcleat.curl import CurlClient, forbid_repetition
from wagtailcleat.time_limits import time_limit

CONNECT_TIMEOUT_SECONDS = 0.5
"""Longer than any round trip in the deployments, shorter than any interval at which
this project makes calls."""
MAX_DOWNLOAD_SECONDS = 30.0
"""Limit of a whole download, also of one that keeps making progress."""
SPEED_CHECK_PERIOD_SECONDS = 60
"""Period over which libcurl measures the speed of a transfer.

While this check is on, libcurl calls the progress callback once a second, also for a
stalled transfer.
"""


class NoAnswer(Enum):
    """Why a call got no answer.

    In each case the request may have been carried out, or may be carried out later.
    """

    REFUSED = "refused"
    """The connection was refused."""
    BROKEN = "broken"
    """The connection ended before an answer."""
    LOST = "lost"
    """Any other failure, such as a time-out or an unreadable answer."""


NO_ANSWER_BY_ERRNO = {
    pycurl.E_COULDNT_CONNECT: NoAnswer.REFUSED,
    pycurl.E_GOT_NOTHING: NoAnswer.BROKEN,
    pycurl.E_RECV_ERROR: NoAnswer.BROKEN,
    pycurl.E_SEND_ERROR: NoAnswer.BROKEN,
    pycurl.E_SEND_FAIL_REWIND: NoAnswer.BROKEN,
}


@dataclass(frozen=True)
class Reply:
    """An answer: its status code, and its body; {} where that is no JSON object."""

    code: int
    body: dict[str, Any]
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)


class HttpClient:
    """Client of one address that keeps its connections open."""

    def __init__(self, address: str, *, max_clients: int = 16) -> None:
        """Create a client of `address`, an `ip:port`."""
        self.calls = 0
        self.last_error = ""
        """Error text of the last call that got no answer."""
        self._address = address
        self._base = f"http://{address}"
        self._client = CurlClient(force_instance=True, max_clients=max_clients)

    def __repr__(self) -> str:
        """Return a text with the address."""
        return f"<HttpClient {self._base}>"

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        *,
        timeout: float,
        headers: dict[str, str] | None = None,
    ) -> Reply | NoAnswer:
        """Send one request; `timeout` in seconds covers the whole call.

        A request with a body is sent once; one without is for reads only.
        """
        request = HTTPRequest(
            self._base + path,
            method=method,
            body=None if body is None else json.dumps(body),
            headers={"Content-Type": "application/json"} | (headers or {}),
            connect_timeout=min(CONNECT_TIMEOUT_SECONDS, timeout),
            request_timeout=timeout,
            allow_nonstandard_methods=True,
            prepare_curl_callback=forbid_repetition,
        )
        response = await self._fetch(request)
        if isinstance(response, NoAnswer):
            return response
        return Reply(response.code, _json_object(response.body), response.headers)

    async def download(
        self, path: str, *, idle_timeout: float, first_timeout: float | None = None
    ) -> Reply | NoAnswer:
        """Get a large or slow answer.

        Parameters: `idle_timeout` in seconds limits each wait for more of the answer,
        `first_timeout` the wait for its first part; `idle_timeout` if not given.
        """
        body = bytearray()
        is_waiting = True
        first_timeout = idle_timeout if first_timeout is None else first_timeout
        try:
            async with time_limit(first_timeout) as extend:

                def on_chunk(chunk: bytes) -> None:
                    if is_waiting:
                        body.extend(chunk)
                        extend(idle_timeout)

                request = HTTPRequest(
                    self._base + path,
                    connect_timeout=min(CONNECT_TIMEOUT_SECONDS, first_timeout),
                    request_timeout=MAX_DOWNLOAD_SECONDS,
                    streaming_callback=on_chunk,
                    prepare_curl_callback=_abort_unless(lambda: is_waiting),
                )
                # If tornado's own future were cancelled, tornado would log the error
                # that ends the transfer.
                fetch = asyncio.ensure_future(self._fetch(request))
                response = await asyncio.shield(fetch)
        except TimeoutError:
            self.last_error = f"no further data after {len(body)} bytes"
            return NoAnswer.LOST
        finally:
            is_waiting = False
        if isinstance(response, NoAnswer):
            return response
        return Reply(response.code, _json_object(bytes(body)), response.headers)

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse | NoAnswer:
        self.calls += 1
        try:
            return await self._client.fetch(request, raise_error=False)
        except HTTPClientError as error:
            # Raised only if no answer came: an answer with an error code is a Reply.
            self.last_error = str(error)
            errno = getattr(error, "errno", None)
            outcome = NO_ANSWER_BY_ERRNO.get(errno, NoAnswer.LOST)
            if outcome is NoAnswer.REFUSED and not await self._is_refused():
                return NoAnswer.LOST
            return outcome
        except (TimeoutError, OSError) as error:
            self.last_error = str(error)
            return NoAnswer.LOST

    async def _is_refused(self) -> bool:
        """Connect once more, and return whether the connection is refused.

        libcurl also reports a missing route, or a process without a free file
        descriptor, as a connection that can't be made.
        """
        host, _, port = self._address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        writer.close()
        return False


def _abort_unless(is_wanted: Callable[[], bool]) -> Callable[[pycurl.Curl], None]:
    """Return a callback that makes libcurl abort a transfer nobody waits for."""

    def configure(handle: pycurl.Curl) -> None:
        if not is_wanted():
            # The request was still in tornado's queue.
            raise TimeoutError("the caller stopped waiting before the request was sent")
        handle.setopt(pycurl.LOW_SPEED_LIMIT, 1)
        handle.setopt(pycurl.LOW_SPEED_TIME, SPEED_CHECK_PERIOD_SECONDS)
        handle.setopt(pycurl.NOPROGRESS, 0)
        handle.setopt(pycurl.XFERINFOFUNCTION, lambda *_: 0 if is_wanted() else 1)

    return configure


def _json_object(body: bytes | None) -> dict[str, Any]:
    # An error answer may have no body, or the body of a proxy or gateway in between.
    try:
        value = json.loads(body or b"{}")
    except (ValueError, RecursionError):
        return {}
    return value if isinstance(value, dict) else {}
