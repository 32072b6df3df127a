"""Steps on a peer's answers that arrive while the calling process stands still."""

import asyncio
import socket
import threading
import time

from behave import then, when

from wagtailcleat.wire.handshake import Role
from wagtailcleat.wire.limits import StreamTiming
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.peers import Identity, Listener, Peers
from wagtailcleat.wire.results import Done
from wagtailcleat.wire.scheduling import WhoLeads

ADDRESS = "127.0.0.1"
LIMIT_SECONDS = 1.0
WAIT_SECONDS = 10.0
TIMING = StreamTiming(silence=WAIT_SECONDS)


class _Peer:
    """Answers the first call at once, and the next one once `may_answer` is set."""

    def __init__(self):
        self.calls = 0
        self.may_answer = threading.Event()
        self.loop = asyncio.new_event_loop()
        self._socket = socket.create_server((ADDRESS, 0))
        self._socket.setblocking(False)
        self.port = self._socket.getsockname()[1]
        self._listener = None
        self._thread = threading.Thread(
            target=self.loop.run_until_complete, args=(self._run(),)
        )
        self._ended = asyncio.Event()
        self._thread.start()

    async def _run(self):
        self._listener = Listener(
            Identity("entry-2", Role.ENTRY, 1, "s"), self._handle, TIMING
        )
        self._listener.add_socket(self._socket)
        await self._ended.wait()
        self._listener.stop()
        for stream in list(self._listener.streams):
            stream.close("ended")

    async def _handle(self, stream, message, writer):
        self.calls += 1
        if self.calls > 1:
            await asyncio.to_thread(self.may_answer.wait, WAIT_SECONDS)
        return Done()

    @property
    def bytes_out(self):
        return sum(stream.bytes_out for stream in list(self._listener.streams))

    def close(self):
        self.may_answer.set()
        self.loop.call_soon_threadsafe(self._ended.set)
        self._thread.join()
        self.loop.close()


def _wait_for(condition):
    until = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < until
        threading.Event().wait(0.001)


def _call_twice(context, stand_still):
    """Open a stream by one call; `stand_still(peer, begun_at)` runs during the next."""
    peer = _Peer()

    async def run():
        peers = Peers(Identity("entry-1", Role.ENTRY, 1, "s"), None, TIMING)

        def call():
            return peers.call(ADDRESS, peer.port, WhoLeads(), timeout=LIMIT_SECONDS)

        try:
            assert isinstance(await call(), Done)
            begun_at = time.monotonic()
            outcome = asyncio.ensure_future(call())
            # Two turns of the loop: in one the call is made, in the next it is written.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            stand_still(peer, begun_at)
            context.outcome = await outcome
            context.call_seconds = time.monotonic() - begun_at
        finally:
            peers.close()

    try:
        asyncio.run(run())
    finally:
        peer.close()


@when(
    "a peer answers a call while the calling process stands still beyond its time limit"
)
def step_stand_still(context):
    def stand_still(peer, begun_at):
        # The event loop stands still, as in a process that is suspended.
        _wait_for(lambda: peer.calls == 2)
        before = peer.bytes_out
        peer.may_answer.set()
        _wait_for(lambda: peer.bytes_out > before)
        seconds = begun_at + 2 * LIMIT_SECONDS - time.monotonic()
        threading.Event().wait(max(0.0, seconds))

    _call_twice(context, stand_still)


@then("the peer's answer is returned")
def step_answered(context):
    assert isinstance(context.outcome, Done), context.outcome


@when("a peer leaves a call with a time limit of {seconds:g} s unanswered")
def step_silent(context, seconds):
    assert seconds == LIMIT_SECONDS
    _call_twice(context, lambda peer, begun_at: None)


@then("that call is lost after {least:g} s to {most:g} s")
def step_lost(context, least, most):
    assert isinstance(context.outcome, Lost), context.outcome
    assert least <= context.call_seconds <= most, context.call_seconds
