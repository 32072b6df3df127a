"""How endpoints have done lately, as one entry saw it."""

import math
from dataclasses import dataclass

from wagtailcleat.ids import NodeId
from wagtailcleat.wire.requests import Load

EWMA_SECONDS = 5.0
LEAST_LATENCY_SECONDS = 0.001
ERROR_COUNTS_AS_SECONDS = 2.0
EJECT_AFTER_FAILURES = 5
FIRST_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 60.0
SLOW_START_SECONDS = 5.0
MAX_REFUSAL_SECONDS = 1.0
OTHERS_WEIGHT = 0.3
BUSY_COST = 0.1
QUIET_LATENCIES = 3.0
MIN_QUIET_SECONDS = 0.05
QUIET_IN_FLIGHT = 2
QUIET_COST = 10.0


@dataclass
class EndpointRecord:
    """What one entry knows of one endpoint's speed and failures.

    An endpoint that fails at once looks idle and quick, and would draw all the
    load; so a failure counts as a slow answer.
    """

    latency: float = LEAST_LATENCY_SECONDS
    updated_at: float = 0.0
    in_flight: int = 0
    load: Load | None = None
    load_at: float = 0.0
    failures_in_a_row: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    refusal_seconds: float = 0.0
    refuses_until: float = 0.0
    others: float = 0.0
    """Requests of other entries there, smoothed over answers."""
    heard_at: float = 0.0

    def sent(self, now: float) -> None:
        """Note a request sent there."""
        if not self.in_flight:
            self.heard_at = now
        self.in_flight += 1

    def done(self, now: float) -> None:
        """Note that a request sent there has come to an end."""
        self.in_flight -= 1

    def told(self, load: Load, now: float) -> None:
        """Take the load that came with an answer.

        Each answer counts this entry's own requests too. They are taken out, as
        what is known of them here is newer than any answer.
        """
        others = max(0, load.in_flight + load.queued - self.in_flight)
        first = self.load is None or now - self.load_at > EWMA_SECONDS
        weight = 1.0 if first else OTHERS_WEIGHT
        self.others += weight * (others - self.others)
        self.load, self.load_at = load, now
        self.heard_at = now

    def succeeded(self, seconds: float, now: float) -> None:
        """Note an answer that took `seconds`."""
        self._average(seconds, now)
        self.failures_in_a_row = 0
        if self.ejections and now > self.ejected_until + MAX_EJECTION_SECONDS:
            self.ejections = 0

    def failed(self, now: float) -> None:
        """Note a failure; several in a row eject the endpoint for a while."""
        self._average(ERROR_COUNTS_AS_SECONDS, now)
        self.failures_in_a_row += 1
        if self.failures_in_a_row >= EJECT_AFTER_FAILURES:
            pause = FIRST_EJECTION_SECONDS * 2.0**self.ejections
            self.ejected_until = now + min(pause, MAX_EJECTION_SECONDS)
            self.ejections = min(self.ejections + 1, 10)
            self.failures_in_a_row = 0

    def refused(self, retry_after: float, now: float) -> None:
        """Note that the endpoint has no room for `retry_after` seconds.

        That is no failure of the endpoint, but costs a request as much as the wait.
        """
        self.refusal_seconds = min(retry_after, MAX_REFUSAL_SECONDS)
        self.refuses_until = now + self.refusal_seconds
        self.heard_at = now

    def refusing(self, now: float) -> bool:
        """Tell whether the endpoint said that it has no room at this time."""
        return now < self.refuses_until

    def quiet(self, now: float) -> bool:
        """Tell whether several requests wait there and nothing has been heard.

        A connection that went silent shows like this well before its stream is
        given up, and everything sent into it until then is lost time.
        """
        limit = max(MIN_QUIET_SECONDS, QUIET_LATENCIES * self.latency)
        return self.in_flight >= QUIET_IN_FLIGHT and now - self.heard_at > limit

    def ejected(self, now: float) -> bool:
        """Tell whether the endpoint is ejected now."""
        return now < self.ejected_until

    def cost(self, now: float) -> float:
        """Return the expected seconds of one more request, to compare by.

        A free slot is a free slot: below its slots an endpoint costs its latency
        and a little for each request there, above them the wait for a slot too.
        """
        waiting = float(self.in_flight)
        slots = self.load.slots if self.load is not None else 1
        if now - self.load_at < EWMA_SECONDS:
            waiting += self.others
        queued = max(0.0, waiting + 1 - slots) / slots
        # An old estimate fades: an endpoint that was slow once, or is new, would
        # otherwise never be asked again while another seems quicker.
        faded = self.latency * math.exp(-max(now - self.updated_at, 0) / EWMA_SECONDS)
        latency = max(faded, LEAST_LATENCY_SECONDS)
        cost = latency * (1 + queued + BUSY_COST * waiting)
        if self.refusing(now):
            cost += self.refusal_seconds
        if self.quiet(now):
            cost *= QUIET_COST
        back_for = now - self.ejected_until
        if self.ejections and 0 <= back_for < SLOW_START_SECONDS:
            cost *= SLOW_START_SECONDS / (back_for + 0.1)
        return cost

    def _average(self, seconds: float, now: float) -> None:
        weight = 1 - math.exp(-max(now - self.updated_at, 0.05) / EWMA_SECONDS)
        self.latency += weight * (seconds - self.latency)
        self.updated_at = now


class Endpoints:
    """The records of all endpoints that one entry has used."""

    def __init__(self) -> None:
        """Know nothing yet."""
        self.record_by_node: dict[NodeId, EndpointRecord] = {}

    def record(self, node: NodeId) -> EndpointRecord:
        """Return the record of a node, a new one where there is none."""
        return self.record_by_node.setdefault(node, EndpointRecord())

    def keep_only(self, nodes: set[NodeId]) -> None:
        """Forget all but `nodes`, so that memory stays bounded as VMs change."""
        for node in [n for n in self.record_by_node if n not in nodes]:
            if self.record_by_node[node].in_flight == 0:
                del self.record_by_node[node]
