"""Admission of service requests: while the agent is closed, no new one starts."""

from collections.abc import Awaitable, Callable

from wagtailcleat.agent.service_instance import RETRY_AFTER_SECONDS, ServiceInstance
from wagtailcleat.clock import Clock
from wagtailcleat.errors import Code
from wagtailcleat.ids import ServiceName
from wagtailcleat.wire.results import Refused

QUEUED_GRACE_SECONDS = 2.0
"""How long after the closing queued requests may still start."""


class ServiceAdmission:
    """Refuses requests while the agent is closed, or to a service not on this VM."""

    def __init__(
        self,
        instance_by_service: dict[ServiceName, ServiceInstance],
        *,
        closed_reason: Callable[[], str],
        wait_for_fresh_view: Callable[[], Awaitable[None]],
        clock: Clock,
    ) -> None:
        """Admit requests to the services of `instance_by_service`.

        Parameters: `closed_reason` returns why no new request is admitted, or an empty
        string; `wait_for_fresh_view` returns once this process has heard a peer since
        its last pause, or after a short time.
        """
        self._instance_by_service = instance_by_service
        self._closed_reason = closed_reason
        self._wait_for_fresh_view = wait_for_fresh_view
        self._clock = clock
        self._closed_at: float | None = None

    def record_closing(self) -> None:
        """Record when the agent closed, or that it is open."""
        if not self._closed_reason():
            self._closed_at = None
        elif self._closed_at is None:
            self._closed_at = self._clock()

    async def admit(self, service: ServiceName) -> Refused | None:
        """Return the refusal of a new request, or None if it may start.

        After a pause of this process, a peer normally answers within milliseconds, so
        requests that arrived meanwhile wait for that instead of being refused.
        """
        await self._wait_for_fresh_view()
        return self.refusal(service)

    def refusal(self, service: ServiceName, *, queued: bool = False) -> Refused | None:
        """Return the refusal of a request, or None if it may start now.

        Parameters: `queued` is true if the request was admitted and waited for a slot.
        """
        reason = self._closed_reason()
        self.record_closing()
        if reason and not (queued and self._in_grace()):
            return Refused(Code.NOT_RUN.value, reason, RETRY_AFTER_SECONDS)
        if service not in self._instance_by_service:
            reason = "no such service on this VM"
            return Refused(Code.NOT_RUN.value, reason, RETRY_AFTER_SECONDS)
        return None

    def _in_grace(self) -> bool:
        # A planned stop does not refuse requests that wait in the queue. The grace
        # period is no longer than the time in which a leaving endpoint may receive new
        # requests.
        assert self._closed_at is not None
        return self._clock() - self._closed_at < QUEUED_GRACE_SECONDS
