"""Instance of one service on this VM: its endpoint, slots, queue and latencies."""

import asyncio

from hdrh.histogram import HdrHistogram

from wagtailcleat.agent.endpoint import Endpoint, EndpointFailed
from wagtailcleat.clock import Clock
from wagtailcleat.configuration.models import Service
from wagtailcleat.errors import Code
from wagtailcleat.routing.admission import Refuse, SlotQueue, Wait
from wagtailcleat.wire.requests import Load
from wagtailcleat.wire.results import Refused

MICROSECONDS = 1_000_000
HIGHEST_LATENCY_MICROSECONDS = 3_600 * MICROSECONDS
SIGNIFICANT_DIGITS = 2
RETRY_AFTER_SECONDS = 1.0


class ServiceInstance:
    """The endpoint of a service, with the requests that run or wait for a slot."""

    def __init__(self, service: Service, endpoint: Endpoint) -> None:
        """Serve at `endpoint` within the limits of `service`."""
        self.service = service
        self.endpoint = endpoint
        self.slots = SlotQueue(service.slots, service.queue)
        self.watchers = 0
        self.latencies = HdrHistogram(
            1, HIGHEST_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS
        )
        self.refused = 0
        self.failed = 0
        self._waiters: list[asyncio.Future[None]] = []

    @property
    def idle(self) -> bool:
        """Return whether no request or watcher runs or waits here."""
        return not (self.slots.in_use or self.slots.queued or self.watchers)

    @property
    def max_watchers(self) -> int:
        """Return the number of connections left for watchers, at least 1."""
        return max(1, self.service.connections - self.service.slots)

    def update(self, service: Service) -> None:
        """Apply the limits of a new configuration."""
        self.service = service
        self.slots.slots = service.slots
        self.slots.queue = service.queue

    def load(self) -> Load:
        """Return the number of requests in slots, of waiting ones and of slots."""
        return Load(self.slots.in_use, self.slots.queued, self.slots.slots)

    def record_latency(self, seconds: float) -> None:
        """Record the latency of an answer of the endpoint."""
        self.latencies.record_value(max(1, int(seconds * MICROSECONDS)))

    def dump(self) -> dict[str, object]:
        """Return load, counts and latencies for the state dump."""
        return {
            "in_flight": self.slots.in_use,
            "queued": self.slots.queued,
            "watchers": self.watchers,
            "slots": self.slots.slots,
            "refused": self.refused,
            "failed": self.failed,
            "p50_ms": self.latencies.get_value_at_percentile(50) / 1000,
            "p99_ms": self.latencies.get_value_at_percentile(99) / 1000,
        }

    async def acquire(self, deadline: float, clock: Clock) -> Refuse | None:
        """Acquire a slot, at once or from the queue; return a refusal or None."""
        decision = self.slots.decide(deadline, clock())
        if isinstance(decision, Refuse):
            return decision
        if isinstance(decision, Wait):
            return await self._wait_for_slot(deadline, clock)
        self.slots.in_use += 1
        return None

    def release(self, seconds: float, now: float) -> None:
        """Release a slot used for `seconds`; the longest-waiting request gets it."""
        self.slots.finished(seconds, now)
        self.release_unused()

    def release_unused(self) -> None:
        """Release a slot that was not used, to the request that waited longest."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
                return
        self.slots.in_use -= 1

    async def _wait_for_slot(self, deadline: float, clock: Clock) -> Refuse | None:
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
                self.release_unused()
            raise
        finally:
            self._waiters.remove(waiter)
            self.slots.queued -= 1
        return None


def endpoint_refusal(failure: EndpointFailed | None) -> Refused:
    """Return the refusal for a request without a complete answer."""
    if failure is None:
        unknown = Code.OUTCOME_UNKNOWN.value
        return Refused(unknown, "the endpoint gave no answer", RETRY_AFTER_SECONDS)
    code = Code.OUTCOME_UNKNOWN if failure.reached else Code.NOT_RUN
    return Refused(code.value, f"the endpoint: {failure.reason}", RETRY_AFTER_SECONDS)
