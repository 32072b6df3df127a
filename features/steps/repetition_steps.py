"""Steps on requests that libcurl would repeat, with a server that is plain TCP."""

import asyncio
import json

from behave import given, then, when

from wagtailcleat.ids import AttemptId
from wagtailcleat.operator.client import Client, Unreached
from wagtailcleat.platform.worker import Worker, WorkerRefused, WorkerUnreachable
from wagtailcleat.resources import Resources

HOST = "127.0.0.1"
REFUSAL_BY_SERVER = {
    "worker": (409, {"code": "lapsed"}),
    "entry": (503, {"code": "unavailable"}),
    "full entry": (503, {"code": "not_run"}),
}


class RefusingServer:
    """A server that refuses writes, and may close the connection of the first one.

    Reads are answered with an empty list of tasks.
    """

    def __init__(self, refusal, *, closes_first):
        """Create a server that refuses with `refusal`, a status and a body."""
        self.url = ""
        self.closes_first = closes_first
        self.writes = []
        """Method and path of each write received."""
        self._refusal = refusal
        self._connections = set()

    async def __aenter__(self):
        """Start the server."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.url = f"http://{HOST}:{port}"
        return self

    async def __aexit__(self, *error):
        """Stop the server, and wait for its connections to end."""
        self._server.close()
        await asyncio.gather(*self._connections)

    async def _serve(self, reader, writer):
        self._connections.add(asyncio.current_task())
        while request := await _read_request(reader):
            if request.startswith("GET "):
                writer.write(_answer(200, {"tasks": []}))
                continue
            self.writes.append(request)
            if self.closes_first and len(self.writes) == 1:
                break
            writer.write(_answer(*self._refusal))
        writer.close()


async def _read_request(reader):
    """Return method and path of the next request; "" at the end of the connection."""
    request = (await reader.readline()).decode().rpartition(" ")[0]
    length = 0
    while line := (await reader.readline()).strip():
        name, _, value = line.decode().partition(":")
        if name.lower() == "content-length":
            length = int(value)
    await reader.readexactly(length)
    return request


def _answer(code, body):
    data = json.dumps(body).encode()
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (code, len(data), data)


@given("{article} {name} that closes a kept connection after it has received a write")
def step_closing_server(context, article, name):
    context.server = RefusingServer(REFUSAL_BY_SERVER[name], closes_first=True)


@given("a worker that answers each write with status {status:d} and a code")
def step_refusing_server(context, status):
    context.server = RefusingServer((status, {"code": "x"}), closes_first=False)


async def _start_attempt(server):
    async with server:
        worker = Worker(server.url)
        try:
            assert await worker.tasks() == []
            size = Resources(1.0, 64, 0)
            return await worker.start(AttemptId("a/1"), "x", size, lease_until=10.0)
        finally:
            worker.close()


@when("an attempt is started on that connection")
def step_start_attempt(context):
    context.outcome = asyncio.run(_start_attempt(context.server))


async def _make_change(server):
    async with server:
        client = Client([server.url])
        try:
            assert (await client.call("GET", "/nodes")).ok
            return await client.call("POST", "/zones/zilina-a/out")
        finally:
            client.close()


@when("a change without a body is made on that connection")
def step_make_change(context):
    context.outcome = asyncio.run(_make_change(context.server))


@then("the worker received it once")
def step_received_once(context):
    assert len(context.server.writes) == 1, context.server.writes


@then("the attempt may have been started")
def step_may_have_started(context):
    assert isinstance(context.outcome, WorkerUnreachable), context.outcome


@then("the attempt was refused")
def step_was_refused(context):
    assert isinstance(context.outcome, WorkerRefused), context.outcome


@then("the change may have been carried out")
def step_may_be_done(context):
    outcome = context.outcome
    assert isinstance(outcome, Unreached) and outcome.sent, outcome
