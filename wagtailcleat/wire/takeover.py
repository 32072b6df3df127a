"""Messages of a shard's new owner to earlier owners and to agents."""

from wagtailcleat.ids import Epoch, Incarnation, ShardId, VmName
from wagtailcleat.wire.attempts import AttemptReport
from wagtailcleat.wire.base import Message


class StepDown(Message, frozen=True, tag="step_down"):
    """Asks an earlier owner to issue no more grants for a shard."""

    shard: ShardId
    epoch: Epoch


class Adopt(Message, frozen=True, tag="adopt"):
    """Asks an agent for all attempts of a shard, and fences owners of older epochs."""

    shard: ShardId
    epoch: Epoch


class Adopted(Message, frozen=True, tag="adopted"):
    """Attempts of a shard at an agent: running, or ended and not acknowledged."""

    vm: VmName
    incarnation: Incarnation
    reports: list[AttemptReport]
