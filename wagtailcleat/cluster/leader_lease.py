"""The leader's lease: the epoch that it has claimed, and until when it may act."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from wagtailcleat.cluster.stored_values import Unreadable, decode_stored
from wagtailcleat.ids import Epoch
from wagtailcleat.storage import Found
from wagtailcleat.wire.scheduling import Leads


@dataclass
class LeaderLease:
    """An epoch that this entry has claimed, with the time until which it may act.

    All times are on this process's clock, in seconds.
    """

    epoch: Epoch
    leader_revision: int
    """Revision of the leader key at which no other entry had claimed."""
    heartbeat_revision: int
    valid_until: float
    renewed_at: float
    """When the last granted renewal was sent; no other entry had claimed by then."""
    claimed_at: float
    predecessors_until: float
    """The latest time at which a leader of an earlier epoch may still act."""
    predecessors_expired_revision: int | None = None
    """No earlier leader has acted on keys written after this store revision.

    None while the leases of predecessors may still be valid.
    """
    leader_value: bytes = b""
    """Value of the leader key as this entry has written it."""
    is_key_overwritten: bool = False
    """Whether the leader key holds a value that another program has written."""
    announced: bool = False
    """Whether the other entries were told of this leader."""
    hand_over_requested: bool = False
    """Whether leadership should go to an entry with more processor time."""
    stepped_down: asyncio.Event = field(default_factory=asyncio.Event)
    """Set once this leader has given up the lease."""

    def extend(self, sent_at: float, seconds: float) -> None:
        """Extend the lease: a renewal sent at `sent_at` is valid for `seconds`."""
        if seconds > 0:
            self.renewed_at = max(self.renewed_at, sent_at)
            self.valid_until = max(self.valid_until, sent_at + seconds)

    def valid_for(self, now: float) -> float:
        """Return for how many more seconds the leader may act; 0 if it may not."""
        if self.stepped_down.is_set():
            return 0.0
        return max(0.0, self.valid_until - now)


def is_later_claim(found: Found | None, epoch: Epoch) -> bool:
    """Return whether the leader key, as found, may hold a claim after `epoch`.

    A value that no leader can have written is not a claim.
    """
    if found is None:
        return True
    leader = decode_stored(found, Leads)
    return not isinstance(leader, Unreadable) and leader.epoch > epoch


LeadCallback = Callable[[LeaderLease], Coroutine[Any, Any, None]]
"""Does a leader's work; cancelled when the lease is lost."""
