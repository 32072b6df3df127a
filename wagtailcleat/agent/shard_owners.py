"""Which owner of a shard this agent follows: orders under an older epoch are fenced."""

from wagtailcleat.ids import Epoch, NodeId, ShardId
from wagtailcleat.membership.view import GONE, View
from wagtailcleat.wire.membership import Member


class ShardOwners:
    """The highest epoch seen of each shard, and the owner that sent it."""

    def __init__(self, view: View) -> None:
        """Find owners' addresses in `view`."""
        self.unfenced: set[ShardId] = set()
        """Shards with tasks from before a restart whose epoch isn't known yet."""
        self._view = view
        self._epoch_by_shard: dict[ShardId, Epoch] = {}
        self._owner_by_shard: dict[ShardId, NodeId] = {}

    def epoch(self, shard: ShardId) -> Epoch:
        """Return the highest epoch seen of a shard; 0 where none was."""
        return self._epoch_by_shard.get(shard, Epoch(0))

    def accept(self, shard: ShardId, epoch: Epoch, owner: NodeId | None) -> bool:
        """Record an owner and its epoch; tell whether no newer one is known."""
        if epoch < self.epoch(shard):
            return False
        self._epoch_by_shard[shard] = epoch
        self.unfenced.discard(shard)
        if owner is not None:
            self._owner_by_shard[shard] = owner
        return True

    def require_epoch(self, shard: ShardId) -> None:
        """Mark a shard as unfenced, unless its epoch is known."""
        if shard not in self._epoch_by_shard:
            self.unfenced.add(shard)

    def candidates(self, shard: ShardId) -> list[Member]:
        """Return the members that may own a shard, the most likely first."""
        # The owner whose order came last is the newest for sure; gossip may still
        # name the one before, or know of one that has sent no order here yet.
        last = self._owner_by_shard.get(shard)
        members = self._view.member_by_node
        ordered = members.get(last) if last is not None else None
        gossiped = self._view.owner(shard)
        found = [m for m in (ordered, gossiped) if m is not None]
        alive = [m for m in found if m.state not in GONE]
        return alive[:1] if ordered == gossiped else alive
