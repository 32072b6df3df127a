"""The faults that are active in a soak run: when each began, and how it ends."""

import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from soak.deployment import SoakDeployment
from standins.processes import Process

Undo = Callable[[], None]


@dataclass
class FaultSpan:
    """A fault from its start until its end has taken effect; wall clock seconds."""

    start: float
    end: float
    description: str
    names: frozenset[str] = frozenset()
    """Processes that it affects."""
    planned: bool = False
    """Whether work and connections must survive it: stops, reloads and the like.

    One that takes time is a stop, as long as the process is away; others do not last.
    """


@dataclass(order=True)
class _ActiveFault:
    """An active fault: when it ends, and the function that ends it."""

    at: float
    undo: Undo = field(compare=False)
    span: FaultSpan = field(compare=False)


class ActiveFaults:
    """Starts and ends faults, decided by a seed; faults may overlap."""

    def __init__(self, deployment: SoakDeployment, seed: int) -> None:
        """Start without faults."""
        self.deployment = deployment
        self.random = random.Random(f"faults/{seed}")
        self.affected: set[str] = set()
        self.log: list[tuple[float, str]] = []
        """Wall clock seconds and description of each start and end of a fault."""
        self.spans: list[FaultSpan] = []
        self.killed: list[tuple[float, str]] = []
        """Wall clock seconds and name of each worker that was killed with its runs."""
        self.broken: list[str] = []
        """What only a fault of the programs explains, such as a start that failed."""
        self._active: list[_ActiveFault] = []
        self._called_at = 0.0

    def inject(
        self, kinds: list[Callable[[], None]], seconds: float, longest_pause: float
    ) -> None:
        """Inject faults of random `kinds` for `seconds`, then end them all."""
        end = time.monotonic() + seconds
        next_at = time.monotonic()
        while time.monotonic() < end:
            self._end_due(time.monotonic())
            if time.monotonic() >= next_at:
                self.play(self.random.choice(kinds))
                pause = self.random.uniform(0.1, longest_pause)
                next_at = time.monotonic() + pause
            time.sleep(0.02)
        self.end_all()

    def play(self, kind: Callable[[], None]) -> None:
        """Call a function that injects faults; their spans start now."""
        self._called_at = time.time()
        kind()

    def end_all(self) -> None:
        """End every fault that is active."""
        self._end_due(float("inf"))

    def _end_due(self, now: float) -> None:
        while self._active and min(self._active).at <= now:
            fault = min(self._active)
            self._active.remove(fault)
            self.log.append((time.time(), f"end of {fault.span.description}"))
            self.play(fault.undo)
            fault.span.end = time.time()

    def record(
        self, description: str, names: Iterable[str] = (), *, planned: bool = True
    ) -> None:
        """Record a fault that is over at once."""
        at = self._called_at
        self.log.append((time.time(), description))
        self.spans.append(FaultSpan(at, at, description, frozenset(names), planned))

    def begin(
        self,
        names: Iterable[str],
        description: str,
        seconds: float,
        undo: Undo,
        *,
        planned: bool = False,
    ) -> None:
        """Record a fault that has begun and affects `names` for `seconds`."""
        affected = frozenset(names)
        span = FaultSpan(self._called_at, float("inf"), description, affected, planned)
        self.log.append((time.time(), description))
        self.spans.append(span)
        self.affected |= affected

        def end_fault() -> None:
            self.affected -= affected
            undo()

        self._active.append(_ActiveFault(time.monotonic() + seconds, end_fault, span))

    def pick_unaffected(self, processes: Iterable[Process]) -> Process | None:
        """Return a random live process without an active fault, or None."""
        left = [p for p in processes if p.name not in self.affected and p.alive]
        return self.random.choice(left) if left else None

    def programs(self) -> list[Process]:
        """Return the entries and the agents."""
        return [*self.deployment.entries, *self.deployment.agents]
