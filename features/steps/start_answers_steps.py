"""Steps on the answers to a start, with a worker that is a plain TCP server."""

import asyncio
import json

from behave import given, then, when

from wagtailcleat.ids import JobId
from wagtailcleat.platform.runs import OtherIncarnation, RunWorker, StartOutcome
from wagtailcleat.scheduling.models import Refusal, RunKey, Start, TaskKey

HOST = "127.0.1.11"
KEPT = 1
"""Number of the run whose start is answered, so that its connection is kept."""
UNANSWERED = 2
"""Number of the run whose start is received on the kept connection."""
OUTCOME_BY_TEXT = {
    "started": lambda outcome: outcome is StartOutcome.STARTED,
    "unknown": lambda outcome: outcome is StartOutcome.UNKNOWN,
    "refused": lambda outcome: isinstance(outcome, Refusal),
    "another": lambda outcome: isinstance(outcome, OtherIncarnation),
}


async def _read_run(reader) -> int:
    """Return the run number in the next start; 0 at the end of the connection."""
    length = 0
    while line := (await reader.readline()).strip():
        name, _, value = line.decode().partition(":")
        if name.lower() == "content-length":
            length = int(value)
    if not length:
        return 0
    return json.loads(await reader.readexactly(length))["run"]


def _answer(code: int) -> bytes:
    body = json.dumps({"clockMs": 1000}).encode()
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (code, len(body), body)


async def _start_runs(received: list[int], code: int, runs: list[int]) -> list:
    """Return the outcomes; `received` gets the number of each start that arrived.

    Each start is answered with `code`, except that of the unanswered run when it comes
    on a connection that has carried another one.
    """
    connections = set()

    async def serve(reader, writer):
        connections.add(asyncio.current_task())
        kept = False
        while run := await _read_run(reader):
            received.append(run)
            if run == UNANSWERED and kept:
                break
            kept = True
            writer.write(_answer(200 if run == KEPT else code))
        writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    worker = RunWorker(f"{HOST}:{port}", "i-1", fence=1, call_seconds=5.0)
    task = TaskKey(JobId("00ff00ff00ff00ff"), 0, 0, 0)
    try:
        return [
            await worker.start(Start(RunKey(task, run), "x"), until=10.0)
            for run in runs
        ]
    finally:
        worker.close()
        server.close()
        await asyncio.gather(*connections)


@given("a worker that closes a kept connection after it has received a start")
def step_closing_worker(context):
    context.code, context.runs = 503, [KEPT, UNANSWERED]


@given("a worker that answers starts with status {code:d}")
def step_answering_worker(context, code):
    context.code, context.runs = code, [UNANSWERED]


@when("a run is started")
@when("a run is started on that connection")
def step_start_runs(context):
    context.received = []
    started = _start_runs(context.received, context.code, context.runs)
    context.outcome = asyncio.run(started)[-1]


@then("the start was received once")
def step_received_once(context):
    assert context.received.count(UNANSWERED) == 1, context.received


@then("its outcome is {text}")
def step_outcome(context, text):
    assert OUTCOME_BY_TEXT[text](context.outcome), context.outcome
