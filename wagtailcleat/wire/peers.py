"""Opening streams: the hello of both sides, the listener, and the streams opened here.

Either side shows the cluster secret by a MAC over both fresh nonces, and never sends
it.
"""

import asyncio
import hmac
import os
from dataclasses import dataclass

from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import BlockingResolver
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from wagtailcleat.errors import HelloError, StreamError
from wagtailcleat.ids import Incarnation, NodeId
from wagtailcleat.logs import part_logger
from wagtailcleat.wire.frames import Frame, FrameReader, Kind, encode
from wagtailcleat.wire.handshake import PROTOCOL_VERSION, Hello, Proof, Role
from wagtailcleat.wire.limits import StreamTiming
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.parts import Lost, Parts
from wagtailcleat.wire.streams import READ_BYTES, Handler, Stream

log = part_logger("wire")

NONCE_BYTES = 16
MAX_HELLO_BYTES = 65_536
MAX_STREAMS = 4096


@dataclass(frozen=True)
class Identity:
    """Who this process is towards its peers; the secret is never sent."""

    node: NodeId
    role: Role
    incarnation: Incarnation
    secret: str


def _mac(secret: str, side: str, mine: Hello, other: Hello) -> bytes:
    text = b"|".join(
        [
            side.encode(),
            mine.node.encode(),
            mine.role.value.encode(),
            str(mine.incarnation).encode(),
            mine.nonce,
            other.node.encode(),
            other.nonce,
        ]
    )
    return hmac.digest(secret.encode(), text, "sha256")


async def _read_message(
    connection: IOStream, reader: FrameReader, ready: list[Frame]
) -> AnyMessage | None:
    received = 0
    while not ready:
        data = await connection.read_bytes(READ_BYTES, partial=True)
        # Whoever has not shown the secret yet makes this process hold little.
        received += len(data)
        if received > MAX_HELLO_BYTES:
            raise HelloError("the hello is too long")
        ready.extend(reader.feed(data))
    return ready.pop(0).message


async def _shake(
    connection: IOStream, identity: Identity, side: str, reader: FrameReader
) -> tuple[Hello, list[Frame]]:
    other_side = "accepting" if side == "opening" else "opening"
    mine = Hello(
        PROTOCOL_VERSION,
        identity.node,
        identity.role,
        identity.incarnation,
        os.urandom(NONCE_BYTES),
    )
    ready: list[Frame] = []
    await connection.write(encode(Frame(Kind.CALL, 0, mine)))
    theirs = await _read_message(connection, reader, ready)
    if not isinstance(theirs, Hello) or theirs.version != PROTOCOL_VERSION:
        raise HelloError("the peer speaks another version")
    proof = Proof(_mac(identity.secret, side, mine, theirs))
    await connection.write(encode(Frame(Kind.CALL, 0, proof)))
    shown = await _read_message(connection, reader, ready)
    expected = _mac(identity.secret, other_side, theirs, mine)
    if not isinstance(shown, Proof) or not hmac.compare_digest(shown.mac, expected):
        raise HelloError("the peer does not know the cluster secret")
    return theirs, ready


