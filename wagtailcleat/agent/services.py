"""Service requests at an agent: admitted to slots, run once, settled on demand."""

import asyncio
import hashlib
from collections.abc import Awaitable, Callable

from hdrh.histogram import HdrHistogram

from wagtailcleat.agent.endpoint import (
    Endpoint,
    EndpointFailed,
    Watching,
)
from wagtailcleat.agent.ledger import Ledger, Outcome
from wagtailcleat.clock import Clock
from wagtailcleat.configuration.models import Service
from wagtailcleat.errors import Code
from wagtailcleat.headers import is_watch
from wagtailcleat.ids import Incarnation, ServiceName
from wagtailcleat.logs import part_logger
from wagtailcleat.routing.admission import Refuse, Slots, Wait
from wagtailcleat.settings import Timing
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.outlet import Outlet
from wagtailcleat.wire.request_ids import is_keyed
from wagtailcleat.wire.requests import (
    WRONG_INCARNATION,
    Answer,
    Header,
    Load,
    Part,
    PartsEnd,
    Running,
    ServiceRequest,
    Settle,
)
from wagtailcleat.wire.results import Refused
from wagtailcleat.wire.streams import Stream

log = part_logger("services")

MICROSECONDS = 1_000_000
HIGHEST_LATENCY_MICROSECONDS = 3_600 * MICROSECONDS
SIGNIFICANT_DIGITS = 2
SETTLE_WAIT_MAX_SECONDS = 5.0
LEAVE_QUEUE_SECONDS = 2.0
DRAIN_POLL_SECONDS = 0.02
MAX_PARTS_QUEUED = 256

Closed = Callable[[], str]
"""Tells why no new request is taken now; empty where they are."""

CloseOlder = Callable[[Stream], None]
"""Closes the older streams of a stream's peer."""


