"""Services of an agent: which ones it serves, their health checks and their drain."""

import asyncio
from collections.abc import Awaitable, Callable

from wagtailcleat.agent.endpoint import Endpoint
from wagtailcleat.agent.ledger import Ledger
from wagtailcleat.agent.service_admission import ServiceAdmission
from wagtailcleat.agent.service_instance import ServiceInstance
from wagtailcleat.agent.service_requests import CloseOlder, ServiceRequests
from wagtailcleat.agent.service_watches import ServiceWatches
from wagtailcleat.clock import Clock
from wagtailcleat.configuration.models import Service
from wagtailcleat.ids import Incarnation, ServiceName
from wagtailcleat.process import Handlers
from wagtailcleat.settings import Timing

DRAIN_POLL_SECONDS = 0.02


class Services:
    """All services on this VM, and the ledger of their requests."""

    def __init__(
        self,
        endpoint_url_by_service: dict[str, str],
        *,
        incarnation: Incarnation,
        clock: Clock,
        timing: Timing,
        closed_reason: Callable[[], str],
        wait_for_fresh_view: Callable[[], Awaitable[None]],
        close_older: CloseOlder,
        max_answer_bytes: int,
        kept_answer_bytes: int,
    ) -> None:
        """Serve the endpoints of this VM.

        Parameters: `closed_reason` returns why no new request is admitted (the zone is
        out, the agent leaves), or an empty string; `wait_for_fresh_view` returns once
        this process has heard a peer since its last pause, or after a short time.
        """
        self.ledger = Ledger(max_bytes=kept_answer_bytes)
        self.instance_by_service: dict[ServiceName, ServiceInstance] = {}
        self.answering: set[ServiceName] = set()
        self._url_by_service = endpoint_url_by_service
        self._clock = clock
        self._max_answer_bytes = max_answer_bytes
        self._admission = ServiceAdmission(
            self.instance_by_service,
            closed_reason=closed_reason,
            wait_for_fresh_view=wait_for_fresh_view,
            clock=clock,
        )
        self._watches = ServiceWatches(self.instance_by_service, self._admission)
        self._requests = ServiceRequests(
            self.ledger,
            self.instance_by_service,
            self._admission,
            self._watches,
            incarnation=incarnation,
            clock=clock,
            timing=timing,
            close_older=close_older,
        )

    @property
    def in_flight(self) -> int:
        """Return the number of requests that run or wait for a slot."""
        return self._requests.in_flight

    def configure(self, services: list[Service]) -> None:
        """Apply the list of services that the configuration places on this VM.

        A service that is no longer listed is closed if nothing of it runs or waits.
        """
        by_name = {ServiceName(s.name): s for s in services}
        for name, service in by_name.items():
            self._add_or_update(name, service)
        self.record_closing()
        for name in [n for n in self.instance_by_service if n not in by_name]:
            if self.instance_by_service[name].idle:
                self.instance_by_service.pop(name).endpoint.close()
                self.answering.discard(name)

    def _add_or_update(self, name: ServiceName, service: Service) -> None:
        url = self._url_by_service.get(name)
        instance = self.instance_by_service.get(name)
        if instance is not None:
            instance.update(service)
        elif url is not None:
            endpoint = Endpoint(
                url,
                connections=max(service.connections, service.slots + 1),
                max_answer_bytes=self._max_answer_bytes,
            )
            self.instance_by_service[name] = ServiceInstance(service, endpoint)

    def record_closing(self) -> None:
        """Record when the agent closed, or that it is open."""
        self._admission.record_closing()

    async def check_endpoints(self) -> None:
        """Check which endpoints accept connections; expire ledger entries."""
        self.ledger.expire(self._clock())
        for name, instance in list(self.instance_by_service.items()):
            if await instance.endpoint.accepts_connections():
                self.answering.add(name)
            else:
                self.answering.discard(name)

    def handlers(self) -> Handlers:
        """Return the handlers of service messages by message class."""
        return self._requests.by_message()

    def dump(self) -> dict[str, object]:
        """Return the state of each service for the state dump."""
        return {
            name: {"answering": name in self.answering} | instance.dump()
            for name, instance in self.instance_by_service.items()
        }

    async def drain(self) -> None:
        """End the event streams; wait until no request runs or waits for a slot."""
        self.record_closing()
        self._watches.end_all()
        # Only requests with a slot or in the queue count: refused ones still arrive.
        while not all(i.idle for i in self.instance_by_service.values()):  # noqa: ASYNC110
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    def close(self) -> None:
        """Close the connections to all endpoints."""
        for instance in self.instance_by_service.values():
            instance.endpoint.close()
