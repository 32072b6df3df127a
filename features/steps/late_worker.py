"""A simulated worker of the platform, on virtual time; `late_client` calls it."""

import asyncio
from collections import defaultdict
from contextvars import Context
from dataclasses import dataclass, field
from random import Random

from features.steps.late_oracle import BootRecord, RunOracle, RunRecord
from features.steps.start_rules import Capability
from wagtailcleat.platform.runs import (
    RunList,
    StaleFence,
    StartOutcome,
)
from wagtailcleat.scheduling.models import (
    Ended,
    Refusal,
    RunEnd,
    RunKey,
    Running,
    TaskKey,
)

MAX_LEASE_SECONDS = 6.0
MAX_STOP_SECONDS = 0.4
MAX_DRIFT = 0.02
LATE_SECONDS = (2.0, 12.0)
CHECKPOINT_SECONDS = 0.4
MILLISECONDS = 1000
CALLS = ("start", "stop", "pace", "list")


@dataclass
class CallFaults:
    """Probabilities with which a call gets no answer, by the name of the call."""

    late: dict[str, float] = field(default_factory=dict)
    """The call is carried out late."""
    lost: dict[str, float] = field(default_factory=dict)
    """The call does not arrive."""
    unanswered: dict[str, float] = field(default_factory=dict)
    """The call is carried out at once."""
    unhealthy: dict[str, float] = field(default_factory=dict)
    """The call is answered with the worker's being unhealthy, and not carried out."""
    broken: float = 0.0
    """Probability that the connection of a late call breaks at once."""
    late_seconds: tuple[float, float] | None = LATE_SECONDS
    """Least and greatest delay of a late call; None holds it back for the test."""


class Boot:
    """What a worker holds and knows in one incarnation."""

    def __init__(
        self, name: str, capability: Capability, now: float, random: Random
    ) -> None:
        """Start without runs, at an arbitrary time of the worker's own clock."""
        self.record = BootRecord(name, capability)
        self.started_at = now
        self.first_clock = random.uniform(0.0, 900.0)
        self.clock_rate = 1.0 - random.uniform(0.0, MAX_DRIFT)
        self.draining = False
        """Whether it reports that it drains."""
        self.fence = 0
        self.lease_until = -1.0
        """On the worker's own clock."""
        self.lease_timer: asyncio.TimerHandle | None = None
        self.run_by_key: dict[RunKey, RunRecord] = {}
        self.stopping: set[RunKey] = set()
        self.closed_by_task: dict[TaskKey, int] = defaultdict(int)
        """The highest run of each task that has ended or must not start."""
        self.ends: list[Ended] = []
        """Ends that were not acknowledged."""
        self.last_end = 0
        self.end_listed = asyncio.Event()
        self.exchanges: set[asyncio.Task] = set()
        """Calls whose connections are open."""


