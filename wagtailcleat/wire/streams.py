"""Streams between the project's processes: many calls at once on one connection.

One task reads each connection; each inbound call runs in a task of its own. Frames
written in one pass of the loop leave in one write: a write per frame costs more
processor time than all the rest of the frame.

A connection can go silent for good while new ones work (something between the two
ends lost track of it). It shows as no bytes at all while calls wait. So a stream
with calls in flight is pinged, and one that stays silent is closed: its calls end
as `Lost`, and the caller settles them over a new connection.

Bodies larger than `PART_BYTES` travel in parts, so that no call waits behind
another's whole body.
"""

import asyncio
import contextlib
import hmac
import os
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

import msgspec
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import BlockingResolver
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from wagtailcleat.errors import Code, FrameError, HelloError, StreamError
from wagtailcleat.ids import Incarnation, NodeId
from wagtailcleat.logs import part_logger
from wagtailcleat.wire.frames import Frame, FrameReader, Kind, encode
from wagtailcleat.wire.messages import (
    PROTOCOL_VERSION,
    Answer,
    AnyMessage,
    Hello,
    Part,
    PartsEnd,
    Proof,
    Refused,
    Role,
    ServiceRequest,
)

log = part_logger("wire")


READ_BYTES = 65_536
NONCE_BYTES = 16
MAX_UNSENT_BYTES = 32 * 1024 * 1024
DRAIN_ABOVE_BYTES = 256 * 1024
MAX_CALLS_PER_STREAM = 10_000
PART_BYTES = 65_536
PARTS_WINDOW = 32
PARTS_GRANTED = PARTS_WINDOW // 2
MAX_ARRIVING_BYTES = 64 * 1024 * 1024
MAX_HELLO_BYTES = 65_536
MAX_STREAMS = 4096


@dataclass(frozen=True)
class Identity:
    """Who this process is towards its peers; the secret is never sent."""

    node: NodeId
    role: Role
    incarnation: Incarnation
    secret: str


@dataclass(frozen=True)
class StreamTiming:
    """Seconds: when to ping, when silence or idleness ends a stream, to open one."""

    ping: float = 0.25
    silence: float = 0.75
    idle_close: float = 20.0
    connect: float = 1.0


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


class Outlet:
    """Where a handler sends an answer that comes in parts: first its head."""

    def __init__(self, stream: "Stream", call: int) -> None:
        """Answer `call` of `stream`."""
        self._stream = stream
        self._call = call
        self._room = PARTS_WINDOW
        self._has_room = asyncio.Event()

    def grant(self) -> None:
        """Note that the peer has read some parts."""
        self._room += PARTS_GRANTED
        self._has_room.set()

    async def head(self, message: AnyMessage) -> None:
        """Send the answer's head; parts follow."""
        await self._stream.send(Frame(Kind.REPLY, self._call, message))

    async def part(self, message: AnyMessage) -> None:
        """Send a part; waits while the peer reads slowly."""
        while self._room <= 0:
            self._has_room.clear()
            await self._has_room.wait()
        self._room -= 1
        await self._stream.send(Frame(Kind.PART, self._call, message))

    async def answer(self, answer: Answer) -> AnyMessage:
        """Send a large answer in parts; return what ends it."""
        await self.head(msgspec.structs.replace(answer, body=b"", parts=True))
        for piece in _pieces(answer.body):
            await self.part(Part(piece))
        return PartsEnd(whole=True)


@dataclass
class _Arriving:
    """A call whose body is still arriving."""

    message: ServiceRequest
    pieces: list[bytes] = field(default_factory=list)


@dataclass
class _Served:
    """A call that this side serves."""

    task: asyncio.Task[None]
    outlet: Outlet


Handler = Callable[["Stream", AnyMessage, Outlet], Awaitable[AnyMessage]]
"""Serves one inbound call; returns its answer, or `PartsEnd` after `Outlet.head`."""


