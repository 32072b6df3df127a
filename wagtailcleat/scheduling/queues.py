"""The queues to which jobs are submitted, and the limits on submission requests.

The table is read from the operators' configuration; the submissions server uses it.
"""

from dataclasses import dataclass, field

from wagtailcleat.ids import ServiceName


@dataclass(frozen=True)
class Queue:
    """A queue: the host and path of its submissions, and its service objectives."""

    name: str
    host: str
    prefix: str
    """Prefix of the submission path; the job's id follows it."""
    service: ServiceName
    priority: int = 0
    """0 is the most urgent."""
    attempts: int = 1
    """Number of failed runs after which a task, and so its job, fails."""
    stretch: float = 1.0
    """Factor on a job's estimated seconds in its objective."""
    target_latency: float = 0.0
    """Seconds that the objective adds to the stretched estimate."""
    advised: bool = False
    """Whether the advice service decides which VMs may run a step."""


@dataclass(frozen=True)
class RequestLimits:
    """Upper limits on a request, in bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True)
class QueueTable:
    """All queues of one version of the configuration, by host."""

    version: int
    queues_by_host: dict[str, list[Queue]] = field(default_factory=dict)
    limits: RequestLimits = RequestLimits()

    def __repr__(self) -> str:
        """Show the version and the number of queues."""
        count = sum(len(queues) for queues in self.queues_by_host.values())
        return f"<QueueTable version {self.version}: {count} queues>"

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of `host` with the longest prefix of `path`, or None."""
        fitting = [
            queue
            for queue in self.queues_by_host.get(host.lower(), [])
            if path.startswith(queue.prefix)
        ]
        return max(fitting, key=lambda queue: len(queue.prefix), default=None)


def queue_table(
    version: int, queues: list[Queue], limits: RequestLimits = RequestLimits()
) -> QueueTable:
    """Return a table of `queues` that is indexed by host."""
    by_host: dict[str, list[Queue]] = {}
    for queue in queues:
        by_host.setdefault(queue.host.lower(), []).append(queue)
    return QueueTable(version, by_host, limits)
