"""Encoding of frames and their decoding from the bytes of a stream.

A frame is one msgpack value, so that msgpack's unpacker finds its end.
"""

from collections.abc import Iterator
from enum import IntEnum

import msgpack
import msgspec

from wagtailcleat.errors import FrameError
from wagtailcleat.wire.messages import AnyMessage

MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_ITEMS = 100_000
"""Limit of the items of one array or map."""
INITIAL_BUFFER_BYTES = 16_384


class FrameKind(IntEnum):
    """Type of a frame, by what it is to the call whose id it carries."""

    CALL = 0
    REPLY = 1
    PART = 2
    CANCEL = 3
    PING = 4
    PONG = 5
    WINDOW_UPDATE = 6
    BODY = 7
    GOAWAY = 8


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """One frame; PING, PONG, CANCEL, WINDOW_UPDATE and GOAWAY carry no message.

    PART is a part of an answer, BODY a part of a call. WINDOW_UPDATE lets the sender of
    an answer send `parts.WINDOW_UPDATE_PARTS` further parts. GOAWAY announces, as in
    HTTP/2, that no call with an id above `call_id` was or will be served.
    """

    kind: FrameKind
    call_id: int
    message: AnyMessage | None = None


_encoder = msgspec.msgpack.Encoder()


def encode(frame: Frame) -> bytes:
    """Return `frame` encoded as msgpack."""
    return _encoder.encode(frame)


class FrameReader:
    """Decodes the frames of one stream from its bytes."""

    def __init__(self, *, max_bytes: int = MAX_FRAME_BYTES) -> None:
        """Limit each frame to `max_bytes`."""
        self._unpacker = msgpack.Unpacker(
            raw=False,
            # The initial size of the buffer. With msgpack's default of 1 MB, an entry
            # with a thousand streams would use a gigabyte.
            read_size=INITIAL_BUFFER_BYTES,
            max_buffer_size=max_bytes,
            max_array_len=MAX_ITEMS,
            max_map_len=MAX_ITEMS,
        )

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield each frame that `data` completes.

        Raises:
            FrameError: the bytes exceed a limit, or are not a valid frame.

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
