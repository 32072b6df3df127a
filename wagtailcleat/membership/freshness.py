"""Whether this process's view may be acted on, or stems from before a pause.

A paused VM goes on where it stopped, with a view in which a zone is still in and
a leaving endpoint still takes work. It shows as a gap between two turns of the
event loop. Until one peer has been heard again the view counts as stale; that
takes milliseconds, and closes the time between the thaw and the first news.
"""

import asyncio
from collections.abc import Awaitable, Callable

from wagtailcleat.clock import Clock
from wagtailcleat.logs import part_logger

log = part_logger("freshness")

BEAT_SECONDS = 0.2
PAUSE_SECONDS = 1.0
REFRESH_PAUSE_SECONDS = 0.05

Refresh = Callable[[], Awaitable[bool]]
"""Hears a peer anew; tells whether one answered, or there is none to ask."""


class Freshness:
    """Beats with the event loop, and refreshes the view after a gap."""

    def __init__(self, clock: Clock, refresh: Refresh) -> None:
        """Start fresh."""
        self.pauses = 0
        self._clock = clock
        self._refresh = refresh
        self._beat_at = clock()
        self._stale = False

    def fresh(self, now: float) -> bool:
        """Tell whether the view may be acted on.

        A handler may run before the beat does after a pause, so the gap is looked
        for here as well.
        """
        if now - self._beat_at > PAUSE_SECONDS:
            self._stale = True
        return not self._stale

    async def run(self) -> None:
        """Beat until cancelled."""
        self._beat_at = self._clock()
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            now = self._clock()
            if not self.fresh(now):
                await self._after_pause(now - self._beat_at)
            self._beat_at = self._clock()

    async def _after_pause(self, seconds: float) -> None:
        self.pauses += 1
        log.warning("This process was paused", extra={"seconds": round(seconds, 3)})
        while not await self._refresh():
            self._beat_at = self._clock()
            await asyncio.sleep(REFRESH_PAUSE_SECONDS)
        self._stale = False
