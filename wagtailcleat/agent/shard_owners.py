"""Fencing of shard owners: a message with an older epoch than one seen is refused.

The epoch of a shard is the fencing token: each new owner has a higher one.
"""

from wagtailcleat.ids import Epoch, NodeId, ShardId
from wagtailcleat.membership.view import GONE_STATES, View
from wagtailcleat.wire.membership import Member


class ShardOwners:
    """The highest epoch seen of each shard, and the owner that sent it."""

    def __init__(self, view: View) -> None:
        """Look up owners in the membership view `view`."""
        self.shards_without_epoch: set[ShardId] = set()
        """Shards with tasks of a previous incarnation whose epoch is not known yet."""
        self._view = view
        self._epoch_by_shard: dict[ShardId, Epoch] = {}
        self._owner_by_shard: dict[ShardId, NodeId] = {}

    def epoch(self, shard: ShardId) -> Epoch:
        """Return the highest epoch seen of a shard, 0 if none was."""
        return self._epoch_by_shard.get(shard, Epoch(0))

    def accept(self, shard: ShardId, epoch: Epoch, owner: NodeId | None) -> bool:
        """Record an owner and its epoch; return False if a newer epoch is known."""
        if epoch < self.epoch(shard):
            return False
        self._epoch_by_shard[shard] = epoch
        self.shards_without_epoch.discard(shard)
        if owner is not None:
            self._owner_by_shard[shard] = owner
        return True

    def mark_epoch_unknown(self, shard: ShardId) -> None:
        """Mark the epoch of a shard as unknown, unless one was seen."""
        if shard not in self._epoch_by_shard:
            self.shards_without_epoch.add(shard)

    def candidates(self, shard: ShardId) -> list[Member]:
        """Return the live members that may own a shard, the most likely first."""
        # The last owner whose message was accepted is the newest that this agent has
        # heard from. Gossip may still name its predecessor, or already name a newer
        # owner that has not sent a message to this agent yet.
        last = self._owner_by_shard.get(shard)
        members = self._view.member_by_node
        last_sender = members.get(last) if last is not None else None
        gossiped = self._view.owner(shard)
        found = [m for m in (last_sender, gossiped) if m is not None]
        alive = [m for m in found if m.state not in GONE_STATES]
        return alive[:1] if last_sender == gossiped else alive
