"""Handles the messages of shard owners: reserve, start, release, adopt and evict.

`Agent` registers these handlers in the dispatcher of its node.
"""

from collections.abc import Callable

from wagtailcleat.agent.attempt_table import Attempt, AttemptTable, Phase
from wagtailcleat.agent.evictor import Evictor
from wagtailcleat.agent.shard_owners import ShardOwners
from wagtailcleat.errors import Code
from wagtailcleat.ids import Epoch, Incarnation, ShardId, VmName
from wagtailcleat.platform.worker import Worker, WorkerRefused, WorkerUnreachable
from wagtailcleat.process import Handlers
from wagtailcleat.resources import Resources
from wagtailcleat.settings import Timing
from wagtailcleat.wire.answer_writer import AnswerWriter
from wagtailcleat.wire.attempts import Evict, NoRoom, Release, Reserve, Reserved, Start
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.results import Done, Refused
from wagtailcleat.wire.streams import Stream
from wagtailcleat.wire.takeover import Adopt, Adopted
from wagtailcleat.wire.task_ids import job_of

RETRY_AFTER_SECONDS = 1.0
INCOMPLETE = "still listing what runs here"
NEWER_OWNER = "a newer owner is known here"

RefusalCheck = Callable[[str, Resources], str]
"""Returns why a task of a job class and size is refused; empty if it is not."""
PenaltyEstimate = Callable[[str, float | None], float | None]
"""Returns the slowdown of this VM's services per core of a job class, if known.

Its second argument is the owner's estimate.
"""


