"""Carries one request to an endpoint and back: choose, send, settle, retry."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec

from wagtailcleat.clock import Clock
from wagtailcleat.configuration.models import Configuration
from wagtailcleat.configuration.parts import InForce
from wagtailcleat.errors import Code
from wagtailcleat.ids import NodeId, RequestId, ServiceName
from wagtailcleat.membership.view import View
from wagtailcleat.outcomes import (
    Answered,
    NotRun,
    OutcomeUnknown,
    Rejected,
    RequestOutcome,
)
from wagtailcleat.routing.choose import Choose, candidates
from wagtailcleat.routing.latency import EndpointRecord, Endpoints
from wagtailcleat.routing.retries import MAX_TRIES, RetryBudget
from wagtailcleat.wire.membership import Member
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.parts import Lost, Parts
from wagtailcleat.wire.peers import Peers
from wagtailcleat.wire.request_ids import Home, RequestIds
from wagtailcleat.wire.requests import (
    WRONG_INCARNATION,
    Answer,
    Header,
    Running,
    ServiceRequest,
    Settle,
)
from wagtailcleat.wire.results import Refused
from wagtailcleat.wire.streams import Stream

FIRST_RETRY_AFTER_SECONDS = 0.5
SETTLE_SECONDS = 3.0
SETTLE_PAUSE_SECONDS = 0.1
SERVING_KEPT_SECONDS = 0.02
FRESH_WAIT_SECONDS = 0.5
FRESH_POLL_SECONDS = 0.01
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
        ids: RequestIds,
        fresh: Callable[[], bool],
    ) -> None:
        """Route by `choose` among the endpoints that `view` knows.

        Parameters: `fresh` tells whether the view may be acted on.
        """
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
        self._ids = ids
        self._serving_by_service: dict[ServiceName, tuple[list[Member], float]] = {}
        self._fresh = fresh

    async def send(self, request: CallerRequest) -> RequestOutcome:
        """Return the request's outcome, by its deadline at the latest."""
        self.requests += 1
        self.budget.request(self._configuration.rules.retry_share)
        await self._until_fresh()
        if request.key is not None:
            return await self._send_keyed(request, request.key)
        tried: set[NodeId] = set()
        outcome: RequestOutcome = _no_endpoint()
        for _ in range(MAX_TRIES):
            member = self._pick(request.service, tried)
            if member is None or (tried and not self._may_send_again(outcome, member)):
                break
            tried.add(member.node)
            outcome = await self._try(request, member, self._ids.plain())
            if not self._may_retry(request, outcome):
                break
        return self._final(outcome)

    async def open_watch(
        self, request: CallerRequest, tried: set[NodeId]
    ) -> WatchOpened | RequestOutcome:
        """Open a watcher's answer at an endpoint not in `tried`."""
        await self._until_fresh()
        outcome: RequestOutcome = _no_endpoint()
        for _ in range(MAX_TRIES):
            member = self._pick(request.service, tried)
            if member is None:
                break
            tried.add(member.node)
            parts = Parts()
            message = self._message(request, member, self._ids.plain())
            reply = await self._call(member, message, request.deadline, parts)
            if isinstance(reply, Answer) and reply.parts:
                return WatchOpened(reply, parts, member)
            outcome = _outcome(reply)
            if not self._may_retry(request, outcome):
                break
        return self._final(outcome)

    def give_up(self, watch: WatchOpened) -> None:
        """Tell the agent that a watcher is gone."""
        for stream in self._peers.streams:
            if stream.peer == watch.member.node:
                stream.cancel_parts(watch.parts)

    async def new_key(self, service: ServiceName) -> RequestId | None:
        """Return an id to send a request with, repeatedly if need be."""
        await self._until_fresh()
        member = self._pick(service, set())
        if member is None:
            return None
        return self._ids.keyed(Home(member.node, member.incarnation))

    async def _until_fresh(self) -> None:
        # After a pause the view may still have a zone in, or an endpoint alive,
        # that has long left. A peer is heard within milliseconds; where none is,
        # the agents' own refusals are what counts.
        give_up_at = self._clock() + FRESH_WAIT_SECONDS
        while not self._fresh() and self._clock() < give_up_at:  # noqa: ASYNC110
            await asyncio.sleep(FRESH_POLL_SECONDS)

    @property
    def _configuration(self) -> Configuration:
        return self._in_force.configuration

    def _pick(self, service: ServiceName, tried: set[NodeId]) -> Member | None:
        now = self._clock()
        serving = self._serving(service, now)
        usable = candidates(serving, self._configuration, self.endpoints, tried, now)
        return self._choose(usable, self.endpoints, now) if usable else None

    def _serving(self, service: ServiceName, now: float) -> list[Member]:
        # The view walks all members; an agent that has just left refuses by itself.
        known, until = self._serving_by_service.get(service, ([], 0.0))
        if now >= until or not known:
            known = self._view.serving(service)
            self._serving_by_service[service] = known, now + SERVING_KEPT_SECONDS
        return known

    async def _send_keyed(
        self, request: CallerRequest, key: RequestId
    ) -> RequestOutcome:
        home = self._ids.home(key)
        if home is None:
            reason = "the key is none that POST /services/NAME:request-id gave out"
            return Rejected(Code.INVALID, reason)
        member = self._view.member_by_node.get(home.node)
        if member is None or member.incarnation < home.incarnation:
            return _ask_again("the agent that the key names is not known here yet")
        if member.incarnation > home.incarnation:
            return OutcomeUnknown("the agent that the key names was started anew")
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
        self._note(record, reply, started)
        outcome = _outcome(reply)
        if request.key is not None and not _is_agents_word(reply):
            # An earlier use of the key may have run, whatever became of this one.
            return _ask_again("the agent that the key names can't be asked now")
        return outcome

    def _note(
        self, record: EndpointRecord, reply: Answer | Refused | Lost, started: float
    ) -> None:
        now = self._clock()
        if isinstance(reply, Answer):
            record.told(reply.load, now)
            if reply.status < FAILED_STATUS:
                record.succeeded(now - started, now)
            else:
                record.failed(now)
        elif isinstance(reply, Refused) and reply.code == Code.NOT_RUN.value:
            record.refused(reply.retry_after, now)
        else:
            record.failed(now)

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
        stream = await self._stream(member)
        if isinstance(stream, Lost):
            return stream
        left = max(0.001, deadline - self._clock())
        message = msgspec.structs.replace(message, deadline=left)
        reply = await stream.call(message, timeout=left, parts=parts)
        if isinstance(reply, Refused) and reply.code == WRONG_INCARNATION:
            return Lost(False, "the agent was started anew")
        if isinstance(reply, Answer | Refused | Lost):
            return reply
        return Lost(True, "the agent gave another kind of answer")

    async def _stream(self, member: Member) -> Stream | Lost:
        stream = await self._peers.stream(member.host, member.port)
        if isinstance(stream, Stream) and stream.peer != member.node:
            return Lost(False, "another process has the agent's address now")
        return stream

    async def _settle(
        self, request: CallerRequest, member: Member, message: ServiceRequest
    ) -> Answer | Refused | Lost:
        # The stream went silent or ended after the request was written. Only the
        # agent knows what became of it; `not_run` is not true until it says so.
        give_up_at = min(request.deadline, self._clock() + SETTLE_SECONDS)
        while (left := give_up_at - self._clock()) > 0:
            ask = Settle(message.id, message.service, member.incarnation, left)
            stream = await self._stream(member)
            reply: AnyMessage | Lost = (
                stream
                if isinstance(stream, Lost)
                else (await stream.call(ask, timeout=left))
            )
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
            request.idempotent,
        )

    def _may_retry(self, request: CallerRequest, outcome: RequestOutcome) -> bool:
        if self._clock() >= request.deadline:
            return False
        if isinstance(outcome, OutcomeUnknown):
            return request.idempotent
        return isinstance(outcome, NotRun)

    def _may_send_again(self, outcome: RequestOutcome, member: Member) -> bool:
        # What was not run has loaded no endpoint, so trying another takes nothing
        # from the budget; but one that refuses as well would only be asked in vain.
        if isinstance(outcome, NotRun):
            if self.endpoints.record(member.node).refusing(self._clock()):
                return False
            self.retries += 1
            return True
        if not self.budget.spend():
            return False
        self.retries += 1
        return True

    def _final(self, outcome: RequestOutcome) -> RequestOutcome:
        # Callers told the same second would all come back in it.
        if isinstance(outcome, NotRun | Rejected):
            spread = self._random.uniform(*SPREAD)
            return replace(outcome, retry_after=outcome.retry_after * spread)
        return outcome


def _no_endpoint() -> NotRun:
    return NotRun("no endpoint serves it now", FIRST_RETRY_AFTER_SECONDS)


def _ask_again(reason: str) -> Rejected:
    return Rejected(Code.UNAVAILABLE, reason, FIRST_RETRY_AFTER_SECONDS)


def _is_agents_word(reply: Answer | Refused | Lost) -> bool:
    if isinstance(reply, Lost):
        return reply.sent
    return isinstance(reply, Answer) or reply.code != Code.UNAVAILABLE.value


def _outcome(reply: Answer | Refused | Lost) -> RequestOutcome:
    if isinstance(reply, Answer):
        return Answered(reply)
    if isinstance(reply, Lost):
        if reply.sent:
            return OutcomeUnknown(reply.reason)
        return NotRun(reply.reason, FIRST_RETRY_AFTER_SECONDS)
    if reply.code in (Code.NOT_RUN.value, Code.UNAVAILABLE.value):
        return NotRun(reply.reason, reply.retry_after)
    if reply.code in (Code.CONFLICT.value, Code.INVALID.value):
        return Rejected(Code(reply.code), reply.reason)
    return OutcomeUnknown(reply.reason)
