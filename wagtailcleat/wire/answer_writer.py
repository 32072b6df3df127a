"""Sending of an answer in parts, with flow control; passed to the handler of a call."""

import asyncio

import msgspec

from wagtailcleat.wire.frames import Frame, FrameKind
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.parts import (
    WINDOW_PARTS,
    WINDOW_UPDATE_PARTS,
    split_into_parts,
)
from wagtailcleat.wire.requests import Answer, Part, PartsEnd
from wagtailcleat.wire.writer import FrameWriter


class AnswerWriter:
    """Sends the answer to one call in parts, within the receiver's window."""

    def __init__(self, writer: FrameWriter, call_id: int) -> None:
        """Send the answer to the call `call_id` through `writer`."""
        self._writer = writer
        self._call_id = call_id
        self._window = WINDOW_PARTS
        self._window_open = asyncio.Event()

    def widen_window(self) -> None:
        """Allow more parts, since the receiver has read some."""
        self._window += WINDOW_UPDATE_PARTS
        self._window_open.set()

    async def send_head(self, message: AnyMessage) -> None:
        """Send the answer's first message, which the parts follow."""
        self._writer.write(Frame(FrameKind.REPLY, self._call_id, message))
        await self._writer.drain()

    async def send_part(self, message: AnyMessage) -> None:
        """Send a part once the window is open."""
        while self._window <= 0:
            self._window_open.clear()
            await self._window_open.wait()
        self._window -= 1
        self._writer.write(Frame(FrameKind.PART, self._call_id, message))
        await self._writer.drain()

    async def send_answer(self, answer: Answer) -> AnyMessage:
        """Send a large answer but for its end; return the message that ends it."""
        await self.send_head(msgspec.structs.replace(answer, body=b"", parts=True))
        for data in split_into_parts(answer.body):
            await self.send_part(Part(data))
        return PartsEnd(whole=True)
