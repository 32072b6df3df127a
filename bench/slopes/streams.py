"""What a stream costs at rest, to open, and a call on it: real loopback streams."""

import asyncio
import os
import time
from pathlib import Path
from typing import Any

from wagtailcleat.ids import Incarnation, NodeId
from wagtailcleat.process import bind, bound_port
from wagtailcleat.wire.dumps import DumpState
from wagtailcleat.wire.handshake import Role
from wagtailcleat.wire.limits import StreamTiming
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.outlet import Outlet
from wagtailcleat.wire.peers import Identity, Listener, Peers
from wagtailcleat.wire.results import Done
from wagtailcleat.wire.streams import Stream

HOST = "127.0.0.1"
SECRET = "a secret of the bench only"
REST_SECONDS = 5.0
CALLS_A_STREAM = 20
CALL_SECONDS = 5.0


async def _answer(stream: Stream, message: AnyMessage, outlet: Outlet) -> AnyMessage:
    return Done()


def _identity(name: str) -> Identity:
    return Identity(NodeId(name), Role.AGENT, Incarnation(1), SECRET)


async def _measure(streams: int) -> dict[str, Any]:
    timing = StreamTiming()
    listener = Listener(_identity("listener"), _answer, timing)
    sockets = [bind(HOST, 0) for _ in range(streams)]
    for bound in sockets:
        listener.add_sockets(bound)  # type: ignore[arg-type]
    ports = [bound_port(bound) for bound in sockets]
    peers = Peers(_identity("opener"), _answer, timing)
    before = _resident_bytes()
    for port in ports:
        await peers.stream(HOST, port)
    rest = await _rest()
    calls = await _calls(peers, ports)
    memory = _resident_bytes() - before
    peers.close()
    opened = await _open(streams, ports, timing)
    listener.stop()
    for stream in list(listener.streams):
        stream.close("the measure ends")
    return {
        "streams": streams,
        "bytes_both_ends": memory,
        "core_both_ends": rest,
        "seconds_a_call_both_ends": calls,
        "seconds_an_opening_both_ends": opened,
    }


def _resident_bytes() -> float:
    # Not tracemalloc: it counts the unpacker's buffer of 1 MB, hardly touched.
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return float(pages * os.sysconf("SC_PAGE_SIZE"))


async def _rest() -> float:
    began = time.process_time()
    await asyncio.sleep(REST_SECONDS)
    return (time.process_time() - began) / REST_SECONDS


async def _calls(peers: Peers, ports: list[int]) -> float:
    began = time.process_time()
    for _ in range(CALLS_A_STREAM):
        for port in ports:
            await peers.call(HOST, port, DumpState(), timeout=CALL_SECONDS)
    return (time.process_time() - began) / (CALLS_A_STREAM * len(ports))


async def _open(streams: int, ports: list[int], timing: StreamTiming) -> float:
    peers = Peers(_identity("opener-again"), _answer, timing)
    began = time.process_time()
    for port in ports:
        await peers.stream(HOST, port)
    taken = (time.process_time() - began) / streams
    peers.close()
    return taken


def measure(streams: int) -> dict[str, Any]:
    """Return the costs of `streams` streams, both ends in this process."""
    return asyncio.run(_measure(streams))
