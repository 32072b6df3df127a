"""The stand-in for a worker of the platform, run as a process.

It sends heartbeats to its agent and runs tasks as timers under one lease. A job's spec
says what its tasks do: `{"seconds": 0.2}`, and `"fail": true`. Every start and end is
recorded, so that a test can check what ran where and when.
"""

import asyncio
import contextlib
import json
import os
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import cyclopts
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from standins.serving import (
    CommonFaults,
    FaultInjectingHandler,
    FaultsHandler,
    Record,
    RecordHandler,
    Switches,
    listen,
    run,
)
from wagtailcleat.clock import boot_time

MILLISECONDS = 1000
MILLICORES = 1000
DRAIN_SECONDS = 0.5
"""How long a worker that is told to leave drains before it sends `leave`."""
LEAVE_TIMEOUT_SECONDS = 1.0
TICK_SECONDS = 0.01
HEARTBEAT_SECONDS = 0.3
MAX_LEASE_SECONDS = 6.0
STOP_SECONDS = 0.05
MAX_ENDS_PER_ANSWER = 500


class Faults(CommonFaults):
    """Fault switches of the worker."""

    late_seconds: float = 0.0
    """Execute calls after this delay and do not answer them; 0: at once."""
    fail: bool = False
    """Every run fails as soon as it has started."""
    draining: bool = False
    leave_seconds: float = 0.0
    """Drain, send `leave`, and end this long after it, whatever is answered; 0: not."""
    leave: bool = False
    """Drain, send `leave`, and end once that is answered."""
    heartbeat_after_leave: bool = False
    """Send another heartbeat between that answer and the end."""
    refuse_starts_after: float = 0.0
    """Answer starts 503 after this many seconds, and don't carry them out; 0: not."""
    silent: bool = False
    """Send no heartbeat and no answer; running tasks continue."""

    @property
    def drains(self) -> bool:
        """Whether heartbeats say that the worker drains."""
        return self.draining or self.leave or self.leave_seconds > 0


@dataclass
class Run:
    """A run in progress; `stops_at` is 0 unless it was asked to stop."""

    run: int
    started_at: float
    ends_at: float
    fails: bool
    stops_at: float = 0.0

    def percent(self, now: float) -> int:
        """Return how much of the run's work is done."""
        seconds = self.ends_at - self.started_at
        return min(100, int(100 * (now - self.started_at) / seconds)) if seconds else 0


@dataclass
class State:
    """The state of the worker, which is lost when its process ends.

    The one lease covers all runs. `last_closed_run_by_task` holds the highest run
    number of each task that has ended or must not start any more.
    """

    instance: str
    started_at: float = field(default_factory=boot_time)
    started_wall_ms: int = field(
        default_factory=lambda: int(time.time() * MILLISECONDS)
    )
    fence: int = 0
    lease_until: float = 0.0
    lapsed: bool = True
    run_by_task: dict[str, Run] = field(default_factory=dict)
    last_closed_run_by_task: dict[str, int] = field(default_factory=dict)
    unacknowledged_ends: list[list[Any]] = field(default_factory=list)
    last_end_number: int = 0
    record: Record = field(default_factory=Record)
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    background: set[Any] = field(default_factory=set)
    heartbeats: int = 0
    """Number of heartbeats sent."""

    def clock_ms(self) -> int:
        """Return the milliseconds since the worker started, its own clock."""
        return int((boot_time() - self.started_at) * MILLISECONDS)

    def end(self, task: str, result: str, *, late: float = 0.0) -> None:
        """End the run of a task, such as with the result `done`, `late` seconds ago."""
        ended = self.run_by_task.pop(task).run
        closed = self.last_closed_run_by_task.get(task, 0)
        self.last_closed_run_by_task[task] = max(closed, ended)
        self.last_end_number += 1
        self.unacknowledged_ends.append([self.last_end_number, task, ended, result, ""])
        self.record.add("end", time.time() - late, self.instance, task, ended, result)
        self.ended.set()
        self.ended = asyncio.Event()

    def tick(self) -> None:
        """End the runs that are due, or all runs if the lease has expired.

        A worker that was paused notices late, but it has run nothing in between.
        """
        now = boot_time()
        before = self.lapsed
        self.lapsed = self.clock_ms() >= self.lease_until * MILLISECONDS
        late = max(now - self.started_at - self.lease_until, 0.0)
        if self.lapsed and not before:
            self.record.add("lapse", time.time() - late, self.instance, "", 0, "")
        for task, running in list(self.run_by_task.items()):
            if self.lapsed:
                self.end(task, "lapsed", late=late)
            elif running.stops_at and now >= running.stops_at:
                self.end(task, "stopped")
            elif now >= running.ends_at:
                self.end(task, "failed" if running.fails else "done")


