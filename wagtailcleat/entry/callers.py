"""The application of the callers' port: service requests over HTTP."""

import asyncio
import json
import re

import msgspec
from tornado.httputil import HTTPServerRequest
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler, stream_request_body

from wagtailcleat.entry.context import CallersContext, CallersHandler
from wagtailcleat.entry.jobs import JobClient, JobHandler, JobsHandler
from wagtailcleat.entry.relay import CallerRequest, Watch
from wagtailcleat.entry.watchers import relay_events
from wagtailcleat.errors import Code
from wagtailcleat.headers import (
    DEADLINE_MS,
    EVENT_STREAM,
    IDEMPOTENCY_KEY,
    IDEMPOTENT,
    IDEMPOTENT_METHODS,
    forwarded,
    is_watch,
)
from wagtailcleat.ids import RequestId, ServiceName
from wagtailcleat.logs import part_logger
from wagtailcleat.outcomes import (
    Answered,
    NotRun,
    OutcomeUnknown,
    Rejected,
    RequestOutcome,
)
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.requests import Answer

log = part_logger("callers")

MIN_DEADLINE_MS = 1
MAX_DEADLINE_MS = 86_400_000
MICROSECONDS_PER_SECOND = 1_000_000
TRUE_VALUES = frozenset({"1", "true", "yes"})
SERVICES_PREFIX = "/services/"
VALID_URI = re.compile(r"[!\"$-~]*")
STATUSES_WITHOUT_BODY = (204, 304)
SERVER_BODY_LIMIT_BYTES = 1 << 40
WRITE_TIMEOUT_SECONDS = 60.0
OVERLOAD_RETRY_AFTER_SECONDS = 1.0
ZONES_OUT_RETRY_AFTER_SECONDS = 5.0


@stream_request_body
class ServiceHandler(CallersHandler):
    """`/services/NAME/PATH`: relayed to an endpoint of the service."""

    SUPPORTED_METHODS = (*RequestHandler.SUPPORTED_METHODS,)

    def prepare(self) -> None:
        """Refuse a body whose declared length is too large, before it is read."""
        self._chunks: list[bytes] = []
        self._received_bytes = 0
        # This handler limits the body itself, to refuse it with an error code.
        self.request.connection.set_max_body_size(SERVER_BODY_LIMIT_BYTES)  # type: ignore[union-attr]
        length = self.request.headers.get("Content-Length", "0")
        if length.isdecimal() and int(length[:18]) > self.callers.max_body_bytes:
            self._refuse_too_large()

    def data_received(self, chunk: bytes) -> None:
        """Buffer a chunk of the body; refuse the request once the body is too large.

        The body is not parsed, as its format is for the endpoint to decide.
        """
        self._received_bytes += len(chunk)
        if self._received_bytes <= self.callers.max_body_bytes:
            self._chunks.append(chunk)
        elif not self._finished:
            self._chunks.clear()
            self._refuse_too_large()

    async def handle(self) -> None:
        """Relay the request and answer with its outcome, or refuse it at once."""
        callers = self.callers
        started = callers.clock()
        if self._finished:
            return
        request = self._read_request(started)
        if request is None:
            return
        if callers.state.in_flight > callers.max_in_flight:
            self._write_outcome(
                NotRun("this entry is full", OVERLOAD_RETRY_AFTER_SECONDS)
            )
            return
        if is_watch(request.method, request.headers):
            await self._relay_watch(request)
            return
        self._write_outcome(await callers.relay.send(request))
        elapsed = int((callers.clock() - started) * MICROSECONDS_PER_SECOND)
        callers.state.latencies.record_value(max(1, elapsed))

    get = head = post = put = delete = patch = options = handle

    def _refuse_too_large(self) -> None:
        limit = self.callers.max_body_bytes
        self.refuse(Code.TOO_LARGE, f"a body has at most {limit} bytes")

    def _read_request(self, now: float) -> CallerRequest | None:
        # The path is relayed byte for byte: as decoded by tornado, it is another path.
        uri = str(self.request.uri).removeprefix(SERVICES_PREFIX)
        name, _, path = uri.partition("/")
        configuration = self.callers.in_force.configuration
        placement = self.callers.lookup.find(configuration, ServiceName(name))
        if placement is None:
            self.refuse(Code.NOT_FOUND, f"there is no service '{name}'")
            return None
        problem = self._find_problem(uri)
        if problem:
            self.refuse(Code.INVALID, problem)
            return None
        idempotency_key = self.request.headers.get(IDEMPOTENCY_KEY)
        if idempotency_key is None and placement.is_out(configuration):
            self._write_outcome(
                NotRun(f"all zones of '{name}' are out", ZONES_OUT_RETRY_AFTER_SECONDS)
            )
            return None
        return CallerRequest(
            service=ServiceName(name),
            method=str(self.request.method),
            path=f"/{path}",
            headers=forwarded(self.request.headers.get_all()),
            body=b"".join(self._chunks),
            deadline=now
            + (self._read_deadline_seconds(placement.service.deadline_seconds) or 0.0),
            idempotent=_is_idempotent(self.request),
            idempotency_key=(
                RequestId(idempotency_key) if idempotency_key is not None else None
            ),
        )

    def _find_problem(self, uri: str) -> str:
        if not VALID_URI.fullmatch(uri):
            return "the path has characters that must be percent-encoded"
        if self._chunks and self.request.method in ("GET", "HEAD"):
            return f"{self.request.method} takes no body"
        if self._read_deadline_seconds(1.0) is None:
            return (
                f"{DEADLINE_MS} takes a whole number from {MIN_DEADLINE_MS}"
                f" to {MAX_DEADLINE_MS}"
            )
        return ""

    def _read_deadline_seconds(self, default: float) -> float | None:
        text = self.request.headers.get(DEADLINE_MS)
        if text is None:
            return default
        if not text.isdecimal() or len(text) > 9:
            return None
        milliseconds = int(text)
        if not MIN_DEADLINE_MS <= milliseconds <= MAX_DEADLINE_MS:
            return None
        return milliseconds / 1000

    def _write_outcome(self, outcome: RequestOutcome) -> None:
        if isinstance(outcome, Answered):
            self._write_answer(outcome.answer)
        elif isinstance(outcome, NotRun):
            self.callers.state.refused += 1
            self.refuse(Code.NOT_RUN, outcome.reason, outcome.retry_after)
        elif isinstance(outcome, Rejected):
            self.refuse(outcome.code, outcome.reason, outcome.retry_after)
        else:
            self.refuse(Code.OUTCOME_UNKNOWN, outcome.reason)

    def _write_answer(self, answer: Answer) -> None:
        self._write_status_and_headers(answer)
        has_no_body = (
            answer.status in STATUSES_WITHOUT_BODY or self.request.method == "HEAD"
        )
        sent = self.finish(None if has_no_body else answer.body or None)
        if not sent.done():
            self._limit_write_time(sent)

    def _limit_write_time(self, sent: "asyncio.Future[None]") -> None:
        # A caller that never reads its answer would hold its connection and the
        # buffered answer indefinitely.
        stream = self.request.connection.stream  # type: ignore[union-attr]
        timer = asyncio.get_running_loop().call_later(
            WRITE_TIMEOUT_SECONDS, stream.close
        )

        def write_ended(done: "asyncio.Future[None]") -> None:
            timer.cancel()
            done.exception()

        sent.add_done_callback(write_ended)

    def _write_status_and_headers(self, answer: Answer) -> None:
        self.set_status(answer.status)
        for key, value in answer.headers:
            self.add_header(key, value)

    async def _relay_watch(self, request: CallerRequest) -> None:
        watch = await self.callers.relay.open_watch(request, set())
        if not isinstance(watch, Watch):
            self._write_outcome(watch)
            return
        if not _is_event_stream(watch.answer):
            self._write_outcome(await self._read_whole_answer(watch, request.deadline))
            return
        self._write_status_and_headers(watch.answer)
        try:
            await self.flush()
            await relay_events(self, self.callers, request, watch)
            await self.finish()
        except StreamClosedError:
            return
        finally:
            # The caller may disconnect before the first event. Without this call the
            # agent would not learn of it, and would never close the endpoint's stream.
            self.callers.relay.cancel_watch(watch)

    async def _read_whole_answer(self, watch: Watch, deadline: float) -> RequestOutcome:
        # The endpoint has answered a watcher with something other than an event
        # stream, such as an error: it is relayed complete or not at all.
        try:
            async with asyncio.timeout(max(0.0, deadline - self.callers.clock())):
                body = await watch.parts.read_all()
        except TimeoutError:
            body = Lost(True, "the answer did not end in time")
        self.callers.relay.cancel_watch(watch)
        if isinstance(body, Lost):
            return OutcomeUnknown(body.reason)
        return Answered(msgspec.structs.replace(watch.answer, body=body, parts=False))

    def compute_etag(self) -> None:
        """Return None, so that no entity tag is added to an endpoint's answer."""


