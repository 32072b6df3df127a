"""Whether a service request may start on this VM: while it drains, none that is new."""

from collections.abc import Callable

from wagtailcleat.agent.service_instance import RETRY_AFTER_SECONDS, ServiceInstance
from wagtailcleat.clock import Clock
from wagtailcleat.errors import Code
from wagtailcleat.ids import ServiceName
from wagtailcleat.wire.results import Refused

QUEUED_GRACE_SECONDS = 2.0
"""How long after the close requests from the queue may still start."""


class ServiceAdmission:
    """Refuses requests to a closed VM, or to a service that isn't on it."""

    def __init__(
        self,
        instance_by_service: dict[ServiceName, ServiceInstance],
        *,
        closed: Callable[[], str],
        clock: Clock,
    ) -> None:
        """Admit requests to the services of `instance_by_service`.

        Parameters: `closed` tells why no new request is taken, or is empty.
        """
        self._instance_by_service = instance_by_service
        self._closed = closed
        self._clock = clock
        self._closed_at: float | None = None

    def note_closed(self) -> None:
        """Note since when no new request is taken, if so."""
        if not self._closed():
            self._closed_at = None
        elif self._closed_at is None:
            self._closed_at = self._clock()

    def refusal(self, service: ServiceName, *, queued: bool = False) -> Refused | None:
        """Return why a request may not start now, if so.

        Parameters: `queued` tells that it was admitted before and has waited.
        """
        reason = self._closed()
        self.note_closed()
        if reason and not (queued and self._in_grace()):
            return Refused(Code.NOT_RUN.value, reason, RETRY_AFTER_SECONDS)
        if service not in self._instance_by_service:
            reason = "no such service on this VM"
            return Refused(Code.NOT_RUN.value, reason, RETRY_AFTER_SECONDS)
        return None

    def _in_grace(self) -> bool:
        # A planned stop doesn't reject what waits in the queue, but for no longer
        # than a leaving endpoint may receive new work.
        assert self._closed_at is not None
        return self._clock() - self._closed_at < QUEUED_GRACE_SECONDS
