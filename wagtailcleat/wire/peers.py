"""The handshake of streams, the listener, and the pool of streams opened here.

Both sides prove knowledge of the cluster secret by a MAC over both nonces, and never
send the secret.
"""

import asyncio
import hmac
import os
from dataclasses import dataclass

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from wagtailcleat.addresses import address_problem
from wagtailcleat.errors import HelloError, StreamError
from wagtailcleat.ids import Incarnation, NodeId
from wagtailcleat.logs import part_logger
from wagtailcleat.wire.connecting import connect
from wagtailcleat.wire.frames import Frame, FrameKind, FrameReader, encode
from wagtailcleat.wire.handshake import PROTOCOL_VERSION, Hello, Proof, Role
from wagtailcleat.wire.limits import StreamTiming
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.parts import Lost, Parts
from wagtailcleat.wire.streams import READ_BYTES, Handler, Stream

log = part_logger("wire")

NONCE_BYTES = 16
MAX_HELLO_BYTES = 65_536
MAX_STREAMS = 4096
"""Limit of the streams that a listener holds, with those in the handshake."""


@dataclass(frozen=True)
class Identity:
    """Identity of this process in handshakes; the cluster secret is never sent."""

    node: NodeId
    role: Role
    incarnation: Incarnation
    secret: str


def _mac(secret: str, side: str, own_hello: Hello, other_hello: Hello) -> bytes:
    text = b"|".join(
        [
            side.encode(),
            own_hello.node.encode(),
            own_hello.role.value.encode(),
            str(own_hello.incarnation).encode(),
            own_hello.nonce,
            other_hello.node.encode(),
            other_hello.nonce,
        ]
    )
    return hmac.digest(secret.encode(), text, "sha256")


async def _read_message(
    connection: IOStream, reader: FrameReader, frames: list[Frame]
) -> AnyMessage | None:
    received = 0
    while not frames:
        data = await connection.read_bytes(READ_BYTES, partial=True)
        # A peer that has not yet proved the secret must not make this process buffer
        # much.
        received += len(data)
        if received > MAX_HELLO_BYTES:
            raise HelloError("the hello is too long")
        frames.extend(reader.feed(data))
    return frames.pop(0).message


async def _handshake(
    connection: IOStream, identity: Identity, side: str, reader: FrameReader
) -> tuple[Hello, list[Frame]]:
    other_side = "accepting" if side == "opening" else "opening"
    own_hello = Hello(
        PROTOCOL_VERSION,
        identity.node,
        identity.role,
        identity.incarnation,
        os.urandom(NONCE_BYTES),
    )
    frames: list[Frame] = []
    await connection.write(encode(Frame(FrameKind.CALL, 0, own_hello)))
    peer_hello = await _read_message(connection, reader, frames)
    if not isinstance(peer_hello, Hello) or peer_hello.version != PROTOCOL_VERSION:
        raise HelloError("the peer speaks another version")
    proof = Proof(_mac(identity.secret, side, own_hello, peer_hello))
    await connection.write(encode(Frame(FrameKind.CALL, 0, proof)))
    peer_proof = await _read_message(connection, reader, frames)
    expected = _mac(identity.secret, other_side, peer_hello, own_hello)
    if not isinstance(peer_proof, Proof) or not hmac.compare_digest(
        peer_proof.mac, expected
    ):
        raise HelloError("the peer does not know the cluster secret")
    return peer_hello, frames


class Listener(TCPServer):
    """Accepts streams on the peer port; each runs in its connection's task."""

    def __init__(
        self, identity: Identity, handler: Handler, timing: StreamTiming
    ) -> None:
        """Serve inbound calls with `handler`; each stream uses `timing`."""
        super().__init__()
        self.streams: set[Stream] = set()
        self.closed_bytes = 0
        self._handshake_count = 0
        self._identity = identity
        self._handler = handler
        self._timing = timing

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Complete the handshake, then serve the connection until it ends."""
        if self._handshake_count + len(self.streams) >= MAX_STREAMS:
            log.warning(
                "Refused a connection: too many streams are open",
                extra={"from": str(address)},
            )
            stream.close()
            return
        stream.set_nodelay(True)
        reader = FrameReader()
        self._handshake_count += 1
        try:
            handshake = _handshake(stream, self._identity, "accepting", reader)
            hello, early_frames = await asyncio.wait_for(
                handshake, self._timing.connect
            )
        except (TimeoutError, StreamError, StreamClosedError) as error:
            log.warning(
                "Refused a connection: the handshake failed",
                extra={"from": str(address), "why": str(error)},
            )
            stream.close()
            return
        finally:
            self._handshake_count -= 1
        opened = Stream(
            stream,
            hello,
            handler=self._handler,
            timing=self._timing,
            reader=reader,
            early_frames=early_frames,
            opened_here=False,
        )
        self.streams.add(opened)
        try:
            await opened.run()
        finally:
            self.closed_bytes += opened.bytes_in + opened.bytes_out
            self.streams.discard(opened)

    def close_older(self, stream: Stream) -> None:
        """Close the streams that the peer of `stream` opened before `stream`."""
        for other in list(self.streams):
            same_peer = (other.peer, other.peer_incarnation) == (
                stream.peer,
                stream.peer_incarnation,
            )
            if same_peer and other.opened_at < stream.opened_at:
                other.close("the peer has opened a newer stream")


class Peers:
    """Pool of streams to peers: one per address, opened by this process on demand."""

    def __init__(
        self, identity: Identity, handler: Handler, timing: StreamTiming
    ) -> None:
        """Open streams as `identity`; serve the peers' calls on them by `handler`."""
        self._identity = identity
        self._handler = handler
        self._timing = timing
        self._stream_by_address: dict[tuple[str, int], Stream] = {}
        self._opening_by_address: dict[
            tuple[str, int], asyncio.Task[Stream | Lost]
        ] = {}
        self._run_tasks: set[asyncio.Task[None]] = set()
        self.closed_bytes = 0

    @property
    def streams(self) -> list[Stream]:
        """All streams that are open."""
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
        """Call the peer at `host`:`port`, on an open stream or a new one.

        Returns as `Stream.call` does; `Lost` also if no stream could be opened.
        """
        stream = await self.stream(host, port)
        if isinstance(stream, Lost):
            return stream
        return await stream.call(message, timeout=timeout, parts=parts)

    async def stream(self, host: str, port: int) -> Stream | Lost:
        """Return the open stream to an address, or open one; `Lost` if that fails."""
        problem = address_problem(host, port)
        if problem:
            return Lost(False, problem)
        address = (host, port)
        stream = self._stream_by_address.get(address)
        if stream is not None and stream.is_usable:
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
        for task in self._run_tasks:
            task.cancel()

    async def _open(self, address: tuple[str, int]) -> Stream | Lost:
        reader = FrameReader()
        connection: IOStream | None = None
        try:
            async with asyncio.timeout(self._timing.connect):
                connection = await connect(*address, timeout=self._timing.connect)
                connection.set_nodelay(True)
                hello, early_frames = await _handshake(
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
            early_frames=early_frames,
            opened_here=True,
        )
        self._stream_by_address[address] = stream
        task = asyncio.create_task(self._run(address, stream))
        self._run_tasks.add(task)
        task.add_done_callback(self._run_tasks.discard)
        return stream

    async def _run(self, address: tuple[str, int], stream: Stream) -> None:
        try:
            await stream.run()
        finally:
            self.closed_bytes += stream.bytes_in + stream.bytes_out
            if self._stream_by_address.get(address) is stream:
                del self._stream_by_address[address]
