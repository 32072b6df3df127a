"""Earlier holders of a shard, listed in the store until each is settled.

A holder is a process that owned or claimed the shard. An earlier holder that lost its
store lease but can still reach agents may go on issuing grants, up to the bound in the
settings. A holder is settled once it certainly issues no more grants of earlier epochs.
The next owner has to know every unsettled holder, including one before a holder that
died during its takeover. So a claim adds its predecessor to a list in the same
transaction, and only an owner that has settled all of them clears the list.
"""

import msgspec

from wagtailcleat.configuration.keys import shard_earlier, shard_epoch
from wagtailcleat.ids import Epoch, Incarnation, NodeId, ShardId
from wagtailcleat.platform.store import Store
from wagtailcleat.storage import Absent, Compare, Found, Txn, Unavailable, Written
from wagtailcleat.wire.membership import Member
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.peers import Peers
from wagtailcleat.wire.results import Done
from wagtailcleat.wire.takeover import StepDown

CALL_TIMEOUT_SECONDS = 1.0


class Holder(msgspec.Struct, frozen=True):
    """A process that owned or claimed a shard."""

    node: NodeId
    incarnation: Incarnation
    host: str
    port: int


class EpochRecord(msgspec.Struct, frozen=True):
    """Value of the epoch key: the epoch and the process that raised it last."""

    epoch: Epoch
    holder: Holder


class KnownHolders(msgspec.Struct, frozen=True):
    """The epoch and the unsettled holders, as read before a claim."""

    epoch: Epoch
    epoch_revision: int
    unsettled: list[Holder]
    """The last holder, and those before it that may still issue grants."""


_encode = msgspec.json.Encoder().encode


def holder_of(me: Member) -> Holder:
    """Return the holder that stands for this process."""
    return Holder(me.node, me.incarnation, me.host, me.port)


def encode_epoch(epoch: Epoch, holder: Holder) -> bytes:
    """Return the value of the epoch key."""
    return _encode(EpochRecord(epoch, holder))


def encode_earlier_holders(holders: list[Holder]) -> bytes:
    """Return the value of the key that lists earlier holders."""
    return _encode(holders)


async def read_holders(store: Store, shard: ShardId) -> KnownHolders | None:
    """Return the shard's unsettled holders, or None if the store fails.

    The two keys are not read atomically. A claim between the two reads changes the
    epoch, and the claim that follows this read compares the epoch and fails.
    """
    epoch = await store.get(shard_epoch(shard))
    earlier = await store.get(shard_earlier(shard))
    if isinstance(epoch, Unavailable) or isinstance(earlier, Unavailable):
        return None
    if isinstance(epoch, Absent):
        return KnownHolders(Epoch(0), 0, [])
    record = msgspec.json.decode(epoch.value, type=EpochRecord)
    unsettled = [record.holder]
    if isinstance(earlier, Found):
        unsettled += msgspec.json.decode(earlier.value, type=list[Holder])
    unique = list(dict.fromkeys(unsettled))
    return KnownHolders(record.epoch, epoch.mod_revision, unique)


async def read_epoch(store: Store, shard: ShardId) -> Epoch | None:
    """Return the shard's epoch, or None if the store fails."""
    found = await store.get(shard_epoch(shard))
    if isinstance(found, Unavailable):
        return None
    if isinstance(found, Absent):
        return Epoch(0)
    return msgspec.json.decode(found.value, type=EpochRecord).epoch


async def clear_earlier_holders(
    store: Store, shard: ShardId, epoch_value: bytes
) -> bool:
    """Empty the list of earlier holders; return whether it was written."""
    txn = Txn(
        [Compare(shard_epoch(shard), value=epoch_value)],
        {shard_earlier(shard): encode_earlier_holders([])},
    )
    return isinstance(await store.write(txn), Written)


async def is_settled(holder: Holder, me: Holder, order: StepDown, peers: Peers) -> bool:
    """Return whether `holder` certainly issues no grants of an earlier epoch.

    That holds if it confirmed `order`, if it is this process, or if a later
    incarnation of its node listens on its address, which only one process can do.
    """
    if holder == me:
        return True
    stream = await peers.stream(holder.host, holder.port)
    if isinstance(stream, Lost) or stream.peer != holder.node:
        return False
    if stream.peer_incarnation > holder.incarnation:
        return True
    if stream.peer_incarnation < holder.incarnation:
        return False
    return isinstance(await stream.call(order, timeout=CALL_TIMEOUT_SECONDS), Done)
