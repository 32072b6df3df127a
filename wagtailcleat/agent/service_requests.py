"""Runs each service request at most once, and answers what its outcome was.

Entries send the requests; they settle one whose answer they did not get.
"""

import asyncio
import hashlib
from collections.abc import Callable

from wagtailcleat.agent.endpoint import EndpointFailed
from wagtailcleat.agent.ledger import Ledger, Outcome
from wagtailcleat.agent.service_admission import ServiceAdmission
from wagtailcleat.agent.service_instance import ServiceInstance, endpoint_refusal
from wagtailcleat.agent.service_watches import ServiceWatches
from wagtailcleat.clock import Clock
from wagtailcleat.errors import Code
from wagtailcleat.headers import is_watch
from wagtailcleat.ids import Incarnation, ServiceName
from wagtailcleat.logs import part_logger
from wagtailcleat.process import Handlers
from wagtailcleat.settings import Timing
from wagtailcleat.wire.answer_writer import AnswerWriter
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.request_ids import is_keyed
from wagtailcleat.wire.requests import (
    WRONG_INCARNATION,
    Answer,
    Running,
    ServiceRequest,
    Settle,
)
from wagtailcleat.wire.results import Refused
from wagtailcleat.wire.streams import Stream

log = part_logger("services")

MAX_SETTLE_WAIT_SECONDS = 5.0

CloseOlder = Callable[[Stream], None]
"""Closes the older streams of a stream's peer."""


class ServiceRequests:
    """Handles requests and settles of entries; the ledger answers known ids."""

    def __init__(
        self,
        ledger: Ledger,
        instance_by_service: dict[ServiceName, ServiceInstance],
        admission: ServiceAdmission,
        watches: ServiceWatches,
        *,
        incarnation: Incarnation,
        clock: Clock,
        timing: Timing,
        close_older: CloseOlder,
    ) -> None:
        """Run requests at the endpoints of `instance_by_service`."""
        self.in_flight = 0
        self._ledger = ledger
        self._instance_by_service = instance_by_service
        self._admission = admission
        self._watches = watches
        self._incarnation = incarnation
        self._clock = clock
        self._timing = timing
        self._close_older = close_older
        self._running: set[asyncio.Task[None]] = set()

    def by_message(self) -> Handlers:
        """Return the handlers by message class."""
        return {ServiceRequest: self._on_request, Settle: self._on_settle}

    async def _on_request(
        self, stream: Stream, message: AnyMessage, answer_writer: AnswerWriter
    ) -> AnyMessage:
        assert isinstance(message, ServiceRequest)
        if message.incarnation != self._incarnation:
            return _wrong_incarnation()
        if is_watch(message.method, message.headers):
            return await self._watches.serve(message, answer_writer)
        digest = _digest(message)
        entry = self._ledger.find(message.id)
        if entry is not None:
            if entry.digest not in (b"", digest):
                reason = "the id was used before, for another request"
                return Refused(Code.CONFLICT.value, reason)
            return await asyncio.shield(entry.outcome)
        if self._ledger.may_be_forgotten(message.id):
            return _forgotten()
        entry = self._ledger.open(message.id, digest)
        self._run_in_background(message)
        return await asyncio.shield(entry.outcome)

    def _run_in_background(self, message: ServiceRequest) -> None:
        # The request must not be cancelled when the stream that carried it closes: a
        # settle over a new stream asks for its outcome.
        deadline = self._clock() + message.deadline
        task = asyncio.create_task(self._run(message, deadline))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _run(self, message: ServiceRequest, deadline: float) -> None:
        self.in_flight += 1
        try:
            outcome = await self._outcome(message, deadline)
        except Exception:
            log.exception(
                "Service request failed in the agent; outcome unknown",
                extra={"request": message.id},
            )
            outcome = Refused(Code.OUTCOME_UNKNOWN.value, "the agent failed")
        finally:
            self.in_flight -= 1
        keep_until = self._keep_until(keyed=message.keep)
        self._ledger.close(message.id, outcome, keep_until=keep_until)

    async def _outcome(self, message: ServiceRequest, deadline: float) -> Outcome:
        refusal = await self._admission.admit(message.service)
        if refusal is not None:
            return refusal
        instance = self._instance_by_service[message.service]
        refuse = await instance.acquire(deadline, self._clock)
        if refuse is not None:
            instance.refused += 1
            return Refused(Code.NOT_RUN.value, refuse.reason, refuse.retry_after)
        started = self._clock()
        refusal = self._admission.refusal(message.service, queued=True)
        if refusal is None and started >= deadline:
            refusal = Refused(Code.NOT_RUN.value, "the deadline passed in the queue")
        if refusal is not None:
            instance.release_unused()
            return refusal
        try:
            return await self._call(instance, message, deadline)
        finally:
            now = self._clock()
            instance.release(now - started, now)

    async def _call(
        self, instance: ServiceInstance, message: ServiceRequest, deadline: float
    ) -> Outcome:
        started = self._clock()
        answer = await instance.endpoint.run(message, deadline - started)
        if isinstance(answer, EndpointFailed):
            instance.failed += 1
            return endpoint_refusal(answer)
        instance.record_latency(self._clock() - started)
        return Answer(answer.status, answer.headers, answer.body, instance.load())

    async def _on_settle(
        self, stream: Stream, message: AnyMessage, answer_writer: AnswerWriter
    ) -> AnyMessage:
        assert isinstance(message, Settle)
        # The peer settles because one of its older streams failed. Requests still
        # buffered in that stream must never be read, not even after their ledger
        # entries have expired.
        self._close_older(stream)
        if message.incarnation != self._incarnation:
            return _wrong_incarnation()
        entry = self._ledger.find(message.id)
        if entry is None and self._ledger.may_be_forgotten(message.id):
            return _forgotten()
        if entry is None:
            return self._refuse_late_original(message)
        try:
            async with asyncio.timeout(min(message.wait, MAX_SETTLE_WAIT_SECONDS)):
                return await asyncio.shield(entry.outcome)
        except TimeoutError:
            return Running()

    def _refuse_late_original(self, message: Settle) -> Refused:
        # The original may still arrive over a connection that has gone silent. The
        # refusal in the ledger keeps it from running, so that `not_run` stays true.
        refusal = Refused(Code.NOT_RUN.value, "the request never arrived")
        keep_until = self._keep_until(keyed=is_keyed(message.id))
        self._ledger.close(message.id, refusal, keep_until=keep_until)
        return refusal

    def _keep_until(self, *, keyed: bool) -> float:
        timing = self._timing
        kept = timing.keyed_answers_kept if keyed else timing.answers_kept
        return self._clock() + kept


def _digest(message: ServiceRequest) -> bytes:
    # Only an id that is an idempotency key can be reused for another request.
    if not message.keep:
        return b""
    head = "\n".join((message.service, message.method, message.path))
    return hashlib.blake2b(head.encode() + b"\n" + message.body).digest()


def _wrong_incarnation() -> Refused:
    return Refused(WRONG_INCARNATION, "this agent was started anew")


def _forgotten() -> Refused:
    return Refused(Code.OUTCOME_UNKNOWN.value, "it is too long ago to be known here")
