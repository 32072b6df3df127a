"""Calls the endpoint beside this agent, by HTTP."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import urlsplit

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError
from tornado.netutil import BlockingResolver
from tornado.tcpclient import TCPClient

from wagtailcleat.curl import never_repeat
from wagtailcleat.headers import REQUEST_ID, forwarded
from wagtailcleat.wire.messages import Header, ServiceRequest

CONNECT_SECONDS = 1.0
CHECK_SECONDS = 1.0
REFUSED_HINTS = ("connect to", "connection refused", "could not connect", "resolve")


@dataclass(frozen=True)
class EndpointAnswer:
    """The endpoint's whole answer."""

    status: int
    headers: list[Header]
    body: bytes


@dataclass(frozen=True)
class EndpointFailed:
    """No whole answer came; `reached` tells whether the endpoint may have run it."""

    reached: bool
    reason: str


@dataclass
class Watching:
    """What an endpoint's streamed answer is handed to, as it comes."""

    on_head: Callable[[int, list[Header]], None]
    on_data: Callable[[bytes], None]
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)


class Endpoint:
    """One service's endpoint on this VM."""

    def __init__(self, url: str, *, connections: int, max_answer_bytes: int) -> None:
        """Call the endpoint at `url` over at most `connections` at once."""
        self._url = url.rstrip("/")
        self._max_answer_bytes = max_answer_bytes
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=connections)

    def close(self) -> None:
        """Close the client's connections."""
        self._client.close()

    async def answers(self) -> bool:
        """Tell whether the endpoint takes connections."""
        parts = urlsplit(self._url)
        try:
            async with asyncio.timeout(CHECK_SECONDS):
                stream = await TCPClient(resolver=BlockingResolver()).connect(
                    parts.hostname or "", parts.port or 80
                )
        except (OSError, TimeoutError, StreamClosedError):
            return False
        stream.close()
        return True

    async def run(
        self, message: ServiceRequest, seconds: float
    ) -> EndpointAnswer | EndpointFailed:
        """Pass a request on and return the whole answer."""
        size = 0
        chunks: list[bytes] = []

        def on_data(chunk: bytes) -> None:
            nonlocal size
            size += len(chunk)
            if size <= self._max_answer_bytes:
                chunks.append(chunk)

        request = self._request(message, seconds)
        request.streaming_callback = on_data
        response = await self._fetch(request)
        if isinstance(response, EndpointFailed):
            return response
        if size > self._max_answer_bytes:
            return EndpointFailed(True, "the answer is larger than this agent takes")
        headers = forwarded(response.headers.get_all())
        return EndpointAnswer(response.code, headers, b"".join(chunks))

    async def watch(
        self, message: ServiceRequest, watching: Watching
    ) -> EndpointFailed | None:
        """Pass a request on and hand over its answer as it comes.

        Returns nothing where the answer ended by itself.
        """
        started = False

        def on_header(line: str) -> None:
            nonlocal started
            text = line.strip()
            if text.startswith("HTTP/"):
                watching.headers.clear()
                watching.headers[":status"] = text.split(" ")[1]
            elif text:
                watching.headers.parse_line(line)
            elif not started:
                started = True
                status = int(watching.headers.pop(":status", "502"))
                headers = forwarded(watching.headers.get_all())
                watching.on_head(status, headers)

        request = self._request(message, 0)
        request.header_callback = on_header
        request.streaming_callback = watching.on_data
        response = await self._fetch(request)
        return response if isinstance(response, EndpointFailed) else None

    def _request(self, message: ServiceRequest, seconds: float) -> HTTPRequest:
        headers = HTTPHeaders()
        for key, value in message.headers:
            headers.add(key, value)
        headers[REQUEST_ID] = message.id
        request = HTTPRequest(
            self._url + message.path,
            method=message.method,
            headers=headers,
            body=message.body if message.body or message.method in WITH_BODY else None,
            allow_nonstandard_methods=True,
            connect_timeout=CONNECT_SECONDS,
            request_timeout=seconds,
            follow_redirects=False,
            decompress_response=False,
        )
        if message.method not in REPEATABLE:
            request.prepare_curl_callback = never_repeat
        return request

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse | EndpointFailed:
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError, ValueError) as error:
            return EndpointFailed(True, str(error))
        if response.code == 599:
            reason = str(response.error)
            reached = not any(hint in reason.lower() for hint in REFUSED_HINTS)
            return EndpointFailed(reached, reason)
        return response


WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
REPEATABLE = frozenset({"GET", "HEAD", "OPTIONS"})
