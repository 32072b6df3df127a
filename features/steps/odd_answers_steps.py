"""Steps on answers that can't be read."""

import asyncio
import contextlib
import math

from behave import then

from features.steps.odd_values import DEPTH
from wagtailcleat.platform.advice import AdviceService
from wagtailcleat.platform.http_client import NoAnswer
from wagtailcleat.platform.keyvalue import KeyValueStore
from wagtailcleat.platform.runs import RunList, RunWorker
from wagtailcleat.scheduling.advice import Question
from wagtailcleat.scheduling.interference import Interference, Reading
from wagtailcleat.storage import Txn, Unavailable, Unknown

CALL_SECONDS = 1.0
BODY_BY_NAME = {"100000 nested lists": "[" * DEPTH + "]" * DEPTH, "nothing": ""}


def _serve(body):
    """Return a handler of connections that answers each request with a body."""
    answer = body.encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(answer)}\r\n\r\n".encode()

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                for line in request.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        await reader.readexactly(int(line.split(b":")[1]))
                writer.write(head + answer)
        writer.close()

    return serve


async def _outcomes(body):
    server = await asyncio.start_server(_serve(body), "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    loop = asyncio.get_running_loop()
    store = KeyValueStore(address, clock=loop.time, call_seconds=CALL_SECONDS)
    worker = RunWorker(address, "i-1", fence=1, call_seconds=CALL_SECONDS)
    advice = AdviceService(address)
    async with server:
        outcomes = {
            "get": await store.get("a"),
            "list": await store.list("a"),
            "write": await store.write(Txn([], {"a": b""})),
            "changes": await store.changes("a", 0, wait_seconds=0.1),
            "runs": await worker.list(acknowledged=0, until=None, wait_seconds=0.0),
            "advice": await advice.ask(Question("a", (0, 0), ()), timeout=CALL_SECONDS),
        }
        for client in (store, worker, advice):
            client.close()
        ended = asyncio.all_tasks() - {asyncio.current_task()}
        await asyncio.wait(ended, timeout=CALL_SECONDS)
    return outcomes


@then("each call that is answered {body} returns an outcome, none a value from it")
def step_outcomes(context, body):
    outcomes = asyncio.run(_outcomes(BODY_BY_NAME.get(body, body)))
    assert isinstance(outcomes["get"], Unavailable), outcomes
    assert isinstance(outcomes["list"], Unavailable), outcomes
    if "storeRevision" not in body or "events" in body:
        assert isinstance(outcomes["changes"], Unavailable), outcomes
    if '"rev": 1}' not in body or "items" in body:
        assert isinstance(outcomes["write"], Unknown), outcomes
    assert outcomes["runs"] is NoAnswer.LOST, outcomes
    if "granted" in body:
        assert outcomes["advice"] is None, outcomes


def _measured(value):
    body = f'{{"clockMs": 1, "running": [["a.0.0.0", 1, "", 41, {value}]]}}'
    listed = asyncio.run(_outcomes(body))["runs"]
    assert isinstance(listed, RunList), listed
    return listed.running[0].measurement


@then("a list with a measurement of {value} is read, with {measurement:g} in its place")
def step_measurement(context, value, measurement):
    assert _measured(value) == measurement, value


@then("a leader learns interference from any measurement that is read")
def step_learns(context):
    for value in ("-1e300", "5e-324", "1e-310", "1e9", "1e154", "1e300", "1e308"):
        share = _measured(value)
        interference = Interference()
        for second in range(3):
            reading = Reading("job-1", "s", 0.5, {"f": share}, 1.0 + second)
            assert math.isfinite(interference.learn(reading)), value
