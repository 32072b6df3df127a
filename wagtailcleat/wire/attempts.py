"""Messages between a shard's owner and an agent that runs its attempts."""

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
    """Asks an agent to reserve resources for an attempt for a short time."""

    attempt: AttemptId
    shard: ShardId
    epoch: Epoch
    size: Resources
    job_class: str
    urgent: bool = False
    penalty: float | None = None
    """Slowdown of the same services by the job class on other VMs, if known."""


class Reserved(Message, frozen=True, tag="reserved"):
    """The resources are reserved for `lasts` seconds of the agent's clock."""

    lasts: float
    free: Resources
    incarnation: Incarnation
    penalty: float | None = None
    """The slowdown of this VM's services by one core of the job class, if known."""


class NoRoom(Message, frozen=True, tag="no_room"):
    """The resources are not available; `free` is what is."""

    reason: str
    free: Resources
    penalty: float | None = None


class Start(Message, frozen=True, tag="start"):
    """Asks to start a committed attempt in its reservation."""

    attempt: AttemptId
    shard: ShardId
    epoch: Epoch
    command: str
    grant: float
    checkpoint: str = ""
    revision: Revision = Revision(0)


class Release(Message, frozen=True, tag="release"):
    """Releases a reservation that will not be used."""

    attempt: AttemptId


class AttemptState(Enum):
    """State of an attempt at its agent."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    EVICTED = "evicted"
    LAPSED = "lapsed"
    NEVER_STARTED = "never_started"


class AttemptReport(Message, frozen=True, tag="attempt_report"):
    """State of an attempt at its agent; idempotent by attempt and state."""

    attempt: AttemptId
    shard: ShardId
    state: AttemptState
    checkpoint: str = ""
    reason: str = ""
    used: Resources = Resources()
    """Peak usage observed; usage is measured with a lag."""
    ran_seconds: float = 0.0


class RenewGrants(Message, frozen=True, tag="renew_grants"):
    """Asks to renew an agent's grants for one shard, and reports its attempts."""

    vm: VmName
    node: NodeId
    incarnation: Incarnation
    shard: ShardId
    epoch: Epoch
    reports: list[AttemptReport]
    free: Resources


class Grants(Message, frozen=True, tag="grants"):
    """Answers `RenewGrants`; each grant counts from the sending of the request."""

    epoch: Epoch
    seconds_by_attempt: dict[AttemptId, float]
    acknowledged: list[AttemptId]
    stop: list[AttemptId]


class Evict(Message, frozen=True, tag="evict"):
    """Asks to checkpoint and stop an attempt."""

    attempt: AttemptId
    shard: ShardId
    epoch: Epoch
    reason: str
