"""HTTP servers of an entry: the callers' API for jobs, and the readiness check.

Callers submit, query and cancel jobs, and count the waiting jobs of a queue. The entry
process of `wagtailcleat.cluster` starts both servers.
"""

import asyncio
import re
from collections.abc import Callable
from typing import Any, Protocol

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from wagtailcleat.cluster.job_states import NoSuchJob, NotAnswered
from wagtailcleat.cluster.submissions import Acceptance
from wagtailcleat.draining_server import MAX_UNUSED_BODY_BYTES, DrainingServer
from wagtailcleat.ids import JobId
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.calls import CallsInProgress
from wagtailcleat.platform.fields import (
    BodyError,
    get_boolean,
    get_integer,
    get_list,
    get_number,
    get_text,
    parse_object,
)
from wagtailcleat.resources import Resources
from wagtailcleat.scheduling.job_bounds import MAX_STEPS, MAX_TASKS
from wagtailcleat.scheduling.models import Job, JobState, Step
from wagtailcleat.scheduling.queues import Queue, QueueTable

log = part_logger("callers")

DEADLINE_HEADER = "Wagtailcleat-Deadline-Ms"
MILLISECONDS = 1000
MILLICORES = 1000
DEFAULT_DEADLINE_SECONDS = 3.0
"""Deadline of calls without a deadline header; the callers of the deployments wait this
long."""
MAX_DEADLINE_SECONDS = 60.0
MAX_DEADLINE_DIGITS = 9
"""Python converts no text of several thousand digits to a number."""
RETRY_AFTER_SECONDS = 1
"""Entries without a configuration or a store try several times a second to reach them,
so a retry after this time can succeed."""
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_DEPENDENCIES = 10_000
"""Limit of the entries in all `after` lists: each placement round examines them."""
MAX_SPEC_BYTES = 4_000
OTHER_METHOD = "other"
"""Recorded for all unsupported methods: callers can send any number of made-up ones."""
ID_LENGTH = 16
ID_PATTERN = re.compile(rf"[0-9a-fA-F]{{{ID_LENGTH}}}")

NAME_BY_STATE = {
    JobState.QUEUED: "queued",
    JobState.RUNNING: "running",
    JobState.SUCCEEDED: "done",
    JobState.FAILED: "failed",
    JobState.CANCELLED: "cancelled",
}


class JobService(Protocol):
    """The operations on jobs that the callers' server needs.

    Each `deadline` is in seconds on the clock given to `caller_server`.
    """

    async def submit(self, job: Job, *, deadline: float) -> Acceptance:
        """Store a job."""

    async def state(
        self, job: JobId, *, deadline: float
    ) -> JobState | NoSuchJob | NotAnswered:
        """Return the state of a job."""

    async def cancel(
        self, job: JobId, *, deadline: float
    ) -> JobState | NoSuchJob | NotAnswered:
        """Cancel a job and return its state."""

    async def waiting(self, queue: str) -> int | NotAnswered:
        """Return the number of jobs of a queue of which no task has started."""


def decode_job(job: JobId, queue: Queue, body: bytes, *, wall_now: float) -> Job:
    """Decode the job that a caller submits.

    Raises:
        BodyError: `body` is no valid job, or exceeds a limit.

    """
    raw = parse_object(body)
    spec = get_text(raw, "spec", default="")
    if len(spec.encode()) > MAX_SPEC_BYTES:
        raise BodyError("spec: too long")
    steps = tuple(
        _decode_step(step, position)
        for position, step in enumerate(get_list(raw, "steps"))
    )
    if not steps:
        raise BodyError("steps: there are none")
    if len(steps) > MAX_STEPS:
        raise BodyError(f"steps: more than {MAX_STEPS}")
    if sum(step.count for step in steps) > MAX_TASKS:
        raise BodyError(f"steps: more than {MAX_TASKS} tasks")
    if sum(len(step.after) for step in steps) > MAX_DEPENDENCIES:
        raise BodyError(f"after: more than {MAX_DEPENDENCIES} dependencies")
    times = get_integer(raw, "times", default=0)
    return Job(
        job,
        queue.name,
        queue.service,
        spec,
        steps,
        wall_now,
        queue.priority,
        queue.attempts,
        queue.stretch,
        queue.target_latency,
        max(1, times),
        get_number(raw, "startMs", default=0) / MILLISECONDS if times else 0.0,
        get_number(raw, "intervalMs", default=0) / MILLISECONDS if times else 0.0,
        queue.advised,
    )