class ServiceDesk:
    """One service at this agent: its endpoint, slots, queue and latencies."""

    def __init__(self, service: Service, endpoint: Endpoint) -> None:
        """Serve with the service's limits."""
        self.service = service
        self.endpoint = endpoint
        self.slots = Slots(service.slots, service.queue)
        self.watchers = 0
        self.latencies = HdrHistogram(
            1, HIGHEST_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS
        )
        self.refused = 0
        self.failed = 0
        self._waiters: list[asyncio.Future[None]] = []

    @property
    def idle(self) -> bool:
        """Whether nothing of the service runs or waits here."""
        return not (self.slots.in_use or self.slots.queued or self.watchers)

    @property
    def max_watchers(self) -> int:
        """How many of the endpoint's connections are not needed for its slots."""
        return max(1, self.service.connections - self.service.slots)

    def load(self) -> Load:
        """Return how busy the service is here."""
        return Load(self.slots.in_use, self.slots.queued, self.slots.slots)

    async def enter(self, deadline: float, clock: Clock) -> Refuse | None:
        """Take a slot, at once or from the queue; return a refusal otherwise."""
        decision = self.slots.decide(deadline, clock())
        if isinstance(decision, Refuse):
            return decision
        if isinstance(decision, Wait):
            return await self._queue(deadline, clock)
        self.slots.in_use += 1
        return None

    def leave(self, seconds: float, now: float) -> None:
        """Give a slot back after `seconds` of work; the oldest waiting takes it."""
        self.slots.finished(seconds, now)
        self.give_back()

    def give_back(self) -> None:
        """Give a slot back in which nothing ran."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
                return
        self.slots.in_use -= 1

    async def _queue(self, deadline: float, clock: Clock) -> Refuse | None:
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self.slots.queued += 1
        latest = deadline - self.slots.service_seconds
        try:
            async with asyncio.timeout(max(0.0, latest - clock())):
                await waiter
        except TimeoutError:
            if waiter.done() and not waiter.cancelled():
                return None
            wait = self.slots.expected_wait(clock())
            return Refuse(wait, "no slot came free in time")
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.give_back()
            raise
        finally:
            self._waiters.remove(waiter)
            self.slots.queued -= 1
        return None


class Services:
    """All services at this agent, and the ledger of their requests."""

    def __init__(
        self,
        endpoint_url_by_service: dict[str, str],
        *,
        incarnation: Incarnation,
        clock: Clock,
        timing: Timing,
        closed: Closed,
        close_older: CloseOlder,
        max_answer_bytes: int,
        kept_answer_bytes: int,
    ) -> None:
        """Serve the endpoints of this VM.

        Parameters: `closed` tells why no new request is taken (the zone is out,
        the process leaves), or is empty.
        """
        self.ledger = Ledger(max_bytes=kept_answer_bytes)
        self.desk_by_service: dict[ServiceName, ServiceDesk] = {}
        self.answering: set[ServiceName] = set()
        self.in_flight = 0
        self._url_by_service = endpoint_url_by_service
        self._incarnation = incarnation
        self._clock = clock
        self._timing = timing
        self._closed = closed
        self._closed_at: float | None = None
        self._close_older = close_older
        self._max_answer_bytes = max_answer_bytes
        self._running: set[asyncio.Task[None]] = set()
        self._ending = asyncio.Event()

    def configure(self, services: list[Service]) -> None:
        """Take over the services that the configuration places on this VM."""
        by_name = {ServiceName(s.name): s for s in services}
        for name, service in by_name.items():
            url = self._url_by_service.get(name)
            desk = self.desk_by_service.get(name)
            if desk is not None:
                desk.service = service
                desk.slots.slots = service.slots
                desk.slots.queue = service.queue
            elif url is not None:
                endpoint = Endpoint(
                    url,
                    connections=max(service.connections, service.slots + 1),
                    max_answer_bytes=self._max_answer_bytes,
                )
                self.desk_by_service[name] = ServiceDesk(service, endpoint)
        self.note_closed()
        for name in [n for n in self.desk_by_service if n not in by_name]:
            if self.desk_by_service[name].idle:
                self.desk_by_service.pop(name).endpoint.close()
                self.answering.discard(name)

    async def check(self) -> None:
        """See which endpoints take connections; forget what need not be kept."""
        self.ledger.expire(self._clock())
        for name, desk in list(self.desk_by_service.items()):
            if await desk.endpoint.answers():
                self.answering.add(name)
            else:
                self.answering.discard(name)

    def handlers(
        self,
    ) -> dict[type, Callable[[Stream, AnyMessage, Outlet], Awaitable[AnyMessage]]]:
        """Return what answers each message of this part."""
        return {ServiceRequest: self._on_request, Settle: self._on_settle}

    def dump(self) -> dict[str, object]:
        """Return the state of each service for the state dump."""
        return {
            name: {
                "answering": name in self.answering,
                "in_flight": desk.slots.in_use,
                "queued": desk.slots.queued,
                "watchers": desk.watchers,
                "slots": desk.slots.slots,
                "refused": desk.refused,
                "failed": desk.failed,
                "p50_ms": desk.latencies.get_value_at_percentile(50) / 1000,
                "p99_ms": desk.latencies.get_value_at_percentile(99) / 1000,
            }
            for name, desk in self.desk_by_service.items()
        }

    # ---- serving

    async def _on_request(
        self, stream: Stream, message: AnyMessage, outlet: Outlet
    ) -> AnyMessage:
        assert isinstance(message, ServiceRequest)
        if message.incarnation != self._incarnation:
            return Refused(WRONG_INCARNATION, "this agent was started anew")
        if is_watch(message.method, message.headers):
            return await self._watch(message, outlet)
        digest = _digest(message)
        entry = self.ledger.find(message.id)
        if entry is not None:
            if entry.digest not in (b"", digest):
                reason = "the id was used before, for another request"
                return Refused(Code.CONFLICT.value, reason)
            return await asyncio.shield(entry.outcome)
        if self.ledger.may_be_forgotten(message.id):
            return _forgotten()
        entry = self.ledger.open(message.id, digest)
        deadline = self._clock() + message.deadline
        # The run must not end with the stream that brought the request: its
        # outcome is what a settle over a new stream asks for.
        task = asyncio.create_task(self._run(message, deadline))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return await asyncio.shield(entry.outcome)

    async def _run(self, message: ServiceRequest, deadline: float) -> None:
        self.in_flight += 1
        try:
            outcome = await self._outcome(message, deadline)
        except Exception:
            log.exception("A request failed", extra={"request": message.id})
            outcome = Refused(Code.OUTCOME_UNKNOWN.value, "the agent failed")
        finally:
            self.in_flight -= 1
        self.ledger.close(
            message.id, outcome, keep_until=self._clock() + self._kept(message)
        )

    async def _outcome(self, message: ServiceRequest, deadline: float) -> Outcome:
        refusal = self._refusal(message.service)
        if refusal is not None:
            return refusal
        desk = self.desk_by_service[message.service]
        refuse = await desk.enter(deadline, self._clock)
        if refuse is not None:
            desk.refused += 1
            return Refused(Code.NOT_RUN.value, refuse.reason, refuse.retry_after)
        started = self._clock()
        refusal = self._refusal(message.service, queued=True)
        if refusal is None and started >= deadline:
            refusal = Refused(Code.NOT_RUN.value, "the deadline passed in the queue")
        if refusal is not None:
            desk.give_back()
            return refusal
        try:
            return await self._call(desk, message, deadline)
        finally:
            now = self._clock()
            desk.leave(now - started, now)

    async def _call(
        self, desk: ServiceDesk, message: ServiceRequest, deadline: float
    ) -> Outcome:
        started = self._clock()
        answer = await desk.endpoint.run(message, deadline - started)
        if isinstance(answer, EndpointFailed):
            desk.failed += 1
            return _failed(answer)
        elapsed = int((self._clock() - started) * MICROSECONDS)
        desk.latencies.record_value(max(1, elapsed))
        return Answer(answer.status, answer.headers, answer.body, desk.load())

    def note_closed(self) -> None:
        """Note since when no new request is taken, if so."""
        if not self._closed():
            self._closed_at = None
        elif self._closed_at is None:
            self._closed_at = self._clock()

    def _refusal(self, service: ServiceName, *, queued: bool = False) -> Refused | None:
        why = self._closed()
        self.note_closed()
        if why and not (queued and self._may_still_start()):
            return Refused(Code.NOT_RUN.value, why, 1.0)
        if service not in self.desk_by_service:
            return Refused(Code.NOT_RUN.value, "no such service on this VM", 1.0)
        return None

    def _may_still_start(self) -> bool:
        # What was let in before is not turned away by a planned stop, but for no
        # longer than a leaving endpoint may receive new work.
        assert self._closed_at is not None
        return self._clock() - self._closed_at < LEAVE_QUEUE_SECONDS

    # ---- watchers

    async def _watch(self, message: ServiceRequest, outlet: Outlet) -> AnyMessage:
        refusal = self._refusal(message.service)
        if refusal is not None:
            return refusal
        desk = self.desk_by_service[message.service]
        if desk.watchers >= desk.max_watchers:
            return Refused(Code.NOT_RUN.value, "all connections are taken", 1.0)
        desk.watchers += 1
        try:
            return await self._relay(desk, message, outlet)
        finally:
            desk.watchers -= 1

    async def _relay(
        self, desk: ServiceDesk, message: ServiceRequest, outlet: Outlet
    ) -> AnyMessage:
        items: asyncio.Queue[Answer | Part | EndpointFailed | None] = asyncio.Queue()

        def on_head(status: int, headers: list[Header]) -> None:
            items.put_nowait(Answer(status, headers, b"", desk.load(), parts=True))

        def on_data(data: bytes) -> None:
            if items.qsize() < MAX_PARTS_QUEUED:
                items.put_nowait(Part(data))
            else:
                watching.abort()

        watching = Watching(on_head, on_data)

        async def read() -> None:
            items.put_nowait(await desk.endpoint.watch(message, watching))

        async def end() -> None:
            await self._ending.wait()
            items.put_nowait(EndpointFailed(True, "the agent leaves"))

        reading = asyncio.create_task(read())
        ending = asyncio.create_task(end())
        headed = False
        try:
            while True:
                item = await items.get()
                if isinstance(item, Answer):
                    headed = True
                    await outlet.head(item)
                elif isinstance(item, Part):
                    await outlet.part(item)
                elif headed:
                    return PartsEnd(whole=item is None)
                else:
                    return _failed(item)
        finally:
            watching.abort()
            reading.cancel()
            ending.cancel()

    # ---- settling

    async def _on_settle(
        self, stream: Stream, message: AnyMessage, outlet: Outlet
    ) -> AnyMessage:
        assert isinstance(message, Settle)
        # The peer asks because an older stream of its failed it. What still lies
        # in that one must never be read: not even after the ledger has forgotten.
        self._close_older(stream)
        if message.incarnation != self._incarnation:
            return Refused(WRONG_INCARNATION, "this agent was started anew")
        entry = self.ledger.find(message.id)
        if entry is None and self.ledger.may_be_forgotten(message.id):
            return _forgotten()
        if entry is None:
            # The original may still be on its way in a connection gone silent:
            # the refusal kept here is what makes `not_run` true when it arrives.
            refusal = Refused(Code.NOT_RUN.value, "the request never arrived")
            timing = self._timing
            keep = is_keyed(message.id)
            kept = timing.keyed_answers_kept if keep else timing.answers_kept
            self.ledger.close(message.id, refusal, keep_until=self._clock() + kept)
            return refusal
        wait = min(message.wait, SETTLE_WAIT_MAX_SECONDS)
        try:
            async with asyncio.timeout(wait):
                return await asyncio.shield(entry.outcome)
        except TimeoutError:
            return Running()

    def _kept(self, message: ServiceRequest) -> float:
        timing = self._timing
        return timing.keyed_answers_kept if message.keep else timing.answers_kept

    async def drained(self) -> None:
        """End the watchers, which resume elsewhere; wait for what is in flight."""
        self.note_closed()
        self._ending.set()
        # Only what holds or awaits a slot: requests that are refused come and go.
        while not all(d.idle for d in self.desk_by_service.values()):  # noqa: ASYNC110
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    def close(self) -> None:
        """Close every endpoint's connections."""
        for desk in self.desk_by_service.values():
            desk.endpoint.close()


def _failed(answer: EndpointFailed | None) -> Refused:
    if answer is None:
        return Refused(Code.OUTCOME_UNKNOWN.value, "the endpoint gave no answer", 1.0)
    code = Code.OUTCOME_UNKNOWN if answer.reached else Code.NOT_RUN
    return Refused(code.value, f"the endpoint: {answer.reason}", 1.0)


def _digest(message: ServiceRequest) -> bytes:
    # Only an id given out beforehand can come again with another request.
    if not message.keep:
        return b""
    head = "\n".join((message.service, message.method, message.path))
    return hashlib.blake2b(head.encode() + b"\n" + message.body).digest()


def _forgotten() -> Refused:
    return Refused(Code.OUTCOME_UNKNOWN.value, "it is too long ago to be known here")
