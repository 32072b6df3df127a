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
    """Asks an agent to hold room for an attempt for a short time."""

    attempt: AttemptId
    shard: ShardId
    epoch: Epoch
    size: Resources
    job_class: str
    urgent: bool = False
    penalty: float | None = None
    """What the owner knows of the class beside the same services elsewhere."""


class Reserved(Message, frozen=True, tag="reserved"):
    """The agent holds the room; counted by the agent's clock, `lasts` seconds."""

    lasts: float
    free: Resources
    incarnation: Incarnation
    penalty: float | None = None
    """The slowdown of this VM's services by one core of the job class, if known."""


class NoRoom(Message, frozen=True, tag="no_room"):
    """The agent does not hold the room, and says what it has."""

    reason: str
    free: Resources
    penalty: float | None = None


class Start(Message, frozen=True, tag="start"):
    """Orders a committed attempt to run in the room reserved for it."""

    attempt: AttemptId
    shard: ShardId
    epoch: Epoch
    command: str
    grant: float
    checkpoint: str = ""
    revision: Revision = Revision(0)


class Release(Message, frozen=True, tag="release"):
    """Gives up a reservation that will not be used."""

    attempt: AttemptId


class AttemptState(Enum):
    """How an attempt stands at its agent."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    EVICTED = "evicted"
    LAPSED = "lapsed"
    NEVER_STARTED = "never_started"


class AttemptReport(Message, frozen=True, tag="attempt_report"):
    """An attempt as its agent knows it; idempotent by attempt and state."""

    attempt: AttemptId
    shard: ShardId
    state: AttemptState
    checkpoint: str = ""
    reason: str = ""
    used: Resources = Resources()
    """The most it was seen to use, from lagged usage."""
    ran_seconds: float = 0.0


class RenewGrants(Message, frozen=True, tag="renew_grants"):
    """An agent's ask to go on: all its attempts of one shard, and ends to report."""

    vm: VmName
    node: NodeId
    incarnation: Incarnation
    shard: ShardId
    epoch: Epoch
    reports: list[AttemptReport]
    free: Resources


class Grants(Message, frozen=True, tag="grants"):
    """The owner's answer; the agent counts each grant from when it asked."""

    epoch: Epoch
    seconds_by_attempt: dict[AttemptId, float]
    acknowledged: list[AttemptId]
    stop: list[AttemptId]


class Evict(Message, frozen=True, tag="evict"):
    """Orders an attempt to be checkpointed and stopped."""

    attempt: AttemptId
    shard: ShardId
    epoch: Epoch
    reason: str