def decode_deadline(header: str) -> float:
    """Return how long a caller waits for its answer, in seconds.

    An invalid header counts as none, and a longer time as `MAX_DEADLINE_SECONDS`.
    """
    if not (header.isascii() and header.isdigit()):
        return DEFAULT_DEADLINE_SECONDS
    if len(header.lstrip("0")) > MAX_DEADLINE_DIGITS:
        return MAX_DEADLINE_SECONDS
    return min(int(header[-MAX_DEADLINE_DIGITS:]) / MILLISECONDS, MAX_DEADLINE_SECONDS)


def _decode_step(raw: Any, position: int) -> Step:
    if not isinstance(raw, dict):
        raise BodyError("steps: not an object")
    after = tuple(get_list(raw, "after"))
    if not all(type(earlier) is int and 0 <= earlier < position for earlier in after):
        raise BodyError("after: names a step that is not earlier")
    count = get_integer(raw, "count", default=0)
    if not count:
        raise BodyError("count: the step has no tasks")
    return Step(
        count,
        Resources(
            get_number(raw, "cpu", default=0) / MILLICORES,
            get_integer(raw, "memMb", default=0),
            get_integer(raw, "gpu", default=0),
        ),
        get_number(raw, "estMs", default=0) / MILLISECONDS,
        after,
        get_boolean(raw, "checkpointable"),
        get_boolean(raw, "gang"),
        get_boolean(raw, "sameRack"),
        get_text(raw, "requiredLabel", default=""),
        get_text(raw, "affinity", default=""),
        get_integer(raw, "maxPerServer", default=0),
        get_boolean(raw, "speculative"),
        get_boolean(raw, "longRunning"),
        get_text(raw, "image", default=""),
        get_number(raw, "targetMs", default=0) / MILLISECONDS,
        get_boolean(raw, "fills"),
        get_integer(raw, "mayMiss", default=0),
    )


