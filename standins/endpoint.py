"""The stand-in for a service's endpoint, run as a process.

It counts each request that it runs. The query and the fault switches determine the
answer.
"""

import asyncio
from collections import Counter
from pathlib import Path
from typing import Any

import cyclopts
import msgspec
from tornado.iostream import StreamClosedError

from standins.serving import (
    RECORD_LIMIT,
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

STATUSES_WITHOUT_BODY = (204, 304)
REQUEST_ID = "Wagtailcleat-Request-Id"


class Faults(CommonFaults):
    """Fault switches of the endpoint."""

    delay_seconds: float = 0.0
    fail_status: int = 0
    cut_body: bool = False


class Runs:
    """The requests that ran, counted by request id and by path."""

    def __init__(self, record: Record) -> None:
        """Start with no request."""
        self.record = record
        self.count_by_request_id: Counter[str] = Counter()
        self.count_by_path: Counter[str] = Counter()

    def add(self, method: str, path: str, request_id: str) -> None:
        """Count one request."""
        self.record.add(boot_time(), method, path, request_id)
        self.count_by_path[path] += 1
        if request_id:
            self.count_by_request_id[request_id] += 1
        if len(self.count_by_request_id) > RECORD_LIMIT:
            del self.count_by_request_id[next(iter(self.count_by_request_id))]

    def show(self) -> dict[str, Any]:
        """Return the requests that ran, as the record shows them."""
        return {
            "runs": list(self.record.rows),
            "count_by_request_id": self.count_by_request_id,
            "count_by_path": self.count_by_path,
        }


class ServiceHandler(FaultInjectingHandler):
    """Handles any method on any path."""

    runs: Runs

    async def run(self) -> None:
        """Count the request, then answer."""
        request = self.request
        request_id = request.headers.get(REQUEST_ID, "")
        self.runs.add(request.method, request.path, request_id)
        faults = self.switches.current
        delay = float(self.get_query_argument("delay", "0")) + faults.delay_seconds
        if delay:
            await asyncio.sleep(delay)
        if request.path == "/events":
            await self._stream_events()
            return
        wanted = int(self.get_query_argument("status", "200"))
        self.set_status(faults.fail_status or wanted)
        if self.loses_answer():
            self.drop()
        elif self.get_status() in STATUSES_WITHOUT_BODY:
            self.finish()
        elif faults.cut_body:
            await self._answer_half(self._body())
        else:
            self.finish(self._body())

    get = post = put = delete = patch = options = head = run

    def _body(self) -> bytes:
        if self.get_query_argument("echo", ""):
            return self._echo()
        size = int(self.get_query_argument("size", "-1"))
        if size >= 0:
            return b"x" * size
        return f"{self.request.method} {self.request.path}\n".encode()

    def _echo(self) -> bytes:
        request = self.request
        self.set_header("Content-Type", "application/json")
        query = {
            name: self.get_query_arguments(name) for name in request.query_arguments
        }
        echoed = {
            "method": request.method,
            "path": request.path,
            "query": query,
            "headers": dict(request.headers.get_all()),
            "body": request.body.decode("utf-8", "replace"),
        }
        return msgspec.json.encode(echoed)

    async def _answer_half(self, body: bytes) -> None:
        self.set_header("Content-Length", str(len(body)))
        self.write(body[: len(body) // 2])
        await self.flush()
        self.drop()

    async def _stream_events(self) -> None:
        count = int(self.get_query_argument("count", "0"))
        every = float(self.get_query_argument("every", "0.1"))
        number = int(self.request.headers.get("Last-Event-ID", "0"))
        self.set_header("Content-Type", "text/event-stream")
        try:
            await self.flush()
            while not self.disconnected.is_set() and (not count or number < count):
                number += 1
                self.write(f"id: {number}\ndata: event {number}\n\n")
                await self.flush()
                await asyncio.sleep(every)
            await self.finish()
        except StreamClosedError:
            return


def main(*, port: int = 0, service: str = "", record: Path | None = None) -> None:
    """Serve the endpoint on loopback; `service` appears only in the ready line."""

    async def start() -> dict[str, Any]:
        switches = Switches(Faults)
        runs = Runs(Record(record))
        state = {"switches": switches, "runs": runs}
        routes: list[Any] = [
            ("/_standin/faults", FaultsHandler, {"switches": switches}),
            ("/_standin/record", RecordHandler, {"show": runs.show}),
            (".*", ServiceHandler, state),
        ]
        return {"port": listen(routes, port), "service": service}

    run(start)


if __name__ == "__main__":
    cyclopts.run(main)
