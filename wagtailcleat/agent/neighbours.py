"""Watches the batch neighbours of this VM's services, and acts on them in steps."""

import asyncio

from wagtailcleat.agent.attempt_table import Attempt
from wagtailcleat.agent.attempts import Attempts
from wagtailcleat.agent.commitments import Commitments
from wagtailcleat.agent.interference import (
    Evict,
    Interference,
    Neighbour,
    Step,
    Tail,
    TailWindow,
    Throttle,
)
from wagtailcleat.agent.services import Services
from wagtailcleat.ids import AttemptId, ServiceName
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.worker import Worker, WorkerUnreachable, WorkerUsage
from wagtailcleat.resources import Resources

log = part_logger("neighbours")

MIN_INTERVAL_SECONDS = 0.5
UNREACHABLE_PAUSE_SECONDS = 1.0


class NeighbourWatch:
    """Looks once a lag interval, and carries out what the control decides."""

    def __init__(
        self,
        control: Interference,
        attempts: Attempts,
        commitments: Commitments,
        services: Services,
        worker: Worker,
    ) -> None:
        """Act on `attempts` for the sake of `services`."""
        self.control = control
        self._attempts = attempts
        self._commitments = commitments
        self._services = services
        self._worker = worker
        self._used_by_attempt: dict[AttemptId, Resources] = {}
        self._window_by_service: dict[ServiceName, TailWindow] = {}
        attempts.limit_interference(self.refuses, self.penalty)

    async def run(self) -> None:
        """Look and act, until cancelled."""
        while True:
            usage = await self._worker.usage()
            if isinstance(usage, WorkerUnreachable):
                await asyncio.sleep(UNREACHABLE_PAUSE_SECONDS)
                continue
            self._take_usage(usage)
            for step in self.control.step(self._tails(), self.neighbours()):
                await self._carry_out(step)
            # Usage lags: a second step before the first one shows would act twice
            # on the same cause.
            await asyncio.sleep(max(MIN_INTERVAL_SECONDS, usage.lag_seconds))

    def refuses(self, job_class: str, size: Resources) -> str:
        """Return why a task of that class is not taken beside the services."""
        return self.control.refusal(
            list(self._services.instance_by_service),
            self.neighbours(),
            job_class,
            size.cores,
        )

    def penalty(self, job_class: str, told: float | None) -> float | None:
        """Return the worst slowdown of a service here by one core of the class.

        Parameters: `told` is what the owner knows of it, taken where nothing is
        known here; so a new agent does not learn anew what others have.
        """
        services = self._services.instance_by_service
        if told is not None:
            self.control.tell(services, job_class, told)
        return self.control.known_penalty(services, job_class)

    def neighbours(self) -> list[Neighbour]:
        """Return what runs or is about to, with its lagged usage."""
        return [
            self._neighbour(attempt)
            for attempt in self._attempts.attempt_by_id.values()
            if attempt.id in self._commitments.held_by_attempt
        ]

    def dump(self) -> dict[str, object]:
        """Return scores, throttles and counts for the state dump."""
        control = self.control
        return {
            "offer": control.offer,
            "throttles": control.throttles,
            "evictions": control.evictions,
            "share_by_attempt": dict(control.share_by_attempt),
            "score_by_pair": {
                f"{service} {job_class}": round(score, 4)
                for (service, job_class), score in control.score_by_pair.items()
            },
        }

    def _neighbour(self, attempt: Attempt) -> Neighbour:
        used = self._used_by_attempt.get(attempt.id, Resources())
        return Neighbour(
            attempt.id,
            attempt.job_class,
            self._commitments.held_by_attempt[attempt.id].size.cores,
            used.cores,
            self.control.share_by_attempt.get(attempt.id, 1.0),
            attempt.urgent,
        )

    def _take_usage(self, usage: WorkerUsage) -> None:
        self._used_by_attempt = {
            AttemptId(task.replace("~", "/")): Resources(
                amount.get("cores", 0.0), int(amount.get("memory_mb", 0))
            )
            for task, amount in usage.tasks_by_id.items()
        }
        for attempt_id, used in self._used_by_attempt.items():
            attempt = self._attempts.attempt_by_id.get(attempt_id)
            if attempt is not None:
                attempt.used = attempt.used.larger(used)

    def _tails(self) -> dict[ServiceName, Tail]:
        tails = {}
        for name, instance in self._services.instance_by_service.items():
            window = self._window_by_service.get(name)
            if window is None or window.histogram is not instance.latencies:
                window = TailWindow(instance.latencies)
                self._window_by_service[name] = window
            tails[name] = window.look(instance.service.latency_target_seconds)
        return tails

    async def _carry_out(self, step: Step) -> None:
        attempt = self._attempts.attempt_by_id.get(step.attempt)
        if attempt is None:
            return
        if isinstance(step, Throttle):
            await self._worker.throttle(step.attempt, step.share)
        elif isinstance(step, Evict):
            log.info("Evicting", extra={"attempt": step.attempt, "reason": step.reason})
            await self._attempts.evict(attempt, step.reason)
