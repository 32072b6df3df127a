"""Calls that this side of a stream makes, until they are answered."""

import asyncio

import msgspec

from wagtailcleat.time_limits import time_limit
from wagtailcleat.wire.frames import Frame, FrameKind
from wagtailcleat.wire.limits import MAX_CALLS_PER_STREAM
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.parts import PART_BYTES, Lost, Parts, split_into_parts
from wagtailcleat.wire.requests import Answer, Part, PartsEnd, ServiceRequest
from wagtailcleat.wire.writer import FrameWriter


class OutboundCalls:
    """Numbers calls, and matches answers and their parts to calls by id."""

    def __init__(self, writer: FrameWriter) -> None:
        """Send calls through `writer`."""
        self._writer = writer
        self._last_id = 0
        self._future_by_id: dict[int, asyncio.Future[AnyMessage | Lost]] = {}
        self._parts_by_id: dict[int, Parts] = {}
        writer.on_close(self._close)

    @property
    def unanswered_count(self) -> int:
        """How many calls have no answer yet."""
        return len(self._future_by_id)

    @property
    def pending_count(self) -> int:
        """How many answers, or further parts of answers, are awaited."""
        return len(self._future_by_id) + len(self._parts_by_id)

    @property
    def is_full(self) -> bool:
        """Whether no further call may be made for now."""
        return len(self._future_by_id) >= MAX_CALLS_PER_STREAM

    async def call(
        self, message: AnyMessage, *, timeout: float, parts: Parts | None
    ) -> AnyMessage | Lost:
        """Send `message` and return the answer; see `Stream.call`."""
        answer_parts = parts or Parts()
        call_id, future = self._open(answer_parts)
        reply: AnyMessage | Lost = Lost(True, "no answer in time")
        try:
            async with time_limit(timeout):
                await self._send(call_id, message)
                reply = await future
                if parts is None:
                    reply = await _reassemble(reply, answer_parts)
        except TimeoutError:
            self._cancel(call_id)
            return Lost(True, "no answer in time")
        except asyncio.CancelledError:
            self._cancel(call_id)
            raise
        finally:
            self._future_by_id.pop(call_id, None)
            if parts is None or not _has_parts(reply):
                self._parts_by_id.pop(call_id, None)
        return reply

    def _open(self, parts: Parts) -> tuple[int, asyncio.Future[AnyMessage | Lost]]:
        self._last_id += 1
        call_id = self._last_id
        future = asyncio.get_running_loop().create_future()
        self._future_by_id[call_id] = future
        parts.on_window_update(
            lambda: self._writer.write(Frame(FrameKind.WINDOW_UPDATE, call_id))
        )
        self._parts_by_id[call_id] = parts
        return call_id, future

    async def _send(self, call_id: int, message: AnyMessage) -> None:
        if not isinstance(message, ServiceRequest) or len(message.body) <= PART_BYTES:
            self._writer.write(Frame(FrameKind.CALL, call_id, message))
            return
        head = msgspec.structs.replace(message, body=b"", parts=True)
        self._writer.write(Frame(FrameKind.CALL, call_id, head))
        for data in split_into_parts(message.body):
            self._writer.write(Frame(FrameKind.BODY, call_id, Part(data)))
            await self._writer.drain()
        self._writer.write(Frame(FrameKind.BODY, call_id, PartsEnd(whole=True)))

    def _cancel(self, call_id: int) -> None:
        self._parts_by_id.pop(call_id, None)
        self._writer.write(Frame(FrameKind.CANCEL, call_id))

    def cancel_parts(self, parts: Parts) -> None:
        """Cancel the call whose answer is still arriving as `parts`."""
        for call_id, pending in list(self._parts_by_id.items()):
            if pending is parts:
                self._cancel(call_id)

    def receive_answer(self, call_id: int, message: AnyMessage) -> None:
        """Accept the answer to a call, or the first message of an answer in parts."""
        # A late answer matches no call and is dropped: ids are never reused on a
        # stream, so it can't be taken for the answer to another call.
        future = self._future_by_id.get(call_id)
        if future is not None and not future.done():
            future.set_result(message)

    def receive_part(self, call_id: int, message: AnyMessage) -> bool:
        """Accept a part of an answer; return whether it completed a pending answer."""
        parts = self._parts_by_id.get(call_id)
        if parts is None:
            return False
        parts.add(message)
        if not isinstance(message, PartsEnd):
            return False
        self._parts_by_id.pop(call_id, None)
        return True

    def fail_after(self, last_accepted_id: int) -> None:
        """End the calls that the peer did not accept before its GOAWAY frame."""
        for call_id, future in self._future_by_id.items():
            if call_id > last_accepted_id and not future.done():
                future.set_result(Lost(False, "the peer leaves and has not taken it"))

    def _close(self, reason: str) -> None:
        for future in self._future_by_id.values():
            if not future.done():
                future.set_result(Lost(True, reason))
        for parts in self._parts_by_id.values():
            parts.add(Lost(True, reason))
        self._future_by_id.clear()
        self._parts_by_id.clear()


def _has_parts(reply: AnyMessage | Lost) -> bool:
    return isinstance(reply, Answer) and reply.parts


async def _reassemble(reply: AnyMessage | Lost, parts: Parts) -> AnyMessage | Lost:
    if not isinstance(reply, Answer) or not reply.parts:
        return reply
    body = await parts.read_all()
    if isinstance(body, Lost):
        return body
    return msgspec.structs.replace(reply, body=body, parts=False)
