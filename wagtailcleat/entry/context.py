"""What the handlers of the callers' port share: state and refusals."""

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

MICROSECONDS = 1_000_000
HIGHEST_LATENCY_MICROSECONDS = 3_600 * MICROSECONDS
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
ERRORS_BY_STATUS = {400: "the request is not one of HTTP", 405: "no such method here"}


@dataclass
class CallersState:
    """What the callers' port counts, and whether it takes new work."""

    draining: bool = False
    in_flight: int = 0
    refused: int = 0
    turned_away: int = 0

    def __post_init__(self) -> None:
        """Start idle, with an empty histogram."""
        self.watchers_end = asyncio.Event()
        self.idle = asyncio.Event()
        self.idle.set()
        self.latencies = HdrHistogram(
            1, HIGHEST_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS
        )

    def enter(self) -> None:
        """Note a request or watcher in flight."""
        self.in_flight += 1
        self.idle.clear()

    def leave(self) -> None:
        """Note that it is answered."""
        self.in_flight -= 1
        if not self.in_flight:
            self.idle.set()


@dataclass(frozen=True)
class Callers:
    """What the handlers of the callers' port work with."""

    relay: Relay
    in_force: InForce
    view: View
    clock: Clock
    state: CallersState
    max_in_flight: int
    max_body_bytes: int
    lookup: ServiceLookup


class CallersHandler(RequestHandler):
    """Base of the callers' handlers: refusals as JSON with a stable code."""

    def initialize(self, callers: Callers) -> None:
        """Keep what the handler works with."""
        self.callers = callers
        self.gone = asyncio.Event()

    def on_connection_close(self) -> None:
        """Note that the caller is gone."""
        self.gone.set()

    def set_default_headers(self) -> None:
        """Leave the endpoint's own headers alone."""
        self.clear_header("Server")
        self.clear_header("Content-Type")

    def flush(self, include_footers: bool = False) -> "Future[None]":
        """Send what was written; a process that leaves ends the connection with it.

        A caller that kept its connection would send its next request just as the
        connection is closed, and never know what became of it.
        """
        if self.callers.state.draining and not self._headers_written:
            self.set_header("Connection", "close")
        return super().flush(include_footers)

    def refuse(self, code: Code, message: str, retry_after: float = 0.0) -> None:
        """Answer with a refusal; `retry_after` in seconds where waiting helps."""
        write_refusal(self, code, message, retry_after)

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answer an error of the server itself in the same form."""
        code = Code.INVALID if status_code < 500 else Code.INTERNAL
        message = ERRORS_BY_STATUS.get(status_code, self._reason)
        body = {"code": code.value, "message": message}
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body) + "\n")


def write_refusal(
    handler: RequestHandler, code: Code, message: str, retry_after: float = 0.0
) -> None:
    """Answer with a refusal as JSON.

    `Retry-After` is in whole seconds as HTTP has it; the body has the exact value.
    """
    body: dict[str, object] = {"code": code.value, "message": message}
    handler.set_status(STATUS_BY_CODE[code])
    handler.set_header("Content-Type", "application/json")
    if retry_after > 0:
        body["retry_after_seconds"] = round(retry_after, 3)
        handler.set_header("Retry-After", str(math.ceil(retry_after)))
    handler.finish(json.dumps(body) + "\n")
