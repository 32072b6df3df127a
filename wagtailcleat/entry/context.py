"""Shared parts of the handlers of the callers' port: state and refusals."""

import asyncio
import json
import math
from asyncio import Future
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram
from tornado.web import RequestHandler

from wagtailcleat.clock import Clock
from wagtailcleat.configuration.parts import InForce
from wagtailcleat.entry.lookup import ServiceLookup
from wagtailcleat.entry.relay import Relay
from wagtailcleat.errors import Code
from wagtailcleat.membership.view import View

MICROSECONDS_PER_SECOND = 1_000_000
MAX_LATENCY_MICROSECONDS = 3_600 * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 2
STATUS_BY_CODE = {
    Code.NOT_RUN: 503,
    Code.OUTCOME_UNKNOWN: 504,
    Code.CONFLICT: 409,
    Code.INVALID: 400,
    Code.INFEASIBLE: 422,
    Code.NOT_FOUND: 404,
    Code.UNAUTHORIZED: 401,
    Code.UNAVAILABLE: 503,
    Code.TOO_LARGE: 413,
    Code.QUOTA: 422,
    Code.INTERNAL: 500,
}
MESSAGE_BY_STATUS = {400: "the request is not one of HTTP", 405: "no such method here"}


@dataclass
class CallersState:
    """Counts and latencies of the callers' port, and whether it is draining."""

    draining: bool = False
    in_flight: int = 0
    refused: int = 0
    rejected_connections: int = 0

    def __post_init__(self) -> None:
        """Start idle, with an empty latency histogram (microseconds)."""
        self.stop_watchers = asyncio.Event()
        self.idle = asyncio.Event()
        self.idle.set()
        self.latencies = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)

    def request_started(self) -> None:
        """Count a request or watcher as in flight."""
        self.in_flight += 1
        self.idle.clear()

    def request_ended(self) -> None:
        """Count a request or watcher as ended."""
        self.in_flight -= 1
        if not self.in_flight:
            self.idle.set()


@dataclass(frozen=True)
class CallersContext:
    """The dependencies of the handlers of the callers' port."""

    relay: Relay
    in_force: InForce
    view: View
    clock: Clock
    state: CallersState
    max_in_flight: int
    max_body_bytes: int
    lookup: ServiceLookup


class CallersHandler(RequestHandler):
    """Base of the handlers of the callers' port.

    A refusal is JSON with an error code that clients can rely on.
    """

    def initialize(self, callers: CallersContext) -> None:
        """Store the dependencies of the handler."""
        self.callers = callers
        self.disconnected = asyncio.Event()

    def on_connection_close(self) -> None:
        """Set `disconnected`: the caller has closed its connection."""
        self.disconnected.set()

    def set_default_headers(self) -> None:
        """Remove the default headers, so that the endpoint's own are passed on."""
        self.clear_header("Server")
        self.clear_header("Content-Type")

    def flush(self, include_footers: bool = False) -> "Future[None]":
        """Send the buffered data; add `Connection: close` while the process drains.

        On a connection kept alive, the caller could send its next request just as
        the connection is closed, and would not learn the outcome.
        """
        if self.callers.state.draining and not self._headers_written:
            self.set_header("Connection", "close")
        return super().flush(include_footers)

    def refuse(self, code: Code, message: str, retry_after: float = 0.0) -> None:
        """Answer with a refusal; `retry_after` is in seconds, 0 for no such advice."""
        write_refusal(self, code, message, retry_after)

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answer an error raised by the web framework in the same JSON form."""
        code = Code.INVALID if status_code < 500 else Code.INTERNAL
        message = MESSAGE_BY_STATUS.get(status_code, self._reason)
        body = {"code": code.value, "message": message}
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body) + "\n")


def write_refusal(
    handler: RequestHandler, code: Code, message: str, retry_after: float = 0.0
) -> None:
    """Answer with a refusal as JSON.

    `retry_after` is in seconds. HTTP allows only whole seconds in `Retry-After`, so
    the header is rounded up; the body has the value to the millisecond.
    """
    body: dict[str, object] = {"code": code.value, "message": message}
    handler.set_status(STATUS_BY_CODE[code])
    handler.set_header("Content-Type", "application/json")
    if retry_after > 0:
        body["retry_after_seconds"] = round(retry_after, 3)
        handler.set_header("Retry-After", str(math.ceil(retry_after)))
    handler.finish(json.dumps(body) + "\n")