class Stream:
    """One open connection to a peer whose hello was proved."""

    def __init__(
        self,
        connection: IOStream,
        hello: Hello,
        *,
        handler: Handler,
        timing: StreamTiming,
        reader: FrameReader,
        early: list[Frame],
        opened_here: bool,
    ) -> None:
        """Take over `connection` once both hellos are proved.

        Parameters: `early` are frames that came together with the peer's proof.
        """
        self._early = early
        self._opened_here = opened_here
        self.peer = hello.node
        self.peer_role = hello.role
        self.peer_incarnation = hello.incarnation
        self.closed = False
        self.opened_at = asyncio.get_running_loop().time()
        self.bytes_in = 0
        self.bytes_out = 0
        self._connection = connection
        self._handler = handler
        self._timing = timing
        self._reader = reader
        self._next_call = 0
        self._last_arrived = 0
        self._leaving = False
        self._peer_leaves = False
        self._waiting_by_call: dict[int, asyncio.Future[AnyMessage | Lost]] = {}
        self._parts_by_call: dict[int, Parts] = {}
        self._served_by_call: dict[int, _Served] = {}
        self._arriving_by_call: dict[int, _Arriving] = {}
        self._arriving_bytes = 0
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0
        self._heard_at = 0.0

    def __repr__(self) -> str:
        """Show the peer and the calls in flight."""
        return f"<Stream to {self.peer}: {len(self._waiting_by_call)} calls waiting>"

    @property
    def waiting(self) -> int:
        """How many calls wait for their answers."""
        return len(self._waiting_by_call) + len(self._parts_by_call)

    @property
    def serving(self) -> int:
        """How many calls of the peer are still being answered."""
        return len(self._served_by_call) + len(self._arriving_by_call)

    @property
    def usable(self) -> bool:
        """Whether a new call may be sent."""
        return not (self.closed or self._peer_leaves)

    def go_away(self) -> None:
        """Serve no further call; the peer closes once it has all its answers.

        A call can be on its way while this process ends. Its caller would never
        learn whether it ran; told the last call taken, it knows that it did not.
        Were this side to close first, a frame that arrives after the close would
        reset the connection, and answers not yet read would be lost with it.
        """
        self._leaving = True
        self._send(Frame(Kind.AWAY, self._last_arrived))

    async def run(self) -> None:
        """Read until the connection ends; every call left ends as `Lost`."""
        self._heard_at = asyncio.get_running_loop().time()
        watch = asyncio.create_task(self._watch_silence())
        reason = "the connection ended"
        try:
            await self._read()
        except StreamClosedError:
            pass
        except FrameError as error:
            reason = error.message
            log.warning("Closed a stream", extra={"peer": self.peer, "why": reason})
        finally:
            watch.cancel()
            self.close(reason)

    def close(self, reason: str) -> None:
        """Close the connection and end every call."""
        if self.closed:
            return
        self.closed = True
        self._connection.close()
        for future in self._waiting_by_call.values():
            if not future.done():
                future.set_result(Lost(True, reason))
        for parts in self._parts_by_call.values():
            parts.add(Lost(True, reason))
        for served in self._served_by_call.values():
            served.task.cancel()
        self._waiting_by_call.clear()
        self._parts_by_call.clear()
        self._arriving_by_call.clear()

    async def call(
        self, message: AnyMessage, *, timeout: float, parts: Parts | None = None
    ) -> AnyMessage | Lost:
        """Send `message` and return the peer's answer, or `Lost`.

        Parameters: `timeout` in seconds; `parts` takes what follows the answer.
        Without it an answer in parts is put together, and `Lost` if it breaks off.
        """
        if not self.usable:
            return Lost(False, "the stream takes no more calls")
        if len(self._waiting_by_call) >= MAX_CALLS_PER_STREAM:
            return Lost(False, "too many calls wait on the stream")
        self._next_call += 1
        call = self._next_call
        if not self.waiting:
            self._heard_at = asyncio.get_running_loop().time()
        future = asyncio.get_running_loop().create_future()
        self._waiting_by_call[call] = future
        rest = parts or Parts()
        rest.on_room(lambda: self._send(Frame(Kind.MORE, call)))
        self._parts_by_call[call] = rest
        reply: AnyMessage | Lost = Lost(True, "no answer in time")
        try:
            async with asyncio.timeout(timeout):
                await self._send_call(call, message)
                reply = await future
                if parts is None:
                    reply = await _put_together(reply, rest)
        except TimeoutError:
            self.cancel(call)
            return Lost(True, "no answer in time")
        except asyncio.CancelledError:
            self.cancel(call)
            raise
        finally:
            self._waiting_by_call.pop(call, None)
            if parts is None or not _has_parts(reply):
                self._parts_by_call.pop(call, None)
            self._close_if_left()
        return reply

    async def _send_call(self, call: int, message: AnyMessage) -> None:
        if not isinstance(message, ServiceRequest) or len(message.body) <= PART_BYTES:
            self._send(Frame(Kind.CALL, call, message))
            return
        head = msgspec.structs.replace(message, body=b"", parts=True)
        self._send(Frame(Kind.CALL, call, head))
        for piece in _pieces(message.body):
            await self.send(Frame(Kind.BODY, call, Part(piece)))
        self._send(Frame(Kind.BODY, call, PartsEnd(whole=True)))

    def cancel(self, call: int) -> None:
        """Tell the peer that the answer of `call` is no longer wanted."""
        self._parts_by_call.pop(call, None)
        if not self.closed:
            self._send(Frame(Kind.CANCEL, call))

    def cancel_parts(self, parts: Parts) -> None:
        """Give up an answer whose parts are still coming."""
        for call, waiting in list(self._parts_by_call.items()):
            if waiting is parts:
                self.cancel(call)

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        for frame in self._early:
            self._take(frame)
        while True:
            data = await self._connection.read_bytes(READ_BYTES, partial=True)
            self._heard_at = loop.time()
            self.bytes_in += len(data)
            for frame in self._reader.feed(data):
                self._take(frame)

    def _take(self, frame: Frame) -> None:
        # Frames read together with the one that closed the stream are not served:
        # whoever closed it counts on nothing of it being run any more.
        if self.closed:
            return
        if frame.message is None:
            self._control(frame)
        elif frame.kind is Kind.CALL:
            self._arrive(frame.call, frame.message)
        elif frame.kind is Kind.REPLY:
            self._answered(frame.call, frame.message)
        elif frame.kind is Kind.PART:
            self._part(frame.call, frame.message)
        elif frame.kind is Kind.BODY:
            self._body(frame.call, frame.message)

    def _control(self, frame: Frame) -> None:
        if frame.kind is Kind.PING:
            self._send(Frame(Kind.PONG, frame.call))
            return
        if frame.kind is Kind.AWAY:
            self._peer_goes_away(frame.call)
            return
        served = self._served_by_call.get(frame.call)
        if frame.kind is Kind.MORE and served is not None:
            served.outlet.grant()
        elif frame.kind is Kind.CANCEL:
            self._forget_arriving(frame.call)
            if served is not None:
                served.task.cancel()

    def _arrive(self, call: int, message: AnyMessage) -> None:
        if call in self._served_by_call or call in self._arriving_by_call:
            raise FrameError("a call number used twice")
        if self._leaving:
            return
        self._last_arrived = max(self._last_arrived, call)
        if isinstance(message, ServiceRequest) and message.parts:
            self._arriving_by_call[call] = _Arriving(message)
        else:
            self._serve(call, message)

    def _peer_goes_away(self, last_taken: int) -> None:
        self._peer_leaves = True
        for call, future in self._waiting_by_call.items():
            if call > last_taken and not future.done():
                future.set_result(Lost(False, "the peer leaves and has not taken it"))
        self._close_if_left()

    def _close_if_left(self) -> None:
        if self._peer_leaves and not self.waiting:
            self.close("the peer has left")

    def _body(self, call: int, message: AnyMessage) -> None:
        arriving = self._arriving_by_call.get(call)
        if arriving is None:
            return
        if isinstance(message, Part):
            arriving.pieces.append(message.data)
            self._arriving_bytes += len(message.data)
            if self._arriving_bytes > MAX_ARRIVING_BYTES:
                self._forget_arriving(call)
                refusal = Refused(
                    Code.UNAVAILABLE.value, "too many large bodies at once"
                )
                self._send(Frame(Kind.REPLY, call, refusal))
            return
        self._forget_arriving(call)
        if isinstance(message, PartsEnd) and message.whole:
            body = b"".join(arriving.pieces)
            whole = msgspec.structs.replace(arriving.message, body=body, parts=False)
            self._serve(call, whole)

    def _forget_arriving(self, call: int) -> None:
        arriving = self._arriving_by_call.pop(call, None)
        if arriving is not None:
            self._arriving_bytes -= sum(len(piece) for piece in arriving.pieces)

    def _answered(self, call: int, message: AnyMessage) -> None:
        # A late answer finds no call of its number and is dropped: numbers are
        # never used twice on a stream, so it can't reach another call.
        future = self._waiting_by_call.get(call)
        if future is not None and not future.done():
            future.set_result(message)

    def _part(self, call: int, message: AnyMessage) -> None:
        parts = self._parts_by_call.get(call)
        if parts is None:
            return
        parts.add(message)
        if isinstance(message, PartsEnd):
            self._parts_by_call.pop(call, None)
            self._close_if_left()

    def _serve(self, call: int, message: AnyMessage) -> None:
        if len(self._served_by_call) >= MAX_CALLS_PER_STREAM:
            refusal = Refused(Code.UNAVAILABLE.value, "too many calls on this stream")
            self._send(Frame(Kind.REPLY, call, refusal))
            return
        outlet = Outlet(self, call)
        task = asyncio.create_task(self._serve_one(call, message, outlet))
        self._served_by_call[call] = _Served(task, outlet)
        task.add_done_callback(lambda _: self._served_by_call.pop(call, None))

    async def _serve_one(self, call: int, message: AnyMessage, outlet: Outlet) -> None:
        try:
            reply = await self._handler(self, message, outlet)
            if isinstance(reply, Answer) and len(reply.body) > PART_BYTES:
                reply = await outlet.answer(reply)
        except Exception:
            log.exception("A call failed", extra={"call": type(message).__name__})
            reply = Refused(Code.INTERNAL.value, "the call failed here; see the log")
        kind = Kind.PART if isinstance(reply, PartsEnd) else Kind.REPLY
        self._send(Frame(kind, call, reply))

    async def send(self, frame: Frame) -> None:
        """Send a frame; waits while the peer reads slowly."""
        self._send(frame)
        if self._unsent_bytes + self._unwritten() > DRAIN_ABOVE_BYTES:
            self._flush()
            with contextlib.suppress(StreamClosedError):
                await self._connection.write(b"")

    def _send(self, frame: Frame) -> None:
        if self.closed:
            return
        data = encode(frame)
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._flush)
        self._unsent.append(data)
        self._unsent_bytes += len(data)
        if self._unsent_bytes > MAX_UNSENT_BYTES:
            self.close("the peer reads too slowly")

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
        if self._unwritten() > MAX_UNSENT_BYTES:
            self.close("the peer reads too slowly")

    def _unwritten(self) -> int:
        # A write that fails closes the connection, which drops its buffer.
        buffer = self._connection._write_buffer
        return len(buffer) if buffer is not None else 0

    async def _watch_silence(self) -> None:
        loop = asyncio.get_running_loop()
        timing = self._timing
        while True:
            before = loop.time()
            await asyncio.sleep(timing.ping if self.waiting else timing.ping * 2)
            now = loop.time()
            # This process was paused itself: the silence may be its own, so it
            # counts anew from now.
            if now - before > timing.silence:
                self._heard_at = now
            quiet = now - self._heard_at
            if not self.waiting:
                if self._opened_here and quiet > timing.idle_close:
                    self.close("idle")
                    return
                continue
            if quiet > timing.silence:
                log.warning("A stream went silent", extra={"peer": self.peer})
                self.close("silent")
                return
            if quiet >= timing.ping:
                self._send(Frame(Kind.PING, 0))


def _pieces(body: bytes) -> list[bytes]:
    return [body[at : at + PART_BYTES] for at in range(0, len(body), PART_BYTES)]


def _has_parts(reply: AnyMessage | Lost) -> bool:
    return isinstance(reply, Answer) and reply.parts


async def _put_together(reply: AnyMessage | Lost, rest: Parts) -> AnyMessage | Lost:
    if not isinstance(reply, Answer) or not reply.parts:
        return reply
    body = await rest.whole()
    if isinstance(body, Lost):
        return body
    return msgspec.structs.replace(reply, body=body, parts=False)


# ---- opening


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
