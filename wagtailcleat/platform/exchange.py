"""One HTTP exchange with the platform: an answer, or how it failed to come."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

CONNECT_SECONDS = 0.5
"""Longer than any round trip of the deployments, shorter than any interval of ours."""
NEVER_CONNECTED = (pycurl.E_COULDNT_CONNECT,)
DOWNLOAD_SECONDS = 30.0
"""Bound of a whole download, however steadily it goes on."""
SPEED_CHECK_SECONDS = 60
"""For the library's own check of the speed of a transfer.

While that is on, it calls the progress callback once a second, also for a transfer that
stands still.
"""


class NoAnswer(Enum):
    """Why no answer came; what was asked may have been done, or may yet be."""

    REFUSED = "refused"
    """The connection was refused.

    It says nothing of what was asked: on a kept connection that broke, the library
    sends a request again, and only the second one may have been refused.
    """
    LOST = "lost"


@dataclass(frozen=True)
class Reply:
    """An answer: its code and its body where that is a JSON object."""

    code: int
    body: dict[str, Any]
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)


class Exchange:
    """Calls on kept connections to one address."""

    def __init__(self, address: str, *, max_clients: int = 16) -> None:
        """Call `address`, an `ip:port`."""
        self.calls = 0
        self.failure = ""
        """Why the last call that got no answer failed, in the library's words."""
        self._base = f"http://{address}"
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=max_clients)

    def __repr__(self) -> str:
        """Show the address."""
        return f"<Exchange {self._base}>"

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
        """Send one request; `timeout` in seconds covers all of it."""
        request = HTTPRequest(
            self._base + path,
            method=method,
            body=None if body is None else json.dumps(body),
            headers={"Content-Type": "application/json"} | (headers or {}),
            connect_timeout=min(CONNECT_SECONDS, timeout),
            request_timeout=timeout,
            allow_nonstandard_methods=True,
        )
        response = await self._fetch(request)
        if isinstance(response, NoAnswer):
            return response
        return Reply(response.code, _object(response.body), response.headers)

    async def download(
        self, path: str, *, silence: float, first: float | None = None
    ) -> Reply | NoAnswer:
        """Get an answer that may take long to arrive.

        Parameters: `silence` in seconds bounds each wait for more of the answer,
        `first` the wait for its first part; `silence` where it is not given.
        """
        body = bytearray()
        waiting = True
        first = silence if first is None else first
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(first) as bound:

                def take(part: bytes) -> None:
                    if waiting and not bound.expired():
                        body.extend(part)
                        bound.reschedule(loop.time() + silence)

                request = HTTPRequest(
                    self._base + path,
                    connect_timeout=min(CONNECT_SECONDS, first),
                    request_timeout=DOWNLOAD_SECONDS,
                    streaming_callback=take,
                    prepare_curl_callback=_while_wanted(lambda: waiting),
                )
                # Cancelled, the library's own future would log the error that ends it.
                fetch = asyncio.ensure_future(self._fetch(request))
                response = await asyncio.shield(fetch)
        except TimeoutError:
            self.failure = f"silent after {len(body)} bytes"
            return NoAnswer.LOST
        finally:
            waiting = False
        if isinstance(response, NoAnswer):
            return response
        return Reply(response.code, _object(bytes(body)), response.headers)

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse | NoAnswer:
        self.calls += 1
        try:
            return await self._client.fetch(request, raise_error=False)
        except HTTPClientError as error:
            # Raised only where no answer came: one with an error code is an answer.
            self.failure = str(error)
            refused = getattr(error, "errno", None) in NEVER_CONNECTED
            return NoAnswer.REFUSED if refused else NoAnswer.LOST
        except (TimeoutError, OSError) as error:
            self.failure = str(error)
            return NoAnswer.LOST


def _while_wanted(wanted: Callable[[], bool]) -> Callable[[pycurl.Curl], None]:
    """Return a callback that lets the library end a transfer that is not wanted."""

    def prepare(handle: pycurl.Curl) -> None:
        if not wanted():
            # It was still in the queue of the library.
            raise TimeoutError("nobody waits for it any more")
        handle.setopt(pycurl.LOW_SPEED_LIMIT, 1)
        handle.setopt(pycurl.LOW_SPEED_TIME, SPEED_CHECK_SECONDS)
        handle.setopt(pycurl.NOPROGRESS, 0)
        handle.setopt(pycurl.XFERINFOFUNCTION, lambda *_: 0 if wanted() else 1)

    return prepare


def _object(body: bytes | None) -> dict[str, Any]:
    # An error answer may carry no body, or one of something between the two ends.
    try:
        value = json.loads(body or b"{}")
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}
