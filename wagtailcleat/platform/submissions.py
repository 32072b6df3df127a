"""Callers' HTTP: submissions, their states, and the counts of queues."""

import re
from collections.abc import Callable
from typing import Any, Protocol

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from wagtailcleat.cluster.submissions import Acceptance, NoSuchJob, NotAnswered
from wagtailcleat.ids import JobId
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.fields import (
    BodyError,
    flag,
    number,
    read_object,
    rows,
    text,
    whole,
)
from wagtailcleat.resources import Resources
from wagtailcleat.scheduling.models import Job, JobState, Step
from wagtailcleat.scheduling.queues import Queue, QueueTable

log = part_logger("callers")

DEADLINE_HEADER = "Wagtailcleat-Deadline-Ms"
MILLISECONDS = 1000
MILLICORES = 1000
DEFAULT_DEADLINE_SECONDS = 3.0
"""For callers that name none; as long as all callers of the deployments wait."""
MAX_DEADLINE_SECONDS = 60.0
RETRY_AFTER_SECONDS = 1
"""A refused caller may return then: entries without configuration or store look for
them several times a second."""
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_TASKS = 10_000
"""Of one occurrence; more is refused as unreadable rather than taking all memory."""
MAX_SPEC_BYTES = 4_000
OTHER_METHOD = "other"
"""Noted for a method that HTTP does not know: callers can make up any number."""
ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}")

WORD_BY_STATE = {
    JobState.QUEUED: "queued",
    JobState.RUNNING: "running",
    JobState.SUCCEEDED: "done",
    JobState.FAILED: "failed",
    JobState.CANCELLED: "cancelled",
}


class Desk(Protocol):
    """What the product does with jobs."""

    async def submit(self, job: Job, *, deadline: float) -> Acceptance:
        """Store a job."""

    async def state(self, job: JobId) -> JobState | NoSuchJob | NotAnswered:
        """Return how a job stands."""

    async def cancel(
        self, job: JobId, *, deadline: float
    ) -> JobState | NoSuchJob | NotAnswered:
        """Cancel a job."""

    async def waiting(self, queue: str) -> int | NotAnswered:
        """Count the jobs of a queue that have not begun."""


def decode_job(job: JobId, queue: Queue, body: bytes, *, wall_now: float) -> Job:
    """Return the job that a caller hands in.

    Raises:
        BodyError: it can't be read, or asks for what no job may.

    """
    raw = read_object(body)
    spec = text(raw, "spec", default="")
    if len(spec.encode()) > MAX_SPEC_BYTES:
        raise BodyError("spec: too long")
    steps = tuple(
        _step(step, position) for position, step in enumerate(rows(raw, "steps"))
    )
    if not steps:
        raise BodyError("steps: there are none")
    if sum(step.count for step in steps) > MAX_TASKS:
        raise BodyError("steps: too many tasks")
    times = whole(raw, "times", default=0)
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
        number(raw, "startMs", default=0) / MILLISECONDS if times else 0.0,
        number(raw, "intervalMs", default=0) / MILLISECONDS if times else 0.0,
        queue.advised,
    )


def _step(raw: Any, position: int) -> Step:
    if not isinstance(raw, dict):
        raise BodyError("steps: not an object")
    after = tuple(rows(raw, "after"))
    if not all(
        isinstance(earlier, int) and 0 <= earlier < position for earlier in after
    ):
        raise BodyError("after: names a step that is not earlier")
    return Step(
        whole(raw, "count", default=0),
        Resources(
            number(raw, "cpu", default=0) / MILLICORES,
            whole(raw, "memMb", default=0),
            whole(raw, "gpu", default=0),
        ),
        number(raw, "estMs", default=0) / MILLISECONDS,
        after,
        flag(raw, "checkpointable"),
        flag(raw, "gang"),
        flag(raw, "sameRack"),
        text(raw, "requiredLabel", default=""),
        text(raw, "affinity", default=""),
        whole(raw, "maxPerServer", default=0),
        flag(raw, "speculative"),
        flag(raw, "longRunning"),
        text(raw, "image", default=""),
        number(raw, "targetMs", default=0) / MILLISECONDS,
        flag(raw, "fills"),
        whole(raw, "mayMiss", default=0),
    )


