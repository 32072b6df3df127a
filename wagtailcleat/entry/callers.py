"""The callers' port: service requests over HTTP."""

import asyncio
import json
import re

import msgspec
from tornado.httputil import HTTPServerRequest
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler, stream_request_body

from wagtailcleat.entry.context import Callers, CallersHandler
from wagtailcleat.entry.jobs import JobHandler, Jobs, JobsHandler
from wagtailcleat.entry.relay import CallerRequest, WatchOpened
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
MICROSECONDS = 1_000_000
TRUE_WORDS = frozenset({"1", "true", "yes"})
SERVICES_PREFIX = "/services/"
PLAIN_URI = re.compile(r"[!\"$-~]*")
BODILESS = (204, 304)
MAX_UNREAD_BYTES = 1 << 40
SLOW_READER_SECONDS = 60.0
FULL_RETRY_AFTER_SECONDS = 1.0
ZONES_RETRY_AFTER_SECONDS = 5.0


@stream_request_body
class ServiceHandler(CallersHandler):
    """`/services/NAME/PATH`: passed on to an endpoint of the service."""

    SUPPORTED_METHODS = (*RequestHandler.SUPPORTED_METHODS,)

    def prepare(self) -> None:
        """Refuse a body that is too large before it is read."""
        self._chunks: list[bytes] = []
        self._received = 0
        # The handler bounds the body itself, to refuse it with a code.
        self.request.connection.set_max_body_size(MAX_UNREAD_BYTES)  # type: ignore[union-attr]
        length = self.request.headers.get("Content-Length", "0")
        if length.isdecimal() and int(length[:18]) > self.callers.max_body_bytes:
            self._refuse_large()

    def data_received(self, chunk: bytes) -> None:
        """Take a piece of the body, as it comes: an endpoint decides what it means."""
        self._received += len(chunk)
        if self._received <= self.callers.max_body_bytes:
            self._chunks.append(chunk)
        elif not self._finished:
            self._chunks.clear()
            self._refuse_large()

    async def handle(self) -> None:
        """Relay the request and its whole answer, or refuse it at once."""
        callers = self.callers
        started = callers.clock()
        if self._finished:
            return
        request = self._read(started)
        if request is None:
            return
        if callers.state.in_flight > callers.max_in_flight:
            self._answer(NotRun("this entry is full", FULL_RETRY_AFTER_SECONDS))
            return
        if is_watch(request.method, request.headers):
            await self._watch(request)
            return
        self._answer(await callers.relay.send(request))
        elapsed = int((callers.clock() - started) * MICROSECONDS)
        callers.state.latencies.record_value(max(1, elapsed))

    get = head = post = put = delete = patch = options = handle

    def _refuse_large(self) -> None:
        most = self.callers.max_body_bytes
        self.refuse(Code.TOO_LARGE, f"a body has at most {most} bytes")

    def _read(self, now: float) -> CallerRequest | None:
        # The path goes on byte for byte: what tornado has decoded is another path.
        uri = str(self.request.uri).removeprefix(SERVICES_PREFIX)
        name, _, path = uri.partition("/")
        configuration = self.callers.in_force.configuration
        found = self.callers.lookup.find(configuration, ServiceName(name))
        if found is None:
            self.refuse(Code.NOT_FOUND, f"there is no service '{name}'")
            return None
        problem = self._problem(uri)
        if problem:
            self.refuse(Code.INVALID, problem)
            return None
        key = self.request.headers.get(IDEMPOTENCY_KEY)
        if key is None and found.all_out(configuration):
            self._answer(
                NotRun(f"all zones of '{name}' are out", ZONES_RETRY_AFTER_SECONDS)
            )
            return None
        return CallerRequest(
            service=ServiceName(name),
            method=str(self.request.method),
            path=f"/{path}",
            headers=forwarded(self.request.headers.get_all()),
            body=b"".join(self._chunks),
            deadline=now + (self._deadline(found.service.deadline_seconds) or 0.0),
            idempotent=_is_idempotent(self.request),
            key=RequestId(key) if key is not None else None,
        )

    def _problem(self, uri: str) -> str:
        if not PLAIN_URI.fullmatch(uri):
            return "the path has characters that must be percent-encoded"
        if self._chunks and self.request.method in ("GET", "HEAD"):
            return f"{self.request.method} takes no body"
        if self._deadline(1.0) is None:
            return (
                f"{DEADLINE_MS} takes a whole number from {MIN_DEADLINE_MS}"
                f" to {MAX_DEADLINE_MS}"
            )
        return ""

    def _deadline(self, default: float) -> float | None:
        text = self.request.headers.get(DEADLINE_MS)
        if text is None:
            return default
        if not text.isdecimal() or len(text) > 9:
            return None
        milliseconds = int(text)
        if not MIN_DEADLINE_MS <= milliseconds <= MAX_DEADLINE_MS:
            return None
        return milliseconds / 1000

    def _answer(self, outcome: RequestOutcome) -> None:
        if isinstance(outcome, Answered):
            self._pass_on(outcome.answer)
        elif isinstance(outcome, NotRun):
            self.callers.state.refused += 1
            self.refuse(Code.NOT_RUN, outcome.reason, outcome.retry_after)
        elif isinstance(outcome, Rejected):
            self.refuse(outcome.code, outcome.reason, outcome.retry_after)
        else:
            self.refuse(Code.OUTCOME_UNKNOWN, outcome.reason)

    def _pass_on(self, answer: Answer) -> None:
        self._write_head(answer)
        without = answer.status in BODILESS or self.request.method == "HEAD"
        sent = self.finish(None if without else answer.body or None)
        if not sent.done():
            self._bound(sent)

    def _bound(self, sent: "asyncio.Future[None]") -> None:
        # A caller that never reads its answer would hold its connection, and the
        # answer, for as long as it likes.
        stream = self.request.connection.stream  # type: ignore[union-attr]
        late = asyncio.get_running_loop().call_later(SLOW_READER_SECONDS, stream.close)

        def ended(done: "asyncio.Future[None]") -> None:
            late.cancel()
            done.exception()

        sent.add_done_callback(ended)

    def _write_head(self, answer: Answer) -> None:
        self.set_status(answer.status)
        for key, value in answer.headers:
            self.add_header(key, value)

    async def _watch(self, request: CallerRequest) -> None:
        opened = await self.callers.relay.open_watch(request, set())
        if not isinstance(opened, WatchOpened):
            self._answer(opened)
            return
        if not _is_event_stream(opened.answer):
            self._answer(await self._whole(opened, request.deadline))
            return
        self._write_head(opened.answer)
        try:
            await self.flush()
            await relay_events(self, self.callers, request, opened)
            await self.finish()
        except StreamClosedError:
            return
        finally:
            # The caller may be gone before the first event: nobody else would tell
            # the agent, and it would hold the endpoint's stream open for good.
            self.callers.relay.give_up(opened)

    async def _whole(self, opened: WatchOpened, deadline: float) -> RequestOutcome:
        # Asked for events, the endpoint has answered with something else, an error
        # perhaps: no cutting into events, but whole or not at all.
        try:
            async with asyncio.timeout(max(0.0, deadline - self.callers.clock())):
                body = await opened.parts.whole()
        except TimeoutError:
            body = Lost(True, "the answer did not end in time")
        self.callers.relay.give_up(opened)
        if isinstance(body, Lost):
            return OutcomeUnknown(body.reason)
        return Answered(msgspec.structs.replace(opened.answer, body=body, parts=False))

    def compute_etag(self) -> None:
        """Add no entity tag of our own to an endpoint's answer."""


