"""Frames: one msgpack value each, cut from a stream by msgpack's own unpacker."""

from collections.abc import Iterator
from enum import IntEnum

import msgpack
import msgspec

from wagtailcleat.errors import FrameError
from wagtailcleat.wire.messages import AnyMessage

MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_ITEMS = 100_000
FIRST_BUFFER_BYTES = 16_384


class Kind(IntEnum):
    """What a frame is to the call whose number it carries."""

    CALL = 0
    REPLY = 1
    PART = 2
    CANCEL = 3
    PING = 4
    PONG = 5
    MORE = 6
    BODY = 7
    AWAY = 8


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """One frame; PING, PONG, CANCEL and MORE carry no message.

    PART is a piece of an answer, BODY one of a call; MORE allows further parts.
    AWAY says that no call after the one it numbers is or will be served.
    """

    kind: Kind
    call: int
    message: AnyMessage | None = None


_encoder = msgspec.msgpack.Encoder()


def encode(frame: Frame) -> bytes:
    """Return the bytes of `frame`."""
    return _encoder.encode(frame)


class FrameReader:
    """Cuts the bytes of one stream into frames."""

    def __init__(self, *, max_bytes: int = MAX_FRAME_BYTES) -> None:
        """Refuse frames of more than `max_bytes`."""
        self._unpacker = msgpack.Unpacker(
            raw=False,
            # The buffer starts with this size; msgpack's own start, 1 MB, would
            # take a gigabyte from an entry with a thousand streams.
            read_size=FIRST_BUFFER_BYTES,
            max_buffer_size=max_bytes,
            max_array_len=MAX_ITEMS,
            max_map_len=MAX_ITEMS,
        )

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield each frame completed by `data`.

        Raises:
            FrameError: the bytes are too many, no msgpack, or no message of ours.

        """
        try:
            self._unpacker.feed(data)
            for raw in self._unpacker:
                yield msgspec.convert(raw, Frame)
        except (
            ValueError,
            TypeError,
            RecursionError,
            msgpack.UnpackException,
        ) as error:
            raise FrameError(f"not a frame: {type(error).__name__}: {error}") from None