class _CallerHandler(RequestHandler):
    def initialize(
        self,
        desk: Desk,
        queues: Callable[[], QueueTable | None],
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        note: Callable[[str, int, float], None],
    ) -> None:
        self._note = note
        self._desk = desk
        self._queues = queues
        self._wall_clock = wall_clock
        self._clock = clock
        self._began = clock()

    def on_finish(self) -> None:
        method = self.request.method
        if method not in self.SUPPORTED_METHODS:
            method = OTHER_METHOD
        self._note(method, self.get_status(), self._clock() - self._began)

    def prepare(self) -> None:
        table = self._queues()
        if table is None:
            self._refuse(503, "no configuration is in force yet")
            return
        host = self.request.host.rpartition(":")[0] or self.request.host
        queue = table.find(host, self.request.path)
        if queue is None:
            self._refuse(404, "no such queue")
            return
        if len(self.request.body) > table.limits.body_bytes:
            self._refuse(413, "the body is too long")
            return
        self._queue = queue
        self._id = self.request.path.removeprefix(queue.prefix)

    def _refuse(self, code: int, why: str) -> None:
        self.set_status(code)
        if code in (429, 503):
            self.set_header("Retry-After", str(RETRY_AFTER_SECONDS))
        self.finish({"error": why})

    def _job(self) -> JobId | None:
        if ID_PATTERN.fullmatch(self._id) is None:
            self._refuse(404, "no such submission")
            return None
        return JobId(self._id)

    def _deadline(self) -> float:
        given = self.request.headers.get(DEADLINE_HEADER, "")
        seconds = DEFAULT_DEADLINE_SECONDS
        if given.isdigit():
            seconds = min(int(given) / MILLISECONDS, MAX_DEADLINE_SECONDS)
        return self._began + seconds

    async def post(self) -> None:
        job = self._job()
        if job is None:
            return
        try:
            wall_now = self._wall_clock()
            decoded = decode_job(job, self._queue, self.request.body, wall_now=wall_now)
        except BodyError as error:
            self._refuse(400, error.message)
            return
        outcome = await self._desk.submit(decoded, deadline=self._deadline())
        if outcome is Acceptance.ACCEPTED:
            self.finish({})
        elif outcome is Acceptance.NOT_STORED:
            self._refuse(503, "the store takes nothing at present")
        else:
            self._refuse(504, "it is not known whether the submission was stored")

    async def get(self) -> None:
        if not self._id:
            await self._count()
            return
        job = self._job()
        if job is None:
            return
        state = await self._desk.state(job)
        if isinstance(state, JobState):
            self.finish({"state": WORD_BY_STATE[state]})
        elif isinstance(state, NoSuchJob):
            self._refuse(410, "no such submission")
        else:
            self._refuse(504, "its state is not known at present")

    async def _count(self) -> None:
        count = await self._desk.waiting(self._queue.name)
        if isinstance(count, int):
            self.finish({"pending": count})
        else:
            self._refuse(504, "the count is not known at present")

    async def delete(self) -> None:
        job = self._job()
        if job is None:
            return
        state = await self._desk.cancel(job, deadline=self._deadline())
        if isinstance(state, JobState):
            self.finish({"state": WORD_BY_STATE[state]})
        elif isinstance(state, NoSuchJob):
            self._refuse(410, "no such submission")
        else:
            self._refuse(504, "it is not known whether the submission is cancelled")


class _ReadyHandler(RequestHandler):
    def initialize(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    async def get(self) -> None:
        self.set_status(200 if self._ready() else 503)
        self.finish({})


def caller_server(
    desk: Desk,
    *,
    queues: Callable[[], QueueTable | None],
    clock: Callable[[], float],
    wall_clock: Callable[[], float],
    note: Callable[[str, int, float], None] = lambda method, status, seconds: None,
) -> HTTPServer:
    """Return the server that callers reach.

    Parameters: `note` is told method, status and seconds of each call answered.
    """
    parts = {
        "desk": desk,
        "queues": queues,
        "clock": clock,
        "wall_clock": wall_clock,
        "note": note,
    }
    application = Application(
        [(r".*", _CallerHandler, parts)], log_function=lambda handler: None
    )
    return HTTPServer(
        application, max_body_size=MAX_BODY_BYTES, idle_connection_timeout=300
    )


def ready_server(ready: Callable[[], bool]) -> HTTPServer:
    """Return the server that the platform's balancer asks."""
    application = Application(
        [(r"/ready", _ReadyHandler, {"ready": ready})],
        log_function=lambda handler: None,
    )
    return HTTPServer(application)