class AttemptHandlers:
    """Applies owners' messages to the attempt table and the worker.

    `ShardOwners` decides whether the sender of a message is the current owner.
    """

    def __init__(
        self,
        table: AttemptTable,
        owners: ShardOwners,
        evictor: Evictor,
        worker: Worker,
        *,
        vm: VmName,
        incarnation: Incarnation,
        timing: Timing,
        closed_reason: Callable[[], str],
    ) -> None:
        """Start tasks on `worker` for the owners that `owners` accepts.

        Parameters: `closed_reason` returns why no task may start now, or an empty
        string.
        """
        self.refusal_reason: RefusalCheck = lambda job_class, size: ""
        self.penalty: PenaltyEstimate = lambda job_class, estimate: estimate
        self._table = table
        self._owners = owners
        self._evictor = evictor
        self._worker = worker
        self._vm = vm
        self._incarnation = incarnation
        self._timing = timing
        self._closed_reason = closed_reason

    def by_message(self) -> Handlers:
        """Return the handlers by message class."""
        return {
            Reserve: self._on_reserve,
            Start: self._on_start,
            Release: self._on_release,
            Adopt: self._on_adopt,
            Evict: self._on_evict,
        }

    async def _on_reserve(
        self, stream: Stream, message: AnyMessage, answer_writer: AnswerWriter
    ) -> AnyMessage:
        assert isinstance(message, Reserve)
        table, commitments = self._table, self._table.commitments
        now = table.clock()
        reason = self._reservation_refusal(message, stream, now)
        penalty = self.penalty(message.job_class, message.penalty)
        if not reason and not message.urgent:
            reason = self.refusal_reason(message.job_class, message.size)
        if reason:
            return NoRoom(reason, commitments.free(now), penalty)
        if message.urgent:
            await self._evictor.preempt(message.size)
            now = table.clock()
        seconds = self._timing.reservation
        if not table.reserve(message, until=now + seconds, now=now):
            return NoRoom("not enough is free", commitments.free(now), penalty)
        return Reserved(seconds, commitments.free(now), self._incarnation, penalty)

    async def _on_start(
        self, stream: Stream, message: AnyMessage, answer_writer: AnswerWriter
    ) -> AnyMessage:
        assert isinstance(message, Start)
        table = self._table
        if not table.is_complete:
            # A previous incarnation may have started the attempt and crashed before
            # it answered.
            return _incomplete()
        attempt = table.attempt_by_id.get(message.attempt)
        if attempt is not None and attempt.phase is Phase.ENDED and attempt.report:
            return attempt.report
        if attempt is not None and attempt.phase is not Phase.RESERVED:
            return Done()
        now = table.clock()
        reason = self._message_refusal(message.shard, message.epoch, stream)
        if attempt is None or now > attempt.reserved_until:
            reason = reason or "its reservation has lapsed"
        if reason or attempt is None:
            return table.discard(message.attempt, message.shard, reason)
        if not table.commitments.confirm(message.attempt, now):
            return table.discard(message.attempt, message.shard, "no room is held")
        attempt.phase = Phase.STARTING
        attempt.phase_since = now
        return await self._start(attempt, message)

    async def _start(self, attempt: Attempt, message: Start) -> AnyMessage:
        # The lease of the start ends with the reservation, which was made before the
        # assignment was committed, and the worker refuses an expired lease. A start
        # therefore cannot happen later than one reservation length after the commit,
        # even if a process is paused in between. No commit places a task in a zone
        # that was taken out before.
        size = self._table.commitments.allocation_by_attempt[attempt.id].size
        reserved_at = attempt.reserved_until - self._timing.reservation
        attempt.grant_until = reserved_at + message.grant
        task = await self._worker.start(
            attempt.id,
            message.command,
            size,
            lease_until=attempt.reserved_until,
            checkpoint=message.checkpoint,
        )
        if isinstance(task, WorkerRefused):
            reason = f"worker: {task.code}"
            return self._table.discard(attempt.id, attempt.shard, reason)
        if isinstance(task, WorkerUnreachable):
            # The next poll of the worker's task list shows whether the task runs.
            return Refused(Code.OUTCOME_UNKNOWN.value, task.reason)
        if attempt.report is not None:
            # A poll found the task running and it was evicted before this answer came.
            return attempt.report
        attempt.phase = Phase.RUNNING
        attempt.phase_since = self._table.clock()
        await self._worker.renew({attempt.id: attempt.grant_until})
        return Done()

    async def _on_release(
        self, stream: Stream, message: AnyMessage, answer_writer: AnswerWriter
    ) -> AnyMessage:
        assert isinstance(message, Release)
        attempt = self._table.attempt_by_id.get(message.attempt)
        if attempt is not None and attempt.phase is Phase.RESERVED:
            self._table.discard(attempt.id, attempt.shard, "released")
        return Done()

    async def _on_adopt(
        self, stream: Stream, message: AnyMessage, answer_writer: AnswerWriter
    ) -> AnyMessage:
        assert isinstance(message, Adopt)
        if not self._table.is_complete:
            return _incomplete()
        if not self._owners.accept(message.shard, message.epoch, stream.peer):
            return Refused(Code.CONFLICT.value, NEWER_OWNER)
        reports = []
        for attempt in self._table.of_shard(message.shard):
            if attempt.phase is Phase.RESERVED:
                self._table.discard(attempt.id, attempt.shard, "its owner changed")
            else:
                reports.append(attempt.current_report())
        return Adopted(self._vm, self._incarnation, reports)

    async def _on_evict(
        self, stream: Stream, message: AnyMessage, answer_writer: AnswerWriter
    ) -> AnyMessage:
        assert isinstance(message, Evict)
        attempt = self._table.attempt_by_id.get(message.attempt)
        accepted = self._owners.accept(message.shard, message.epoch, stream.peer)
        if attempt is None or not accepted:
            return Refused(Code.NOT_FOUND.value, "no such attempt of this owner here")
        await self._evictor.evict(attempt, message.reason)
        return Done()

    def _reservation_refusal(self, message: Reserve, stream: Stream, now: float) -> str:
        reason = self._message_refusal(message.shard, message.epoch, stream)
        reason = reason or self._table.unhealthy_reason(job_of(message.attempt), now)
        if self._table.has_seen(message.attempt):
            reason = reason or "asked for here before"
        return reason

    def _message_refusal(self, shard: ShardId, epoch: Epoch, stream: Stream) -> str:
        if not self._table.is_complete:
            return INCOMPLETE
        if not self._owners.accept(shard, epoch, stream.peer):
            return NEWER_OWNER
        return self._closed_reason()


def _incomplete() -> Refused:
    return Refused(Code.UNAVAILABLE.value, INCOMPLETE, RETRY_AFTER_SECONDS)
