"""Detection and closing of silent and idle streams.

A connection can fail without an error while new ones work, for example when a device
on the path loses its connection state. The stream then receives nothing while calls
wait. So a stream with calls in flight is pinged, and closed if it stays silent.
"""

import asyncio

from wagtailcleat.ids import NodeId
from wagtailcleat.logs import part_logger
from wagtailcleat.wire.frames import Frame, FrameKind
from wagtailcleat.wire.limits import StreamTiming
from wagtailcleat.wire.outbound import OutboundCalls
from wagtailcleat.wire.writer import FrameWriter

log = part_logger("wire")

IDLE_CHECK_SECONDS = 5.0


class Keepalive:
    """Pings a stream with calls in flight; closes one that is silent or idle."""

    def __init__(
        self,
        peer: NodeId,
        outbound: OutboundCalls,
        writer: FrameWriter,
        timing: StreamTiming,
        *,
        closes_idle: bool,
    ) -> None:
        """Monitor the stream to `peer`; close it when idle if `closes_idle` is set."""
        self._peer = peer
        self._outbound = outbound
        self._writer = writer
        self._timing = timing
        self._closes_idle = closes_idle
        # Silence is measured from this time.
        self._received_at = 0.0
        self._call_made = asyncio.Event()

    def record_received(self, now: float) -> None:
        """Record that bytes arrived at `now`; silence is measured from then."""
        self._received_at = now

    def record_call(self, now: float) -> None:
        """Record a new call; must precede the call itself.

        If no other call is pending, silence is measured from `now`.
        """
        if not self._outbound.pending_count:
            self._received_at = now
        self._call_made.set()

    async def run(self) -> None:
        """Monitor the stream until it is closed as silent or idle."""
        loop = asyncio.get_running_loop()
        timing = self._timing
        while True:
            if not self._outbound.pending_count and await self._wait_for_call():
                return
            slept_at = loop.time()
            await asyncio.sleep(timing.ping)
            now = loop.time()
            # If this process was paused, it may not have read the peer's bytes.
            if now - slept_at > timing.silence:
                self._received_at = now
            silent_seconds = now - self._received_at
            if self._outbound.pending_count and silent_seconds > timing.silence:
                log.warning("A stream went silent", extra={"peer": self._peer})
                self._writer.close("silent")
                return
            if self._outbound.pending_count and silent_seconds >= timing.ping:
                self._writer.write(Frame(FrameKind.PING, 0))

    async def _wait_for_call(self) -> bool:
        """Wait for the next call; return whether the stream was closed as idle.

        Waits for an event, since polling all streams of an entry at the interval of
        pings would cost much processor time.
        """
        loop = asyncio.get_running_loop()
        self._call_made.clear()
        while not self._outbound.pending_count:
            try:
                async with asyncio.timeout(IDLE_CHECK_SECONDS):
                    await self._call_made.wait()
            except TimeoutError:
                silent_seconds = loop.time() - self._received_at
                if self._closes_idle and silent_seconds > self._timing.idle_close:
                    self._writer.close("idle")
                    return True
        return False
