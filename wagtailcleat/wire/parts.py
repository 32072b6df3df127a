"""Bodies that are sent in parts, with flow control for those of answers.

Calls and answers with large bodies are split, so that others need not wait for them.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.requests import Part, PartsEnd

PART_BYTES = 65_536
WINDOW_PARTS = 32
"""Flow-control window: parts that may be sent before the receiver reads one."""
WINDOW_UPDATE_PARTS = WINDOW_PARTS // 2
"""Number of parts by which each WINDOW_UPDATE frame widens the window."""


@dataclass(frozen=True)
class Lost:
    """Result of a call without an answer.

    `sent` is whether the peer may have received the call.
    """

    sent: bool
    reason: str


class Parts:
    """Parts of an answer, queued until they are read.

    The peer sends at most `WINDOW_PARTS` parts beyond those that were read, so that a
    slow reader delays only its own answer.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._queue: asyncio.Queue[AnyMessage | Lost] = asyncio.Queue()
        self._read_count = 0
        self._widen_window: Callable[[], None] = lambda: None

    def on_window_update(self, callback: Callable[[], None]) -> None:
        """Call `callback` each time `WINDOW_UPDATE_PARTS` more parts were read."""
        self._widen_window = callback

    def add(self, item: AnyMessage | Lost) -> None:
        """Append a part, or the end of the answer."""
        self._queue.put_nowait(item)

    async def __aiter__(self) -> AsyncIterator[AnyMessage | Lost]:
        """Yield each part; the last one is `PartsEnd` or `Lost`."""
        while True:
            item = await self._queue.get()
            self._read_count += 1
            if self._read_count % WINDOW_UPDATE_PARTS == 0:
                self._widen_window()
            yield item
            if isinstance(item, PartsEnd | Lost):
                return

    async def read_all(self) -> bytes | Lost:
        """Return the complete body, or `Lost` if its end did not arrive."""
        chunks: list[bytes] = []
        async for item in self:
            if isinstance(item, Part):
                chunks.append(item.data)
            elif isinstance(item, PartsEnd) and item.whole:
                return b"".join(chunks)
            elif isinstance(item, Lost):
                return item
        return Lost(True, "the answer broke off")


def split_into_parts(body: bytes) -> list[bytes]:
    """Return `body` split into parts of at most `PART_BYTES`."""
    return [
        body[start : start + PART_BYTES] for start in range(0, len(body), PART_BYTES)
    ]
