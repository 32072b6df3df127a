"""Steps for opening connections, with simulated attempts on virtual time."""

import asyncio
import math

from behave import given, then, when

from bench.virtual_time import run_virtual
from wagtailcleat.wire.connecting import connect

KERNEL_RETRY_SECONDS = 1.0
TOLERANCE_SECONDS = 0.01


class _Connection:
    def __init__(self):
        self.is_open = True

    def close(self):
        self.is_open = False


class _Peer:
    """A peer to which connections are simulated."""

    def __init__(self, *, dark_seconds=0.0, delay=0.0, refuses=False):
        self.dark_seconds = dark_seconds
        self.delay = delay
        self.refuses = refuses
        self.attempts = 0
        self.connections = []

    async def open_connection(self, host, port, timeout):
        """Open a connection as the kernel would."""
        self.attempts += 1
        if self.refuses:
            raise ConnectionRefusedError("refused")
        async with asyncio.timeout(timeout):
            passed = asyncio.get_running_loop().time() - self.began
            dark_retries = math.ceil(
                max(0.0, self.dark_seconds - passed) / KERNEL_RETRY_SECONDS
            )
            await asyncio.sleep(dark_retries * KERNEL_RETRY_SECONDS + self.delay)
        connection = _Connection()
        self.connections.append(connection)
        return connection


@given("a peer that answers no packet for {seconds:g} s, on virtual time")
def step_dark(context, seconds):
    context.peer = _Peer(dark_seconds=seconds)


@given("a peer that answers each packet after {seconds:g} s, on virtual time")
def step_slow(context, seconds):
    context.peer = _Peer(delay=seconds)


@given("a peer that refuses, on virtual time")
def step_refuses(context):
    context.peer = _Peer(refuses=True)


@when("a connection to it is opened, with a limit of {seconds:g} s")
def step_opened(context, seconds):
    peer = context.peer

    async def main(clock):
        loop = asyncio.get_running_loop()
        peer.began = loop.time()
        try:
            await connect("h", 1, timeout=seconds, open_connection=peer.open_connection)
            context.established = True
        except OSError:
            context.established = False
        context.seconds = loop.time() - peer.began
        await asyncio.sleep(1.0)

    run_virtual(main)


@then("it is established after {seconds:g} s")
def step_established(context, seconds):
    assert context.established
    assert abs(context.seconds - seconds) < TOLERANCE_SECONDS, context.seconds


@then("it fails after {seconds:g} s")
def step_fails(context, seconds):
    assert not context.established
    assert abs(context.seconds - seconds) < TOLERANCE_SECONDS, context.seconds


@then("one connection is open 1 s later")
def step_one_open(context):
    still_open = [one for one in context.peer.connections if one.is_open]
    assert len(still_open) == 1, context.peer.connections


@then("{count:d} attempts were made")
def step_attempts(context, count):
    assert context.peer.attempts == count, context.peer.attempts
