"""Stand-in for the platform's workers and its advice service, as one process.

It follows PROTOCOL.md: fencing tokens, one lease for all runs of a worker, gangs that
work only while all members are present, tickets of advised queues. Nothing is lost,
late or refused here unless the page says so. The spec of a job is JSON that says what
its tasks do, see `Behaviour`. Each start, end and question is appended to a file, one
JSON row a line.
"""

import asyncio
import json
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

MILLISECONDS = 1000
TICK_SECONDS = 0.02
HEARTBEAT_SECONDS = 1.1
STOP_SECONDS = 0.2
MAX_LISTED_ENDS = 500
BUSY_SHARE_OF_TARGET = 0.4
"""Tail latency of a serving task that nothing disturbs, as a share of its target."""


class Behaviour(msgspec.Struct):
    """What the tasks of a job do; its spec is this as JSON.

    `members` is the size of a gang, 0 for other tasks; `advised` tells that a start
    needs a ticket; `target_ms` is that of a serving task; `pad` only makes it longer.
    """

    seconds: float = 1.0
    lasting: bool = False
    members: int = 0
    advised: bool = False
    target_ms: float = 0.0
    cpu: int = 0
    pad: str = ""


class Settings(msgspec.Struct):
    """The settings of this process, read from a JSON file."""

    hosts: list[str]
    """Addresses of the workers, each that of its agent."""
    zones: list[str]
    worker_port: int
    control_port: int
    advice: str
    service: str
    cpu: int
    memory_mb: int
    hold_max_seconds: float
    gang_wait_seconds: float
    decide_seconds: float
    period_seconds: float
    valid_seconds: float
    rows: str


@dataclass(eq=False)
class Run:
    """A run in progress; `step` and `number` identify its gang."""

    task: str
    number: int
    behaviour: Behaviour
    present_at: float
    works_since: float | None
    stops_at: float | None = None

    @property
    def step(self) -> str:
        """Return the step's name, ID.K.STEP."""
        return self.task.rpartition(".")[0]

    def percent(self, now: float) -> int:
        """Return the progress; a lasting task is at work when it is 100."""
        if self.works_since is None:
            return 0
        if self.behaviour.lasting:
            return 100
        worked = now - self.works_since
        return min(100, int(100 * worked / max(self.behaviour.seconds, 0.01)))

    def measurement(self) -> int:
        """Return the tail latency of a serving task, else the cpu in use."""
        if self.behaviour.target_ms:
            return int(BUSY_SHARE_OF_TARGET * self.behaviour.target_ms)
        return self.behaviour.cpu


