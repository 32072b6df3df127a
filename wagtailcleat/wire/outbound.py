"""Calls that this side of a stream has made and that wait for answers."""

import asyncio

import msgspec

from wagtailcleat.wire.frames import Frame, Kind
from wagtailcleat.wire.limits import MAX_CALLS_PER_STREAM
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.parts import PART_BYTES, Lost, Parts, pieces
from wagtailcleat.wire.requests import Answer, Part, PartsEnd, ServiceRequest
from wagtailcleat.wire.writer import FrameWriter


class OutboundCalls:
    """Numbers calls, and matches answers and their parts to them by number."""

    def __init__(self, writer: FrameWriter) -> None:
        """Send calls by `writer`."""
        self._writer = writer
        self._last_call = 0
        self._future_by_call: dict[int, asyncio.Future[AnyMessage | Lost]] = {}
        self._parts_by_call: dict[int, Parts] = {}
        writer.on_close(self._close)

    @property
    def unanswered(self) -> int:
        """How many calls have no answer yet."""
        return len(self._future_by_call)

    @property
    def waiting(self) -> int:
        """How many answers, or further parts of answers, are awaited."""
        return len(self._future_by_call) + len(self._parts_by_call)

    @property
    def full(self) -> bool:
        """Whether no further call may be made for now."""
        return len(self._future_by_call) >= MAX_CALLS_PER_STREAM

    async def call(
        self, message: AnyMessage, *, timeout: float, parts: Parts | None
    ) -> AnyMessage | Lost:
        """Send `message` and return the answer; see `Stream.call`."""
        rest = parts or Parts()
        call, future = self._open(rest)
        reply: AnyMessage | Lost = Lost(True, "no answer in time")
        try:
            async with asyncio.timeout(timeout):
                await self._send(call, message)
                reply = await future
                if parts is None:
                    reply = await _reassemble(reply, rest)
        except TimeoutError:
            self._cancel(call)
            return Lost(True, "no answer in time")
        except asyncio.CancelledError:
            self._cancel(call)
            raise
        finally:
            self._future_by_call.pop(call, None)
            if parts is None or not _has_parts(reply):
                self._parts_by_call.pop(call, None)
        return reply

    def _open(self, parts: Parts) -> tuple[int, asyncio.Future[AnyMessage | Lost]]:
        self._last_call += 1
        call = self._last_call
        future = asyncio.get_running_loop().create_future()
        self._future_by_call[call] = future
        parts.on_room(lambda: self._writer.write(Frame(Kind.MORE, call)))
        self._parts_by_call[call] = parts
        return call, future

    async def _send(self, call: int, message: AnyMessage) -> None:
        if not isinstance(message, ServiceRequest) or len(message.body) <= PART_BYTES:
            self._writer.write(Frame(Kind.CALL, call, message))
            return
        head = msgspec.structs.replace(message, body=b"", parts=True)
        self._writer.write(Frame(Kind.CALL, call, head))
        for piece in pieces(message.body):
            self._writer.write(Frame(Kind.BODY, call, Part(piece)))
            await self._writer.drain()
        self._writer.write(Frame(Kind.BODY, call, PartsEnd(whole=True)))

    def _cancel(self, call: int) -> None:
        self._parts_by_call.pop(call, None)
        self._writer.write(Frame(Kind.CANCEL, call))

    def cancel_parts(self, parts: Parts) -> None:
        """Cancel the call whose answer still arrives as `parts`."""
        for call, waiting in list(self._parts_by_call.items()):
            if waiting is parts:
                self._cancel(call)

    def answered(self, call: int, message: AnyMessage) -> None:
        """Take the answer of `call`, or the head of an answer in parts."""
        # A late answer finds no call and is dropped: numbers are never reused on a
        # stream, so it can't reach another call.
        future = self._future_by_call.get(call)
        if future is not None and not future.done():
            future.set_result(message)

    def add_part(self, call: int, message: AnyMessage) -> bool:
        """Take a part of an answer; return whether it ended a waiting answer."""
        parts = self._parts_by_call.get(call)
        if parts is None:
            return False
        parts.add(message)
        if not isinstance(message, PartsEnd):
            return False
        self._parts_by_call.pop(call, None)
        return True

    def end_after(self, last_accepted: int) -> None:
        """End the calls that a leaving peer has not accepted."""
        for call, future in self._future_by_call.items():
            if call > last_accepted and not future.done():
                future.set_result(Lost(False, "the peer leaves and has not taken it"))

    def _close(self, reason: str) -> None:
        for future in self._future_by_call.values():
            if not future.done():
                future.set_result(Lost(True, reason))
        for parts in self._parts_by_call.values():
            parts.add(Lost(True, reason))
        self._future_by_call.clear()
        self._parts_by_call.clear()


def _has_parts(reply: AnyMessage | Lost) -> bool:
    return isinstance(reply, Answer) and reply.parts


async def _reassemble(reply: AnyMessage | Lost, rest: Parts) -> AnyMessage | Lost:
    if not isinstance(reply, Answer) or not reply.parts:
        return reply
    body = await rest.whole()
    if isinstance(body, Lost):
        return body
    return msgspec.structs.replace(reply, body=body, parts=False)
