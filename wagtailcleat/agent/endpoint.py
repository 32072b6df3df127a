"""HTTP client of the endpoints on this VM, used for service requests and watches."""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlsplit

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders, HTTPInputError
from tornado.iostream import StreamClosedError
from tornado.netutil import BlockingResolver
from tornado.tcpclient import TCPClient

from wagtailcleat.curl import CurlClient, never_repeat
from wagtailcleat.headers import REQUEST_ID, forwarded
from wagtailcleat.wire.requests import Header, ServiceRequest

CONNECT_TIMEOUT_SECONDS = 1.0
CHECK_TIMEOUT_SECONDS = 1.0
UNLIMITED_BYTES = 1 << 62
NOT_REACHED_ERRORS = (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST)


@dataclass(frozen=True)
class EndpointAnswer:
    """The complete answer of the endpoint."""

    status: int
    headers: list[Header]
    body: bytes


@dataclass(frozen=True)
class EndpointFailed:
    """No complete answer came; the request may have run only if `reached` is true."""

    reached: bool
    reason: str


@dataclass
class EndpointStream:
    """Receives an answer that the endpoint streams, and can abort it."""

    on_head: Callable[[int, list[Header]], None]
    on_data: Callable[[bytes], None]
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    sockets: list[socket.socket] = field(default_factory=list)

    def abort(self) -> None:
        """End the answer by closing its sockets: curl has no call to cancel it."""
        for connection in self.sockets:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
            connection.close()
        self.sockets.clear()

    def open_socket(self, purpose: int, address: Any) -> socket.socket:
        """Open a socket as curl's callback; record it for `abort`."""
        connection = socket.socket(*address[:3])
        self.sockets.append(connection)
        return connection


class Endpoint:
    """The endpoint of one service on this VM."""

    def __init__(self, url: str, *, connections: int, max_answer_bytes: int) -> None:
        """Call the endpoint at `url` over at most `connections` connections at once."""
        self._url = url.rstrip("/")
        self._max_answer_bytes = max_answer_bytes
        self._client = CurlClient(
            force_instance=True, max_clients=connections, max_body_size=UNLIMITED_BYTES
        )

    def close(self) -> None:
        """Close all connections to the endpoint."""
        self._client.close()

    async def accepts_connections(self) -> bool:
        """Return whether the endpoint accepts a TCP connection within the time-out."""
        parts = urlsplit(self._url)
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_SECONDS):
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
        """Send a request; return the complete answer or the failure.

        Parameters: `seconds` is the time-out of the whole request.
        """
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
        pairs = _endpoint_headers(response.headers)
        headers = forwarded(pairs)
        if message.method == "HEAD":
            # A HEAD answer has no body: its length header states that of a GET.
            headers += [(k, v) for k, v in pairs if k.lower() == "content-length"]
        return EndpointAnswer(response.code, headers, b"".join(chunks))

    async def watch(
        self, message: ServiceRequest, stream: EndpointStream
    ) -> EndpointFailed | None:
        """Send a request and pass its answer to `stream` as it arrives.

        Return None if the endpoint ended the answer, else the failure.
        """
        started = False

        def on_header(line: str) -> None:
            nonlocal started
            text = line.strip()
            if text.startswith("HTTP/"):
                stream.headers.clear()
                stream.headers[":status"] = text.split(" ")[1]
            elif text:
                stream.headers.parse_line(line.rstrip())
            elif not started:
                started = True
                status = int(stream.headers.pop(":status", "502"))
                headers = forwarded(_endpoint_headers(stream.headers))
                stream.on_head(status, headers)

        def prepare(curl: pycurl.Curl) -> None:
            never_repeat(curl)
            curl.setopt(pycurl.PATH_AS_IS, 1)
            curl.setopt(pycurl.OPENSOCKETFUNCTION, stream.open_socket)

        try:
            request = self._request(message, 0)
        except HTTPInputError as error:
            return EndpointFailed(False, f"no request of HTTP: {error}")
        request.prepare_curl_callback = prepare
        request.header_callback = on_header
        request.streaming_callback = stream.on_data
        response = await self._fetch(request)
        return response if isinstance(response, EndpointFailed) else None

    def _request(self, message: ServiceRequest, seconds: float) -> HTTPRequest:
        headers = HTTPHeaders()
        for key, value in message.headers:
            headers.add(key, value)
        headers[REQUEST_ID] = message.id

        def prepare(curl: pycurl.Curl) -> None:
            if not (message.idempotent and message.method in SAFE_METHODS):
                never_repeat(curl)
            curl.setopt(pycurl.PATH_AS_IS, 1)

        return HTTPRequest(
            self._url + message.path,
            method=message.method,
            headers=headers,
            body=message.body
            if message.body or message.method in METHODS_WITH_BODY
            else None,
            allow_nonstandard_methods=True,
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
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
            return EndpointFailed(failure.errno not in NOT_REACHED_ERRORS, str(failure))
        if failure is not None and not isinstance(failure, HTTPClientError):
            # The client rejected the request before it started curl.
            return EndpointFailed(False, f"no request for curl: {failure}")
        return response


def _endpoint_headers(headers: HTTPHeaders) -> list[Header]:
    # Tornado's curl client adds this header, with the reason phrase.
    return [(k, v) for k, v in headers.get_all() if k != "X-Http-Reason"]


METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
