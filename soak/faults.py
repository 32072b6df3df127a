"""Faults from outside: signals to programs, switches of links and stand-ins."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from soak.deployment import SoakDeployment
from standins.processes import Process

Undo = Callable[[], None]
LONGEST_PAUSE_SECONDS = 6.0
"""Longer than a leader acts without renewing, and than runs go on without an agent."""

SHORTEST_CUT_SECONDS = 6.0
LONGEST_CUT_SECONDS = 11.0
"""Longer than runs go on without a leader, and than the next one waits for them."""
ZONE_CUT = "zone cut"
ZONES_CUT = 2
"""Each of the first so many zones has an entry and an agent."""
FREQUENT = 12
"""How many times a kind of fault that is emphasised stands among the others.

Nearly half of all faults: most seeds see two cuts, one around the leader, and few
other faults meanwhile, which would hide what the cut alone does.
"""
SLOWEST_BYTES_PER_SECOND = 200_000
FASTEST_BYTES_PER_SECOND = 800_000


class Emphasis(Enum):
    """A kind of fault that comes often; each has seeds of its own."""

    NONE = ""
    REFUSALS = "refusals"
    """Zones are cut off by refused connections."""
    SLOW_ANSWERS = "slow-answers"
    """Long answers of the store take seconds to arrive, or fall silent midway."""


@dataclass(order=True)
class _Due:
    """What ends a fault, and when."""

    at: float
    undo: Undo = field(compare=False)
    what: str = field(compare=False, default="")


class Faults:
    """Strikes in an order that the seed decides; faults overlap."""

    def __init__(
        self,
        deployment: SoakDeployment,
        seed: int,
        emphasis: Emphasis = Emphasis.NONE,
    ) -> None:
        """Begin with nothing wrong."""
        self.log: list[tuple[float, str]] = []
        """Wall clock seconds, and what was done."""
        self.killed: list[tuple[float, str]] = []
        """When a worker lost all it ran, and which."""
        self._deployment = deployment
        self._random = random.Random(f"faults/{seed}")
        self._due: list[_Due] = []
        self._struck: set[str] = set()
        self._version = 10
        self._kinds = [
            self._kill,
            self._kill,
            self._terminate,
            self._pause,
            self._kill_worker,
            self._worker_late,
            self._worker_silent,
            self._store,
            self._store,
            self._link,
            self._link,
            self._link,
            self._configure,
            self._zone,
        ]
        if emphasis is Emphasis.REFUSALS:
            self._kinds += [self._refuse_zone] * FREQUENT
        elif emphasis is Emphasis.SLOW_ANSWERS:
            self._kinds += [self._slow_answers] * FREQUENT

    def play(self, seconds: float) -> None:
        """Strike for a while, then heal everything."""
        end = time.monotonic() + seconds
        next_at = time.monotonic()
        while time.monotonic() < end:
            self._heal(time.monotonic())
            if time.monotonic() >= next_at:
                self._random.choice(self._kinds)()
                next_at = time.monotonic() + self._random.uniform(0.1, 1.5)
            time.sleep(0.02)
        self._heal(float("inf"))

    def _heal(self, now: float) -> None:
        while self._due and min(self._due).at <= now:
            due = min(self._due)
            self._due.remove(due)
            self._note(f"end of {due.what}")
            due.undo()

    def _note(self, what: str) -> None:
        self.log.append((time.time(), what))

    def _strike(self, name: str, what: str, seconds: float, undo: Undo) -> None:
        self._note(what)
        self._struck.add(name)

        def heal() -> None:
            self._struck.discard(name)
            undo()

        self._due.append(_Due(time.monotonic() + seconds, heal, what))

    def _free(self, processes: list[Process]) -> Process | None:
        """Return one that no fault has struck."""
        left = [p for p in processes if p.name not in self._struck and p.alive]
        return self._random.choice(left) if left else None

    def _programs(self) -> list[Process]:
        return [*self._deployment.entries, *self._deployment.agents]

    # ---- signals

    def _kill(self) -> None:
        program = self._free(self._programs())
        if program is not None:
            program.kill()
            seconds = self._random.uniform(0.1, 2.5)
            self._strike(program.name, f"kill {program.name}", seconds, program.start)

    def _terminate(self) -> None:
        program = self._free(self._programs())
        if program is None:
            return
        # SIGTERM; it goes on with its open connections until it has ended.
        program.signal_to_stop()

        def restart() -> None:
            program.wait_for_end()
            program.start()

        seconds = self._random.uniform(0.5, 4.0)
        self._strike(program.name, f"terminate {program.name}", seconds, restart)

    def _pause(self) -> None:
        program = self._free(self._programs())
        if program is not None:
            program.freeze()
            seconds = self._random.uniform(0.2, LONGEST_PAUSE_SECONDS)
            self._strike(program.name, f"pause {program.name}", seconds, program.thaw)

    def _kill_worker(self) -> None:
        worker = self._free(list(self._deployment.workers))
        if worker is not None:
            worker.kill()
            self.killed.append((time.time(), worker.name))
            seconds = self._random.uniform(0.1, 3.0)
            self._strike(worker.name, f"kill {worker.name}", seconds, worker.start)

    # ---- the platform

    def _worker_late(self) -> None:
        self._switch_worker(late_seconds=self._random.uniform(0.3, 2.0))

    def _worker_silent(self) -> None:
        self._switch_worker(silent=True)

    def _switch_worker(self, **switches: float | bool) -> None:
        worker = self._free(list(self._deployment.workers))
        if worker is not None:
            worker.faults(**switches)
            seconds = self._random.uniform(0.5, 5.0)
            what = f"{worker.name} {switches}"
            self._strike(worker.name, what, seconds, worker.faults)

    def _store(self) -> None:
        store = self._free([self._deployment.store])
        if store is None:
            return
        switches: dict[str, object] = self._random.choice(
            [
                {"hang": True},
                {"busy": True},
                {"lose_answers": self._random.randint(1, 6)},
                {"late_seconds": self._random.uniform(0.2, 2.0)},
                {"slow_seconds": self._random.uniform(0.05, 0.4)},
                {"refused_bodies": True},
            ]
        )
        store.faults(**switches)
        seconds = self._random.uniform(0.5, 4.0)
        self._strike(store.name, f"store {switches}", seconds, store.faults)

    def _slow_answers(self) -> None:
        store = self._free([self._deployment.store])
        if store is None:
            return
        rate = self._random.randint(SLOWEST_BYTES_PER_SECOND, FASTEST_BYTES_PER_SECOND)
        switches = {"bytes_per_second": rate}
        if self._random.random() < 0.25:
            switches["stall_after_bytes"] = rate
        store.faults(**switches)
        seconds = self._random.uniform(2.0, 6.0)
        self._strike(store.name, f"store {switches}", seconds, store.faults)

    def _link(self) -> None:
        name = self._random.choice(sorted(self._deployment.links))
        link = self._deployment.links[name]
        if link.name in self._struck:
            return
        switches: dict[str, object] = self._random.choice(
            [
                {"cut": True},
                {"silent": True},
                {"silent_new": True},
                {"hold": True},
                {"delay_seconds": self._random.uniform(0.05, 0.6)},
            ]
        )
        link.faults(**switches)
        seconds = self._random.uniform(0.3, 4.0)
        self._strike(link.name, f"link {name} {switches}", seconds, link.faults)

    def _refuse_zone(self) -> None:
        """Cut the entry and the agent of a zone off together, by refusals.

        All processes live, and those of a side go on with the connections that they
        have among themselves. Sometimes new ones are refused on both sides.
        """
        inside = self._deployment.zone_names(self._random.randrange(ZONES_CUT))
        seconds = self._random.uniform(SHORTEST_CUT_SECONDS, LONGEST_CUT_SECONDS)
        both = self._random.random() < 0.5
        outside = [p.name for p in self._programs() if p.name not in inside]
        links = self._deployment.links
        to_store = [links[f"{name}>store"] for name in inside]
        to_peers = {name: links[f"peers>{name}"] for name in [*inside, *outside]}
        struck = [*to_store, *to_peers.values()]
        # What is inside lives on, and the end of a link's other fault would end this.
        kept = {ZONE_CUT, *inside, *(link.name for link in struck)}
        if self._struck & kept:
            return
        for link in to_store:
            link.faults(refuse=True, cut=True)
        for name, link in to_peers.items():
            others = outside if name in inside else inside
            link.faults(refuse=both or name in inside, reset_from=others)
        self._struck |= kept

        def heal() -> None:
            self._struck -= kept
            for link in struck:
                link.faults()

        what = f"refusals around {inside}{', of all new' if both else ''}"
        self._strike(ZONE_CUT, what, seconds, heal)

    # ---- operators

    def _configure(self) -> None:
        if "store" not in self._struck:
            self._version += 1
            queues = ("holds", f"extra-{self._version}")
            self._deployment.configure(version=self._version, queues=queues)
            self._note(f"configuration {self._version}")

    def _zone(self) -> None:
        if "store" in self._struck or "zone" in self._struck:
            return
        key = f"op/evacuate/{self._random.choice(['zilina-a', 'zilina-b'])}"
        self._deployment.operate({key: {}})
        self._strike("zone", f"{key}", 2.0, lambda: self._take_back(key))

    def _take_back(self, key: str) -> None:
        self._deployment.store.faults()
        self._deployment.operate({}, remove=(key,))