class RequestIdsHandler(CallersHandler):
    """`POST /services/NAME:request-id`: issues an idempotency key for a request."""

    async def post(self, name: str) -> None:
        """Answer with a key whose request runs at most once, at whichever entry."""
        idempotency_key = await self.callers.relay.new_idempotency_key(
            ServiceName(name)
        )
        if idempotency_key is None:
            self.refuse(Code.NOT_RUN, "no endpoint serves it now", 1.0)
            return
        self.set_header("Content-Type", "application/json")
        self.set_status(201)
        self.finish(json.dumps({"request_id": idempotency_key}) + "\n")


class HealthHandler(CallersHandler):
    """`/health`: the health check of the platform's load balancer."""

    def get(self) -> None:
        """Answer 200 while new requests are accepted, 503 while the process drains."""
        draining = self.callers.state.draining
        self.set_status(503 if draining else 200)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps({"healthy": not draining}) + "\n")


class UnknownHandler(CallersHandler):
    """Every path without a handler of its own."""

    def handle(self) -> None:
        """Answer 404 with the paths that exist."""
        self.refuse(
            Code.NOT_FOUND, "there are /services/NAME/..., /teams/NAME/jobs and /health"
        )

    get = head = post = put = delete = patch = options = handle


def callers_application(callers: CallersContext, jobs: JobClient) -> Application:
    """Return the web application of the callers' port."""
    arguments = {"callers": callers}
    job_arguments = {"callers": callers, "jobs": jobs}
    return Application(
        [
            (r"/services/([a-z0-9-]+):request-id", RequestIdsHandler, arguments),
            (r"/services/[a-z0-9-]+/.*", ServiceHandler, arguments),
            (r"/teams/([a-z0-9-]+)/jobs", JobsHandler, job_arguments),
            (r"/teams/([a-z0-9-]+)/jobs/([^/]+)", JobHandler, job_arguments),
            (r"/health", HealthHandler, arguments),
            (r".*", UnknownHandler, arguments),
        ],
        log_function=lambda _: None,
    )


def _is_idempotent(request: HTTPServerRequest) -> bool:
    marked = request.headers.get(IDEMPOTENT)
    if marked is not None:
        return marked.lower() in TRUE_VALUES
    return request.method in IDEMPOTENT_METHODS


def _is_event_stream(answer: Answer) -> bool:
    types = [v for k, v in answer.headers if k.lower() == "content-type"]
    return any(value.lower().startswith(EVENT_STREAM) for value in types)
