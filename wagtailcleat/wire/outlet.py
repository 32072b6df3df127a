"""Flow-controlled sending of an answer in parts."""

import asyncio

import msgspec

from wagtailcleat.wire.frames import Frame, Kind
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.parts import PARTS_GRANTED, PARTS_WINDOW, pieces
from wagtailcleat.wire.requests import Answer, Part, PartsEnd
from wagtailcleat.wire.writer import FrameWriter


class Outlet:
    """Sends the answer of one call in parts, within the window of the receiver."""

    def __init__(self, writer: FrameWriter, call: int) -> None:
        """Answer `call` by frames written to `writer`."""
        self._writer = writer
        self._call = call
        self._window = PARTS_WINDOW
        self._window_open = asyncio.Event()

    def grant(self) -> None:
        """Widen the window: the peer has read some parts."""
        self._window += PARTS_GRANTED
        self._window_open.set()

    async def head(self, message: AnyMessage) -> None:
        """Send the answer's head; parts follow."""
        self._writer.write(Frame(Kind.REPLY, self._call, message))
        await self._writer.drain()

    async def part(self, message: AnyMessage) -> None:
        """Send a part; waits while the window is closed."""
        while self._window <= 0:
            self._window_open.clear()
            await self._window_open.wait()
        self._window -= 1
        self._writer.write(Frame(Kind.PART, self._call, message))
        await self._writer.drain()

    async def answer(self, answer: Answer) -> AnyMessage:
        """Send a large answer in parts; return the message that ends it."""
        await self.head(msgspec.structs.replace(answer, body=b"", parts=True))
        for piece in pieces(answer.body):
            await self.part(Part(piece))
        return PartsEnd(whole=True)
