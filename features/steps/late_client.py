"""The client of a simulated worker, in place of `RunWorker`.

Calls may get no answer and be carried out late, as by the platform's workers.
"""

import asyncio
import contextlib
from contextvars import Context

from features.steps.late_worker import Boot, PlatformWorker
from wagtailcleat.platform.http_client import NoAnswer
from wagtailcleat.platform.runs import (
    LIST_MARGIN_SECONDS,
    MAX_ORDER_CONNECTIONS,
    OtherIncarnation,
    RunList,
    StartOutcome,
)
from wagtailcleat.scheduling.models import Refusal, RunKey

LATENCY_SECONDS = 0.0005


class LateClient:
    """The interface of `RunWorker`, as a client of a `PlatformWorker`."""

    def __init__(
        self, worker: PlatformWorker, instance: str, *, fence: int, call_seconds: float
    ) -> None:
        """Create a client of the worker `instance`."""
        self.fence = fence
        self._worker = worker
        self._instance = instance
        self._call_seconds = call_seconds
        self._connections = asyncio.Semaphore(MAX_ORDER_CONNECTIONS)

    def close(self) -> None:
        """Do nothing; calls that were sent are not withdrawn."""

    async def start(self, start, *, until: float):
        """Start a run, as `RunWorker.start` does."""
        fence = self.fence
        answer = await self._order(
            "start",
            f"start {start.key} until {until:.3f} fence {fence}",
            lambda: self._worker.take_start(start.key, until, fence),
        )
        return StartOutcome.UNKNOWN if isinstance(answer, NoAnswer) else answer

    async def stop(self, key: RunKey) -> bool:
        """Stop a run, as `RunWorker.stop` does."""
        fence = self.fence
        answer = await self._order(
            "stop",
            f"stop {key} fence {fence}",
            lambda: self._worker.take_stop(key, fence),
        )
        return answer is True

    async def pace(self, key: RunKey, percent: int) -> bool:
        """Limit a run, as `RunWorker.pace` does."""
        fence = self.fence
        answer = await self._order(
            "pace",
            f"pace {key} fence {fence}",
            lambda: self._worker.take_pace(key, fence),
        )
        return answer is True

    async def list(
        self, *, acknowledged: int, until: float | None, wait_seconds: float
    ):
        """List the runs, as `RunWorker.list` does."""
        fence = self.fence
        lease = "none" if until is None else f"{until:.3f}"
        return await self._call(
            "list",
            f"list acknowledged {acknowledged} until {lease} fence {fence}",
            lambda: self._worker.begin_list(acknowledged, until, fence),
            timeout=wait_seconds + LIST_MARGIN_SECONDS,
            wait_seconds=wait_seconds,
        )

    async def _order(self, name: str, text: str, carry_out):
        # The request stays in the client's queue if its caller is cancelled.
        async def in_turn():
            async with self._connections:
                return await self._call(
                    name, text, carry_out, timeout=self._call_seconds
                )

        return await asyncio.shield(asyncio.create_task(in_turn()))

    async def _call(
        self, name: str, text: str, carry_out, *, timeout: float, wait_seconds=0.0
    ):
        """Make a call; return its answer, or `NoAnswer`."""
        worker = self._worker
        sent_at = worker.clock()
        exchange = worker.loop.create_task(
            self._exchange(name, text, carry_out, wait_seconds), context=Context()
        )
        if worker.boot is not None:
            worker.boot.exchanges.add(exchange)
            exchange.add_done_callback(worker.boot.exchanges.discard)
        done, _ = await asyncio.wait([exchange], timeout=timeout)
        if not done or worker.clock() - sent_at > timeout:
            if name != "list":
                worker.trace(f"(no answer: {text})")
            return NoAnswer.LOST
        return NoAnswer.BROKEN if exchange.cancelled() else exchange.result()

    async def _exchange(self, name: str, text: str, carry_out, wait_seconds: float):
        worker = self._worker
        await asyncio.sleep(LATENCY_SECONDS)
        if worker.boot is None:
            return NoAnswer.REFUSED
        if self._happens(worker.faults.lost.get(name, 0.0)):
            await worker.never.wait()
        if self._happens(worker.faults.late.get(name, 0.0)):
            worker.loop.create_task(self._carry_out_late(text, carry_out))
            if self._happens(worker.faults.broken):
                return NoAnswer.LOST
            await worker.never.wait()
        answer = await self._serve(name, text, carry_out, wait_seconds)
        if self._happens(worker.faults.unanswered.get(name, 0.0)):
            await worker.never.wait()
        await asyncio.sleep(LATENCY_SECONDS)
        return answer

    def _happens(self, probability: float) -> bool:
        return self._worker.random.random() < probability

    async def _serve(self, name: str, text: str, carry_out, wait_seconds: float):
        worker = self._worker
        boot = worker.boot
        await worker.frozen.wait()
        if worker.boot is not boot or boot is None:
            return NoAnswer.LOST
        if worker.instance != self._instance:
            return OtherIncarnation()
        if self._happens(worker.faults.unhealthy.get(name, 0.0)):
            return Refusal.UNHEALTHY if name == "start" else NoAnswer.LOST
        answer = carry_out()
        if name == "list" and answer is None:
            return await self._listed(boot, wait_seconds)
        worker.trace(f"{text}: {answer}")
        return answer

    async def _listed(self, boot: Boot, wait_seconds: float) -> RunList | NoAnswer:
        """Return the runs once one has ended, or after `wait_seconds`."""
        if not boot.ends:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_seconds):
                    await boot.end_listed.wait()
        await self._worker.frozen.wait()
        if self._worker.boot is not boot:
            return NoAnswer.LOST
        return self._worker.shown()

    async def _carry_out_late(self, text: str, carry_out) -> None:
        """Carry a call out late, perhaps in the worker's next incarnation."""
        worker = self._worker
        delay = worker.faults.late_seconds
        if delay is None:
            released = asyncio.Event()
            worker.held_calls.append((text, released))
            await released.wait()
        else:
            await asyncio.sleep(worker.random.uniform(*delay))
        await worker.frozen.wait()
        if worker.boot is not None and worker.instance == self._instance:
            worker.trace(f"late {text}: {carry_out()}")
