"""Client of the worker on this VM, for the agent of `wagtailcleat.agent`.

Refusals and missing answers are returned as values. The worker and this process share
the VM's clock, so the end of a lease is a time on that clock. The worker itself refuses
a start that arrives after its lease expired: a lease checked here may expire before
the start arrives.
"""

import json
from dataclasses import dataclass
from enum import Enum
from typing import Any
from urllib.parse import quote

import msgspec
from tornado.httpclient import HTTPClientError, HTTPRequest

from wagtailcleat.curl import CurlClient, forbid_repetition
from wagtailcleat.ids import AttemptId
from wagtailcleat.resources import Resources

CONNECT_TIMEOUT_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 3.0
REFUSAL_STATUSES = (400, 404, 409, 507)
"""Statuses of the worker's refusals, which also have a code."""


class TaskState(Enum):
    """State of a task at the worker."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


class WorkerTask(msgspec.Struct, frozen=True):
    """A task as the worker lists it; `lease_until` is in seconds on the VM's clock."""

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
        """The id of the attempt that the task runs."""
        return AttemptId(self.id.replace("~", "/"))

    @property
    def size(self) -> Resources:
        """Resources that the task occupies."""
        return Resources(self.cores, self.memory_mb, self.accelerators)


class WorkerUsage(msgspec.Struct, frozen=True):
    """Resource usage of tasks and services, measured `lag_seconds` ago."""

    measured_at: float
    lag_seconds: float
    tasks_by_id: dict[str, dict[str, float]] = {}
    services_by_name: dict[str, dict[str, float]] = {}


@dataclass(frozen=True)
class WorkerUnreachable:
    """The worker did not answer; the request may have been carried out."""

    reason: str


@dataclass(frozen=True)
class WorkerRefused:
    """The worker refused the request; `code` gives the reason."""

    code: str


class Worker:
    """Client of the worker on the same VM as this process."""

    def __init__(self, url: str) -> None:
        """Create a client of the worker at `url`."""
        self._url = url
        self._client = CurlClient(force_instance=True, max_clients=32)

    def close(self) -> None:
        """Close the client's connections."""
        self._client.close()

    async def tasks(self) -> list[WorkerTask] | WorkerUnreachable:
        """Return all tasks; ended ones are included until `forget` is called."""
        answer = await self._call("GET", "/tasks")
        if not isinstance(answer, dict):
            return WorkerUnreachable(str(answer))
        return msgspec.convert(answer["tasks"], list[WorkerTask])

    async def capacity(self) -> Resources | WorkerUnreachable:
        """Return the total resources of the worker."""
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
        """Start an attempt; repeated calls with the same id start it once.

        Parameters: `lease_until` is in seconds on the VM's clock; `checkpoint` is the
        one to resume from.
        """
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
        return msgspec.convert(answer, WorkerTask) if _is_object(answer) else answer

    async def renew(
        self, lease_until_by_attempt: dict[AttemptId, float]
    ) -> list[AttemptId] | WorkerUnreachable:
        """Renew leases; return the attempts that the worker does not run."""
        body = {
            _task_id(attempt): until
            for attempt, until in lease_until_by_attempt.items()
        }
        answer = await self._call("POST", "/leases", {"lease_until_by_id": body})
        if not isinstance(answer, dict):
            return WorkerUnreachable(str(answer))
        return [AttemptId(task.replace("~", "/")) for task in answer.get("unknown", [])]

    async def stop(
        self, attempt: AttemptId, *, checkpoint: bool
    ) -> WorkerTask | WorkerRefused | WorkerUnreachable:
        """Stop an attempt; with `checkpoint`, save a checkpoint first."""
        path = f"{_path(attempt)}/stop"
        answer = await self._call("POST", path, {"checkpoint": checkpoint})
        return msgspec.convert(answer, WorkerTask) if _is_object(answer) else answer

    async def throttle(
        self, attempt: AttemptId, share: float
    ) -> WorkerTask | WorkerRefused | WorkerUnreachable:
        """Limit an attempt to `share`, from 0 to 1, of its cores."""
        answer = await self._call(
            "POST", f"{_path(attempt)}/throttle", {"share": share}
        )
        return msgspec.convert(answer, WorkerTask) if _is_object(answer) else answer

    async def forget(self, attempt: AttemptId) -> None:
        """Remove an ended attempt from the worker's list."""
        await self._call("DELETE", _path(attempt))

    async def usage(self) -> WorkerUsage | WorkerUnreachable:
        """Return the most recent usage of tasks and services, which lags behind."""
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
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            request_timeout=CALL_TIMEOUT_SECONDS,
            allow_nonstandard_methods=True,
            prepare_curl_callback=forbid_repetition,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
            if response.code == 599:
                return WorkerUnreachable(str(response.error))
            answer = json.loads(response.body or b"{}")
        except (HTTPClientError, OSError, ValueError) as error:
            return WorkerUnreachable(str(error))
        has_code = isinstance(answer, dict) and "code" in answer
        if response.code in REFUSAL_STATUSES and has_code:
            return WorkerRefused(str(answer["code"]))
        if response.code >= 400:
            # After any other error, the call may have been carried out.
            return WorkerUnreachable(str(response.code))
        return answer


def _is_object(answer: Any) -> bool:
    return isinstance(answer, dict)


def _task_id(attempt: AttemptId) -> str:
    return attempt.replace("/", "~")


def _path(attempt: AttemptId) -> str:
    return f"/tasks/{quote(_task_id(attempt), safe='~')}"
