"""Find the state of a job for a caller, from the leader or else from the store.

Used by `submissions`.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from typing import Any

from wagtailcleat.clock import Clock
from wagtailcleat.cluster.keys import job_key, record_key
from wagtailcleat.cluster.stored_values import Unreadable, decode_stored
from wagtailcleat.ids import JobId
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.keyvalue import KeyValueStore
from wagtailcleat.scheduling.models import JobRecord, JobState
from wagtailcleat.storage import Absent, Found, Unavailable
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.results import Refused
from wagtailcleat.wire.scheduling import ShowState, StateShown

log = part_logger("submissions")

LEADER_HEADSTART_SECONDS = 0.4
"""How long the leader alone is asked; a leader that is well answers in milliseconds."""
FIRST_RETRY_SECONDS = 0.1
"""Pause before the second attempt; it doubles with each further one."""

AskLeader = Callable[[ShowState], Awaitable[AnyMessage | Lost]]
"""Asks the entry that leads, with a time limit of its own."""


@dataclass(frozen=True)
class NoSuchJob:
    """There is no such job; `why` says what that rests on."""

    why: str = field(default="", compare=False)


@dataclass(frozen=True)
class NotAnswered:
    """Neither the leader nor the store answered in time; `why` is for the log."""

    why: str = field(default="", compare=False)
    is_lasting: bool = field(default=False, compare=False)
    """Whether the same question will not be answered soon either."""


class JobStates:
    """Questions for the states of jobs."""

    def __init__(
        self, *, store: KeyValueStore, ask_leader: AskLeader, clock: Clock
    ) -> None:
        """Create it without any question."""
        self.count_by_basis: Counter[str] = Counter()
        """Number of answers, by what they rest on."""
        self._store = store
        self._ask_leader = ask_leader
        self._clock = clock

    def __repr__(self) -> str:
        """Show the number of answers by what they rest on."""
        return f"<JobStates {dict(self.count_by_basis)}>"

    async def find(
        self, job: JobId, *, answer_by: float
    ) -> JobState | NoSuchJob | NotAnswered:
        """Return a job's state, at `answer_by` on this process's clock at the latest.

        A call that fails is repeated until then, unless the store is known to be away.
        """
        found: JobState | NoSuchJob | NotAnswered = NotAnswered("no time was left")
        pause = FIRST_RETRY_SECONDS
        with suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, answer_by - self._clock())):
                while True:
                    found = await self._ask_once(job)
                    if not isinstance(found, NotAnswered) or found.is_lasting:
                        break
                    if self._store.is_unavailable(self._clock()):
                        break
                    await asyncio.sleep(pause)
                    pause *= 2
        if isinstance(found, NotAnswered):
            self.count_by_basis["not answered"] += 1
        elif isinstance(found, NoSuchJob):
            self.count_by_basis["store: no such job"] += 1
        return found

    async def _ask_once(self, job: JobId) -> JobState | NoSuchJob | NotAnswered:
        """Ask the leader, and also the store if the leader doesn't answer at once."""
        asking = asyncio.ensure_future(self._ask_leader(ShowState(job)))
        reading: asyncio.Task[JobState | NoSuchJob | NotAnswered] | None = None
        try:
            await asyncio.wait([asking], timeout=LEADER_HEADSTART_SECONDS)
            shown = _shown(asking)
            if shown is None:
                reading = asyncio.create_task(self._read(job))
                if not asking.done():
                    await _wait_for_either(asking, reading)
                    shown = _shown(asking)
            if reading is None or shown is not None:
                assert shown is not None
                self.count_by_basis["leader"] += 1
                return shown
            found = await reading
            if isinstance(found, JobState):
                self.count_by_basis["store"] += 1
                return found
            return replace(found, why=f"leader: {_told(asking)}; {found.why}")
        finally:
            asking.cancel()
            if reading is not None:
                reading.cancel()

    async def _read(self, job: JobId) -> JobState | NoSuchJob | NotAnswered:
        record, found = await asyncio.gather(
            self._store.get(record_key(job)), self._store.get(job_key(job))
        )
        if isinstance(record, Found):
            progress = decode_stored(record, JobRecord)
            if not isinstance(progress, Unreadable):
                return progress.state
            fields = {"job": job, "why": progress.why}
            log.error("Stored record is unreadable", extra=fields)
            return NotAnswered("the record is unreadable", is_lasting=True)
        if isinstance(record, Unavailable):
            return NotAnswered(f"store: {record.reason}")
        if isinstance(found, Absent):
            return NoSuchJob(f"not stored at revision {found.store_revision}")
        if isinstance(found, Unavailable):
            return NotAnswered(f"store: {found.reason}")
        return JobState.QUEUED


async def _wait_for_either(
    asking: asyncio.Future[AnyMessage | Lost],
    reading: asyncio.Task[JobState | NoSuchJob | NotAnswered],
) -> None:
    """Wait until the store or the leader has answered, or both have failed."""
    either: list[asyncio.Future[Any]] = [asking, reading]
    await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
    if reading.done() and isinstance(reading.result(), NotAnswered):
        await asyncio.wait([asking])


def _shown(asking: asyncio.Future[AnyMessage | Lost]) -> JobState | None:
    """Return the state that the leader has told, if it has told one."""
    answer = asking.result() if asking.done() else None
    if isinstance(answer, StateShown) and answer.state:
        return JobState(answer.state)
    return None


def _told(asking: asyncio.Future[AnyMessage | Lost]) -> str:
    """Return for the log what the leader has told instead of a state."""
    if not asking.done():
        return "no answer yet"
    answer = asking.result()
    if isinstance(answer, Lost):
        return f"no answer ({answer.reason})"
    return answer.reason if isinstance(answer, Refused) else "does not know for sure"
