"""Client of the worker on this VM: starts, stops, paces and lists runs.

The worker keeps the highest fence it has seen and does nothing for a lower one.
Outcomes are values. A call without an answer may be carried out seconds later.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from wagtailcleat.ids import JobId
from wagtailcleat.platform.exchange import Exchange, NoAnswer, Reply
from wagtailcleat.platform.fields import BodyError, rows, whole
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
WRONG_LIFE = 421
BAD_REQUEST = 400
WAIT_SLACK_SECONDS = 0.4
"""What a list may take beyond its waiting time: the worker is on this VM."""
ENDS_AT_ONCE = 500
"""A worker lists so many ends in one answer; later ones wait for acknowledgements."""
EXPECT_INSTANCE = "Wagtailcleat-Expect-Instance"

END_BY_WORD = {
    "done": RunEnd.SUCCEEDED,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LAPSED,
    "broken": RunEnd.BROKEN,
    "alone": RunEnd.ALONE,
}
REFUSAL_BY_WORD = {
    "fence": Refusal.STALE,
    "old": Refusal.STALE,
    "late": Refusal.LATE,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.TICKET,
}


class StartOutcome(Enum):
    """What became of a start."""

    STARTED = "started"
    """It runs, or the same run was there before."""
    UNKNOWN = "unknown"
    """It may be carried out yet."""


@dataclass(frozen=True)
class Stale:
    """The worker has seen a newer fence than this process uses."""

    worker_seconds: float


@dataclass(frozen=True)
class OtherLife:
    """Another life of the worker, or another worker, answers at its address."""


@dataclass(frozen=True)
class RunList:
    """All runs of a worker; `worker_seconds` is its clock as it answered."""

    worker_seconds: float
    running: list[Running]
    ended: list[Ended]
    born: int
    """0 where the worker does not say."""
    ends_whole: bool
    """Whether `ended` surely has every end."""


class RunWorker:
    """The worker in one of its lives."""

    def __init__(
        self, address: str, instance: str, *, fence: int, call_seconds: float
    ) -> None:
        """Order the worker `instance` at `address`, an `ip:port`, under `fence`."""
        self.fence = fence
        self._call_seconds = call_seconds
        self._expect = {EXPECT_INSTANCE: instance}
        self._exchange = Exchange(address)
        self._listing = Exchange(address, max_clients=2)

    def __repr__(self) -> str:
        """Show the fence."""
        return f"<RunWorker fence {self.fence}>"

    def close(self) -> None:
        """Close all connections."""
        self._exchange.close()
        self._listing.close()

    async def start(
        self, start: Start, *, until: float
    ) -> StartOutcome | Refusal | OtherLife:
        """Start a run under a lease that ends at `until`, on the worker's clock."""
        body: dict[str, Any] = {
            "task": _task_text(start.key.task),
            "run": start.key.run,
            "spec": start.spec,
            "deadlineMs": int(until * MILLISECONDS),
            "fence": self.fence,
        }
        if start.checkpoint:
            body["lastCheckpoint"] = start.checkpoint
        if start.ticket:
            body["ticket"] = start.ticket
        reply = await self._call("/run-start", body)
        if not isinstance(reply, Reply):
            return StartOutcome.UNKNOWN
        return _start_outcome(reply)

    async def stop(self, key: RunKey) -> bool:
        """Stop a run, or keep it from ever starting; tell whether that is sure."""
        body = {"task": _task_text(key.task), "run": key.run, "fence": self.fence}
        reply = await self._call("/run-stop", body)
        return isinstance(reply, Reply) and reply.code == OK

    async def pace(self, key: RunKey, percent: int) -> bool:
        """Let a run work at `percent` of its processor time."""
        body = {
            "task": _task_text(key.task),
            "run": key.run,
            "percent": percent,
            "fence": self.fence,
        }
        reply = await self._call("/pace", body)
        return isinstance(reply, Reply) and reply.code == OK

    async def list(
        self, *, acknowledged: int, until: float | None, wait_seconds: float
    ) -> RunList | Stale | OtherLife | NoAnswer:
        """Renew the leases to `until`, acknowledge ends, and list all runs.

        Parameters: the answer waits up to `wait_seconds` for a run to end.
        """
        body: dict[str, Any] = {"fence": self.fence, "ackCursor": acknowledged}
        if until is not None:
            body["deadlineMs"] = int(until * MILLISECONDS)
        if wait_seconds:
            body["waitMs"] = int(wait_seconds * MILLISECONDS)
        reply = await self._listing.call(
            "POST",
            "/hold",
            body,
            timeout=wait_seconds + WAIT_SLACK_SECONDS,
            headers=self._expect,
        )
        if not isinstance(reply, Reply):
            return reply
        if reply.code == WRONG_LIFE:
            return OtherLife()
        try:
            return _run_list(reply)
        except (BodyError, ValueError, TypeError, KeyError):
            return NoAnswer.LOST

    async def _call(self, path: str, body: dict[str, Any]) -> Reply | NoAnswer:
        return await self._exchange.call(
            "POST", path, body, timeout=self._call_seconds, headers=self._expect
        )


def _start_outcome(reply: Reply) -> StartOutcome | Refusal | OtherLife:
    if reply.code == OK:
        return StartOutcome.STARTED
    if reply.code == WRONG_LIFE:
        return OtherLife()
    if reply.code == CONFLICT:
        word = str(reply.body.get("reason", ""))
        return REFUSAL_BY_WORD.get(word, Refusal.INVALID)
    if reply.code == BAD_REQUEST:
        return Refusal.INVALID
    return Refusal.UNHEALTHY


def _run_list(reply: Reply) -> RunList | Stale | NoAnswer:
    if reply.code == CONFLICT:
        return Stale(whole(reply.body, "clockMs") / MILLISECONDS)
    if reply.code != OK:
        return NoAnswer.LOST
    ended = [_ended(row) for row in rows(reply.body, "finished")]
    return RunList(
        whole(reply.body, "clockMs") / MILLISECONDS,
        [_running(row) for row in rows(reply.body, "running")],
        ended,
        whole(reply.body, "born", default=0),
        len(ended) < ENDS_AT_ONCE,
    )


def _running(row: list[Any]) -> Running:
    key = RunKey(_task_key(row[0]), int(row[1]))
    figure = float(row[4]) if len(row) > 4 else 0.0
    # A serving run reports milliseconds, any other thousandths of a core: both
    # become the product's unit by the same factor.
    return Running(key, str(row[2]), int(row[3]), figure / MILLISECONDS)


def _ended(row: list[Any]) -> Ended:
    key = RunKey(_task_key(row[1]), int(row[2]))
    return Ended(int(row[0]), key, END_BY_WORD[row[3]], str(row[4]))


def _task_text(key: TaskKey) -> str:
    return f"{key.job}.{key.occurrence}.{key.step}.{key.position}"


def _task_key(name: str) -> TaskKey:
    job, occurrence, step, position = name.rsplit(".", 3)
    return TaskKey(JobId(job), int(occurrence), int(step), int(position))
