"""Client of the worker on this VM, which starts, stops, throttles and lists runs.

The agent of `wagtailcleat.cluster.hosting` uses it. The worker keeps the highest
fencing token it has seen and rejects calls with a lower one. Refusals and missing
answers are returned as values. A call without an answer may be carried out seconds
later.
"""

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import Any

from wagtailcleat.ids import JobId
from wagtailcleat.platform.fields import (
    BodyError,
    get_integer,
    get_list,
    text,
    whole,
)
from wagtailcleat.platform.http_client import HttpClient, NoAnswer, Reply
from wagtailcleat.scheduling.models import (
    Ended,
    Refusal,
    RunEnd,
    RunKey,
    Running,
    Start,
    TaskKey,
)

MILLISECONDS = 1000
OK = 200
CONFLICT = 409
WRONG_INCARNATION = 421
BAD_REQUEST = 400
UNHEALTHY_CODES = (429, 503)
"""Answers of a worker that has done nothing because it is unhealthy."""
LIST_MARGIN_SECONDS = 0.4
"""Time that a list may take beyond the requested wait; short because the worker is on
this VM."""
MAX_ORDER_CONNECTIONS = 4
"""Starts that are sent at one time, and other orders; further ones wait.

A worker answers in a millisecond. Connections opened for a burst are closed after it.
"""
MAX_LIST_CONNECTIONS = 8
"""Lists that are asked for at one time; one, as long as the worker answers."""
MAX_LISTED_ENDS = 500
"""Maximum of ended runs in one list; the worker lists further ones after earlier ones
are acknowledged."""
MAX_MEASUREMENT = 1e6
"""Largest measurement, in seconds or cores; the scheduler squares some."""
ROW_ERRORS = (ValueError, TypeError, LookupError, OverflowError)
"""What access to a row raises that is too short, or of other types."""
EXPECT_INSTANCE_HEADER = "Wagtailcleat-Expect-Instance"

END_BY_NAME = {
    "done": RunEnd.SUCCEEDED,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LAPSED,
    "broken": RunEnd.BROKEN,
    "alone": RunEnd.ALONE,
}
REFUSAL_BY_REASON = {
    "fence": Refusal.STALE,
    "old": Refusal.STALE,
    "late": Refusal.LATE,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.TICKET,
}


class StartOutcome(Enum):
    """Outcome of a start that was not refused."""

    STARTED = "started"
    """The run was started, now or by an earlier call."""
    UNKNOWN = "unknown"
    """There was no answer, or none that settles it; it may still be carried out."""


@dataclass(frozen=True)
class StaleFence:
    """The worker has seen a newer fencing token than the one of this process."""


@dataclass(frozen=True)
class OtherIncarnation:
    """Another incarnation of the worker, or another worker, answered at the address."""


@dataclass(frozen=True)
class RunList:
    """All runs of a worker; `worker_seconds` is its clock when it answered."""

    worker_seconds: float
    running: list[Running]
    ended: list[Ended]
    born: int
    """Birth time of the worker's incarnation; 0 if the answer has none."""
    has_all_ends: bool
    """Whether `ended` is certain to contain every ended run."""


