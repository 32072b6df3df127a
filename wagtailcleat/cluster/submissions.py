"""Submit, show, count and cancel jobs for the callers of an entry.

An entry stores a job itself and then notifies the leader, whose own watch finds the job
if that message is lost. So acceptance depends on the store alone, and no accepted job
is lost when an entry or the leader is killed.
"""

import asyncio
import math
from collections.abc import Callable
from contextlib import suppress
from enum import Enum

from wagtailcleat.clock import Clock
from wagtailcleat.cluster.job_states import JobStates, NoSuchJob, NotAnswered
from wagtailcleat.cluster.keys import (
    cancel_key,
    encode,
    job_key,
)
from wagtailcleat.cluster.leader import Leader
from wagtailcleat.cluster.leadership import Leadership
from wagtailcleat.cluster.records import DEFAULT_MAX_VALUE_BYTES
from wagtailcleat.ids import JobId
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.keyvalue import KeyValueStore
from wagtailcleat.scheduling.models import Job, JobState
from wagtailcleat.storage import (
    Absent,
    Compare,
    Conflict,
    Found,
    Txn,
    Unknown,
    Written,
)
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.peers import Peers
from wagtailcleat.wire.scheduling import (
    CancelSteps,
    CountWaiting,
    JobStored,
    ShowState,
    StateShown,
    StoreJob,
    Submitted,
    Waiting,
)

log = part_logger("submissions")

LEADER_TIMEOUT_SECONDS = 0.8
"""Time limit for an answer of the leader; the store is asked after that."""
CANCEL_TIMEOUT_SECONDS = 1.2
RETRY_PAUSE_SECONDS = 0.1
MIN_WAIT_SECONDS = 0.1
"""Shortest wait for an answer, also for a caller that hardly waits."""
ANSWER_MARGIN_SECONDS = 0.15
"""How long before the caller's deadline the answer is sent."""
COUNT_AGE_LIMIT_SECONDS = 2.0 - ANSWER_MARGIN_SECONDS
"""Largest age of a count of waiting jobs; callers may be shown one of 2 s."""


class Acceptance(Enum):
    """The outcome of a submission."""

    ACCEPTED = "accepted"
    NOT_STORED = "not_stored"
    """The job is not stored, and this attempt will not store it later."""
    UNKNOWN = "unknown"
    """In doubt: the job may be stored already, or may be stored later."""
    CANCELLED = "cancelled"
    """The job was cancelled before it was stored, and is not stored any more."""
    TOO_LARGE = "too_large"
    """The store takes no value of this size, so the job is never stored."""


