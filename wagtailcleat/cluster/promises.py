"""An entry's promises to the leader not to claim; `leadership` answers with them."""

import asyncio
import contextlib
import math

from wagtailcleat.clock import Clock
from wagtailcleat.cluster.keys import LEADER_KEY
from wagtailcleat.cluster.timing import LEADER_LEASE_SECONDS, PROBE_INTERVAL_SECONDS
from wagtailcleat.ids import Epoch
from wagtailcleat.platform.keyvalue import KeyValueStore
from wagtailcleat.wire.scheduling import Follows

STORE_CHECK_SECONDS = 0.3
"""How long an entry that is asked for a promise waits for the store, at most."""


class Promises:
    """Promises that one entry has made, and until when they hold."""

    def __init__(self, *, store: KeyValueStore, clock: Clock) -> None:
        """Start as if a promise had been made: an earlier incarnation may have."""
        self.until = clock() + LEADER_LEASE_SECONDS
        """Until when this entry may not claim because of a stopped heartbeat."""
        self._store = store
        self._clock = clock

    def __repr__(self) -> str:
        """Show until when a promise holds."""
        return f"<Promises until {self.until:.3f}>"

    def refuse(self, epoch: Epoch) -> Follows:
        """Return a promise of 0 seconds; `epoch` is the latest that is known."""
        return Follows(epoch, 0.0, self._store_age())

    async def promise(self, epoch: Epoch) -> Follows:
        """Promise the leader of `epoch` not to claim for the length of a lease."""
        self.until = max(self.until, self._clock() + LEADER_LEASE_SECONDS)
        # The leader hands over only to an entry that the store has answered since it
        # last failed to answer the leader.
        await self._refresh_store_contact()
        return Follows(epoch, LEADER_LEASE_SECONDS, self._store_age())

    def _store_age(self) -> float:
        """Return how many seconds ago the store last answered; infinity if never."""
        answered_at = self._store.answered_at
        return self._clock() - answered_at if answered_at else math.inf

    async def _refresh_store_contact(self) -> None:
        if self._clock() - self._store.answered_at > PROBE_INTERVAL_SECONDS:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(STORE_CHECK_SECONDS):
                    await self._store.get(LEADER_KEY)
