"""Carries one request to an endpoint and back: choose, send, settle, retry."""

import asyncio
import random
import secrets
from dataclasses import dataclass, replace

from wagtailcleat.clock import Clock
from wagtailcleat.configuration.models import Configuration
from wagtailcleat.configuration.parts import InForce
from wagtailcleat.errors import Code
from wagtailcleat.ids import NodeId, RequestId, ServiceName
from wagtailcleat.membership.view import View
from wagtailcleat.outcomes import Answered, NotRun, OutcomeUnknown, RequestOutcome
from wagtailcleat.routing.choose import Choose, candidates
from wagtailcleat.routing.latency import Endpoints
from wagtailcleat.routing.retries import MAX_TRIES, RetryBudget
from wagtailcleat.wire.messages import (
    Answer,
    Header,
    Member,
    Refused,
    Running,
    ServiceRequest,
    Settle,
)
from wagtailcleat.wire.streams import Lost, Parts, Peers

ID_BYTES = 12
FIRST_RETRY_AFTER_SECONDS = 0.5
SETTLE_SECONDS = 3.0
SETTLE_PAUSE_SECONDS = 0.1
SPREAD = (0.8, 1.6)
FAILED_STATUS = 500


@dataclass(frozen=True)
class CallerRequest:
    """A request as a caller sent it; `deadline` is on this process's clock."""

    service: ServiceName
    method: str
    path: str
    headers: list[Header]
    body: bytes
    deadline: float
    idempotent: bool
    key: RequestId | None = None


@dataclass(frozen=True)
class WatchOpened:
    """A watcher's answer has begun; the rest comes in `parts`."""

    answer: Answer
    parts: Parts
    member: Member


