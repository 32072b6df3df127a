"""The office of a leader: an epoch, and until when it may act for it."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from wagtailcleat.ids import Epoch


@dataclass
class Office:
    """An epoch that this entry has claimed."""

    epoch: Epoch
    leader_revision: int
    beat_revision: int
    valid_until: float
    renewed_at: float
    """When the last renewal that was granted was sent: until then, none had claimed."""
    claimed_at: float
    predecessors_until: float
    """Until when a leader of an earlier epoch may act, at most."""
    alone_revision: int | None = None
    """What the store got after this revision, no earlier leader has acted on."""
    announced: bool = False
    """Whether the other entries were told."""
    gives_way: bool = False
    """Whether a larger entry should lead instead."""
    laid_down: asyncio.Event = field(default_factory=asyncio.Event)

    def renewed(self, sent_at: float, seconds: float) -> None:
        """Note that a renewal sent at `sent_at` holds for `seconds` from then on."""
        if seconds > 0:
            self.renewed_at = max(self.renewed_at, sent_at)
            self.valid_until = max(self.valid_until, sent_at + seconds)

    def valid_for(self, now: float) -> float:
        """Return for how many seconds the leader may still act."""
        if self.laid_down.is_set():
            return 0.0
        return max(0.0, self.valid_until - now)


Lead = Callable[[Office], Coroutine[Any, Any, None]]
"""Does a leader's work; cancelled when the office is lost."""
