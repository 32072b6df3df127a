"""Calls the endpoint beside this agent, by HTTP."""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlsplit

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders, HTTPInputError
from tornado.iostream import StreamClosedError
from tornado.netutil import BlockingResolver
from tornado.tcpclient import TCPClient

from wagtailcleat.curl import never_repeat
from wagtailcleat.headers import REQUEST_ID, forwarded
from wagtailcleat.wire.requests import Header, ServiceRequest

CONNECT_SECONDS = 1.0
CHECK_SECONDS = 1.0
NO_LIMIT = 1 << 62
NOT_REACHED = (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST)


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
    sockets: list[socket.socket] = field(default_factory=list)

    def abort(self) -> None:
        """End the answer; curl can't be told to, so its connection is shut down."""
        for connection in self.sockets:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
            connection.close()
        self.sockets.clear()

    def open_socket(self, purpose: int, address: Any) -> socket.socket:
        """Open the connection as curl asks, and keep hold of it."""
        connection = socket.socket(*address[:3])
        self.sockets.append(connection)
        return connection


class Endpoint:
    """One service's endpoint on this VM."""

    def __init__(self, url: str, *, connections: int, max_answer_bytes: int) -> None:
        """Call the endpoint at `url` over at most `connections` at once."""
        self._url = url.rstrip("/")
        self._max_answer_bytes = max_answer_bytes
        self._client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=connections, max_body_size=NO_LIMIT
        )

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

        try:
            request = self._request(message, seconds)
        except HTTPInputError as error:
            return EndpointFailed(False, f"no request of HTTP: {error}")
        request.streaming_callback = on_data
        response = await self._fetch(request)
        if isinstance(response, EndpointFailed):
            return response
        if size > self._max_answer_bytes:
            return EndpointFailed(True, "the answer is larger than this agent takes")
        pairs = _own_headers(response.headers)
        headers = forwarded(pairs)
        if message.method == "HEAD":
            # There is no body to measure: the length is what a GET would have.
            headers += [(k, v) for k, v in pairs if k.lower() == "content-length"]
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
                watching.headers.parse_line(line.rstrip())
            elif not started:
                started = True
                status = int(watching.headers.pop(":status", "502"))
                headers = forwarded(_own_headers(watching.headers))
                watching.on_head(status, headers)

        def prepare(curl: pycurl.Curl) -> None:
            never_repeat(curl)
            curl.setopt(pycurl.PATH_AS_IS, 1)
            curl.setopt(pycurl.OPENSOCKETFUNCTION, watching.open_socket)

        try:
            request = self._request(message, 0)
        except HTTPInputError as error:
            return EndpointFailed(False, f"no request of HTTP: {error}")
        request.prepare_curl_callback = prepare
        request.header_callback = on_header
        request.streaming_callback = watching.on_data
        response = await self._fetch(request)
        return response if isinstance(response, EndpointFailed) else None

    def _request(self, message: ServiceRequest, seconds: float) -> HTTPRequest:
        headers = HTTPHeaders()
        for key, value in message.headers:
            headers.add(key, value)
        headers[REQUEST_ID] = message.id

        def prepare(curl: pycurl.Curl) -> None:
            if not (message.idempotent and message.method in REPEATABLE):
                never_repeat(curl)
            curl.setopt(pycurl.PATH_AS_IS, 1)

        return HTTPRequest(
            self._url + message.path,
            method=message.method,
            headers=headers,
            body=message.body if message.body or message.method in WITH_BODY else None,
            allow_nonstandard_methods=True,
            connect_timeout=CONNECT_SECONDS,
            request_timeout=seconds,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=prepare,
        )

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse | EndpointFailed:
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError, ValueError) as error:
            return EndpointFailed(True, str(error))
        failure = response.error
        if isinstance(failure, CurlError):
            return EndpointFailed(failure.errno not in NOT_REACHED, str(failure))
        if failure is not None and not isinstance(failure, HTTPClientError):
            # curl was never started: it can't express the request.
            return EndpointFailed(False, f"no request for curl: {failure}")
        return response


def _own_headers(headers: HTTPHeaders) -> list[Header]:
    # The client adds one of its own, with the reason phrase.
    return [(k, v) for k, v in headers.get_all() if k != "X-Http-Reason"]


WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
REPEATABLE = frozenset({"GET", "HEAD", "OPTIONS"})
