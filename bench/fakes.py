"""Models of the network and of endpoints, for `bench.deployment`.

Everything that decides is the product's own code: `Relay`, `Services`, `SlotQueue`,
the routing functions. The models only add delays and faults.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from wagtailcleat.agent.endpoint import EndpointAnswer, EndpointFailed
from wagtailcleat.wire.membership import Member
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.parts import Lost, Parts
from wagtailcleat.wire.requests import ServiceRequest

SILENCE_SECONDS = 1.0
"""Time after which a silent stream is closed: `timing.ping` + `timing.silence`."""


@dataclass
class EndpointFaults:
    """The faults of an endpoint that are active now."""

    slow_factor: float = 1.0
    fails_at_once: bool = False


@dataclass
class EndpointModel:
    """An endpoint with `slots` and an unbounded queue that ignores deadlines."""

    slots: int
    slowdown_factor: Callable[[], float] = lambda: 1.0
    """Returns the factor by which its neighbours slow it down now."""
    faults: EndpointFaults = field(default_factory=EndpointFaults)
    runs: int = 0
    busy_seconds: float = 0.0

    def __post_init__(self) -> None:
        """Create the endpoint's slots, all free."""
        self._free = asyncio.Semaphore(self.slots)
        self._work: set[asyncio.Task[int]] = set()

    async def run(
        self, message: ServiceRequest, seconds: float
    ) -> EndpointAnswer | EndpointFailed:
        """Do the request's work and answer, as `agent.endpoint.Endpoint` does.

        Fail where that takes more than `seconds`.
        """
        self.runs += 1
        work = asyncio.create_task(self._do(work_of(message.path)))
        # The work continues after the caller's timeout: an HTTP server does not
        # notice that its client has disconnected until it writes the answer.
        self._work.add(work)
        work.add_done_callback(self._work.discard)
        try:
            async with asyncio.timeout(seconds):
                status = await asyncio.shield(work)
        except TimeoutError:
            return EndpointFailed(True, "no answer in time")
        return EndpointAnswer(status, [], b"")

    async def accepts_connections(self) -> bool:
        """Return that connections are accepted."""
        return True

    def close(self) -> None:
        """Do nothing: there are no connections to close."""

    async def _do(self, work: float) -> int:
        if self.faults.fails_at_once:
            return 500
        async with self._free:
            seconds = work * self.faults.slow_factor * self.slowdown_factor()
            await asyncio.sleep(seconds)
            self.busy_seconds += seconds
        return 200


def work_of(path: str) -> float:
    """Return the seconds of work that a request's path asks for."""
    return float(parse_qs(urlsplit(path).query)["work"][0])


Handle = Callable[[AnyMessage], Awaitable[AnyMessage]]


@dataclass
class Server:
    """A node on the modelled network that handles calls."""

    member: Member
    handle: Handle
    up: bool = True
    starts: int = 0


class StreamModel:
    """One open stream to a server, with a delay each way; it can be made silent."""

    def __init__(self, server: Server, delay: float) -> None:
        """Open a stream to `server` with a one-way `delay` in seconds."""
        self.peer = server.member.node
        self.closed = False
        self.silent = False
        self._server = server
        self._starts = server.starts
        self._delay = delay

    async def call(
        self, message: AnyMessage, *, timeout: float, parts: Parts | None = None
    ) -> AnyMessage | Lost:
        """Send a message and return its answer, as `wire.streams.Stream` does."""
        if self.silent:
            return await self._lose(timeout)
        try:
            async with asyncio.timeout(timeout):
                await asyncio.sleep(self._delay)
                if not self._is_connected():
                    self.closed = True
                    return Lost(True, "the stream ended")
                answer = await self._server.handle(message)
                await asyncio.sleep(self._delay)
        except TimeoutError:
            return Lost(True, "no answer in time")
        if self.silent:
            return await self._lose(timeout)
        if not self._is_connected():
            self.closed = True
            return Lost(True, "the stream ended")
        return answer

    def _is_connected(self) -> bool:
        return self._server.up and self._server.starts == self._starts

    async def _lose(self, timeout: float) -> Lost:
        await asyncio.sleep(min(timeout, SILENCE_SECONDS))
        if timeout < SILENCE_SECONDS:
            return Lost(True, "no answer in time")
        self.closed = True
        return Lost(True, "the stream went silent")


class Network:
    """All servers by port, with the one-way delay between two zones in seconds."""

    def __init__(self, zone_delay: float) -> None:
        """Create a network without servers."""
        self.server_by_port: dict[int, Server] = {}
        self.zone_delay = zone_delay

    def add(self, server: Server) -> None:
        """Make a server reachable at its member's port."""
        self.server_by_port[server.member.port] = server


class PeersModel:
    """The modelled network's counterpart of `wire.streams.Peers`."""

    def __init__(self, network: Network, zone: str) -> None:
        """Create the peer connections of a process in `zone`."""
        self._network = network
        self._zone = zone
        self.stream_by_port: dict[int, StreamModel] = {}

    @property
    def streams(self) -> list[StreamModel]:
        """All streams open now."""
        return list(self.stream_by_port.values())

    async def stream(self, host: str, port: int) -> StreamModel | Lost:
        """Return the open stream to a port, or open one."""
        stream = self.stream_by_port.get(port)
        if stream is not None and not stream.closed:
            return stream
        server = self._network.server_by_port[port]
        is_same_zone = server.member.zone == self._zone
        delay = self._network.zone_delay * (0.1 if is_same_zone else 1.0)
        if not server.up:
            await asyncio.sleep(2 * delay)
            return Lost(False, "connection refused")
        self.stream_by_port[port] = StreamModel(server, delay)
        return self.stream_by_port[port]

    async def call(
        self,
        host: str,
        port: int,
        message: AnyMessage,
        *,
        timeout: float,
        parts: Parts | None = None,
    ) -> AnyMessage | Lost:
        """Call the server at a port."""
        stream = await self.stream(host, port)
        if isinstance(stream, Lost):
            return stream
        return await stream.call(message, timeout=timeout)
