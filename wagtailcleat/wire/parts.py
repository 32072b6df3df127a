"""Bodies in parts: pieces of a call's body or its answer, read at one's own pace."""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.requests import Part, PartsEnd

PART_BYTES = 65_536
PARTS_WINDOW = 32
PARTS_GRANTED = PARTS_WINDOW // 2


@dataclass(frozen=True)
class Lost:
    """A call without an answer; `sent` tells whether the peer may have got it."""

    sent: bool
    reason: str


class Parts:
    """The rest of an answer that comes in parts.

    The peer sends no more than `PARTS_WINDOW` parts beyond those that were read,
    so a slow reader holds up its own answer and no other.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._queue: asyncio.Queue[AnyMessage | Lost] = asyncio.Queue()
        self._read = 0
        self._grant: Callable[[], None] = lambda: None

    def on_room(self, grant: Callable[[], None]) -> None:
        """Call `grant` each time `PARTS_GRANTED` more parts were read."""
        self._grant = grant

    def add(self, item: AnyMessage | Lost) -> None:
        """Append a part."""
        self._queue.put_nowait(item)

    async def __aiter__(self) -> AsyncIterator[AnyMessage | Lost]:
        """Yield each part; the last one is `PartsEnd` or `Lost`."""
        while True:
            item = await self._queue.get()
            self._read += 1
            if self._read % PARTS_GRANTED == 0:
                self._grant()
            yield item
            if isinstance(item, PartsEnd | Lost):
                return

    async def whole(self) -> bytes | Lost:
        """Return the whole body, or `Lost` where it broke off."""
        chunks: list[bytes] = []
        async for item in self:
            if isinstance(item, Part):
                chunks.append(item.data)
            elif isinstance(item, PartsEnd) and item.whole:
                return b"".join(chunks)
            elif isinstance(item, Lost):
                return item
        return Lost(True, "the answer broke off")


def pieces(body: bytes) -> list[bytes]:
    """Return `body` cut into parts."""
    return [body[at : at + PART_BYTES] for at in range(0, len(body), PART_BYTES)]
