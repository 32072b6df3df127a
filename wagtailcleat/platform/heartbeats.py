"""HTTP application that receives heartbeats from the worker on this VM.

The agent serves it. Heartbeats and announced departures are decoded into the types of
`wagtailcleat.scheduling.models`.
"""

import math
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from tornado.web import Application, RequestHandler

from wagtailcleat.addresses import host_port_problem
from wagtailcleat.clock import Clock
from wagtailcleat.ids import ServiceName, ZoneName
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.fields import (
    BodyError,
    get_integer,
    get_list,
    get_number,
    get_object,
    get_text,
    parse_object,
)
from wagtailcleat.resources import Resources
from wagtailcleat.scheduling.models import WorkerInfo, WorkerState

log = part_logger("heartbeats")

MILLISECONDS = 1000
MILLICORES = 1000
RACK_LABEL_INDEX = 1
"""Index of the rack in a worker's labels, which are its kind and then its rack."""
MAX_BORN = 2**43
"""Latest birth time in milliseconds, centuries ahead; fencing tokens begin with it."""
MAX_CAPACITY = 2**31
MAX_NAME = 200
MAX_HEARTBEAT_BYTES = 1024 * 1024
MAX_SHOWN = 50
INSTANCE_PATTERN = r"[!-~]{1,200}"
"""Ids of workers; they are sent in a header."""
LOG_INTERVAL_SECONDS = 10.0
"""Shortest time between two log lines about invalid heartbeats."""
STATE_BY_NAME = {"ready": WorkerState.READY, "draining": WorkerState.DRAINING}


@dataclass(frozen=True)
class Heartbeat:
    """The state that a worker reports at one moment."""

    worker: WorkerInfo
    address: str
    """`ip:port` at which the worker accepts calls."""
    sequence: int
    """Increases with each heartbeat of one incarnation of the worker."""


HeartbeatCallback = Callable[[Heartbeat], Awaitable[None]]
LeaveCallback = Callable[[str, int], Awaitable[None]]
"""Called with the id of a leaving worker and the birth time of its incarnation.

The birth time is 0 if the message has none.
"""


def decode_heartbeat(instance: str, body: bytes) -> Heartbeat:
    """Decode the heartbeat of the worker `instance`.

    Raises:
        BodyError: `body` is not JSON, or a field is missing or invalid.

    """
    if not re.fullmatch(INSTANCE_PATTERN, instance):
        raise BodyError("the id is empty, too long or not printable")
    raw = parse_object(body)
    state_name = get_text(raw, "state")
    if state_name not in STATE_BY_NAME:
        raise BodyError(f"state: '{state_name[:MAX_SHOWN]}' is not known")
    labels = tuple(_name(label, "labels") for label in get_list(raw, "labels"))
    worker = WorkerInfo(
        instance,
        _bounded(get_integer(raw, "born", default=0), "born", MAX_BORN),
        ServiceName(_name(raw.get("service"), "service")),
        ZoneName(_name(raw.get("zone"), "zone")),
        STATE_BY_NAME[state_name],
        _capacity(get_object(raw, "capacity")),
        labels,
        labels[RACK_LABEL_INDEX] if len(labels) > RACK_LABEL_INDEX else "",
        get_number(raw, "coldLeftMs", default=0) / MILLISECONDS,
        get_number(raw, "remainingMs", default=0) / MILLISECONDS,
    )
    address = get_text(raw, "addr")
    problem = host_port_problem(address)
    if problem:
        raise BodyError(f"addr: {problem}")
    return Heartbeat(worker, address, get_integer(raw, "seq"))


def _name(value: object, field: str) -> str:
    """Return a name of a service, zone or label."""
    name = get_text({field: value}, field)
    if not 0 < len(name) <= MAX_NAME:
        raise BodyError(f"{field}: empty or longer than {MAX_NAME}")
    return name


T = TypeVar("T", int, float)


def _bounded(value: T, field: str, most: int) -> T:
    if value > most:
        raise BodyError(f"{field}: above {most}")
    return value


def decode_leave(body: bytes) -> int:
    """Return the birth time of the leaving worker's incarnation; 0 if it is unknown.

    Raises:
        BodyError: `body` is neither empty nor valid.

    """
    if not body:
        return 0
    return get_integer(parse_object(body), "born", default=0)


def _capacity(raw: dict[str, Any]) -> Resources:
    return Resources(
        _bounded(get_number(raw, "cpu", default=0), "cpu", MAX_CAPACITY) / MILLICORES,
        _bounded(get_integer(raw, "memMb", default=0), "memMb", MAX_CAPACITY),
        _bounded(get_integer(raw, "gpu", default=0), "gpu", MAX_CAPACITY),
    )


class Rejections:
    """Counts invalid heartbeats, and logs some of them."""

    def __init__(self, *, clock: Clock) -> None:
        """Start without any."""
        self.count = 0
        self._clock = clock
        self._logged_at = -math.inf
        self._logged_count = 0

    def __repr__(self) -> str:
        """Show how many there were."""
        return f"<Rejections: {self.count}>"

    def add(self, instance: str, why: str) -> None:
        """Count an invalid heartbeat."""
        self.count += 1
        now = self._clock()
        if now - self._logged_at < LOG_INTERVAL_SECONDS:
            return
        fields = {"instance": instance[:MAX_NAME], "why": why}
        fields |= {"since_last_line": str(self.count - self._logged_count)}
        self._logged_at, self._logged_count = now, self.count
        log.warning("Heartbeat rejected: the message is invalid", extra=fields)


class _HeartbeatHandler(RequestHandler):
    def initialize(self, beat: HeartbeatCallback, rejections: Rejections) -> None:
        self._on_heartbeat = beat
        self._rejections = rejections

    async def post(self, instance: str) -> None:
        try:
            heartbeat = decode_heartbeat(instance, self.request.body)
        except BodyError as error:
            self._rejections.add(instance, error.message)
            self.set_status(400)
            self.finish({"error": error.message})
            return
        await self._on_heartbeat(heartbeat)
        self.finish({})


class _LeaveHandler(RequestHandler):
    def initialize(self, leave: LeaveCallback, rejections: Rejections) -> None:
        self._on_leave = leave
        self._rejections = rejections

    async def post(self, instance: str) -> None:
        try:
            born = decode_leave(self.request.body)
        except BodyError as error:
            self._rejections.add(instance, error.message)
            self.set_status(400)
            self.finish({"error": error.message})
            return
        await self._on_leave(instance, born)
        self.finish({})


def heartbeat_application(
    on_heartbeat: HeartbeatCallback, on_leave: LeaveCallback, rejections: Rejections
) -> Application:
    """Return the HTTP application that the worker calls.

    Parameters: `on_heartbeat` and `on_leave` finish before the worker gets its answer;
    `rejections` counts heartbeats and leaves that are invalid.
    """
    return Application(
        [
            (
                r"/instances/([^/]+)/heartbeat",
                _HeartbeatHandler,
                {"beat": on_heartbeat, "rejections": rejections},
            ),
            (
                r"/instances/([^/]+)/leave",
                _LeaveHandler,
                {"leave": on_leave, "rejections": rejections},
            ),
        ],
        log_function=lambda handler: None,
    )