class RequestIdsHandler(CallersHandler):
    """`POST /services/NAME:request-id`: gives out an id to send with a request."""

    async def post(self, name: str) -> None:
        """Answer with an id that runs at most once, through whichever entry."""
        key = await self.callers.relay.new_key(ServiceName(name))
        if key is None:
            self.refuse(Code.NOT_RUN, "no endpoint serves it now", 1.0)
            return
        self.set_header("Content-Type", "application/json")
        self.set_status(201)
        self.finish(json.dumps({"request_id": key}) + "\n")


class HealthHandler(CallersHandler):
    """`/health`: what the platform's balancer asks."""

    def get(self) -> None:
        """Answer 200 while new work is taken, 503 once the process leaves."""
        draining = self.callers.state.draining
        self.set_status(503 if draining else 200)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps({"healthy": not draining}) + "\n")


class UnknownHandler(CallersHandler):
    """Every other path."""

    def handle(self) -> None:
        """Answer 404 with what there is."""
        self.refuse(
            Code.NOT_FOUND, "there are /services/NAME/..., /teams/NAME/jobs and /health"
        )

    get = head = post = put = delete = patch = options = handle


def callers_application(callers: Callers, jobs: Jobs) -> Application:
    """Return the callers' port's application."""
    own = {"callers": callers}
    job = {"callers": callers, "jobs": jobs}
    return Application(
        [
            (r"/services/([a-z0-9-]+):request-id", RequestIdsHandler, own),
            (r"/services/[a-z0-9-]+/.*", ServiceHandler, own),
            (r"/teams/([a-z0-9-]+)/jobs", JobsHandler, job),
            (r"/teams/([a-z0-9-]+)/jobs/([^/]+)", JobHandler, job),
            (r"/health", HealthHandler, own),
            (r".*", UnknownHandler, own),
        ],
        log_function=lambda _: None,
    )


def _is_idempotent(request: HTTPServerRequest) -> bool:
    marked = request.headers.get(IDEMPOTENT)
    if marked is not None:
        return marked.lower() in TRUE_WORDS
    return request.method in IDEMPOTENT_METHODS


def _is_event_stream(answer: Answer) -> bool:
    types = [v for k, v in answer.headers if k.lower() == "content-type"]
    return any(value.lower().startswith(EVENT_STREAM) for value in types)
