"""Client of the platform's worker on this VM.

Outcomes are values. The worker shares the VM's clock, so a lease is an instant on
it: a start that arrives after its lease lapsed is refused by the worker itself,
which closes the gap between a check here and the act there.
"""

import json
from dataclasses import dataclass
from enum import Enum
from typing import Any
from urllib.parse import quote

import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from wagtailcleat.ids import AttemptId
from wagtailcleat.resources import Resources

CONNECT_SECONDS = 1.0
CALL_SECONDS = 3.0


class TaskState(Enum):
    """How a task stands at the worker."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


class WorkerTask(msgspec.Struct, frozen=True):
    """A task as the worker lists it; `lease_until` is on the VM's clock."""

    id: str
    state: TaskState
    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0
    checkpoint: str = ""
    lease_until: float = 0.0
    exit_code: int | None = None

    @property
    def attempt(self) -> AttemptId:
        """The attempt that the task runs."""
        return AttemptId(self.id.replace("~", "/"))

    @property
    def size(self) -> Resources:
        """What the task takes."""
        return Resources(self.cores, self.memory_mb, self.accelerators)


class WorkerUsage(msgspec.Struct, frozen=True):
    """What ran used, as of `lag_seconds` ago."""

    measured_at: float
    lag_seconds: float
    tasks_by_id: dict[str, dict[str, float]] = {}
    services_by_name: dict[str, dict[str, float]] = {}


@dataclass(frozen=True)
class WorkerUnreachable:
    """The worker did not answer; what was asked may have been done."""

    reason: str


@dataclass(frozen=True)
class WorkerRefused:
    """The worker did not do it; `code` says why."""

    code: str


class Worker:
    """The worker beside this process."""

    def __init__(self, url: str) -> None:
        """Call the worker at `url`."""
        self._url = url
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=32)

    def close(self) -> None:
        """Close the client's connections."""
        self._client.close()

    async def tasks(self) -> list[WorkerTask] | WorkerUnreachable:
        """Return all tasks, ended ones too until they are forgotten."""
        answer = await self._call("GET", "/tasks")
        if not isinstance(answer, dict):
            return WorkerUnreachable(str(answer))
        return msgspec.convert(answer["tasks"], list[WorkerTask])

    async def capacity(self) -> Resources | WorkerUnreachable:
        """Return all that the worker can run at one time."""
        answer = await self._call("GET", "/capacity")
        if not isinstance(answer, dict):
            return WorkerUnreachable(str(answer))
        return Resources(
            answer["cores"], answer["memory_mb"], answer.get("accelerators", 0)
        )

    async def start(
        self,
        attempt: AttemptId,
        command: str,
        size: Resources,
        *,
        lease_until: float,
        checkpoint: str = "",
    ) -> WorkerTask | WorkerRefused | WorkerUnreachable:
        """Start an attempt; idempotent by its id."""
        body = {
            "command": command,
            "cores": size.cores,
            "memory_mb": size.memory_mb,
            "accelerators": size.accelerators,
            "lease_until": lease_until,
        }
        if checkpoint:
            body["checkpoint"] = checkpoint
        answer = await self._call("PUT", _path(attempt), body)
        return msgspec.convert(answer, WorkerTask) if _is_task(answer) else answer

    async def renew(
        self, lease_until_by_attempt: dict[AttemptId, float]
    ) -> list[AttemptId] | WorkerUnreachable:
        """Lengthen leases; return the attempts that the worker does not run."""
        body = {_task_id(a): until for a, until in lease_until_by_attempt.items()}
        answer = await self._call("POST", "/leases", {"lease_until_by_id": body})
        if not isinstance(answer, dict):
            return WorkerUnreachable(str(answer))
        return [AttemptId(i.replace("~", "/")) for i in answer.get("unknown", [])]

    async def stop(
        self, attempt: AttemptId, *, checkpoint: bool
    ) -> WorkerTask | WorkerRefused | WorkerUnreachable:
        """Stop an attempt, taking a checkpoint first where asked to."""
        path = f"{_path(attempt)}/stop"
        answer = await self._call("POST", path, {"checkpoint": checkpoint})
        return msgspec.convert(answer, WorkerTask) if _is_task(answer) else answer

    async def throttle(
        self, attempt: AttemptId, share: float
    ) -> WorkerTask | WorkerRefused | WorkerUnreachable:
        """Hold an attempt to `share` of its cores."""
        answer = await self._call(
            "POST", f"{_path(attempt)}/throttle", {"share": share}
        )
        return msgspec.convert(answer, WorkerTask) if _is_task(answer) else answer

    async def forget(self, attempt: AttemptId) -> None:
        """Let the worker drop an ended attempt from its list."""
        await self._call("DELETE", _path(attempt))

    async def usage(self) -> WorkerUsage | WorkerUnreachable:
        """Return the lagged usage of tasks and services."""
        answer = await self._call("GET", "/usage")
        if not isinstance(answer, dict):
            return WorkerUnreachable(str(answer))
        return msgspec.convert(answer, WorkerUsage)

    async def _call(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> Any:
        request = HTTPRequest(
            self._url + path,
            method=method,
            body=None if body is None else json.dumps(body),
            connect_timeout=CONNECT_SECONDS,
            request_timeout=CALL_SECONDS,
            allow_nonstandard_methods=True,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
            if response.code == 599:
                return WorkerUnreachable(str(response.error))
            answer = json.loads(response.body or b"{}")
        except (HTTPClientError, OSError, ValueError) as error:
            return WorkerUnreachable(str(error))
        if response.code >= 400 and isinstance(answer, dict) and "code" in answer:
            return WorkerRefused(str(answer["code"]))
        if response.code >= 400:
            # No refusal of the worker's own: the call may have been carried out.
            return WorkerUnreachable(str(response.code))
        return answer


def _is_task(answer: Any) -> bool:
    return isinstance(answer, dict)


def _task_id(attempt: AttemptId) -> str:
    return attempt.replace("/", "~")


def _path(attempt: AttemptId) -> str:
    return f"/tasks/{quote(_task_id(attempt), safe='~')}"