class RunWorker:
    """Client of one incarnation of the worker."""

    def __init__(
        self, address: str, instance: str, *, fence: int, call_seconds: float
    ) -> None:
        """Create a client of the worker `instance` at `address`, an `ip:port`.

        Parameters: `fence` is the fencing token sent with each call.
        """
        self.fence = fence
        self._call_seconds = call_seconds
        self._expect_instance = {EXPECT_INSTANCE_HEADER: instance}
        self._start_client = HttpClient(address, max_clients=MAX_ORDER_CONNECTIONS)
        self._client = HttpClient(address, max_clients=MAX_ORDER_CONNECTIONS)
        self._list_client = HttpClient(address, max_clients=MAX_LIST_CONNECTIONS)

    def __repr__(self) -> str:
        """Return a text with the fencing token."""
        return f"<RunWorker fence {self.fence}>"

    def close(self) -> None:
        """Close all connections."""
        self._start_client.close()
        self._client.close()
        self._list_client.close()

    async def start(
        self, start: Start, *, until: float
    ) -> StartOutcome | Refusal | OtherIncarnation:
        """Start a run whose lease ends at `until` in seconds on the worker's clock."""
        body: dict[str, Any] = {
            "task": _format_task_key(start.key.task),
            "run": start.key.run,
            "spec": start.spec,
            "deadlineMs": int(until * MILLISECONDS),
            "fence": self.fence,
        }
        if start.checkpoint:
            body["lastCheckpoint"] = start.checkpoint
        if start.ticket:
            body["ticket"] = start.ticket
        reply = await self._call("/run-start", body, self._start_client)
        if not isinstance(reply, Reply):
            return StartOutcome.UNKNOWN
        return _parse_start_outcome(reply)

    async def stop(self, key: RunKey) -> bool:
        """Stop a run, or prevent its start; return whether the worker confirmed it."""
        body = {"task": _format_task_key(key.task), "run": key.run, "fence": self.fence}
        reply = await self._call("/run-stop", body)
        return isinstance(reply, Reply) and reply.code == OK

    async def pace(self, key: RunKey, percent: int) -> bool:
        """Limit a run to `percent` of its CPU time; return whether it was confirmed."""
        body = {
            "task": _format_task_key(key.task),
            "run": key.run,
            "percent": percent,
            "fence": self.fence,
        }
        reply = await self._call("/pace", body)
        return isinstance(reply, Reply) and reply.code == OK

    async def list(
        self, *, acknowledged: int, until: float | None, wait_seconds: float
    ) -> RunList | StaleFence | OtherIncarnation | NoAnswer:
        """Renew all leases, acknowledge ended runs, and list all runs.

        Parameters: `acknowledged` is the number of the last ended run processed;
        `until` is the new end of the leases on the worker's clock, None renews none;
        the worker waits up to `wait_seconds` for a run to end before it answers. A list
        that is read after the call's limit counts as lost: it may no longer hold.
        """
        loop = asyncio.get_running_loop()
        latest = loop.time() + wait_seconds + LIST_MARGIN_SECONDS
        body: dict[str, Any] = {"fence": self.fence, "ackCursor": acknowledged}
        if until is not None:
            body["deadlineMs"] = int(until * MILLISECONDS)
        if wait_seconds:
            body["waitMs"] = int(wait_seconds * MILLISECONDS)
        reply = await self._list_client.call(
            "POST",
            "/hold",
            body,
            timeout=wait_seconds + LIST_MARGIN_SECONDS,
            headers=self._expect_instance,
        )
        if not isinstance(reply, Reply):
            return reply
        if reply.code == WRONG_INCARNATION:
            return OtherIncarnation()
        if loop.time() > latest:
            return NoAnswer.LOST
        try:
            return _parse_run_list(reply)
        except (BodyError, *ROW_ERRORS):
            return NoAnswer.LOST

    async def _call(
        self, path: str, body: dict[str, Any], client: HttpClient | None = None
    ) -> Reply | NoAnswer:
        return await (client or self._client).call(
            "POST",
            path,
            body,
            timeout=self._call_seconds,
            headers=self._expect_instance,
        )


def _parse_start_outcome(reply: Reply) -> StartOutcome | Refusal | OtherIncarnation:
    if reply.code in UNHEALTHY_CODES:
        return Refusal.UNHEALTHY
    if reply.code == WRONG_INCARNATION:
        return OtherIncarnation()
    if reply.code == CONFLICT:
        reason = str(reply.body.get("reason", ""))
        return REFUSAL_BY_REASON.get(reason, Refusal.INVALID)
    if reply.code == BAD_REQUEST:
        return Refusal.INVALID
    return StartOutcome.STARTED if reply.code == OK else StartOutcome.UNKNOWN


def _parse_run_list(reply: Reply) -> RunList | StaleFence | NoAnswer:
    if reply.code == CONFLICT:
        return StaleFence()
    if reply.code != OK:
        return NoAnswer.LOST
    ended = [_parse_ended(row) for row in get_list(reply.body, "finished")]
    return RunList(
        get_integer(reply.body, "clockMs") / MILLISECONDS,
        [_parse_running(row) for row in get_list(reply.body, "running")],
        ended,
        get_integer(reply.body, "born", default=0),
        len(ended) < MAX_LISTED_ENDS,
    )


def _parse_running(row: list[Any]) -> Running:
    key = RunKey(_parse_task_key(row[0]), whole(row[1], "run"))
    # A serving run reports milliseconds, any other run thousandths of a core. The same
    # factor converts both, to seconds and to cores.
    measurement = float(row[4]) / MILLISECONDS if len(row) > 4 else 0.0
    if not 0 <= measurement <= MAX_MEASUREMENT:
        measurement = 0.0
    return Running(key, text(row[2], "saved"), whole(row[3], "percent"), measurement)


def _parse_ended(row: list[Any]) -> Ended:
    key = RunKey(_parse_task_key(row[1]), whole(row[2], "run"))
    saved = text(row[4], "saved")
    return Ended(whole(row[0], "number"), key, END_BY_NAME[row[3]], saved)


def _format_task_key(key: TaskKey) -> str:
    return f"{key.job}.{key.occurrence}.{key.step}.{key.position}"


def _parse_task_key(name: str) -> TaskKey:
    job, *numbers = text(name, "task").rsplit(".", 3)
    occurrence, step, position = (whole(int(number), "task") for number in numbers)
    return TaskKey(JobId(job), occurrence, step, position)
