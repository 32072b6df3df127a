"""A TCP proxy, called a link, that injects network faults between two processes."""

import asyncio
import socket
import struct
from typing import Any

import cyclopts
import msgspec
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from standins.serving import (
    HOST,
    FaultsHandler,
    RecordHandler,
    Switches,
    listen,
    run,
)

CHUNK_BYTES = 65_536
MAX_QUEUED_CHUNKS = 64


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Fault switches of the link.

    `silent` and `cut` act once, on the connections open at that moment: `silent`
    discards all their further bytes, `cut` closes them. `silent_new` discards the
    bytes of open and of new connections. `hold` delays bytes until it is reset. While
    `refuse` is set the link does not listen, so that new connections are refused.
    `reset_from` resets the open and new connections of clients whose first bytes
    contain one of these names.
    """

    silent: bool = False
    silent_new: bool = False
    cut: bool = False
    delay_seconds: float = 0.0
    hold: bool = False
    refuse: bool = False
    reset_from: list[str] = []


class Connection:
    """One relayed connection: its two streams, and whether its bytes are discarded."""

    def __init__(self, client: IOStream, server: IOStream) -> None:
        """Relay between `client` and `server`."""
        self.client = client
        self.server = server
        self.silent = False
        self.first_bytes = b""
        """The first chunk that the client sent."""

    def close(self) -> None:
        """Close both sides."""
        self.client.close()
        self.server.close()

    def reset(self) -> None:
        """Close both sides with a TCP reset instead of a FIN."""
        for stream in (self.client, self.server):
            if not stream.closed():
                stream.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
        self.close()

    def is_from(self, names: list[str]) -> bool:
        """Return whether the client's first bytes contain one of `names`."""
        return any(name.encode() in self.first_bytes for name in names)


class _Listener(TCPServer):
    """Accepts connections for a link; it is not reused once stopped."""

    def __init__(self, link: "Link", sockets: list[socket.socket]) -> None:
        super().__init__()
        self._link = link
        self.add_sockets(sockets)

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Pass the connection to the link."""
        await self._link.relay(stream)


class Link:
    """A listening port whose connections are relayed to a target."""

    def __init__(
        self, host: str, port: int, target_port: int, target_host: str = HOST
    ) -> None:
        """Listen on `host` and `port` and relay to the target."""
        sockets = bind_sockets(port, host)
        self.host = host
        self.port = int(sockets[0].getsockname()[1])
        self._listener: _Listener | None = _Listener(self, sockets)
        self.target_port = target_port
        self.target_host = target_host
        self.switches = Switches(Faults)
        self.switches.on_change = self._on_switches_change
        self.connections: set[Connection] = set()
        self.opened = 0
        self.relayed_bytes = 0
        self.swallowed_bytes = 0
        self._released = asyncio.Event()
        self._released.set()

    def show(self) -> dict[str, Any]:
        """Return the counts of connections and bytes, as the record shows them."""
        return {
            "open": len(self.connections),
            "opened": self.opened,
            "relayed_bytes": self.relayed_bytes,
            "swallowed_bytes": self.swallowed_bytes,
        }

    async def relay(self, stream: IOStream) -> None:
        """Relay one connection until both its directions have ended."""
        try:
            server = await TCPClient().connect(self.target_host, self.target_port)
        except OSError:
            stream.close()
            return
        stream.set_nodelay(True)
        server.set_nodelay(True)
        connection = Connection(stream, server)
        connection.silent = self.switches.current.silent_new
        self.connections.add(connection)
        self.opened += 1
        try:
            await asyncio.gather(
                self._relay(connection, stream, server),
                self._relay(connection, server, stream),
            )
        finally:
            connection.close()
            self.connections.discard(connection)

    async def _relay(
        self, connection: Connection, source: IOStream, target: IOStream
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        delivery = asyncio.create_task(self._deliver(connection, queue, target))
        try:
            while True:
                chunk = await source.read_bytes(CHUNK_BYTES, partial=True)
                if source is connection.client and not connection.first_bytes:
                    connection.first_bytes = chunk
                    if connection.is_from(self.switches.current.reset_from):
                        connection.reset()
                await queue.put((self._delivery_time(), chunk))
        except StreamClosedError:
            await queue.put((self._delivery_time(), b""))
        await delivery

    def _delivery_time(self) -> float:
        delay = self.switches.current.delay_seconds
        return asyncio.get_running_loop().time() + delay

    async def _deliver(
        self,
        connection: Connection,
        queue: asyncio.Queue[tuple[float, bytes]],
        target: IOStream,
    ) -> None:
        while True:
            due, chunk = await queue.get()
            await asyncio.sleep(max(due - asyncio.get_running_loop().time(), 0))
            await self._released.wait()
            if connection.silent:
                self.swallowed_bytes += len(chunk)
            elif chunk:
                await self._write(target, chunk)
            else:
                target.close()
            if not chunk:
                return

    async def _write(self, target: IOStream, chunk: bytes) -> None:
        try:
            await target.write(chunk)
            self.relayed_bytes += len(chunk)
        except StreamClosedError:
            return

    def _on_switches_change(self, before: Faults, after: Faults) -> None:
        for connection in list(self.connections):
            if after.cut:
                connection.close()
            elif connection.is_from(after.reset_from):
                connection.reset()
            if after.silent or after.silent_new:
                connection.silent = True
        after.cut = after.silent = False
        self._listen(not after.refuse)
        if after.hold:
            self._released.clear()
        else:
            self._released.set()

    def _listen(self, wanted: bool) -> None:
        if self._listener is not None and not wanted:
            self._listener.stop()
            self._listener = None
        elif self._listener is None and wanted:
            self._listener = _Listener(self, bind_sockets(self.port, self.host))


def main(
    *,
    target_port: int,
    target_host: str = HOST,
    host: str = HOST,
    port: int = 0,
    control_port: int = 0,
) -> None:
    """Relay from `host` and `port` to the target; serve faults on `control_port`."""

    async def start() -> dict[str, Any]:
        link = Link(host, port, target_port, target_host)
        routes = [
            ("/faults", FaultsHandler, {"switches": link.switches}),
            ("/record", RecordHandler, {"show": link.show}),
        ]
        return {
            "port": link.port,
            "control_port": listen(routes, control_port),
        }

    run(start)


if __name__ == "__main__":
    cyclopts.run(main)
