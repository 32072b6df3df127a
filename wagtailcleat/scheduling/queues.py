"""The queues that submitters name, and the limits on what they send."""

from dataclasses import dataclass, field

from wagtailcleat.ids import ServiceName


@dataclass(frozen=True)
class Queue:
    """Where jobs are handed in, and what is promised of them."""

    name: str
    host: str
    prefix: str
    """What a path begins with; the job's id follows."""
    service: ServiceName
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    target_latency: float = 0.0
    """Seconds."""
    advised: bool = False
    """Whether only the advice service knows which VMs may run a step."""


@dataclass(frozen=True)
class RequestLimits:
    """What a request may be at most; bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True)
class QueueTable:
    """All queues of one accepted version of the configuration."""

    version: int
    queues_by_host: dict[str, list[Queue]] = field(default_factory=dict)
    limits: RequestLimits = RequestLimits()

    def __repr__(self) -> str:
        """Show the version and the number of queues."""
        count = sum(len(queues) for queues in self.queues_by_host.values())
        return f"<QueueTable version {self.version}: {count} queues>"

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix that `path` begins with."""
        fitting = [
            queue
            for queue in self.queues_by_host.get(host.lower(), [])
            if path.startswith(queue.prefix)
        ]
        return max(fitting, key=lambda queue: len(queue.prefix), default=None)


def queue_table(
    version: int, queues: list[Queue], limits: RequestLimits = RequestLimits()
) -> QueueTable:
    """Return the table of `queues`, ordered for look-up."""
    by_host: dict[str, list[Queue]] = {}
    for queue in queues:
        by_host.setdefault(queue.host.lower(), []).append(queue)
    return QueueTable(version, by_host, limits)