class Listener(TCPServer):
    """Accepts streams on the peer port; each runs in its connection's task."""

    def __init__(
        self, identity: Identity, handler: Handler, timing: StreamTiming
    ) -> None:
        """Serve inbound calls with `handler`."""
        super().__init__()
        self.streams: set[Stream] = set()
        self.closed_bytes = 0
        self._shaking = 0
        self._identity = identity
        self._handler = handler
        self._timing = timing

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Prove the hello, then serve the connection until it ends."""
        if self._shaking + len(self.streams) >= MAX_STREAMS:
            log.warning("Too many streams", extra={"from": str(address)})
            stream.close()
            return
        stream.set_nodelay(True)
        reader = FrameReader()
        self._shaking += 1
        try:
            shake = _shake(stream, self._identity, "accepting", reader)
            hello, early = await asyncio.wait_for(shake, self._timing.connect)
        except (TimeoutError, StreamError, StreamClosedError) as error:
            log.warning(
                "Refused a stream", extra={"from": str(address), "why": str(error)}
            )
            stream.close()
            return
        finally:
            self._shaking -= 1
        opened = Stream(
            stream,
            hello,
            handler=self._handler,
            timing=self._timing,
            reader=reader,
            early=early,
            opened_here=False,
        )
        self.streams.add(opened)
        try:
            await opened.run()
        finally:
            self.closed_bytes += opened.bytes_in + opened.bytes_out
            self.streams.discard(opened)

    def close_older(self, stream: Stream) -> None:
        """Close the streams that the peer of `stream` opened before it."""
        for other in list(self.streams):
            same_peer = (other.peer, other.peer_incarnation) == (
                stream.peer,
                stream.peer_incarnation,
            )
            if same_peer and other.opened_at < stream.opened_at:
                other.close("the peer has opened a newer stream")


class Peers:
    """Streams this process opened, one per address, opened when first needed."""

    def __init__(
        self, identity: Identity, handler: Handler, timing: StreamTiming
    ) -> None:
        """Open with `identity`; calls that peers make back go to `handler`."""
        self._identity = identity
        self._handler = handler
        self._timing = timing
        self._stream_by_address: dict[tuple[str, int], Stream] = {}
        self._opening_by_address: dict[
            tuple[str, int], asyncio.Task[Stream | Lost]
        ] = {}
        self._runs: set[asyncio.Task[None]] = set()
        self.closed_bytes = 0

    @property
    def streams(self) -> list[Stream]:
        """All streams open now."""
        return list(self._stream_by_address.values())

    async def call(
        self,
        host: str,
        port: int,
        message: AnyMessage,
        *,
        timeout: float,
        parts: Parts | None = None,
    ) -> AnyMessage | Lost:
        """Call the peer at `host`:`port`, opening a stream where none is open."""
        stream = await self.stream(host, port)
        if isinstance(stream, Lost):
            return stream
        return await stream.call(message, timeout=timeout, parts=parts)

    async def stream(self, host: str, port: int) -> Stream | Lost:
        """Return the open stream to an address, or open one."""
        address = (host, port)
        stream = self._stream_by_address.get(address)
        if stream is not None and stream.usable:
            return stream
        opening = self._opening_by_address.get(address)
        if opening is None:
            opening = asyncio.create_task(self._open(address))
            self._opening_by_address[address] = opening
            opening.add_done_callback(
                lambda _: self._opening_by_address.pop(address, None)
            )
        return await asyncio.shield(opening)

    def close(self) -> None:
        """Close every stream."""
        for stream in self.streams:
            stream.close("this process ends")
        for task in self._runs:
            task.cancel()

    async def _open(self, address: tuple[str, int]) -> Stream | Lost:
        reader = FrameReader()
        connection: IOStream | None = None
        try:
            async with asyncio.timeout(self._timing.connect):
                # Addresses are IP numbers: resolving blocks nothing, needs no thread.
                connection = await TCPClient(resolver=BlockingResolver()).connect(
                    *address
                )
                connection.set_nodelay(True)
                hello, early = await _shake(
                    connection, self._identity, "opening", reader
                )
        except (StreamError, StreamClosedError, OSError, TimeoutError) as error:
            if connection is not None:
                connection.close()
            return Lost(False, f"no stream: {error or type(error).__name__}")
        stream = Stream(
            connection,
            hello,
            handler=self._handler,
            timing=self._timing,
            reader=reader,
            early=early,
            opened_here=True,
        )
        self._stream_by_address[address] = stream
        task = asyncio.create_task(self._run(address, stream))
        self._runs.add(task)
        task.add_done_callback(self._runs.discard)
        return stream

    async def _run(self, address: tuple[str, int], stream: Stream) -> None:
        try:
            await stream.run()
        finally:
            self.closed_bytes += stream.bytes_in + stream.bytes_out
            if self._stream_by_address.get(address) is stream:
                del self._stream_by_address[address]
