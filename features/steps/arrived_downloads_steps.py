"""Steps on downloads that arrive while the process that reads them is stopped."""

import json
import os
import signal
import socket
import subprocess
import sys
import time

from behave import then, when

ADDRESS = "127.0.0.1"
LIMIT_SECONDS = 1.0
WAIT_SECONDS = 10.0
SETTLE_SECONDS = 0.1
"""By then the process that sent a request waits for events; less than the limit."""
DOWNLOAD = f"""
import asyncio
import json
import sys
import time

from wagtailcleat.platform.http_client import HttpClient, Reply


async def run():
    client = HttpClient(f"{ADDRESS}:{{sys.argv[1]}}")
    begun_at = time.monotonic()
    outcome = await client.download("/a", idle_timeout={LIMIT_SECONDS})
    client.close()
    body = outcome.body if isinstance(outcome, Reply) else None
    print(json.dumps([body, client.last_error, time.monotonic() - begun_at]))


asyncio.run(run())
"""


def _answer(size):
    body = json.dumps({"a": "x" * (size - len('{"a": ""}'))}).encode()
    assert len(body) == size
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + body


def _download(context, data, *, is_stopped):
    """Download `data` in another process, which is stopped beyond the limit or not."""
    with socket.create_server((ADDRESS, 0)) as listening:
        listening.settimeout(WAIT_SECONDS)
        process = subprocess.Popen(
            [sys.executable, "-c", DOWNLOAD, str(listening.getsockname()[1])],
            stdout=subprocess.PIPE,
        )
        try:
            connection, _ = listening.accept()
            with connection:
                connection.settimeout(WAIT_SECONDS)
                connection.recv(65536)
                if is_stopped:
                    time.sleep(SETTLE_SECONDS)
                    process.send_signal(signal.SIGSTOP)
                    os.waitpid(process.pid, os.WUNTRACED)
                connection.sendall(data)
                if is_stopped:
                    time.sleep(2 * LIMIT_SECONDS)
                    process.send_signal(signal.SIGCONT)
                output, _ = process.communicate(timeout=WAIT_SECONDS)
        finally:
            process.kill()
            process.wait()
    context.body, context.last_error, context.seconds = json.loads(output)


@when("a download of {size:d} bytes arrives while its process is stopped")
def step_stop_process(context, size):
    _download(context, _answer(size), is_stopped=True)


@then("that download has {size:d} bytes")
def step_has_all(context, size):
    assert context.body is not None, context.last_error
    assert len(json.dumps(context.body)) == size


@when("a download of {size:d} bytes breaks off after {sent:d} bytes")
def step_break_off(context, size, sent):
    _download(context, _answer(size)[:sent], is_stopped=False)


@then("that download is lost after {least:g} s to {most:g} s")
def step_lost(context, least, most):
    assert context.body is None
    assert least <= context.seconds <= most, context.seconds