class _CallerHandler(RequestHandler):
    def initialize(
        self,
        desk: JobService,
        queues: Callable[[], QueueTable | None],
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        note: Callable[[str, int, float], None],
        calls: CallsInProgress,
    ) -> None:
        self._record_call = note
        self._calls = calls
        self._job_service = desk
        self._queues = queues
        self._wall_clock = wall_clock
        self._clock = clock
        self._started_at = clock()
        calls.open.add(self)

    def finish(self, chunk: Any = None) -> "asyncio.Future[None]":
        if self._finished:
            # It was given up, and its outcome has come after that.
            answered: asyncio.Future[None] = asyncio.Future()
            answered.set_result(None)
            return answered
        if self._calls.is_stopping:
            self.set_header("Connection", "close")
        return super().finish(chunk)

    def give_up(self) -> None:
        if self.request.method == "GET":
            self._refuse(503, "this entry stops")
        else:
            self._refuse(504, "this entry stops, and the outcome is not known")

    def on_connection_close(self) -> None:
        reason = self._calls.abandon(self)
        if reason is not None:
            fields = self._fields(self._last_of_path, reason.value)
            log.warning(
                "Connection ended before the answer",
                extra={"method": self._method, **fields},
            )

    def on_finish(self) -> None:
        if self not in self._calls.open:
            return
        self._calls.open.remove(self)
        seconds = self._clock() - self._started_at
        if self._clock() > self._deadline():
            fields = self._fields(self._last_of_path, str(self.get_status()))
            log.info("Answered too late", extra={"method": self._method, **fields})
        self._record_call(self._method, self.get_status(), seconds)

    @property
    def _method(self) -> str:
        method = self.request.method or ""
        return method if method in self.SUPPORTED_METHODS else OTHER_METHOD

    @property
    def _last_of_path(self) -> JobId:
        return JobId(self.request.path.rpartition("/")[2][:ID_LENGTH])

    def prepare(self) -> None:
        if self._calls.has_given_up:
            self._refuse(503, "this entry stops")
            return
        queue_table = self._queues()
        if queue_table is None:
            self._refuse(503, "no configuration is in force yet")
            return
        host = self.request.host.rpartition(":")[0] or self.request.host
        queue = queue_table.find(host, self.request.path)
        if queue is None:
            self._refuse(404, "no such queue")
            return
        if len(self.request.body) > queue_table.limits.body_bytes:
            self._refuse(413, "the body is too long")
            return
        self._queue = queue
        self._id_text = self.request.path.removeprefix(queue.prefix)

    def _refuse(self, code: int, reason: str) -> None:
        self.set_status(code)
        if code in (429, 503):
            self.set_header("Retry-After", str(RETRY_AFTER_SECONDS))
        self.finish({"error": reason})

    def _job_id(self) -> JobId | None:
        if ID_PATTERN.fullmatch(self._id_text) is None:
            self._refuse(404, "no such submission")
            return None
        return JobId(self._id_text)

    def _fields(self, job: JobId, why: str) -> dict[str, Any]:
        seconds = round(self._clock() - self._started_at, 3)
        return {"job": job, "why": why, "seconds": seconds}

    def _deadline(self) -> float:
        header = self.request.headers.get(DEADLINE_HEADER, "")
        return self._started_at + decode_deadline(header)

    async def post(self) -> None:
        job = self._job_id()
        if job is None:
            return
        try:
            wall_now = self._wall_clock()
            decoded = decode_job(job, self._queue, self.request.body, wall_now=wall_now)
        except BodyError as error:
            self._refuse(400, error.message)
            return
        outcome = await self._job_service.submit(decoded, deadline=self._deadline())
        if outcome is Acceptance.ACCEPTED:
            self.finish({})
        elif outcome is Acceptance.NOT_STORED:
            self._refuse(503, "the store takes nothing at present")
        elif outcome is Acceptance.TOO_LARGE:
            self._refuse(413, "the submission is too large to be stored")
        else:
            self._refuse(504, "it is not known whether the submission was stored")

    async def get(self) -> None:
        if not self._id_text:
            await self._get_waiting()
            return
        job = self._job_id()
        if job is None:
            return
        state = await self._job_service.state(job, deadline=self._deadline())
        if isinstance(state, JobState):
            self.finish({"state": NAME_BY_STATE[state]})
        elif isinstance(state, NoSuchJob):
            log.info("No such job", extra=self._fields(job, state.why))
            self._refuse(410, "no such submission")
        else:
            log.info("State is not known", extra=self._fields(job, state.why))
            self._refuse(504, "its state is not known at present")

    async def _get_waiting(self) -> None:
        count = await self._job_service.waiting(self._queue.name)
        if isinstance(count, int):
            self.finish({"pending": count})
        else:
            self._refuse(503, "the count is not known at present")

    async def delete(self) -> None:
        job = self._job_id()
        if job is None:
            return
        state = await self._job_service.cancel(job, deadline=self._deadline())
        if isinstance(state, JobState):
            self.finish({"state": NAME_BY_STATE[state]})
        elif isinstance(state, NoSuchJob):
            self._refuse(410, "no such submission")
        else:
            fields = self._fields(job, state.why)
            log.info("Cancellation is not known", extra=fields)
            self._refuse(504, "it is not known whether the submission is cancelled")


class _ReadyHandler(RequestHandler):
    def initialize(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    async def get(self) -> None:
        self.set_status(200 if self._ready() else 503)
        self.finish({})


def caller_server(
    job_service: JobService,
    *,
    queues: Callable[[], QueueTable | None],
    clock: Callable[[], float],
    wall_clock: Callable[[], float],
    note: Callable[[str, int, float], None] = lambda method, status, seconds: None,
    calls: CallsInProgress | None = None,
) -> DrainingServer:
    """Return the HTTP server for callers.

    Parameters: `queues` returns None until a configuration is in force; `note` is
    called with the method, status and seconds of each answered call; `calls` holds
    those in progress.
    """
    handler_arguments = {
        "desk": job_service,
        "queues": queues,
        "clock": clock,
        "wall_clock": wall_clock,
        "note": note,
        "calls": CallsInProgress() if calls is None else calls,
    }
    application = Application(
        [(r".*", _CallerHandler, handler_arguments)], log_function=lambda handler: None
    )
    return DrainingServer(
        application, max_body_size=MAX_BODY_BYTES, idle_connection_timeout=300
    )


def ready_server(ready: Callable[[], bool]) -> HTTPServer:
    """Return the server for the readiness checks of the platform's load balancer."""
    application = Application(
        [(r"/ready", _ReadyHandler, {"ready": ready})],
        log_function=lambda handler: None,
    )
    return HTTPServer(application, max_body_size=MAX_UNUSED_BODY_BYTES)
