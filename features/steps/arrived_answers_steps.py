"""Steps on answers that arrive while the process that waits for them stands still."""

import asyncio
import contextlib
import socket
import threading
import time

from behave import then, when

from wagtailcleat.agent.endpoint import Endpoint, EndpointAnswer
from wagtailcleat.clock import boot_time
from wagtailcleat.ids import Incarnation, RequestId, ServiceName
from wagtailcleat.platform.http_client import HttpClient, NoAnswer, Reply
from wagtailcleat.platform.runs import RunList, RunWorker
from wagtailcleat.platform.store import Absent, Store
from wagtailcleat.wire.requests import ServiceRequest

ADDRESS = "127.0.0.1"
LIMIT_SECONDS = 1.0
WAIT_SECONDS = 10.0
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
RUN_LIST = b'{"clockMs": 1, "running": [], "finished": []}'


class _Server:
    """Reads one request, answers it once `answer` is called, and waits for the end."""

    def __init__(self, loop):
        self.has_read = asyncio.Event()
        self.has_ended = asyncio.Event()
        self._loop = loop
        self._listening = socket.create_server((ADDRESS, 0))
        self.port = self._listening.getsockname()[1]
        self._connection = None
        threading.Thread(target=self._run, daemon=True).start()

    def answer(self, body=b"{}"):
        self._connection.sendall(HEAD % len(body) + body)

    def _run(self):
        self._connection, _ = self._listening.accept()
        with self._listening, self._connection:
            self._connection.recv(65536)
            self._loop.call_soon_threadsafe(self.has_read.set)
            while self._connection.recv(65536):
                pass
            # The loop may have ended after the call.
            with contextlib.suppress(RuntimeError):
                self._loop.call_soon_threadsafe(self.has_ended.set)


def _worker_call(port):
    client = HttpClient(f"{ADDRESS}:{port}")
    return client, client.call("POST", "/start", {"a": 1}, timeout=LIMIT_SECONDS)


def _store_call(port):
    url = f"http://{ADDRESS}:{port}"
    client = Store([url], clock=boot_time, call_seconds=LIMIT_SECONDS)
    return client, client.get("a")


def _endpoint_call(port):
    url = f"http://{ADDRESS}:{port}"
    client = Endpoint(url, connections=1, max_answer_bytes=1000)
    request = ServiceRequest(
        id=RequestId("r"),
        service=ServiceName("booking-core"),
        method="POST",
        path="/hold",
        headers=[],
        body=b"1",
        deadline=boot_time() + WAIT_SECONDS,
        incarnation=Incarnation(1),
    )
    return client, client.run(request, LIMIT_SECONDS)


CALL_BY_NAME = {
    "a call of a worker": _worker_call,
    "a call of the store": _store_call,
    "a request to an endpoint": _endpoint_call,
}


def _is_answer(outcome):
    return isinstance(outcome, Reply | Absent | EndpointAnswer)


@when("{call} is answered while its process stands still until after the time limit")
def step_stand_still(context, call):
    async def run():
        server = _Server(asyncio.get_running_loop())
        begun_at = time.monotonic()
        client, calling = CALL_BY_NAME[call](server.port)
        try:
            outcome = asyncio.ensure_future(calling)
            await asyncio.wait_for(server.has_read.wait(), WAIT_SECONDS)
            server.answer()
            # The event loop stands still, as in a process that is suspended.
            seconds = begun_at + 2 * LIMIT_SECONDS - time.monotonic()
            threading.Event().wait(max(0.0, seconds))
            return await outcome
        finally:
            client.close()

    context.outcome = asyncio.run(run())


@when("a list of runs is answered, and its process stands still for {seconds:g} s")
def step_late_list(context, seconds):
    async def run():
        server = _Server(asyncio.get_running_loop())
        worker = RunWorker(f"{ADDRESS}:{server.port}", "i-1", fence=1, call_seconds=1.0)
        try:
            listing = asyncio.ensure_future(
                worker.list(acknowledged=0, until=None, wait_seconds=LIMIT_SECONDS)
            )
            await asyncio.wait_for(server.has_read.wait(), WAIT_SECONDS)
            server.answer(RUN_LIST)
            threading.Event().wait(seconds)
            return await listing
        finally:
            worker.close()

    context.outcome = asyncio.run(run())


@then("that list counts as lost")
def step_list_lost(context):
    assert context.outcome is NoAnswer.LOST, context.outcome


@then("that list is read")
def step_list_read(context):
    assert isinstance(context.outcome, RunList), context.outcome


@then("that call returns the answer")
def step_answered(context):
    assert _is_answer(context.outcome), context.outcome


@when("{call} is made of a silent server with a time limit of {seconds:g} s")
def step_call(context, call, seconds):
    assert seconds == LIMIT_SECONDS

    async def run():
        server = _Server(asyncio.get_running_loop())
        begun_at = time.monotonic()
        client, calling = CALL_BY_NAME[call](server.port)
        try:
            context.outcome = await calling
            context.call_seconds = time.monotonic() - begun_at
            await asyncio.wait_for(server.has_ended.wait(), WAIT_SECONDS)
            context.connection_seconds = time.monotonic() - begun_at
        finally:
            client.close()

    asyncio.run(run())


@then("that call has no answer after {least:g} s to {most:g} s")
def step_in_time(context, least, most):
    assert not _is_answer(context.outcome), context.outcome
    assert least <= context.call_seconds <= most, context.call_seconds


@then("its connection has ended by then")
def step_connection_ended(context):
    assert context.connection_seconds - context.call_seconds <= LIMIT_SECONDS
