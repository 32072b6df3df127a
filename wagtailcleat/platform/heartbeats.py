"""Heartbeats of the worker on this VM, decoded into the product's types."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from tornado.web import Application, RequestHandler

from wagtailcleat.ids import ServiceName, ZoneName
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.fields import (
    BodyError,
    number,
    read_object,
    rows,
    table,
    text,
    whole,
)
from wagtailcleat.resources import Resources
from wagtailcleat.scheduling.models import WorkerInfo, WorkerState

log = part_logger("heartbeats")

MILLISECONDS = 1000
MILLICORES = 1000
RACK_LABEL = 1
"""A worker's labels are its kind and then its rack."""
STATE_BY_WORD = {"ready": WorkerState.READY, "draining": WorkerState.DRAINING}


@dataclass(frozen=True)
class Heartbeat:
    """What a worker says of itself at one moment."""

    worker: WorkerInfo
    address: str
    """`ip:port` at which it takes orders."""
    sequence: int
    """Rises with each heartbeat of one life."""
    worker_seconds: float
    """The worker's clock as it sent this."""


Beat = Callable[[Heartbeat], Awaitable[None]]
Leave = Callable[[str, int], Awaitable[None]]
"""Takes in that a worker leaves, in the life that was born then; 0: it does not say."""


def decode_heartbeat(instance: str, body: bytes) -> Heartbeat:
    """Return a worker's heartbeat.

    Raises:
        BodyError: it names no worker that could be used.

    """
    raw = read_object(body)
    word = text(raw, "state")
    if word not in STATE_BY_WORD:
        raise BodyError(f"state: '{word}' is not known")
    labels = tuple(str(label) for label in rows(raw, "labels"))
    worker = WorkerInfo(
        instance,
        whole(raw, "born", default=0),
        ServiceName(text(raw, "service")),
        ZoneName(text(raw, "zone")),
        STATE_BY_WORD[word],
        _capacity(table(raw, "capacity")),
        labels,
        labels[RACK_LABEL] if len(labels) > RACK_LABEL else "",
        number(raw, "coldLeftMs", default=0) / MILLISECONDS,
        number(raw, "remainingMs", default=0) / MILLISECONDS,
    )
    seconds = number(raw, "clockMs", default=0) / MILLISECONDS
    return Heartbeat(worker, text(raw, "addr"), whole(raw, "seq"), seconds)


def decode_leave(body: bytes) -> int:
    """Return in which life a worker leaves; 0 where it does not say."""
    try:
        return whole(read_object(body), "born", default=0)
    except BodyError:
        return 0


def _capacity(raw: dict[str, Any]) -> Resources:
    return Resources(
        number(raw, "cpu", default=0) / MILLICORES,
        whole(raw, "memMb", default=0),
        whole(raw, "gpu", default=0),
    )


class _BeatHandler(RequestHandler):
    def initialize(self, beat: Beat) -> None:
        self._beat = beat

    async def post(self, instance: str) -> None:
        try:
            heartbeat = decode_heartbeat(instance, self.request.body)
        except BodyError as error:
            log.warning(
                "Unreadable heartbeat",
                extra={"instance": instance, "why": error.message},
            )
            self.set_status(400)
            self.finish({"error": error.message})
            return
        await self._beat(heartbeat)
        self.finish({})


class _LeaveHandler(RequestHandler):
    def initialize(self, leave: Leave) -> None:
        self._leave = leave

    async def post(self, instance: str) -> None:
        await self._leave(instance, decode_leave(self.request.body))
        self.finish({})


def heartbeat_application(beat: Beat, leave: Leave) -> Application:
    """Return the HTTP application that the worker calls."""
    return Application(
        [
            (r"/instances/([^/]+)/heartbeat", _BeatHandler, {"beat": beat}),
            (r"/instances/([^/]+)/leave", _LeaveHandler, {"leave": leave}),
        ],
        log_function=lambda handler: None,
    )
