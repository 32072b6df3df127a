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
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec
from tornado.iostream import IOStream, StreamClosedError

from wagtailcleat.errors import Code, FrameError
from wagtailcleat.logs import part_logger
from wagtailcleat.wire.frames import Frame, FrameReader, Kind, encode
from wagtailcleat.wire.handshake import Hello
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.parts import (
    PART_BYTES,
    PARTS_GRANTED,
    PARTS_WINDOW,
    Lost,
    Parts,
    pieces,
)
from wagtailcleat.wire.requests import Answer, Part, PartsEnd, ServiceRequest
from wagtailcleat.wire.results import Refused

log = part_logger("wire")

READ_BYTES = 65_536
MAX_UNSENT_BYTES = 32 * 1024 * 1024
DRAIN_ABOVE_BYTES = 256 * 1024
MAX_CALLS_PER_STREAM = 10_000
IDLE_LOOK_SECONDS = 5.0
MAX_ARRIVING_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True)
class StreamTiming:
    """Seconds: when to ping, when silence or idleness ends a stream, to open one."""

    ping: float = 0.25
    silence: float = 0.75
    idle_close: float = 20.0
    connect: float = 1.0


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
        for piece in pieces(answer.body):
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
        self._called = asyncio.Event()

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
        self._called.set()
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
        for piece in pieces(message.body):
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
            if not self.waiting and await self._idle():
                return
            before = loop.time()
            await asyncio.sleep(timing.ping)
            now = loop.time()
            # This process was paused itself: the silence may be its own, so it
            # counts anew from now.
            if now - before > timing.silence:
                self._heard_at = now
            quiet = now - self._heard_at
            if self.waiting and quiet > timing.silence:
                log.warning("A stream went silent", extra={"peer": self.peer})
                self.close("silent")
                return
            if self.waiting and quiet >= timing.ping:
                self._send(Frame(Kind.PING, 0))

    async def _idle(self) -> bool:
        """Wait for the next call; close a stream without one, and tell so.

        An entry at the target size has a thousand streams and uses few at a time: a
        look at each every half second would take a tenth of a core.
        """
        loop = asyncio.get_running_loop()
        self._called.clear()
        while not self.waiting:
            try:
                async with asyncio.timeout(IDLE_LOOK_SECONDS):
                    await self._called.wait()
            except TimeoutError:
                quiet = loop.time() - self._heard_at
                if self._opened_here and quiet > self._timing.idle_close:
                    self.close("idle")
                    return True
        return False


def _has_parts(reply: AnyMessage | Lost) -> bool:
    return isinstance(reply, Answer) and reply.parts


async def _put_together(reply: AnyMessage | Lost, rest: Parts) -> AnyMessage | Lost:
    if not isinstance(reply, Answer) or not reply.parts:
        return reply
    body = await rest.whole()
    if isinstance(body, Lost):
        return body
    return msgspec.structs.replace(reply, body=body, parts=False)
