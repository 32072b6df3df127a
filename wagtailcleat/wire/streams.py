"""Streams between the project's processes: concurrent calls on one connection.

One task reads each connection, and each inbound call runs in its own task. Large bodies
are sent in parts, so that other calls do not wait for them. When a stream ends, the
outcome of its open calls is unknown, and they return `Lost`.
"""

import asyncio
from collections.abc import Awaitable, Callable

from tornado.iostream import IOStream, StreamClosedError

from wagtailcleat.errors import FrameError
from wagtailcleat.logs import part_logger
from wagtailcleat.wire.answer_writer import AnswerWriter
from wagtailcleat.wire.frames import Frame, FrameKind, FrameReader
from wagtailcleat.wire.handshake import Hello
from wagtailcleat.wire.inbound import InboundCalls
from wagtailcleat.wire.keepalive import Keepalive
from wagtailcleat.wire.limits import StreamTiming
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.outbound import OutboundCalls
from wagtailcleat.wire.parts import Lost, Parts
from wagtailcleat.wire.writer import FrameWriter

log = part_logger("wire")

READ_BYTES = 65_536

Handler = Callable[["Stream", AnyMessage, AnswerWriter], Awaitable[AnyMessage]]
"""Serves one inbound call.

Returns its answer, or `PartsEnd` after `AnswerWriter.send_head`.
"""


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
        early_frames: list[Frame],
        opened_here: bool,
    ) -> None:
        """Use `connection` after the handshake; `hello` is the peer's.

        Parameters: `early_frames` arrived together with the peer's proof; `opened_here`
        is whether this side opened the connection, and so closes it when idle.
        """
        self._early_frames = early_frames
        self.peer = hello.node
        self.peer_role = hello.role
        self.peer_incarnation = hello.incarnation
        self.opened_at = asyncio.get_running_loop().time()
        self.bytes_in = 0
        self._connection = connection
        self._reader = reader
        self._handler = handler
        self._goaway_received = False
        self._writer = FrameWriter(connection)
        self._outbound = OutboundCalls(self._writer)
        self._inbound = InboundCalls(self._writer)
        self._keepalive = Keepalive(
            self.peer, self._outbound, self._writer, timing, closes_idle=opened_here
        )

    def __repr__(self) -> str:
        """Show the peer and the calls in flight."""
        return (
            f"<Stream to {self.peer}: {self._outbound.unanswered_count} calls waiting>"
        )

    @property
    def closed(self) -> bool:
        """Whether the connection was closed, by this side or the peer."""
        return self._writer.closed

    @property
    def bytes_out(self) -> int:
        """How many bytes were written."""
        return self._writer.bytes_out

    @property
    def pending_count(self) -> int:
        """How many answers, or further parts of answers, are awaited."""
        return self._outbound.pending_count

    @property
    def inbound_count(self) -> int:
        """How many calls of the peer are still being received or answered."""
        return self._inbound.open_count

    @property
    def is_usable(self) -> bool:
        """Whether a new call may be sent."""
        return not (self.closed or self._goaway_received)

    def go_away(self) -> None:
        """Accept no further call; the peer closes once it has all its answers.

        Calls may be in transit while this process ends. From the id of the last
        accepted call, the peer knows which of them were not run. The peer closes the
        connection, since data that arrives after a close resets it, and a reset
        discards answers not yet read.
        """
        self._inbound.go_away()

    async def run(self) -> None:
        """Read until the connection ends; open calls then return `Lost`."""
        self._keepalive.record_received(asyncio.get_running_loop().time())
        keepalive = asyncio.create_task(self._keepalive.run())
        reason = "the connection ended"
        try:
            await self._read()
        except StreamClosedError:
            pass
        except FrameError as error:
            reason = error.message
            log.warning(
                "Closed a stream after an invalid frame",
                extra={"peer": self.peer, "why": reason},
            )
        finally:
            keepalive.cancel()
            self.close(reason)

    def close(self, reason: str) -> None:
        """Close the connection and end all calls."""
        self._writer.close(reason)

    async def call(
        self, message: AnyMessage, *, timeout: float, parts: Parts | None = None
    ) -> AnyMessage | Lost:
        """Send `message` and return the peer's answer, or `Lost`.

        Parameters: `timeout` is in seconds; `parts` receives the parts of the answer.
        Without `parts`, an answer in parts is reassembled; if it stays incomplete, the
        result is `Lost`.
        """
        if not self.is_usable:
            return Lost(False, "the stream takes no more calls")
        if self._outbound.is_full:
            return Lost(False, "too many calls wait on the stream")
        self._keepalive.record_call(asyncio.get_running_loop().time())
        try:
            return await self._outbound.call(message, timeout=timeout, parts=parts)
        finally:
            self._close_if_drained()

    def cancel_parts(self, parts: Parts) -> None:
        """Cancel the call whose answer is still arriving as `parts`."""
        self._outbound.cancel_parts(parts)

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        for frame in self._early_frames:
            self._receive(frame)
        while True:
            data = await self._connection.read_bytes(READ_BYTES, partial=True)
            self._keepalive.record_received(loop.time())
            self.bytes_in += len(data)
            for frame in self._reader.feed(data):
                self._receive(frame)

    def _receive(self, frame: Frame) -> None:
        # Frames read together with the one that closed the stream are ignored, since no
        # call may start after a close.
        if self.closed:
            return
        if frame.message is None:
            self._receive_control(frame)
        elif frame.kind is FrameKind.CALL:
            self._inbound.receive_call(frame.call_id, frame.message, self._handle)
        elif frame.kind is FrameKind.REPLY:
            self._outbound.receive_answer(frame.call_id, frame.message)
        elif frame.kind is FrameKind.PART:
            if self._outbound.receive_part(frame.call_id, frame.message):
                self._close_if_drained()
        elif frame.kind is FrameKind.BODY:
            self._inbound.receive_part(frame.call_id, frame.message, self._handle)

    def _handle(
        self, message: AnyMessage, answer_writer: AnswerWriter
    ) -> Awaitable[AnyMessage]:
        return self._handler(self, message, answer_writer)

    def _receive_control(self, frame: Frame) -> None:
        if frame.kind is FrameKind.PING:
            self._writer.write(Frame(FrameKind.PONG, frame.call_id))
        elif frame.kind is FrameKind.GOAWAY:
            self._goaway_received = True
            self._outbound.fail_after(frame.call_id)
            self._close_if_drained()
        elif frame.kind is FrameKind.WINDOW_UPDATE:
            self._inbound.widen_window(frame.call_id)
        elif frame.kind is FrameKind.CANCEL:
            self._inbound.cancel(frame.call_id)

    def _close_if_drained(self) -> None:
        if self._goaway_received and not self.pending_count:
            self.close("the peer has left")
