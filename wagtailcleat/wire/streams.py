"""Streams between the project's processes: concurrent calls on one connection.

One task reads each connection, and each inbound call runs in a task of its own. Large
bodies are sent in parts, so that other calls do not wait behind them.
When a stream ends, the outcome of its open calls is unknown and they return `Lost`.
"""

import asyncio
from collections.abc import Awaitable, Callable

from tornado.iostream import IOStream, StreamClosedError

from wagtailcleat.errors import FrameError
from wagtailcleat.logs import part_logger
from wagtailcleat.wire.frames import Frame, FrameReader, Kind
from wagtailcleat.wire.handshake import Hello
from wagtailcleat.wire.inbound import InboundCalls
from wagtailcleat.wire.keepalive import Keepalive
from wagtailcleat.wire.limits import StreamTiming
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.outbound import OutboundCalls
from wagtailcleat.wire.outlet import Outlet
from wagtailcleat.wire.parts import Lost, Parts
from wagtailcleat.wire.writer import FrameWriter

log = part_logger("wire")

READ_BYTES = 65_536

Handler = Callable[["Stream", AnyMessage, Outlet], Awaitable[AnyMessage]]
"""Serves one inbound call; returns its answer, or `PartsEnd` after `Outlet.head`."""


class Stream:
    """An open connection to a peer after the handshake."""

    def __init__(
        self,
        connection: IOStream,
        hello: Hello,
        *,
        handler: Handler,
        timing: StreamTiming,
        reader: FrameReader,
        early: list[Frame],
        opened_here: bool,
    ) -> None:
        """Use `connection` after the handshake; `hello` is the peer's.

        Parameters: `early` are frames received together with the peer's proof.
        """
        self._early = early
        self.peer = hello.node
        self.peer_role = hello.role
        self.peer_incarnation = hello.incarnation
        self.opened_at = asyncio.get_running_loop().time()
        self.bytes_in = 0
        self._connection = connection
        self._reader = reader
        self._handler = handler
        self._peer_leaves = False
        self._writer = FrameWriter(connection)
        self._outbound = OutboundCalls(self._writer)
        self._inbound = InboundCalls(self._writer)
        self._keepalive = Keepalive(
            self.peer, self._outbound, self._writer, timing, closes_idle=opened_here
        )

    def __repr__(self) -> str:
        """Show the peer and the calls in flight."""
        return f"<Stream to {self.peer}: {self._outbound.unanswered} calls waiting>"

    @property
    def closed(self) -> bool:
        """Whether the connection was closed, by this side or the peer."""
        return self._writer.closed

    @property
    def bytes_out(self) -> int:
        """How many bytes were written."""
        return self._writer.bytes_out

    @property
    def waiting(self) -> int:
        """How many answers, or further parts of answers, are awaited."""
        return self._outbound.waiting

    @property
    def serving(self) -> int:
        """How many calls of the peer are still being received or answered."""
        return self._inbound.serving

    @property
    def usable(self) -> bool:
        """Whether a new call may be sent."""
        return not (self.closed or self._peer_leaves)

    def go_away(self) -> None:
        """Accept no further call; the peer closes once it has all its answers.

        Calls may be in transit while this process ends. From the number of the last
        call accepted, the peer knows which of them were not run. The peer closes, since
        data that arrives after a close resets the connection, and a reset discards
        answers not yet read.
        """
        self._inbound.go_away()

    async def run(self) -> None:
        """Read until the connection ends; open calls then end as `Lost`."""
        self._keepalive.received(asyncio.get_running_loop().time())
        keepalive = asyncio.create_task(self._keepalive.run())
        reason = "the connection ended"
        try:
            await self._read()
        except StreamClosedError:
            pass
        except FrameError as error:
            reason = error.message
            log.warning("Closed a stream", extra={"peer": self.peer, "why": reason})
        finally:
            keepalive.cancel()
            self.close(reason)

    def close(self, reason: str) -> None:
        """Close the connection and end every call."""
        self._writer.close(reason)

    async def call(
        self, message: AnyMessage, *, timeout: float, parts: Parts | None = None
    ) -> AnyMessage | Lost:
        """Send `message` and return the peer's answer, or `Lost`.

        Parameters: `timeout` in seconds; `parts` receives the parts of the answer.
        Without it an answer in parts is reassembled, and `Lost` if it is incomplete.
        """
        if not self.usable:
            return Lost(False, "the stream takes no more calls")
        if self._outbound.full:
            return Lost(False, "too many calls wait on the stream")
        self._keepalive.called(asyncio.get_running_loop().time())
        try:
            return await self._outbound.call(message, timeout=timeout, parts=parts)
        finally:
            self._close_if_left()

    def cancel_parts(self, parts: Parts) -> None:
        """Cancel the call whose answer still arrives as `parts`."""
        self._outbound.cancel_parts(parts)

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        for frame in self._early:
            self._receive(frame)
        while True:
            data = await self._connection.read_bytes(READ_BYTES, partial=True)
            self._keepalive.received(loop.time())
            self.bytes_in += len(data)
            for frame in self._reader.feed(data):
                self._receive(frame)

    def _receive(self, frame: Frame) -> None:
        # Frames read together with the one that closed the stream must not be served:
        # after a close, no further call may run.
        if self.closed:
            return
        if frame.message is None:
            self._control(frame)
        elif frame.kind is Kind.CALL:
            self._inbound.receive(frame.call, frame.message, self._handle)
        elif frame.kind is Kind.REPLY:
            self._outbound.answered(frame.call, frame.message)
        elif frame.kind is Kind.PART:
            if self._outbound.add_part(frame.call, frame.message):
                self._close_if_left()
        elif frame.kind is Kind.BODY:
            self._inbound.receive_body(frame.call, frame.message, self._handle)

    def _handle(self, message: AnyMessage, outlet: Outlet) -> Awaitable[AnyMessage]:
        return self._handler(self, message, outlet)

    def _control(self, frame: Frame) -> None:
        if frame.kind is Kind.PING:
            self._writer.write(Frame(Kind.PONG, frame.call))
        elif frame.kind is Kind.AWAY:
            self._peer_leaves = True
            self._outbound.end_after(frame.call)
            self._close_if_left()
        elif frame.kind is Kind.MORE:
            self._inbound.grant(frame.call)
        elif frame.kind is Kind.CANCEL:
            self._inbound.cancel(frame.call)

    def _close_if_left(self) -> None:
        if self._peer_leaves and not self.waiting:
            self.close("the peer has left")