class PlatformWorker:
    """A worker; `boot` is None while it is down.

    Its methods carry calls out; a `LateClient` makes them.
    """

    def __init__(
        self,
        *,
        instance: str,
        capability: Capability,
        loop: asyncio.AbstractEventLoop,
        clock,
        oracle: RunOracle,
        random: Random,
        trace,
    ) -> None:
        """Start; `trace` is called with a line for each event."""
        self.instance = instance
        self.capability = capability
        self.next_capability = lambda: self.capability
        """Returns what the next incarnation is capable of."""
        self.faults = CallFaults()
        self.frozen = asyncio.Event()
        """Set while calls are accepted; cleared while the worker answers nobody."""
        self.frozen.set()
        self.never = asyncio.Event()
        """Not set: a call that is not answered waits for it."""
        self.held_calls: list[tuple[str, asyncio.Event]] = []
        """Calls that are held back, each with the event that lets it through."""
        self.checkpoint_bytes = 0
        self.run_seconds = lambda key: random.uniform(0.3, 3.0)
        self.run_end = lambda key: RunEnd.SUCCEEDED
        self.boot: Boot | None = None
        self.born = 0
        self.loop = loop
        self.clock = clock
        self.random = random
        self._oracle = oracle
        self._trace = trace
        self.start()

    def trace(self, text: str) -> None:
        """Note an event."""
        self._trace(f"{self.instance}: {text}")

    def seconds(self) -> float:
        """Return the worker's own clock."""
        boot = self.boot
        assert boot is not None
        passed = self.clock() - boot.started_at
        return boot.first_clock + boot.clock_rate * passed

    def start(self) -> None:
        """Start an incarnation."""
        self.born = int(self.clock() * MILLISECONDS)
        name = f"{self.instance}/{self.born}"
        self.capability = self.next_capability()
        self.boot = Boot(name, self.capability, self.clock(), self.random)
        self.trace(f"boots, clock {self.boot.first_clock:.3f}")

    def release(self, name: str) -> None:
        """Carry out the calls of one kind that are held back."""
        for text, released in self.held_calls:
            if text.startswith(name):
                released.set()

    def leave(self, *, closes_connections: bool = False) -> tuple[str, int]:
        """End for good; return the id and birth time of this incarnation.

        The next incarnation has another id. For `closes_connections` see `crash`.
        """
        left = (self.instance, self.born)
        self.crash(closes_connections=closes_connections)
        name, _, number = self.instance.partition("#")
        self.instance = f"{name}#{int(number or 1) + 1}"
        return left

    def crash(self, *, closes_connections: bool = False) -> None:
        """End this incarnation with all its runs.

        Parameters: `closes_connections` says whether the agent sees its connections
        end; it does not if the worker crashes behind a cut.
        """
        boot = self.boot
        if boot is None:
            return
        for run in boot.run_by_key.values():
            self._oracle.record_end(run)
        boot.run_by_key.clear()
        if closes_connections:
            for exchange in boot.exchanges:
                exchange.cancel()
        if boot.lease_timer is not None:
            boot.lease_timer.cancel()
        self.boot = None
        self.trace("is down")

    def take_start(self, key: RunKey, until: float, fence: int):
        """Carry out a start; return its outcome."""
        boot = self.boot
        if self._is_fenced(fence):
            return Refusal.STALE
        if key in boot.run_by_key:
            return StartOutcome.STARTED
        if key.run <= boot.closed_by_task[key.task]:
            self._extend_lease(until)
            return Refusal.STALE
        if until <= self.seconds():
            return Refusal.LATE
        self._extend_lease(until)
        run = self._oracle.record_start(boot.record, key)
        boot.run_by_key[key] = run
        self.loop.call_later(
            self.run_seconds(key),
            self._end,
            boot,
            run,
            self.run_end(key),
            context=Context(),
        )
        return StartOutcome.STARTED

    def take_stop(self, key: RunKey, fence: int) -> bool:
        """Carry out a stop; return whether it was accepted."""
        boot = self.boot
        if self._is_fenced(fence):
            return False
        closed = boot.closed_by_task
        closed[key.task] = max(closed[key.task], key.run)
        run = boot.run_by_key.get(key)
        if run is not None and key not in boot.stopping:
            boot.stopping.add(key)
            seconds = self.random.uniform(0.5, 1.0) * MAX_STOP_SECONDS
            self.loop.call_later(
                seconds, self._end, boot, run, RunEnd.STOPPED, context=Context()
            )
        return True

    def take_pace(self, key: RunKey, fence: int) -> bool:
        """Carry out a new pace; return whether it was accepted."""
        return not self._is_fenced(fence)

    def begin_list(self, acknowledged: int, until: float | None, fence: int):
        """Carry out what a list call asks for; return `StaleFence` if it is refused."""
        boot = self.boot
        if self._is_fenced(fence):
            return StaleFence()
        self._oracle.record_acknowledgement(boot.record, acknowledged)
        boot.ends = [end for end in boot.ends if end.number > acknowledged]
        if until is not None:
            self._extend_lease(until)
        return None

    def shown(self) -> RunList:
        """Return the list of runs."""
        boot = self.boot
        running = [
            Running(key, self._checkpoint(run), 50)
            for key, run in boot.run_by_key.items()
        ]
        return RunList(self.seconds(), running, list(boot.ends), self.born, True)

    def _checkpoint(self, run: RunRecord) -> str:
        steps = int((self.clock() - run.started_at) / CHECKPOINT_SECONDS)
        is_written = steps and self.checkpoint_bytes
        return f"{run.key} {steps}".ljust(self.checkpoint_bytes) if is_written else ""

    def _is_fenced(self, fence: int) -> bool:
        if fence < self.boot.fence:
            return True
        self.boot.fence = fence
        return False

    def _extend_lease(self, until: float) -> None:
        boot = self.boot
        now = self.seconds()
        until = min(until, now + MAX_LEASE_SECONDS)
        if until <= max(boot.lease_until, now):
            return
        boot.lease_until = until
        if boot.lease_timer is not None:
            boot.lease_timer.cancel()
        boot.lease_timer = self.loop.call_later(
            (until - now) / boot.clock_rate, self._lapse, boot, context=Context()
        )

    def _lapse(self, boot: Boot) -> None:
        boot.record.lapsed_at.append(self.clock())
        if boot.run_by_key:
            boot.record.killed_at.append(self.clock())
        self.trace("lease has expired")
        for run in list(boot.run_by_key.values()):
            self._end(boot, run, RunEnd.LAPSED)

    def _end(self, boot: Boot, run: RunRecord, how: RunEnd) -> None:
        if boot is not self.boot or boot.run_by_key.get(run.key) is not run:
            return
        del boot.run_by_key[run.key]
        boot.stopping.discard(run.key)
        closed = boot.closed_by_task
        closed[run.key.task] = max(closed[run.key.task], run.key.run)
        boot.last_end += 1
        boot.ends.append(Ended(boot.last_end, run.key, how, self._checkpoint(run)))
        self._oracle.record_end(run, how, boot.last_end)
        self.trace(f"{run.key} {how.value}")
        boot.end_listed.set()
        boot.end_listed = asyncio.Event()
