"""Steps on a callers' server that stops, in the process of the tests."""

import asyncio
import time
from types import SimpleNamespace

from behave import given, then, when

from wagtailcleat.platform.calls import CallsInProgress
from wagtailcleat.platform.submissions import caller_server
from wagtailcleat.scheduling.models import JobState

REQUEST = b"GET /q/0123456789abcdef HTTP/1.1\r\nHost: a.example\r\n\r\n"
ANSWER_SECONDS = 0.1
READ_SECONDS = 5.0
BUSY_SECONDS = 0.3
"""Longer than the time for which a cut request does not count as lost."""


class _Queues:
    """A table with one queue."""

    limits = SimpleNamespace(body_bytes=1_000)

    def find(self, host, path):
        return SimpleNamespace(prefix="/q/", name="q")


class _Jobs:
    """A service that takes a moment to tell a state."""

    async def state(self, job, *, deadline):
        await asyncio.sleep(ANSWER_SECONDS)
        return JobState.QUEUED

    cancel = state


@given("a server for callers that has been told to stop")
def step_server(context):
    context.runner_loop = asyncio.Runner()
    context.add_cleanup(context.runner_loop.close)

    async def serve():
        context.calls = CallsInProgress()
        context.server = caller_server(
            _Jobs(),
            queues=_Queues,
            clock=time.monotonic,
            wall_clock=time.time,
            calls=context.calls,
        )
        context.server.listen(0, "127.0.0.1")
        context.calls.is_stopping = True

    context.runner_loop.run(serve())
    (listener,) = context.server._listeners
    context.address = listener.getsockname()


@when(
    "{count:d} callers send a request, and the next one {seconds:g} s before its answer"
)
def step_two_each(context, count, seconds):
    async def call():
        reader, writer = await asyncio.open_connection(*context.address)
        writer.write(REQUEST)
        await asyncio.sleep(ANSWER_SECONDS - seconds)
        writer.write(REQUEST)
        answers = 0
        for _ in range(2):
            answers += await _is_answered(reader)
        writer.close()
        return answers

    async def call_all():
        return await asyncio.gather(*(call() for _ in range(count)))

    context.answered = sum(context.runner_loop.run(call_all()))


async def _is_answered(reader):
    head = await asyncio.wait_for(reader.read(1), READ_SECONDS)
    if not head:
        return False
    head += await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), READ_SECONDS)
    (length,) = [
        int(line.partition(b":")[2])
        for line in head.split(b"\r\n")
        if line.lower().startswith(b"content-length")
    ]
    await asyncio.wait_for(reader.readexactly(length), READ_SECONDS)
    return head.startswith(b"HTTP/1.1 200")


@then("all {count:d} requests were answered")
def step_all_answered(context, count):
    assert context.answered == count, context.answered


@given("a connection with a request less its last byte")
def step_less_last(context):
    async def send():
        context.reader, context.writer = await asyncio.open_connection(*context.address)
        context.writer.write(REQUEST[:-1])
        await context.writer.drain()
        # Accepted and read, as far as it goes.
        await asyncio.sleep(ANSWER_SECONDS)

    context.runner_loop.run(send())


@when("all calls are given up, and the last byte arrives")
def step_give_up(context):
    async def finish():
        assert context.calls.give_up() == 0
        ending = asyncio.create_task(context.server.drain(READ_SECONDS))
        context.writer.write(REQUEST[-1:])
        context.first_line = await asyncio.wait_for(
            context.reader.readline(), READ_SECONDS
        )
        context.writer.close()
        await ending

    context.runner_loop.run(finish())


@then("that request is answered 503")
def step_refused_at_once(context):
    assert b" 503 " in context.first_line, context.first_line


@given("{count:d} connections that have had an answer")
def step_used(context, count):
    async def connect():
        reader, writer = await asyncio.open_connection(*context.address)
        writer.write(REQUEST)
        assert await _is_answered(reader)
        return reader, writer

    async def connect_all():
        context.connections = [await connect() for _ in range(count)]

    context.runner_loop.run(connect_all())


@when("all send a {method}, and the loop is busy until the server drains")
def step_busy(context, method):
    async def stop():
        await asyncio.sleep(BUSY_SECONDS / 2)
        await context.server.drain(READ_SECONDS)

    def send_and_be_busy():
        for _, writer in context.connections:
            writer.write(REQUEST.replace(b"GET", method.encode()))
        time.sleep(BUSY_SECONDS)

    async def send_all():
        stopping = asyncio.create_task(stop())
        asyncio.get_running_loop().call_soon(send_and_be_busy)
        readers = [reader for reader, _ in context.connections]
        context.answered = sum([await _is_answered(reader) for reader in readers])
        for _, writer in context.connections:
            writer.close()
        await stopping

    context.runner_loop.run(send_all())


@then("these {count:d} requests were answered")
def step_these_answered(context, count):
    assert context.answered == count, context.answered