class Relay:
    """Sends requests to endpoints; state: what it knows of each endpoint."""

    def __init__(
        self,
        view: View,
        in_force: InForce,
        peers: Peers,
        *,
        clock: Clock,
        choose: Choose,
        rng: random.Random,
    ) -> None:
        """Route by `choose` among the endpoints that `view` knows."""
        self.endpoints = Endpoints()
        self.budget = RetryBudget()
        self.retries = 0
        self.requests = 0
        self._view = view
        self._in_force = in_force
        self._peers = peers
        self._clock = clock
        self._choose = choose
        self._random = rng

    async def send(self, request: CallerRequest) -> RequestOutcome:
        """Return the request's outcome, by its deadline at the latest."""
        self.requests += 1
        self.budget.request(self._configuration.rules.retry_share)
        if request.key is not None:
            return await self._send_keyed(request, request.key)
        tried: set[NodeId] = set()
        outcome: RequestOutcome = NotRun(
            "no endpoint serves it now", FIRST_RETRY_AFTER_SECONDS
        )
        for _ in range(MAX_TRIES):
            member = self._pick(request.service, tried)
            if member is None or (tried and not self._spend_retry()):
                break
            tried.add(member.node)
            outcome = await self._try(request, member, new_request_id(member))
            if not self._may_retry(request, outcome):
                break
        return self._final(outcome)

    async def open_watch(
        self, request: CallerRequest, tried: set[NodeId]
    ) -> WatchOpened | RequestOutcome:
        """Open a watcher's answer at an endpoint not in `tried`."""
        outcome: RequestOutcome = NotRun(
            "no endpoint serves it now", FIRST_RETRY_AFTER_SECONDS
        )
        for _ in range(MAX_TRIES):
            member = self._pick(request.service, tried)
            if member is None:
                break
            tried.add(member.node)
            parts = Parts()
            message = self._message(request, member, new_request_id(member))
            reply = await self._call(member, message, request.deadline, parts)
            if isinstance(reply, Answer) and reply.parts:
                return WatchOpened(reply, parts, member)
            if isinstance(reply, Answer):
                return Answered(reply)
            outcome = _refusal(reply)
        return self._final(outcome)

    def give_up(self, watch: WatchOpened) -> None:
        """Tell the agent that a watcher is gone."""
        for stream in self._peers.streams:
            if stream.peer == watch.member.node:
                stream.cancel_parts(watch.parts)

    def home(self, service: ServiceName) -> Member | None:
        """Return an endpoint to give out a request id for."""
        return self._pick(service, set())

    @property
    def _configuration(self) -> Configuration:
        return self._in_force.configuration

    def _pick(self, service: ServiceName, tried: set[NodeId]) -> Member | None:
        now = self._clock()
        serving = self._view.serving(service)
        usable = candidates(serving, self._configuration, self.endpoints, tried, now)
        return self._choose(usable, self.endpoints, now) if usable else None

    async def _send_keyed(
        self, request: CallerRequest, key: RequestId
    ) -> RequestOutcome:
        node, _, rest = key.partition(".")
        incarnation = rest.partition(".")[0]
        member = self._view.member_by_node.get(NodeId(node))
        if member is None or str(member.incarnation) != incarnation:
            return OutcomeUnknown("the agent that the key names is gone")
        return self._final(await self._try(request, member, key))

    async def _try(
        self, request: CallerRequest, member: Member, request_id: RequestId
    ) -> RequestOutcome:
        record = self.endpoints.record(member.node)
        message = self._message(request, member, request_id)
        started = self._clock()
        record.sent(started)
        try:
            reply = await self._call(member, message, request.deadline, None)
            if isinstance(reply, Lost) and reply.sent:
                reply = await self._settle(request, member, message)
        finally:
            record.done(self._clock())
        now = self._clock()
        if isinstance(reply, Answer):
            record.told(reply.load, now)
            if reply.status < FAILED_STATUS:
                record.succeeded(now - started, now)
            else:
                record.failed(now)
            return Answered(reply)
        outcome = _refusal(reply)
        if isinstance(outcome, OutcomeUnknown) or isinstance(reply, Lost):
            record.failed(now)
        else:
            record.refused(outcome.retry_after, now)
        return outcome

    async def _call(
        self,
        member: Member,
        message: ServiceRequest,
        deadline: float,
        parts: Parts | None,
    ) -> Answer | Refused | Lost:
        seconds = deadline - self._clock()
        if seconds <= 0:
            return Lost(False, "the deadline passed")
        stream = await self._peers.stream(member.host, member.port)
        if isinstance(stream, Lost):
            return stream
        left = max(0.001, deadline - self._clock())
        message = ServiceRequest(
            message.id,
            message.service,
            message.method,
            message.path,
            message.headers,
            message.body,
            left,
            message.incarnation,
            message.keep,
        )
        reply = await stream.call(message, timeout=left, parts=parts)
        if isinstance(reply, Answer | Refused | Lost):
            return reply
        return Lost(True, "the agent gave another kind of answer")

    async def _settle(
        self, request: CallerRequest, member: Member, message: ServiceRequest
    ) -> Answer | Refused | Lost:
        # The stream went silent or ended after the request was written. Only the
        # agent knows what became of it; `not_run` is not true until it says so.
        give_up_at = min(request.deadline, self._clock() + SETTLE_SECONDS)
        while (left := give_up_at - self._clock()) > 0:
            ask = Settle(message.id, message.service, member.incarnation, left)
            reply = await self._peers.call(member.host, member.port, ask, timeout=left)
            if isinstance(reply, Answer | Refused):
                return reply
            if not isinstance(reply, Running):
                await asyncio.sleep(min(SETTLE_PAUSE_SECONDS, left))
        return Lost(True, "no answer, and the agent can't be asked")

    def _message(
        self, request: CallerRequest, member: Member, request_id: RequestId
    ) -> ServiceRequest:
        return ServiceRequest(
            request_id,
            request.service,
            request.method,
            request.path,
            request.headers,
            request.body,
            0.0,
            member.incarnation,
            request.key is not None,
        )

    def _may_retry(self, request: CallerRequest, outcome: RequestOutcome) -> bool:
        if isinstance(outcome, Answered) or self._clock() >= request.deadline:
            return False
        return not isinstance(outcome, OutcomeUnknown) or request.idempotent

    def _spend_retry(self) -> bool:
        if not self.budget.spend():
            return False
        self.retries += 1
        return True

    def _final(self, outcome: RequestOutcome) -> RequestOutcome:
        # Callers told the same second would all come back in it.
        if isinstance(outcome, NotRun):
            spread = self._random.uniform(*SPREAD)
            return replace(outcome, retry_after=outcome.retry_after * spread)
        return outcome


def new_request_id(member: Member) -> RequestId:
    """Return a fresh id that names the agent incarnation where it may run."""
    nonce = secrets.token_urlsafe(ID_BYTES)
    return RequestId(f"{member.node}.{member.incarnation}.{nonce}")


def _refusal(reply: Answer | Refused | Lost) -> NotRun | OutcomeUnknown:
    if isinstance(reply, Lost):
        if reply.sent:
            return OutcomeUnknown(reply.reason)
        return NotRun(reply.reason, FIRST_RETRY_AFTER_SECONDS)
    if isinstance(reply, Refused) and reply.code == Code.NOT_RUN.value:
        return NotRun(reply.reason, reply.retry_after)
    reason = reply.reason if isinstance(reply, Refused) else "an answer not expected"
    return OutcomeUnknown(reason)
