"""Messages from a shard's new owner to earlier owners and to agents, and replies."""

from wagtailcleat.ids import Epoch, Incarnation, ShardId, VmName
from wagtailcleat.wire.attempts import AttemptReport
from wagtailcleat.wire.base import Message


class StepDown(Message, frozen=True, tag="step_down"):
    """Request that an earlier owner issue no more grants for a shard."""

    shard: ShardId
    epoch: Epoch


class Adopt(Message, frozen=True, tag="adopt"):
    """Request for all attempts of a shard at an agent.

    `epoch` is a fencing token: the agent then refuses owners of older epochs.
    """

    shard: ShardId
    epoch: Epoch


class Adopted(Message, frozen=True, tag="adopted"):
    """Reply to `Adopt`: attempts that run, or have ended without an acknowledgement."""

    vm: VmName
    incarnation: Incarnation
    reports: list[AttemptReport]