class OrderHandler(FaultInjectingHandler):
    """The base class of handlers for the agent's orders."""

    state: State

    async def prepare(self) -> None:
        """Apply the fault switches; end first what has lapsed during a pause."""
        self.state.tick()
        if self.switches.current.silent:
            await self.disconnected.wait()
            self.drop()
            return
        await super().prepare()

    def post(self) -> None:
        """Execute the order, now or after the delay that the switches set."""
        body = json.loads(self.request.body)
        if self.is_delayed(body):
            return
        answer, status = self.execute(body)
        if self.loses_answer():
            self.drop()
            return
        self.answer(answer | {"clockMs": self.state.clock_ms()}, status)

    def is_delayed(self, body: dict[str, Any]) -> bool:
        """Return whether the call gets no answer, and is executed after a delay."""
        delay = self.switches.current.late_seconds
        if delay:
            loop = asyncio.get_running_loop()
            self.state.background.add(loop.call_later(delay, self.execute, body))
            self.drop()
        return bool(delay)

    def is_fenced(self, body: dict[str, Any]) -> bool:
        """Return whether the fencing token is outdated; if not, store it."""
        if body.get("fence", 0) < self.state.fence:
            return True
        self.state.fence = body.get("fence", 0)
        return False

    def extend_lease(self, body: dict[str, Any]) -> None:
        """Extend the lease of all runs."""
        longest = boot_time() - self.state.started_at + MAX_LEASE_SECONDS
        until = min(body.get("deadlineMs", 0) / MILLISECONDS, longest)
        self.state.lease_until = max(self.state.lease_until, until)

    def execute(self, body: dict[str, Any]) -> tuple[dict[str, Any], int]:
        """Execute the order; return the answer and its HTTP status."""
        raise NotImplementedError


class StartHandler(OrderHandler):
    """`POST /run-start`."""

    async def prepare(self) -> None:
        """Refuse the start after a while, as the switches say."""
        await super().prepare()
        seconds = self.switches.current.refuse_starts_after
        if seconds:
            task, run = (
                json.loads(self.request.body)[name] for name in ("task", "run")
            )
            row = ("refusal", time.time(), self.state.instance, task, run, "")
            self.state.record.add(*row)
            await asyncio.sleep(seconds)
            self.answer({"clockMs": self.state.clock_ms()}, 503)

    def execute(self, body: dict[str, Any]) -> tuple[dict[str, Any], int]:
        """Start a run; idempotent by its task and run number."""
        state = self.state
        if self.is_fenced(body):
            return {"reason": "fence"}, 409
        task, run = body["task"], body["run"]
        running = state.run_by_task.get(task)
        if running is not None and running.run == run:
            return {}, 200
        if running is not None or run <= state.last_closed_run_by_task.get(task, 0):
            return {"reason": "old"}, 409
        if body["deadlineMs"] <= state.clock_ms():
            return {"reason": "late"}, 409
        spec = json.loads(body["spec"])
        wanted = f"{task.rpartition('.')[0]}/{state.instance}"
        if spec.get("ticketed") and body.get("ticket") != wanted:
            return {"reason": "ticket"}, 409
        self.extend_lease(body)
        fails = self.switches.current.fail or spec.get("fail", False)
        seconds = 0.0 if self.switches.current.fail else spec.get("seconds", 0.1)
        now = boot_time()
        state.run_by_task[task] = Run(run, now, now + seconds, fails)
        state.record.add("start", time.time(), state.instance, task, run, "")
        return {}, 200


class StopHandler(OrderHandler):
    """`POST /run-stop`."""

    def execute(self, body: dict[str, Any]) -> tuple[dict[str, Any], int]:
        """Stop the run, or prevent it from starting if it has not started."""
        state = self.state
        if self.is_fenced(body):
            return {"reason": "fence"}, 409
        task, run = body["task"], body["run"]
        running = state.run_by_task.get(task)
        if running is not None and running.run <= run:
            running.stops_at = running.stops_at or boot_time() + STOP_SECONDS
        closed = state.last_closed_run_by_task.get(task, 0)
        state.last_closed_run_by_task[task] = max(closed, run)
        return {}, 200


class PaceHandler(OrderHandler):
    """`POST /pace`."""

    def execute(self, body: dict[str, Any]) -> tuple[dict[str, Any], int]:
        """Record the pace of a run."""
        if self.is_fenced(body):
            return {"reason": "fence"}, 409
        row = ("pace", time.time(), self.state.instance, body["task"], body["run"])
        self.state.record.add(*row, body["percent"])
        return {}, 200


class HoldHandler(OrderHandler):
    """`POST /hold`."""

    async def post(self) -> None:
        """Extend the lease, drop acknowledged ends, and list runs and ends."""
        body = json.loads(self.request.body)
        state = self.state
        if self.is_delayed(body):
            return
        refusal, status = self.execute(body)
        if refusal:
            self.answer(refusal | {"clockMs": state.clock_ms()}, status)
            return
        wait = body.get("waitMs", 0) / MILLISECONDS
        if wait and not state.unacknowledged_ends:
            try:
                async with asyncio.timeout(wait):
                    await state.ended.wait()
            except TimeoutError:
                pass
        state.tick()
        self.answer(
            {
                "clockMs": state.clock_ms(),
                "born": state.started_wall_ms,
                "running": [
                    [t, r.run, "", r.percent(boot_time()), 0]
                    for t, r in state.run_by_task.items()
                ],
                "finished": state.unacknowledged_ends[:MAX_ENDS_PER_ANSWER],
            }
        )

    def execute(self, body: dict[str, Any]) -> tuple[dict[str, Any], int]:
        """Extend the lease, and drop the ends that are acknowledged."""
        state = self.state
        if self.is_fenced(body):
            return {"reason": "fence"}, 409
        self.extend_lease(body)
        seen = body.get("ackCursor", 0)
        if any(end[0] <= seen for end in state.unacknowledged_ends):
            state.record.add("ack", time.time(), state.instance, "", seen, "")
        state.unacknowledged_ends = [
            end for end in state.unacknowledged_ends if end[0] > seen
        ]
        return {}, 200


