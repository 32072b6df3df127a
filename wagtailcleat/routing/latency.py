"""Recent latency, load and failures of each endpoint, as one entry observed them.

The entry's relay records the outcome of each request; the routing policies compare
the endpoints by `EndpointRecord.cost`.
"""

import math
from dataclasses import dataclass

from wagtailcleat.ids import NodeId
from wagtailcleat.wire.requests import Load

EWMA_TIME_CONSTANT_SECONDS = 5.0
MIN_LATENCY_SECONDS = 0.001
FAILURE_LATENCY_SECONDS = 2.0
EJECTION_FAILURE_COUNT = 5
BASE_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 60.0
SLOW_START_SECONDS = 5.0
MAX_REFUSAL_SECONDS = 1.0
OTHER_REQUESTS_EWMA_WEIGHT = 0.3
LATENCY_SHARE_PER_REQUEST = 0.1
UNRESPONSIVE_AFTER_LATENCIES = 3.0
MIN_UNRESPONSIVE_SECONDS = 0.05
UNRESPONSIVE_MIN_IN_FLIGHT = 2
UNRESPONSIVE_COST_FACTOR = 10.0


@dataclass
class EndpointRecord:
    """Statistics of one endpoint, as one entry observed them.

    Times are in seconds. A failure counts as a slow answer: an endpoint that fails
    at once would otherwise look idle and fast, and attract all the load.
    """

    latency: float = MIN_LATENCY_SECONDS
    updated_at: float = 0.0
    in_flight: int = 0
    load: Load | None = None
    load_at: float = 0.0
    failures_in_a_row: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    refusal_seconds: float = 0.0
    refuses_until: float = 0.0
    other_requests: float = 0.0
    """Moving average of the requests that other entries have at the endpoint."""
    last_heard_at: float = 0.0

    def sent(self, now: float) -> None:
        """Record that a request was sent to the endpoint."""
        if not self.in_flight:
            self.last_heard_at = now
        self.in_flight += 1

    def ended(self, now: float) -> None:
        """Record that a request to the endpoint has ended, whatever its outcome."""
        self.in_flight -= 1

    def record_load(self, load: Load, now: float) -> None:
        """Record the load that the endpoint reported with an answer.

        The reported load includes this entry's own requests. They are subtracted,
        as this entry's own count of them is newer than any answer.
        """
        other_requests = max(0, load.in_flight + load.queued - self.in_flight)
        outdated = self.load is None or now - self.load_at > EWMA_TIME_CONSTANT_SECONDS
        weight = 1.0 if outdated else OTHER_REQUESTS_EWMA_WEIGHT
        self.other_requests += weight * (other_requests - self.other_requests)
        self.load, self.load_at = load, now
        self.last_heard_at = now

    def succeeded(self, seconds: float, now: float) -> None:
        """Record a successful answer that took `seconds`."""
        self._update_latency(seconds, now)
        self.failures_in_a_row = 0
        if self.ejections and now > self.ejected_until + MAX_EJECTION_SECONDS:
            self.ejections = 0

    def failed(self, now: float) -> None:
        """Record a failure; several in a row eject the endpoint for a while."""
        self._update_latency(FAILURE_LATENCY_SECONDS, now)
        self.failures_in_a_row += 1
        if self.failures_in_a_row >= EJECTION_FAILURE_COUNT:
            ejection = BASE_EJECTION_SECONDS * 2.0**self.ejections
            self.ejected_until = now + min(ejection, MAX_EJECTION_SECONDS)
            self.ejections = min(self.ejections + 1, 10)
            self.failures_in_a_row = 0

    def refused(self, retry_after: float, now: float) -> None:
        """Record that the endpoint refused a request, with `retry_after` in seconds.

        A refusal is not a failure of the endpoint. The wait, limited to
        `MAX_REFUSAL_SECONDS`, is added to its cost until it has passed.
        """
        self.refusal_seconds = min(retry_after, MAX_REFUSAL_SECONDS)
        self.refuses_until = now + self.refusal_seconds
        self.last_heard_at = now

    def is_refusing(self, now: float) -> bool:
        """Return whether a refusal for lack of room still holds."""
        return now < self.refuses_until

    def is_unresponsive(self, now: float) -> bool:
        """Return whether several requests are in flight and nothing was heard.

        A connection that went silent shows this well before its stream is closed; the
        requests sent on it until then would lose that time.
        """
        limit = max(
            MIN_UNRESPONSIVE_SECONDS, UNRESPONSIVE_AFTER_LATENCIES * self.latency
        )
        return (
            self.in_flight >= UNRESPONSIVE_MIN_IN_FLIGHT
            and now - self.last_heard_at > limit
        )

    def is_ejected(self, now: float) -> bool:
        """Return whether the endpoint is ejected now."""
        return now < self.ejected_until

    def cost(self, now: float) -> float:
        """Return the expected seconds of one more request, to compare endpoints by.

        While slots are free, the cost is the latency and a small share of it for each
        request at the endpoint; beyond that, the wait for a slot is added.
        """
        requests = float(self.in_flight)
        slots = self.load.slots if self.load is not None else 1
        if now - self.load_at < EWMA_TIME_CONSTANT_SECONDS:
            requests += self.other_requests
        queued = max(0.0, requests + 1 - slots) / slots
        # An old estimate decays: an endpoint that was slow once, or is new, would
        # otherwise never be chosen while another seems faster.
        decayed = self.latency * math.exp(
            -max(now - self.updated_at, 0) / EWMA_TIME_CONSTANT_SECONDS
        )
        latency = max(decayed, MIN_LATENCY_SECONDS)
        cost = latency * (1 + queued + LATENCY_SHARE_PER_REQUEST * requests)
        if self.is_refusing(now):
            cost += self.refusal_seconds
        if self.is_unresponsive(now):
            cost *= UNRESPONSIVE_COST_FACTOR
        since_ejection = now - self.ejected_until
        if self.ejections and 0 <= since_ejection < SLOW_START_SECONDS:
            cost *= SLOW_START_SECONDS / (since_ejection + 0.1)
        return cost

    def _update_latency(self, seconds: float, now: float) -> None:
        weight = 1 - math.exp(
            -max(now - self.updated_at, 0.05) / EWMA_TIME_CONSTANT_SECONDS
        )
        self.latency += weight * (seconds - self.latency)
        self.updated_at = now


class Endpoints:
    """The records of all endpoints that one entry has sent requests to."""

    def __init__(self) -> None:
        """Start without records."""
        self.record_by_node: dict[NodeId, EndpointRecord] = {}

    def record(self, node: NodeId) -> EndpointRecord:
        """Return the record of a node; create it if there is none."""
        return self.record_by_node.setdefault(node, EndpointRecord())

    def keep_only(self, nodes: set[NodeId]) -> None:
        """Delete the records of nodes not in `nodes` that have nothing in flight.

        This keeps memory bounded as VMs come and go.
        """
        for node in [n for n in self.record_by_node if n not in nodes]:
            if self.record_by_node[node].in_flight == 0:
                del self.record_by_node[node]
