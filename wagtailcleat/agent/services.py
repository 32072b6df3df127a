"""Service requests at an agent: admitted to slots, run once, settled on demand."""

import asyncio
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
from wagtailcleat.headers import EVENT_STREAM
from wagtailcleat.ids import Incarnation, RequestId, ServiceName
from wagtailcleat.logs import part_logger
from wagtailcleat.routing.admission import Refuse, Slots, Wait
from wagtailcleat.settings import Timing
from wagtailcleat.wire.messages import (
    Answer,
    AnyMessage,
    Header,
    Load,
    Part,
    PartsEnd,
    Refused,
    Running,
    ServiceRequest,
    Settle,
)
from wagtailcleat.wire.streams import Outlet, Stream

log = part_logger("services")

MICROSECONDS = 1_000_000
HIGHEST_LATENCY_MICROSECONDS = 3_600 * MICROSECONDS
SIGNIFICANT_DIGITS = 2
WRONG_INCARNATION = "wrong_incarnation"
PART_BYTES = 65_536
SETTLE_WAIT_MAX_SECONDS = 5.0
SWEEP_SECONDS = 1.0
MAX_PARTS_QUEUED = 256

Closed = Callable[[], str]
"""Tells why no new request is taken now; empty where they are."""


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
        self._freed: asyncio.Queue[None] = asyncio.Queue()
        self._waiters: list[asyncio.Future[None]] = []

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
        """Give a slot back after `seconds`; the oldest in the queue takes it."""
        self.slots.finished(seconds, now)
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
                self.leave(0.0, clock())
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
                    connections=service.connections,
                    max_answer_bytes=self._max_answer_bytes,
                )
                self.desk_by_service[name] = ServiceDesk(service, endpoint)
        for name in [n for n in self.desk_by_service if n not in by_name]:
            if self.desk_by_service[name].slots.in_use == 0:
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
        entry = self.ledger.find(message.id)
        if entry is not None:
            return await asyncio.shield(entry.outcome)
        if _is_watch(message):
            return await self._watch(message, outlet)
        self.ledger.open(message.id)
        deadline = self._clock() + message.deadline
        # The run must not end with the stream that brought the request: its
        # outcome is what a settle over a new stream asks for.
        task = asyncio.create_task(self._run(message, deadline))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        found = self.ledger.find(message.id)
        assert found is not None
        return await asyncio.shield(found.outcome)

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
        try:
            refusal = self._refusal(message.service)
            if refusal is not None:
                return refusal
            return await self._call(desk, message, deadline)
        finally:
            now = self._clock()
            desk.leave(now - started, now)

    async def _call(
        self, desk: ServiceDesk, message: ServiceRequest, deadline: float
    ) -> Outcome:
        started = self._clock()
        seconds = deadline - started
        if seconds <= 0:
            return Refused(Code.NOT_RUN.value, "the deadline passed in the queue")
        answer = await desk.endpoint.run(message, seconds)
        if isinstance(answer, EndpointFailed):
            desk.failed += 1
            code = Code.OUTCOME_UNKNOWN if answer.reached else Code.NOT_RUN
            return Refused(code.value, f"the endpoint: {answer.reason}", 1.0)
        elapsed = int((self._clock() - started) * MICROSECONDS)
        desk.latencies.record_value(max(1, elapsed))
        return Answer(answer.status, answer.headers, answer.body, desk.load())

    def _refusal(self, service: ServiceName) -> Refused | None:
        why = self._closed()
        if why:
            return Refused(Code.NOT_RUN.value, why, 1.0)
        if service not in self.desk_by_service:
            return Refused(Code.NOT_RUN.value, "no such service on this VM", 1.0)
        return None

    # ---- watchers

    async def _watch(self, message: ServiceRequest, outlet: Outlet) -> AnyMessage:
        refusal = self._refusal(message.service)
        if refusal is not None:
            return refusal
        desk = self.desk_by_service[message.service]
        if desk.watchers + desk.slots.in_use >= desk.service.connections:
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

        async def read() -> None:
            watching = Watching(on_head, lambda data: items.put_nowait(Part(data)))
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
                    if items.qsize() > MAX_PARTS_QUEUED:
                        return PartsEnd(whole=False)
                    await outlet.part(item)
                elif headed:
                    return PartsEnd(whole=item is None)
                else:
                    reason = item.reason if item else "the endpoint gave no answer"
                    return Refused(Code.OUTCOME_UNKNOWN.value, reason, 1.0)
        finally:
            reading.cancel()
            ending.cancel()

    # ---- settling

    async def _on_settle(
        self, stream: Stream, message: AnyMessage, outlet: Outlet
    ) -> AnyMessage:
        assert isinstance(message, Settle)
        if message.incarnation != self._incarnation:
            return Refused(WRONG_INCARNATION, "this agent was started anew")
        entry = self.ledger.find(message.id)
        if entry is None:
            # The original may still be on its way in a connection gone silent:
            # the refusal kept here is what makes `not_run` true when it arrives.
            refusal = Refused(Code.NOT_RUN.value, "the request never arrived")
            keep_until = self._clock() + self._timing.keyed_answers_kept
            self.ledger.close(message.id, refusal, keep_until=keep_until)
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
        self._ending.set()
        while self._running:
            await asyncio.wait(self._running)

    def close(self) -> None:
        """Close every endpoint's connections."""
        for desk in self.desk_by_service.values():
            desk.endpoint.close()


def _is_watch(message: ServiceRequest) -> bool:
    return message.method == "GET" and any(
        key.lower() == "accept" and EVENT_STREAM in value.lower()
        for key, value in message.headers
    )


def make_request_id(home: str, incarnation: Incarnation, nonce: str) -> RequestId:
    """Return an id that names the agent incarnation where it may run."""
    return RequestId(f"{home}.{incarnation}.{nonce}")
