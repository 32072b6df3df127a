"""A stand-in for a worker that drains and leaves, run as a process.

It behaves as `standins.platform_worker` does until it gets SIGUSR1. Then it reports
`draining`, goes on for the drain time after the ack, sends `leave` and ends. If `leave`
gets no ack, it ends anyway, some seconds later; its runs go on until then.
"""

import asyncio
import json
import os
import signal
import time
from pathlib import Path
from typing import Any

import cyclopts
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from standins.platform_worker import (
    Faults,
    HoldHandler,
    PaceHandler,
    StartHandler,
    State,
    StopHandler,
)
from standins.serving import Record, Switches, listen, run

HEARTBEAT_SECONDS = 1.1
"""`heartbeatMs` of the settings."""
ACK_SECONDS = 1.0
"""How long an ack may take to arrive."""
DRAIN_SECONDS = 2.5
"""`drainMs`, and a little longer."""
LINGER_SECONDS = 4.0
"""How long after a `leave` without an ack the worker ends: "some seconds later"."""
TICK_SECONDS = 0.01
RETRY_PAUSE_SECONDS = 0.1


class LeavingWorker:
    """The worker's calls to the system, and its end."""

    def __init__(self, state: State, control: str, body: dict[str, Any]) -> None:
        """Report to `control`; `body` has the fixed fields of a heartbeat."""
        self.drains = asyncio.Event()
        self._state = state
        self._url = f"http://{control}/instances/{state.instance}"
        self._body = body
        self._sequence = 0

    async def _post(self, path: str, body: dict[str, Any]) -> bool:
        request = HTTPRequest(
            f"{self._url}/{path}",
            method="POST",
            body=json.dumps(body),
            request_timeout=ACK_SECONDS,
        )
        try:
            answer = await AsyncHTTPClient().fetch(request, raise_error=False)
        except (OSError, HTTPClientError):
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
            return False
        return 200 <= answer.code < 300

    async def _beat(self, shown: str) -> bool:
        self._sequence += 1
        fields = {
            "state": shown,
            "seq": self._sequence,
            "clockMs": self._state.clock_ms(),
        }
        if shown == "draining":
            fields["remainingMs"] = int(DRAIN_SECONDS * 1000)
        return await self._post("heartbeat", self._body | fields)

    def _note(self, kind: str, result: str = "") -> None:
        self._state.record.add(kind, time.time(), self._state.instance, "", 0, result)

    async def run(self) -> None:
        """Send heartbeats until the worker is to leave; then drain and leave."""
        while not self.drains.is_set():
            await self._beat("ready")
            try:
                async with asyncio.timeout(HEARTBEAT_SECONDS):
                    await self.drains.wait()
            except TimeoutError:
                pass
        self._note("draining")
        acknowledged = False
        while not acknowledged:
            acknowledged = await self._beat("draining")
        self._note("draining acknowledged")
        await asyncio.sleep(DRAIN_SECONDS)
        self._note("leave sent")
        if await self._post("leave", {"born": self._state.started_wall_ms}):
            self._note("leave acknowledged")
        else:
            self._note("leave not acknowledged")
            await asyncio.sleep(LINGER_SECONDS)
        for task in list(self._state.run_by_task):
            self._state.end(task, "terminated")
        self._note("worker ends")
        os._exit(0)


async def _tick(state: State) -> None:
    while True:
        state.tick()
        await asyncio.sleep(TICK_SECONDS)


async def start(
    state: State, control: str, cores: float, zone: str, port: int
) -> dict[str, Any]:
    """Serve the worker and report to its agent's `control` address."""
    arguments = {"switches": Switches(Faults), "state": state}
    routes = [
        ("/run-start", StartHandler, arguments),
        ("/run-stop", StopHandler, arguments),
        ("/pace", PaceHandler, arguments),
        ("/hold", HoldHandler, arguments),
    ]
    bound = listen(routes, port)
    body = {
        "service": "booking-core",
        "addr": f"127.0.0.1:{bound}",
        "zone": zone,
        "version": "v1",
        "slots": 8,
        "coldLeftMs": 0,
        "born": state.started_wall_ms,
        "capacity": {"cpu": int(cores * 1000), "memMb": 64_000, "gpu": 0},
        "labels": ["a", "r1"],
    }
    worker = LeavingWorker(state, control, body)
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, worker.drains.set)
    state.background.add(asyncio.create_task(worker.run()))
    state.background.add(asyncio.create_task(_tick(state)))
    return {"port": bound}


def main(
    *,
    instance: str,
    control: str,
    record: Path,
    cores: float = 8.0,
    zone: str = "zilina-a",
    port: int = 0,
) -> None:
    """Serve the worker on loopback; `record` is a file that keeps the record."""
    state = State(instance, record=Record(record))
    run(lambda: start(state, control, cores, zone, port))


if __name__ == "__main__":
    cyclopts.run(main)
