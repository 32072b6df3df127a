"""Connects the interference controller with the worker, services and attempts.

Neighbours are the batch attempts that run on the same VM as services.
"""

import asyncio

from wagtailcleat.agent.attempt_table import Attempt
from wagtailcleat.agent.attempts import Attempts
from wagtailcleat.agent.commitments import Commitments
from wagtailcleat.agent.interference import (
    Action,
    Evict,
    InterferenceController,
    Neighbour,
    Throttle,
)
from wagtailcleat.agent.latency_window import LatencySummary, LatencyWindow
from wagtailcleat.agent.services import Services
from wagtailcleat.ids import AttemptId, ServiceName
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.worker import Worker, WorkerUnreachable, WorkerUsage
from wagtailcleat.resources import Resources

log = part_logger("neighbours")

MIN_INTERVAL_SECONDS = 0.5
UNREACHABLE_PAUSE_SECONDS = 1.0


class NeighbourMonitor:
    """Measures once per lag interval, and applies the controller's actions."""

    def __init__(
        self,
        controller: InterferenceController,
        attempts: Attempts,
        commitments: Commitments,
        services: Services,
        worker: Worker,
    ) -> None:
        """Throttle and evict `attempts` to protect the latencies of `services`."""
        self.controller = controller
        self._attempts = attempts
        self._commitments = commitments
        self._services = services
        self._worker = worker
        self._used_by_attempt: dict[AttemptId, Resources] = {}
        self._window_by_service: dict[ServiceName, LatencyWindow] = {}
        attempts.limit_interference(self.refusal_reason, self.penalty)

    async def run(self) -> None:
        """Measure and act at intervals, until cancelled."""
        while True:
            usage = await self._worker.usage()
            if isinstance(usage, WorkerUnreachable):
                await asyncio.sleep(UNREACHABLE_PAUSE_SECONDS)
                continue
            self._record_usage(usage)
            for action in self.controller.step(
                self._read_latencies(), self.neighbours()
            ):
                await self._apply(action)
            # Usage is reported with a lag: a second step before the effect of the
            # first is visible would react twice to the same cause.
            await asyncio.sleep(max(MIN_INTERVAL_SECONDS, usage.lag_seconds))

    def refusal_reason(self, job_class: str, size: Resources) -> str:
        """Return why a task of a job class and size is refused; empty if it is not."""
        return self.controller.refusal(
            list(self._services.instance_by_service),
            self.neighbours(),
            job_class,
            size.cores,
        )

    def penalty(self, job_class: str, owner_estimate: float | None) -> float | None:
        """Return the worst slowdown of a service here per core of a job class.

        Parameters: `owner_estimate` is used for services without a score of their own,
        so that a new agent need not learn again what other agents have learned.
        """
        services = self._services.instance_by_service
        if owner_estimate is not None:
            self.controller.import_score(services, job_class, owner_estimate)
        return self.controller.known_penalty(services, job_class)

    def neighbours(self) -> list[Neighbour]:
        """Return the attempts that hold resources, with their last reported usage."""
        return [
            self._neighbour(attempt)
            for attempt in self._attempts.attempt_by_id.values()
            if attempt.id in self._commitments.allocation_by_attempt
        ]

    def dump(self) -> dict[str, object]:
        """Return offer, counts, throttles and scores for the state dump."""
        controller = self.controller
        return {
            "offer": controller.offered_share,
            "throttles": controller.throttles,
            "evictions": controller.evictions,
            "share_by_attempt": dict(controller.share_by_attempt),
            "score_by_pair": {
                f"{service} {job_class}": round(score, 4)
                for (service, job_class), score in controller.score_by_pair.items()
            },
        }

    def _neighbour(self, attempt: Attempt) -> Neighbour:
        used = self._used_by_attempt.get(attempt.id, Resources())
        return Neighbour(
            attempt.id,
            attempt.job_class,
            self._commitments.allocation_by_attempt[attempt.id].size.cores,
            used.cores,
            self.controller.share_by_attempt.get(attempt.id, 1.0),
            attempt.urgent,
        )

    def _record_usage(self, usage: WorkerUsage) -> None:
        self._used_by_attempt = {
            AttemptId(task.replace("~", "/")): Resources(
                amount.get("cores", 0.0), int(amount.get("memory_mb", 0))
            )
            for task, amount in usage.tasks_by_id.items()
        }
        for attempt_id, used in self._used_by_attempt.items():
            attempt = self._attempts.attempt_by_id.get(attempt_id)
            if attempt is not None:
                attempt.peak_usage = attempt.peak_usage.larger(used)

    def _read_latencies(self) -> dict[ServiceName, LatencySummary]:
        latency_by_service = {}
        for name, instance in self._services.instance_by_service.items():
            window = self._window_by_service.get(name)
            if window is None or window.histogram is not instance.latencies:
                window = LatencyWindow(instance.latencies)
                self._window_by_service[name] = window
            latency_by_service[name] = window.read(
                instance.service.latency_target_seconds
            )
        return latency_by_service

    async def _apply(self, action: Action) -> None:
        attempt = self._attempts.attempt_by_id.get(action.attempt)
        if attempt is None:
            return
        if isinstance(action, Throttle):
            await self._worker.throttle(action.attempt, action.share)
        elif isinstance(action, Evict):
            log.info(
                "Evicting a batch attempt that slows services down",
                extra={"attempt": action.attempt, "reason": action.reason},
            )
            await self._attempts.evict(attempt, action.reason)
