"""The callers' port: service requests over HTTP."""

import json

from tornado.httputil import HTTPServerRequest
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from wagtailcleat.configuration.models import service_named, zone_is_out
from wagtailcleat.entry.context import Callers, CallersHandler
from wagtailcleat.entry.jobs import JobHandler, Jobs, JobsHandler
from wagtailcleat.entry.relay import (
    CallerRequest,
    WatchOpened,
    new_request_id,
)
from wagtailcleat.entry.watchers import relay_events
from wagtailcleat.errors import Code
from wagtailcleat.headers import (
    DEADLINE_MS,
    EVENT_STREAM,
    IDEMPOTENCY_KEY,
    IDEMPOTENT,
    IDEMPOTENT_METHODS,
    forwarded,
)
from wagtailcleat.ids import RequestId, ServiceName, ZoneName
from wagtailcleat.logs import part_logger
from wagtailcleat.outcomes import Answered, NotRun, RequestOutcome

log = part_logger("callers")

MIN_DEADLINE_MS = 1
MAX_DEADLINE_MS = 86_400_000
MICROSECONDS = 1_000_000
TRUE_WORDS = frozenset({"1", "true", "yes"})


class ServiceHandler(CallersHandler):
    """`/services/NAME/PATH`: passed on to an endpoint of the service."""

    SUPPORTED_METHODS = (*RequestHandler.SUPPORTED_METHODS,)

    async def handle(self, name: str, path: str) -> None:
        """Relay the request and its whole answer, or refuse it at once."""
        callers = self.callers
        started = callers.clock()
        request = self._read(ServiceName(name), path, started)
        if request is None:
            return
        if callers.state.in_flight >= callers.max_in_flight:
            callers.state.refused += 1
            self.refuse(Code.NOT_RUN, "this entry is full", 1.0)
            return
        callers.state.enter()
        try:
            if EVENT_STREAM in self.request.headers.get("Accept", ""):
                await self._watch(request)
                return
            outcome = await callers.relay.send(request)
            self._answer(outcome)
        finally:
            callers.state.leave()
        elapsed = int((callers.clock() - started) * MICROSECONDS)
        callers.state.latencies.record_value(max(1, elapsed))

    get = head = post = put = delete = patch = options = handle

    def _read(self, name: ServiceName, path: str, now: float) -> CallerRequest | None:
        configuration = self.callers.in_force.configuration
        service = service_named(configuration, name)
        if service is None:
            self.refuse(Code.NOT_FOUND, f"there is no service '{name}'")
            return None
        zones = {
            ZoneName(vm.zone)
            for vm in configuration.inventory.vms
            if vm.name in service.vms
        }
        if zones and all(zone_is_out(configuration, zone) for zone in zones):
            self.refuse(Code.NOT_RUN, f"all zones of '{name}' are out of service", 5.0)
            return None
        seconds = self._deadline(service.deadline_seconds)
        if seconds is None:
            self.refuse(
                Code.INVALID,
                f"{DEADLINE_MS} takes a whole number from {MIN_DEADLINE_MS}"
                f" to {MAX_DEADLINE_MS}",
            )
            return None
        key = self.request.headers.get(IDEMPOTENCY_KEY)
        query = f"?{self.request.query}" if self.request.query else ""
        return CallerRequest(
            service=name,
            method=str(self.request.method),
            path=f"/{path}{query}",
            headers=forwarded(self.request.headers.get_all()),
            body=self.request.body,
            deadline=now + seconds,
            idempotent=_is_idempotent(self.request),
            key=RequestId(key) if key else None,
        )

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
            self._write_head(outcome)
            self.finish(outcome.answer.body or None)
        elif isinstance(outcome, NotRun):
            self.callers.state.refused += 1
            self.refuse(Code.NOT_RUN, outcome.reason, outcome.retry_after)
        else:
            self.refuse(Code.OUTCOME_UNKNOWN, outcome.reason)

    def _write_head(self, outcome: Answered) -> None:
        self.set_status(outcome.answer.status)
        for key, value in outcome.answer.headers:
            self.add_header(key, value)

    async def _watch(self, request: CallerRequest) -> None:
        opened = await self.callers.relay.open_watch(request, set())
        if not isinstance(opened, WatchOpened):
            self._answer(opened)
            return
        self._write_head(Answered(opened.answer))
        try:
            await self.flush()
            await relay_events(self, self.callers, request, opened)
        except StreamClosedError:
            pass
        self.finish()

    def compute_etag(self) -> None:
        """Add no entity tag of our own to an endpoint's answer."""


class RequestIdsHandler(CallersHandler):
    """`POST /services/NAME:request-id`: gives out an id to send with a request."""

    def post(self, name: str) -> None:
        """Answer with an id that runs at most once, through whichever entry."""
        home = self.callers.relay.home(ServiceName(name))
        if home is None:
            self.refuse(Code.NOT_RUN, "no endpoint serves it now", 1.0)
            return
        self.set_header("Content-Type", "application/json")
        self.set_status(201)
        self.finish(json.dumps({"request_id": new_request_id(home)}) + "\n")


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
            (r"/services/([a-z0-9-]+)/(.*)", ServiceHandler, own),
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
