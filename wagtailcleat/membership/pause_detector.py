"""Detects that this process was paused, so that nobody acts on a stale view.

Every node runs a `PauseDetector`; entry and agent consult it before they act on the
membership view or the configuration. A VM that was paused resumes with its old view,
in which a zone may still be in or a leaving endpoint may still accept requests. The
pause shows as a gap between two checks on the event loop. From then on the view
counts as stale until one peer has answered, which takes milliseconds; this covers
the time between the resumption and the first update from a peer.
"""

import asyncio
from collections.abc import Awaitable, Callable

from wagtailcleat.clock import Clock
from wagtailcleat.logs import part_logger

log = part_logger("freshness")

CHECK_INTERVAL_SECONDS = 0.2
PAUSE_THRESHOLD_SECONDS = 1.0
REFRESH_RETRY_SECONDS = 0.05
FRESH_VIEW_WAIT_SECONDS = 0.5
FRESH_VIEW_POLL_INTERVAL_SECONDS = 0.01

Refresh = Callable[[], Awaitable[bool]]
"""Exchanges views with a peer; returns whether one answered or no peer is known."""


class PauseDetector:
    """Detects pauses of this process, and refreshes the view after each of them."""

    def __init__(self, clock: Clock, refresh: Refresh) -> None:
        """Treat the view as fresh, and renew it by `refresh` after a pause."""
        self.pauses = 0
        self._clock = clock
        self._refresh = refresh
        self._last_check_at = clock()
        self._stale = False

    def is_view_fresh(self, now: float) -> bool:
        """Return whether the view may be acted on at `now`; mark it stale if not.

        The gap is measured here as well as in `run`, because after a pause a message
        handler may run before the next periodic check does.
        """
        if now - self._last_check_at > PAUSE_THRESHOLD_SECONDS:
            self._stale = True
        return not self._stale

    async def wait_for_fresh_view(self) -> None:
        """Wait until the view is fresh, for at most `FRESH_VIEW_WAIT_SECONDS`."""
        give_up_at = self._clock() + FRESH_VIEW_WAIT_SECONDS
        while (  # noqa: ASYNC110
            not self.is_view_fresh(now := self._clock()) and now < give_up_at
        ):
            await asyncio.sleep(FRESH_VIEW_POLL_INTERVAL_SECONDS)

    async def run(self) -> None:
        """Check for a pause at each interval, until cancelled."""
        self._last_check_at = self._clock()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            now = self._clock()
            if not self.is_view_fresh(now):
                await self._recover_from_pause(now - self._last_check_at)
            self._last_check_at = self._clock()

    async def _recover_from_pause(self, seconds: float) -> None:
        self.pauses += 1
        log.warning("This process was paused", extra={"seconds": round(seconds, 3)})
        while not await self._refresh():
            self._last_check_at = self._clock()
            await asyncio.sleep(REFRESH_RETRY_SECONDS)
        self._stale = False
