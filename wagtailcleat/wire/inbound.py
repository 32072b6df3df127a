"""Calls of the peer that this side of a stream serves."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec

from wagtailcleat.errors import Code, FrameError
from wagtailcleat.logs import part_logger
from wagtailcleat.wire.frames import Frame, Kind
from wagtailcleat.wire.limits import MAX_CALLS_PER_STREAM
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.outlet import Outlet
from wagtailcleat.wire.parts import PART_BYTES
from wagtailcleat.wire.requests import Answer, Part, PartsEnd, ServiceRequest
from wagtailcleat.wire.results import Refused
from wagtailcleat.wire.writer import FrameWriter

log = part_logger("wire")

MAX_PARTIAL_BYTES = 64 * 1024 * 1024

CallHandler = Callable[[AnyMessage, Outlet], Awaitable[AnyMessage]]


@dataclass
class _Partial:
    """A call whose body is still arriving."""

    message: ServiceRequest
    pieces: list[bytes] = field(default_factory=list)


@dataclass
class _Served:
    """A call whose handler runs."""

    task: asyncio.Task[None]
    outlet: Outlet


class InboundCalls:
    """Reassembles the bodies of calls, and serves each call in a task of its own."""

    def __init__(self, writer: FrameWriter) -> None:
        """Send answers by `writer`."""
        self._writer = writer
        self._last_accepted = 0
        self._leaving = False
        self._served_by_call: dict[int, _Served] = {}
        self._partial_by_call: dict[int, _Partial] = {}
        self._partial_bytes = 0
        writer.on_close(self._close)

    @property
    def serving(self) -> int:
        """How many calls are still being received or answered."""
        return len(self._served_by_call) + len(self._partial_by_call)

    def go_away(self) -> None:
        """Accept no further call; tell the peer which one was the last."""
        self._leaving = True
        self._writer.write(Frame(Kind.AWAY, self._last_accepted))

    def receive(self, call: int, message: AnyMessage, handler: CallHandler) -> None:
        """Accept a call and serve it with `handler`, unless this side is leaving.

        Raises:
            FrameError: the number of the call is in use.

        """
        if call in self._served_by_call or call in self._partial_by_call:
            raise FrameError("a call number used twice")
        if self._leaving:
            return
        self._last_accepted = max(self._last_accepted, call)
        if isinstance(message, ServiceRequest) and message.parts:
            self._partial_by_call[call] = _Partial(message)
        else:
            self._serve(call, message, handler)

    def receive_body(
        self, call: int, message: AnyMessage, handler: CallHandler
    ) -> None:
        """Add a part to a call's body; serve the call once the body is complete."""
        partial = self._partial_by_call.get(call)
        if partial is None:
            return
        if isinstance(message, Part):
            self._add_piece(call, partial, message.data)
            return
        self._drop_partial(call)
        if isinstance(message, PartsEnd) and message.whole:
            body = b"".join(partial.pieces)
            whole = msgspec.structs.replace(partial.message, body=body, parts=False)
            self._serve(call, whole, handler)

    def _add_piece(self, call: int, partial: _Partial, data: bytes) -> None:
        partial.pieces.append(data)
        self._partial_bytes += len(data)
        if self._partial_bytes > MAX_PARTIAL_BYTES:
            self._drop_partial(call)
            self._refuse(call, "too many large bodies at once")

    def _drop_partial(self, call: int) -> None:
        partial = self._partial_by_call.pop(call, None)
        if partial is not None:
            self._partial_bytes -= sum(len(piece) for piece in partial.pieces)

    def grant(self, call: int) -> None:
        """Let the answer of `call` send further parts."""
        served = self._served_by_call.get(call)
        if served is not None:
            served.outlet.grant()

    def cancel(self, call: int) -> None:
        """Stop receiving or serving `call`."""
        self._drop_partial(call)
        served = self._served_by_call.get(call)
        if served is not None:
            served.task.cancel()

    def _close(self, _reason: str) -> None:
        for served in self._served_by_call.values():
            served.task.cancel()
        self._partial_by_call.clear()

    def _refuse(self, call: int, reason: str) -> None:
        refusal = Refused(Code.UNAVAILABLE.value, reason)
        self._writer.write(Frame(Kind.REPLY, call, refusal))

    def _serve(self, call: int, message: AnyMessage, handler: CallHandler) -> None:
        if len(self._served_by_call) >= MAX_CALLS_PER_STREAM:
            self._refuse(call, "too many calls on this stream")
            return
        outlet = Outlet(self._writer, call)
        task = asyncio.create_task(self._run(call, message, handler, outlet))
        self._served_by_call[call] = _Served(task, outlet)
        task.add_done_callback(lambda _: self._served_by_call.pop(call, None))

    async def _run(
        self, call: int, message: AnyMessage, handler: CallHandler, outlet: Outlet
    ) -> None:
        try:
            reply = await handler(message, outlet)
            if isinstance(reply, Answer) and len(reply.body) > PART_BYTES:
                reply = await outlet.answer(reply)
        except Exception:
            log.exception("A call failed", extra={"call": type(message).__name__})
            reply = Refused(Code.INTERNAL.value, "the call failed here; see the log")
        kind = Kind.PART if isinstance(reply, PartsEnd) else Kind.REPLY
        self._writer.write(Frame(kind, call, reply))