@dataclass(eq=False)
class Worker:
    """One worker; its clock starts at 0."""

    platform: "Platform"
    number: int
    started_at: float = field(default_factory=time.monotonic)
    born: int = field(default_factory=lambda: int(time.time() * MILLISECONDS))
    fence: int = 0
    lease_until: float = 0.0
    run_by_task: dict[str, Run] = field(default_factory=dict)
    closed_by_task: dict[str, int] = field(default_factory=dict)
    ends: list[list[Any]] = field(default_factory=list)
    last_end: int = 0
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def id(self) -> str:
        """Return the worker's id."""
        return f"i-{self.number}"

    def clock(self) -> float:
        """Return the seconds on the worker's own clock."""
        return time.monotonic() - self.started_at

    def extend(self, deadline_ms: float) -> None:
        """Extend the lease, never beyond the longest one."""
        most = self.clock() + self.platform.settings.hold_max_seconds
        self.lease_until = max(self.lease_until, min(deadline_ms / MILLISECONDS, most))

    def end(self, task: str, how: str) -> None:
        """End a run, and what else ends with it if it was a member of a gang."""
        run = self.run_by_task.pop(task)
        closed = self.closed_by_task.get(task, 0)
        self.closed_by_task[task] = max(closed, run.number)
        self.last_end += 1
        self.ends.append([self.last_end, task, run.number, how, ""])
        self.platform.note("end", self.id, task, run.number, how)
        self.ended.set()
        self.ended = asyncio.Event()
        if run.behaviour.members:
            self.platform.leave_gang(self, run, how)

    def tick(self, now: float) -> None:
        """End what is due."""
        if self.clock() >= self.lease_until:
            for task in list(self.run_by_task):
                if task in self.run_by_task:
                    self.end(task, "lapsed")
            return
        for task, run in list(self.run_by_task.items()):
            if task in self.run_by_task and (how := self._due(run, now)):
                self.end(task, how)

    def _due(self, run: Run, now: float) -> str:
        if run.stops_at is not None and now >= run.stops_at:
            return "stopped"
        if run.works_since is None:
            waited = now - run.present_at
            return "alone" if waited > self.platform.settings.gang_wait_seconds else ""
        is_over = now - run.works_since >= run.behaviour.seconds
        return "done" if is_over and not run.behaviour.lasting else ""

    def start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Carry out `/run-start`."""
        task, number = body["task"], body["run"]
        running = self.run_by_task.get(task)
        if running is not None and running.number == number:
            return 200, {}
        if running is not None or number <= self.closed_by_task.get(task, 0):
            self.extend(body["deadlineMs"])
            return 409, {"reason": "old"}
        if body["deadlineMs"] <= self.clock() * MILLISECONDS:
            return 409, {"reason": "late"}
        behaviour = msgspec.json.decode(body["spec"], type=Behaviour)
        step = task.rpartition(".")[0]
        if behaviour.advised and not self._permits(body.get("ticket", ""), step):
            return 409, {"reason": "ticket"}
        self.extend(body["deadlineMs"])
        now = time.monotonic()
        works_since = None if behaviour.members else now
        run = Run(task, number, behaviour, now, works_since)
        self.run_by_task[task] = run
        if behaviour.members:
            self.platform.join_gang(self, run)
        self.platform.note("start", self.id, task, number, "")
        return 200, {}

    def _permits(self, ticket: str, step: str) -> bool:
        named, _, until = ticket.rpartition("|")
        is_ours = named == f"{step}|{self.id}|{self.born}"
        return is_ours and float(until) >= time.monotonic()

    def stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Carry out `/run-stop`."""
        task, number = body["task"], body["run"]
        running = self.run_by_task.get(task)
        if running is not None and running.number <= number:
            running.stops_at = running.stops_at or time.monotonic() + STOP_SECONDS
        self.closed_by_task[task] = max(self.closed_by_task.get(task, 0), number)
        return 200, {}

    def hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Renew the lease and forget the ends that are taken note of."""
        self.extend(body.get("deadlineMs", 0))
        seen = body.get("ackCursor", 0)
        self.ends = [end for end in self.ends if end[0] > seen]
        return 200, {}

    def lists(self) -> dict[str, Any]:
        """Return the lists of runs in progress and of ends."""
        now = time.monotonic()
        running = [
            [run.task, run.number, "", run.percent(now), run.measurement()]
            for run in self.run_by_task.values()
        ]
        finished = self.ends[:MAX_LISTED_ENDS]
        return {"born": self.born, "running": running, "finished": finished}


class Platform:
    """All workers, the advice service and the rows that are recorded."""

    def __init__(self, settings: Settings, rows: TextIO) -> None:
        """Create the workers; what happens is written to `rows`."""
        self.settings = settings
        self.workers = [Worker(self, n) for n in range(len(settings.hosts))]
        self._gang_by_run: dict[tuple[str, int], list[tuple[Worker, Run]]] = {}
        """The present members of each gang, by step and run number."""
        self.advising = asyncio.Lock()
        self.waiting_calls = 0
        self._rows = rows

    def note(self, *row: Any) -> None:
        """Append a row: kind, and what it is about, after the time."""
        self._rows.write(json.dumps([round(time.time(), 3), *row]) + "\n")

    def join_gang(self, worker: Worker, run: Run) -> None:
        """Add a member; the gang works from the moment when all are present."""
        gang = self._gang_by_run.setdefault((run.step, run.number), [])
        gang.append((worker, run))
        if len(gang) == run.behaviour.members:
            now = time.monotonic()
            for _, member in gang:
                member.works_since = now

    def leave_gang(self, worker: Worker, run: Run, how: str) -> None:
        """Remove a member that has ended, and end the others unless it was alone."""
        if how == "alone":
            gang = self._gang_by_run.get((run.step, run.number), [])
            if (worker, run) in gang:
                gang.remove((worker, run))
            return
        for other, member in self._gang_by_run.pop((run.step, run.number), []):
            if other.run_by_task.get(member.task) is member:
                other.end(member.task, "done" if how == "done" else "broken")

    async def send_heartbeats(self, worker: Worker) -> None:
        """Send the heartbeats of a worker until cancelled."""
        settings, number = self.settings, worker.number
        host = settings.hosts[number]
        sequence = 0
        while True:
            sequence += 1
            body = {
                "service": settings.service,
                "addr": f"{host}:{settings.worker_port}",
                "zone": settings.zones[number],
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldLeftMs": 0,
                "born": worker.born,
                "capacity": {
                    "cpu": settings.cpu,
                    "memMb": settings.memory_mb,
                    "gpu": 0,
                },
                "labels": ["a", f"r1-{number // 3}"],
                "clockMs": int(worker.clock() * MILLISECONDS),
                "seq": sequence,
            }
            control = f"http://{host}:{settings.control_port}"
            request = HTTPRequest(
                f"{control}/instances/{worker.id}/heartbeat",
                method="POST",
                body=json.dumps(body),
                request_timeout=1.0,
            )
            try:
                await AsyncHTTPClient().fetch(request, raise_error=False)
            except (OSError, HTTPClientError):
                await asyncio.sleep(HEARTBEAT_SECONDS / 4)
                continue
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def tick(self) -> None:
        """End runs that are due until cancelled."""
        while True:
            for worker in self.workers:
                worker.tick(time.monotonic())
            await asyncio.sleep(TICK_SECONDS)


class WorkerHandler(RequestHandler):
    """The calls of an agent to its worker."""

    def initialize(self, worker: Worker) -> None:
        """Store the worker."""
        self.worker = worker

    async def post(self, call: str) -> None:
        """Carry out a call."""
        worker, body = self.worker, json.loads(self.request.body)
        worker.tick(time.monotonic())
        expected = self.request.headers.get("Wagtailcleat-Expect-Instance", worker.id)
        if expected != worker.id:
            self._answer(421, {})
            return
        if body.get("fence", 0) < worker.fence:
            self._answer(409, {"reason": "fence"})
            return
        worker.fence = body.get("fence", 0)
        if call == "run-start":
            self._answer(*worker.start(body))
        elif call == "run-stop":
            self._answer(*worker.stop(body))
        elif call == "hold":
            worker.hold(body)
            await self._wait_for_end(body.get("waitMs", 0) / MILLISECONDS)
            self._answer(200, worker.lists())
        else:
            self._answer(200, {})

    async def _wait_for_end(self, seconds: float) -> None:
        if not seconds or self.worker.ends:
            return
        try:
            async with asyncio.timeout(seconds):
                await self.worker.ended.wait()
        except TimeoutError:
            return

    def _answer(self, status: int, body: dict[str, Any]) -> None:
        self.set_status(status)
        clock_ms = int(self.worker.clock() * MILLISECONDS)
        self.finish(body | {"clockMs": clock_ms})


class AdviceHandler(RequestHandler):
    """`POST /advise`: every worker named is granted, after the time that takes."""

    MAX_WAITING = 32

    def initialize(self, platform: Platform) -> None:
        """Store the platform."""
        self.platform = platform

    async def post(self) -> None:
        """Answer one call after the other."""
        platform, body = self.platform, json.loads(self.request.body)
        if platform.waiting_calls >= self.MAX_WAITING:
            self.set_status(429)
            self.finish({})
            return
        platform.waiting_calls += 1
        async with platform.advising:
            settings, named = platform.settings, body["workers"]
            seconds = settings.decide_seconds + settings.period_seconds * len(named)
            await asyncio.sleep(seconds)
        platform.waiting_calls -= 1
        platform.note("advised", body["step"], len(named), round(seconds, 3))
        until = time.monotonic() + settings.valid_seconds
        granted = [
            [worker.id, f"{body['step']}|{worker.id}|{worker.born}|{until}"]
            for worker in platform.workers
            if worker.id in named
        ]
        valid_ms = int(settings.valid_seconds * MILLISECONDS)
        self.finish({"granted": granted, "validMs": valid_ms})


async def serve(settings: Settings, rows: TextIO) -> None:
    """Serve until the process is told to end."""
    platform = Platform(settings, rows)
    for worker in platform.workers:
        routes = [(r"/([a-z-]+)", WorkerHandler, {"worker": worker})]
        server = HTTPServer(Application(routes, log_function=lambda handler: None))
        server.listen(settings.worker_port, settings.hosts[worker.number])
    host, _, port = settings.advice.rpartition(":")
    routes = [(r"/advise", AdviceHandler, {"platform": platform})]
    advice = HTTPServer(Application(routes, log_function=lambda handler: None))
    advice.listen(int(port), host)
    print("ready {}", flush=True)
    await asyncio.gather(
        platform.tick(), *map(platform.send_heartbeats, platform.workers)
    )


if __name__ == "__main__":
    given = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Settings)
    with Path(given.rows).open("a", buffering=1) as recorded:
        asyncio.run(serve(given, recorded))
