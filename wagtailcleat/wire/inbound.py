"""Calls that the peer makes on a stream and this side serves."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec

from wagtailcleat.errors import Code, FrameError
from wagtailcleat.logs import part_logger
from wagtailcleat.wire.answer_writer import AnswerWriter
from wagtailcleat.wire.frames import Frame, FrameKind
from wagtailcleat.wire.limits import MAX_CALLS_PER_STREAM
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.parts import PART_BYTES
from wagtailcleat.wire.requests import Answer, Part, PartsEnd, ServiceRequest
from wagtailcleat.wire.results import Refused
from wagtailcleat.wire.writer import FrameWriter

log = part_logger("wire")

MAX_INCOMPLETE_BYTES = 64 * 1024 * 1024
"""Limit of the bytes held for the incomplete bodies of one stream."""

CallHandler = Callable[[AnyMessage, AnswerWriter], Awaitable[AnyMessage]]


@dataclass
class _IncompleteCall:
    """A call whose body has not arrived completely."""

    message: ServiceRequest
    parts: list[bytes] = field(default_factory=list)


@dataclass
class _RunningCall:
    """A call whose handler is running."""

    task: asyncio.Task[None]
    answer_writer: AnswerWriter


class InboundCalls:
    """Reassembles the bodies of calls, and serves each call in its own task."""

    def __init__(self, writer: FrameWriter) -> None:
        """Send answers through `writer`."""
        self._writer = writer
        self._last_accepted_id = 0
        self._goaway_sent = False
        self._running_by_id: dict[int, _RunningCall] = {}
        self._incomplete_by_id: dict[int, _IncompleteCall] = {}
        self._incomplete_bytes = 0
        writer.on_close(self._close)

    @property
    def open_count(self) -> int:
        """How many calls are still being received or answered."""
        return len(self._running_by_id) + len(self._incomplete_by_id)

    def go_away(self) -> None:
        """Accept no further call, and send the peer the id of the last accepted one."""
        self._goaway_sent = True
        self._writer.write(Frame(FrameKind.GOAWAY, self._last_accepted_id))

    def receive_call(
        self, call_id: int, message: AnyMessage, handler: CallHandler
    ) -> None:
        """Accept a call and serve it with `handler`; ignore it after `go_away`.

        Raises:
            FrameError: the call id is in use.

        """
        if call_id in self._running_by_id or call_id in self._incomplete_by_id:
            raise FrameError("a call number used twice")
        if self._goaway_sent:
            return
        self._last_accepted_id = max(self._last_accepted_id, call_id)
        if isinstance(message, ServiceRequest) and message.parts:
            self._incomplete_by_id[call_id] = _IncompleteCall(message)
        else:
            self._serve(call_id, message, handler)

    def receive_part(
        self, call_id: int, message: AnyMessage, handler: CallHandler
    ) -> None:
        """Add a part to a call's body; serve the call once the body is complete."""
        incomplete = self._incomplete_by_id.get(call_id)
        if incomplete is None:
            return
        if isinstance(message, Part):
            self._add_part(call_id, incomplete, message.data)
            return
        self._drop_incomplete(call_id)
        if isinstance(message, PartsEnd) and message.whole:
            body = b"".join(incomplete.parts)
            whole = msgspec.structs.replace(incomplete.message, body=body, parts=False)
            self._serve(call_id, whole, handler)

    def _add_part(self, call_id: int, incomplete: _IncompleteCall, data: bytes) -> None:
        incomplete.parts.append(data)
        self._incomplete_bytes += len(data)
        if self._incomplete_bytes > MAX_INCOMPLETE_BYTES:
            self._drop_incomplete(call_id)
            self._refuse(call_id, "too many large bodies at once")

    def _drop_incomplete(self, call_id: int) -> None:
        incomplete = self._incomplete_by_id.pop(call_id, None)
        if incomplete is not None:
            self._incomplete_bytes -= sum(len(part) for part in incomplete.parts)

    def widen_window(self, call_id: int) -> None:
        """Let the answer to a call send further parts."""
        running = self._running_by_id.get(call_id)
        if running is not None:
            running.answer_writer.widen_window()

    def cancel(self, call_id: int) -> None:
        """Stop receiving or serving a call."""
        self._drop_incomplete(call_id)
        running = self._running_by_id.get(call_id)
        if running is not None:
            running.task.cancel()

    def _close(self, _reason: str) -> None:
        for running in self._running_by_id.values():
            running.task.cancel()
        self._incomplete_by_id.clear()

    def _refuse(self, call_id: int, reason: str) -> None:
        refusal = Refused(Code.UNAVAILABLE.value, reason)
        self._writer.write(Frame(FrameKind.REPLY, call_id, refusal))

    def _serve(self, call_id: int, message: AnyMessage, handler: CallHandler) -> None:
        if len(self._running_by_id) >= MAX_CALLS_PER_STREAM:
            self._refuse(call_id, "too many calls on this stream")
            return
        answer_writer = AnswerWriter(self._writer, call_id)
        task = asyncio.create_task(self._run(call_id, message, handler, answer_writer))
        self._running_by_id[call_id] = _RunningCall(task, answer_writer)
        task.add_done_callback(lambda _: self._running_by_id.pop(call_id, None))

    async def _run(
        self,
        call_id: int,
        message: AnyMessage,
        handler: CallHandler,
        answer_writer: AnswerWriter,
    ) -> None:
        try:
            reply = await handler(message, answer_writer)
            if isinstance(reply, Answer) and len(reply.body) > PART_BYTES:
                reply = await answer_writer.send_answer(reply)
        except Exception:
            log.exception(
                "The handler of a call failed", extra={"call": type(message).__name__}
            )
            reply = Refused(Code.INTERNAL.value, "the call failed here; see the log")
        kind = FrameKind.PART if isinstance(reply, PartsEnd) else FrameKind.REPLY
        self._writer.write(Frame(kind, call_id, reply))