class Submissions:
    """Operations on jobs that an entry offers to its callers."""

    def __init__(
        self,
        *,
        store: KeyValueStore,
        peers: Peers,
        leadership: Leadership,
        leader: Callable[[], Leader | None],
        clock: Clock,
        max_value_bytes: int = DEFAULT_MAX_VALUE_BYTES,
    ) -> None:
        """Create it; `leader` returns this entry's own `Leader` while it leads.

        Parameters: `max_value_bytes` is the size of the largest value that the store
        takes.
        """
        self._max_value_bytes = max_value_bytes
        self._store = store
        self._peers = peers
        self._leadership = leadership
        self._leader = leader
        self._clock = clock
        self._notifying: set[asyncio.Task[None]] = set()
        self._count_by_queue: dict[str, tuple[float, int]] = {}
        """The last counts of waiting jobs, with when the leader was asked."""
        self.job_states = JobStates(
            store=store, ask_leader=self._ask_leader, clock=clock
        )

    def __repr__(self) -> str:
        """Show the leader."""
        return f"<Submissions to {self._leadership.leader.node}>"

    async def submit(self, job: Job, *, deadline: float) -> Acceptance:
        """Store a job; storing the same id twice stores one job.

        If this entry does not reach the store, the leader stores the job. If neither
        does, the caller gets the answer at once.

        Parameters: `deadline` in seconds on this process's clock.
        """
        value = encode(job)
        if len(value) > self._max_value_bytes:
            log.warning("Too large", extra={"job": job.id, "bytes": len(value)})
            return Acceptance.TOO_LARGE
        unknown = False
        while True:
            outcome = await self._store_or_relay(job.id, value)
            if outcome is Acceptance.ACCEPTED:
                log.info("Accepted", extra={"job": job.id, "queue": job.queue})
                return outcome
            if outcome is Acceptance.CANCELLED:
                log.info("Cancelled before it was stored", extra={"job": job.id})
                return Acceptance.NOT_STORED
            # Once an attempt may have stored the job, a later refusal proves nothing.
            unknown = unknown or outcome is Acceptance.UNKNOWN
            now = self._clock()
            store_unavailable = self._store.is_unavailable(now) and not unknown
            if (
                store_unavailable
                or now + RETRY_PAUSE_SECONDS + ANSWER_MARGIN_SECONDS >= deadline
            ):
                break
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
        verdict = Acceptance.UNKNOWN if unknown else Acceptance.NOT_STORED
        log.warning(
            "Not accepted",
            extra={
                "job": job.id,
                "outcome": verdict.value,
                "store_down": self._store.down_since is not None,
            },
        )
        return verdict

    async def _store_or_relay(self, job: JobId, value: bytes) -> Acceptance:
        outcome = Acceptance.NOT_STORED
        if not self._store.is_unavailable(self._clock()):
            outcome = await self.store(job, value)
        is_settled = outcome in (Acceptance.ACCEPTED, Acceptance.CANCELLED)
        if is_settled or self._leadership.leads:
            return outcome
        answer = await self._call_leader(StoreJob(job, value))
        if isinstance(answer, JobStored):
            relayed = Acceptance(answer.outcome)
        else:
            lost = isinstance(answer, Lost) and answer.sent
            relayed = Acceptance.UNKNOWN if lost else Acceptance.NOT_STORED
        if relayed is Acceptance.NOT_STORED:
            return outcome
        return relayed

    async def store(self, job: JobId, value: bytes) -> Acceptance:
        """Store a job by one write of this entry."""
        if self._store.is_unavailable(self._clock()):
            return Acceptance.NOT_STORED
        key, cancelled = job_key(job), cancel_key(job)
        absent = [Compare(key, absent=True), Compare(cancelled, absent=True)]
        outcome = await self._store.write(Txn(absent, {key: value}))
        if isinstance(outcome, Written):
            self._spawn_notification(Submitted(job, value))
            return Acceptance.ACCEPTED
        if isinstance(outcome, Conflict):
            present = {found.key for found in outcome.current}
            if key in present:
                return Acceptance.ACCEPTED
            # Neither key: a refusal that can't be read does not show which one exists.
            is_cancelled = cancelled in present
            return Acceptance.CANCELLED if is_cancelled else Acceptance.UNKNOWN
        if isinstance(outcome, Unknown):
            return Acceptance.UNKNOWN
        return Acceptance.NOT_STORED

    def _spawn_notification(self, message: Submitted) -> None:
        task = asyncio.create_task(self._notify_leader(message))
        self._notifying.add(task)
        task.add_done_callback(self._notifying.discard)

    async def _notify_leader(self, message: Submitted) -> None:
        own_leader = self._leader()
        if own_leader is not None:
            await own_leader.submitted(message)
            return
        await self._call_leader(message)

    async def _call_leader(
        self, message: AnyMessage, timeout: float = LEADER_TIMEOUT_SECONDS
    ) -> AnyMessage | Lost:
        leader = self._leadership.leader
        if not leader.epoch:
            return Lost(False, "no leader is known")
        return await self._peers.call(
            leader.host, leader.port, message, timeout=timeout
        )

    async def state(
        self, job: JobId, *, deadline: float
    ) -> JobState | NoSuchJob | NotAnswered:
        """Return a job's state, from the leader or else from the store.

        Parameters: `deadline` in seconds on this process's clock.
        """
        shortest = self._clock() + MIN_WAIT_SECONDS
        answer_by = max(shortest, deadline - ANSWER_MARGIN_SECONDS)
        return await self.job_states.find(job, answer_by=answer_by)

    async def _ask_leader(self, message: ShowState) -> AnyMessage | Lost:
        own_leader = self._leader()
        if own_leader is not None and own_leader.ready:
            return own_leader.state(message)
        return await self._call_leader(message)

    async def cancel(
        self, job: JobId, *, deadline: float
    ) -> JobState | NoSuchJob | NotAnswered:
        """Cancel a job and return its state, which is final.

        A call that fails is repeated until shortly before the deadline, unless the
        store is known to be away.

        Parameters: `deadline` in seconds on this process's clock.
        """
        answer_by = deadline - ANSWER_MARGIN_SECONDS
        found = await self._cancel_once(job, answer_by)
        with suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, answer_by - self._clock())):
                while isinstance(found, NotAnswered):
                    if self._store.is_unavailable(self._clock()):
                        break
                    await asyncio.sleep(RETRY_PAUSE_SECONDS)
                    found = await self._cancel_once(job, answer_by)
        return found

    async def _cancel_once(
        self, job: JobId, answer_by: float
    ) -> JobState | NoSuchJob | NotAnswered:
        own_leader = self._leader()
        remaining = max(
            MIN_WAIT_SECONDS, min(CANCEL_TIMEOUT_SECONDS, answer_by - self._clock())
        )
        if own_leader is not None and own_leader.ready:
            answer: AnyMessage | Lost = await own_leader.cancel(
                CancelSteps(job), remaining
            )
        else:
            answer = await self._call_leader(CancelSteps(job), remaining)
        if isinstance(answer, StateShown) and answer.state:
            return JobState(answer.state)
        return await self._cancel_in_store(job)

    async def _cancel_in_store(self, job: JobId) -> JobState | NoSuchJob | NotAnswered:
        found = await self._store.get(job_key(job))
        if isinstance(found, Absent):
            return await self._leave_tombstone(job)
        if not isinstance(found, Found):
            return NotAnswered()
        return await self._write_cancellation(job)

    async def _leave_tombstone(self, job: JobId) -> JobState | NoSuchJob | NotAnswered:
        """Cancel a job that is not stored, so that no late write stores it."""
        key, cancelled = job_key(job), cancel_key(job)
        absent = [Compare(key, absent=True), Compare(cancelled, absent=True)]
        outcome = await self._store.write(Txn(absent, {cancelled: b"1"}))
        if isinstance(outcome, Written):
            log.info("Cancelled before it is stored", extra={"job": job})
            return NoSuchJob()
        if not isinstance(outcome, Conflict):
            return NotAnswered()
        if any(found.key == key for found in outcome.current):
            return await self._write_cancellation(job)
        return NoSuchJob()

    async def _write_cancellation(self, job: JobId) -> JobState | NotAnswered:
        key = cancel_key(job)
        txn = Txn([Compare(key, absent=True)], {key: b"1"})
        outcome = await self._store.write(txn)
        if isinstance(outcome, Written | Conflict):
            log.info("Cancelled in the store", extra={"job": job})
            return JobState.CANCELLED
        return NotAnswered()

    async def waiting(self, queue: str) -> int | NotAnswered:
        """Return the number of a queue's jobs of which no task has started.

        If the leader does not know it, the last number is returned while it is at most
        `COUNT_AGE_LIMIT_SECONDS` old.
        """
        asked_at = self._clock()
        own_leader = self._leader()
        if own_leader is not None:
            answer: AnyMessage | Lost = own_leader.waiting(CountWaiting(queue))
        else:
            answer = await self._call_leader(CountWaiting(queue))
        last_asked_at, last_count = self._count_by_queue.get(queue, (-math.inf, 0))
        if isinstance(answer, Waiting):
            if asked_at >= last_asked_at:
                self._count_by_queue[queue] = (asked_at, answer.count)
            return answer.count
        if self._clock() - last_asked_at <= COUNT_AGE_LIMIT_SECONDS:
            return last_count
        return NotAnswered()
