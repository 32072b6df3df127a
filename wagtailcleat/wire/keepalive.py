"""Detection of silent and idle connections.

A connection can fail without an error while new ones work, for example when a device
on the path drops its state. The stream then receives nothing while calls wait. So a
stream with calls in flight is pinged, and closed if it stays silent.
"""

import asyncio

from wagtailcleat.ids import NodeId
from wagtailcleat.logs import part_logger
from wagtailcleat.wire.frames import Frame, Kind
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
        """Watch the stream to `peer`; close it when idle if `closes_idle` is set."""
        self._peer = peer
        self._outbound = outbound
        self._writer = writer
        self._timing = timing
        self._closes_idle = closes_idle
        self._received_at = 0.0
        self._called = asyncio.Event()

    def received(self, now: float) -> None:
        """Note that bytes arrived at `now`, or that silence counts from then."""
        self._received_at = now

    def called(self, now: float) -> None:
        """Note a new call, before it counts as waiting."""
        if not self._outbound.waiting:
            self._received_at = now
        self._called.set()

    async def run(self) -> None:
        """Watch until the stream is closed for silence or idleness."""
        loop = asyncio.get_running_loop()
        timing = self._timing
        while True:
            if not self._outbound.waiting and await self._idle():
                return
            before = loop.time()
            await asyncio.sleep(timing.ping)
            now = loop.time()
            # This process itself was paused, and may have missed the peer's bytes.
            if now - before > timing.silence:
                self._received_at = now
            silent = now - self._received_at
            if self._outbound.waiting and silent > timing.silence:
                log.warning("A stream went silent", extra={"peer": self._peer})
                self._writer.close("silent")
                return
            if self._outbound.waiting and silent >= timing.ping:
                self._writer.write(Frame(Kind.PING, 0))

    async def _idle(self) -> bool:
        """Wait for the next call; return whether the stream was closed as idle.

        Waits for an event, since polling all streams of an entry at the interval of
        pings would cost much processor time.
        """
        loop = asyncio.get_running_loop()
        self._called.clear()
        while not self._outbound.waiting:
            try:
                async with asyncio.timeout(IDLE_CHECK_SECONDS):
                    await self._called.wait()
            except TimeoutError:
                silent = loop.time() - self._received_at
                if self._closes_idle and silent > self._timing.idle_close:
                    self._writer.close("idle")
                    return True
        return False
