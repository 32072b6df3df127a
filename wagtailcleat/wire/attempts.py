"""Messages between a shard's owner and an agent that runs its attempts.

An attempt may run only under a grant: a lease from the shard's owner, which the agent
renews for all attempts of the shard at once.
"""

from enum import Enum

from wagtailcleat.ids import (
    AttemptId,
    Epoch,
    Incarnation,
    NodeId,
    Revision,
    ShardId,
    VmName,
)
from wagtailcleat.resources import Resources
from wagtailcleat.wire.base import Message


class Reserve(Message, frozen=True, tag="reserve"):
    """Request to reserve resources for an attempt for a short time."""

    attempt: AttemptId
    shard: ShardId
    epoch: Epoch
    size: Resources
    job_class: str
    urgent: bool = False
    penalty: float | None = None
    """Slowdown that one core of the job class caused to the same services on other VMs.

    None if it is unknown.
    """


class Reserved(Message, frozen=True, tag="reserved"):
    """Reply to `Reserve`: reserved for `lasts` seconds of the agent's clock."""

    lasts: float
    free: Resources
    incarnation: Incarnation
    penalty: float | None = None
    """Slowdown of this VM's services by one core of the job class; None if unknown."""


class NoRoom(Message, frozen=True, tag="no_room"):
    """Reply to `Reserve`: not reserved; `free` are the resources that are available."""

    reason: str
    free: Resources
    penalty: float | None = None


class Start(Message, frozen=True, tag="start"):
    """Request to start a committed attempt in its reservation.

    `grant` is how long it may run without a renewal, in seconds from the reservation.
    """

    attempt: AttemptId
    shard: ShardId
    epoch: Epoch
    command: str
    grant: float
    checkpoint: str = ""
    revision: Revision = Revision(0)


class Release(Message, frozen=True, tag="release"):
    """Request to release a reservation that will not be used."""

    attempt: AttemptId


class AttemptState(Enum):
    """State of an attempt at its agent."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    EVICTED = "evicted"
    LAPSED = "lapsed"
    """The grant expired."""
    NEVER_STARTED = "never_started"


class AttemptReport(Message, frozen=True, tag="attempt_report"):
    """Report of an attempt's state at its agent; idempotent by attempt and state."""

    attempt: AttemptId
    shard: ShardId
    state: AttemptState
    checkpoint: str = ""
    reason: str = ""
    used: Resources = Resources()
    """Peak usage observed; measurements lag behind the actual usage."""
    ran_seconds: float = 0.0


class RenewGrants(Message, frozen=True, tag="renew_grants"):
    """Request to renew an agent's grants for one shard, with the attempts' states."""

    vm: VmName
    node: NodeId
    incarnation: Incarnation
    shard: ShardId
    epoch: Epoch
    reports: list[AttemptReport]
    free: Resources


class Grants(Message, frozen=True, tag="grants"):
    """Reply to `RenewGrants`.

    Each grant counts from the time at which the request was sent. Reports of the
    attempts in `acknowledged` need not be repeated; the attempts in `stop` must end.
    """

    epoch: Epoch
    seconds_by_attempt: dict[AttemptId, float]
    acknowledged: list[AttemptId]
    stop: list[AttemptId]


class Evict(Message, frozen=True, tag="evict"):
    """Request to checkpoint and stop an attempt."""

    attempt: AttemptId
    shard: ShardId
    epoch: Epoch
    reason: str
