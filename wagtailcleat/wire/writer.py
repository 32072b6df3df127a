"""Buffered writing of frames to a connection, and closing of the connection."""

import asyncio
import contextlib
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError

from wagtailcleat.wire.frames import Frame, encode

MAX_UNSENT_BYTES = 32 * 1024 * 1024
"""Buffered bytes above which the connection of a slow reader is closed."""
DRAIN_ABOVE_BYTES = 256 * 1024


class FrameWriter:
    """Writes frames; those of one iteration of the event loop share a write.

    One write per frame would cost more processor time than all else done for the frame.
    """

    def __init__(self, connection: IOStream) -> None:
        """Write to `connection`; close it if writing fails."""
        self.bytes_out = 0
        self.closed = False
        self._connection = connection
        self._on_close: list[Callable[[str], None]] = []
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0

    def on_close(self, callback: Callable[[str], None]) -> None:
        """Call `callback` with the reason once the connection is closed."""
        self._on_close.append(callback)

    def close(self, reason: str) -> None:
        """Close the connection; frames not yet written are dropped."""
        if self.closed:
            return
        self.closed = True
        self._connection.close()
        for callback in self._on_close:
            callback(reason)
        self._on_close.clear()

    def write(self, frame: Frame) -> None:
        """Buffer a frame; it is written at the next iteration of the event loop.

        Closes the connection if more than `MAX_UNSENT_BYTES` are buffered.
        """
        if self.closed:
            return
        data = encode(frame)
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._flush)
        self._unsent.append(data)
        self._unsent_bytes += len(data)
        if self._unsent_bytes > MAX_UNSENT_BYTES:
            self.close("the peer reads too slowly")

    async def drain(self) -> None:
        """Wait until the buffers are empty if they exceed `DRAIN_ABOVE_BYTES`."""
        if self._unsent_bytes + self._buffered() > DRAIN_ABOVE_BYTES:
            self._flush()
            with contextlib.suppress(StreamClosedError):
                await self._connection.write(b"")

    def _flush(self) -> None:
        data = b"".join(self._unsent)
        self._unsent.clear()
        self._unsent_bytes = 0
        if self.closed or not data:
            return
        self.bytes_out += len(data)
        try:
            self._connection.write(data)
        except StreamClosedError:
            self.close("the connection ended")
            return
        if self._buffered() > MAX_UNSENT_BYTES:
            self.close("the peer reads too slowly")

    def _buffered(self) -> int:
        # A failed write closes the connection, which discards its buffer.
        buffer = self._connection._write_buffer
        return len(buffer) if buffer is not None else 0