async def _send_heartbeats(
    state: State, switches: Switches[Faults], control: str, heartbeat: dict[str, Any]
) -> None:
    while True:
        if not switches.current.silent:
            await _send_heartbeat(state, switches.current, control, heartbeat)
        await asyncio.sleep(HEARTBEAT_SECONDS)


async def _send_heartbeat(
    state: State, faults: Faults, control: str, heartbeat: dict[str, Any]
) -> None:
    state.heartbeats += 1
    body = heartbeat | {
        "state": "draining" if faults.drains else "ready",
        "seq": state.heartbeats,
        "clockMs": state.clock_ms(),
    }
    request = HTTPRequest(
        f"http://{control}/instances/{state.instance}/heartbeat",
        method="POST",
        body=json.dumps(body),
        request_timeout=1.0,
    )
    # A lost heartbeat needs no retry, because the next one follows.
    with contextlib.suppress(OSError, HTTPClientError):
        await AsyncHTTPClient().fetch(request, raise_error=False)


async def _leave_when_told(
    state: State, switches: Switches[Faults], control: str, heartbeat: dict[str, Any]
) -> None:
    told = asyncio.Event()

    def notice(_: Faults, after: Faults) -> None:
        if after.leave or after.leave_seconds:
            told.set()

    switches.on_change = notice
    await told.wait()
    faults = switches.current
    await asyncio.sleep(DRAIN_SECONDS)
    message = HTTPRequest(
        f"http://{control}/instances/{state.instance}/leave",
        method="POST",
        body=json.dumps({"born": state.started_wall_ms}),
        request_timeout=LEAVE_TIMEOUT_SECONDS,
    )
    answer = AsyncHTTPClient().fetch(message, raise_error=False)
    if faults.leave_seconds:
        # The answer is not waited for.
        await asyncio.sleep(faults.leave_seconds)
    else:
        with contextlib.suppress(OSError, HTTPClientError):
            await answer
    if faults.heartbeat_after_leave:
        await _send_heartbeat(state, faults, control, heartbeat)
    for task in list(state.run_by_task):
        state.end(task, "terminated")
    os._exit(0)


async def _tick(state: State) -> None:
    while True:
        state.tick()
        await asyncio.sleep(TICK_SECONDS)


async def start(
    state: State,
    control: str,
    cores: float,
    kind: str,
    zone: str,
    port: int,
    announced_port: int,
) -> dict[str, Any]:
    """Serve the worker and send heartbeats to its agent's `control` address."""
    switches = Switches(Faults)
    handler_arguments = {"switches": switches, "state": state}
    routes = [
        ("/run-start", StartHandler, handler_arguments),
        ("/run-stop", StopHandler, handler_arguments),
        ("/pace", PaceHandler, handler_arguments),
        ("/hold", HoldHandler, handler_arguments),
        ("/faults", FaultsHandler, {"switches": switches}),
        ("/record", RecordHandler, {"show": lambda: {"rows": list(state.record.rows)}}),
    ]
    bound = listen(routes, port)
    heartbeat = {
        "service": "booking-core",
        "addr": f"127.0.0.1:{announced_port or bound}",
        "zone": zone,
        "version": "v1",
        "slots": 8,
        "coldLeftMs": 0,
        "born": state.started_wall_ms,
        "capacity": {"cpu": int(cores * MILLICORES), "memMb": 64_000, "gpu": 0},
        "labels": [kind, "r1"],
    }
    state.background.add(
        asyncio.create_task(_send_heartbeats(state, switches, control, heartbeat))
    )
    state.background.add(asyncio.create_task(_tick(state)))
    state.background.add(
        asyncio.create_task(_leave_when_told(state, switches, control, heartbeat))
    )
    return {"port": bound}


def main(
    *,
    instance: str,
    control: str,
    cores: float = 8.0,
    kind: str = "a",
    zone: str = "zilina-a",
    port: int = 0,
    announced_port: int = 0,
    record: Path | None = None,
) -> None:
    """Serve the worker on loopback.

    Parameters: `kind` is the first of its labels; `announced_port` replaces the port in
    heartbeats if calls come through a link; `record` is a file that keeps the record
    after this process has ended.
    """
    state = State(instance, record=Record(record))
    if record is not None:
        millicores = int(cores * MILLICORES)
        state.record.add("boot", time.time(), instance, kind, millicores, "")
    run(lambda: start(state, control, cores, kind, zone, port, announced_port))


if __name__ == "__main__":
    cyclopts.run(main)
