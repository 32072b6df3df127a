"""Fault injection: signals to programs, and fault switches of links and stand-ins."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from soak.deployment import SoakDeployment
from soak.poison import send_foreign_heartbeat, store_unreadable_job
from standins.processes import Process

Undo = Callable[[], None]
LONGEST_PAUSE_SECONDS = 6.0
"""Longer than a leader acts without a renewal, and than runs go on without an agent."""

SHORTEST_CUT_SECONDS = 6.0
LONGEST_CUT_SECONDS = 11.0
"""Longer than runs go on without a leader, and than the next leader's recovery."""
ZONE_CUT = "zone cut"
CUTTABLE_ZONES = 2
"""The first zones, each of which has an entry and an agent."""
EMPHASIS_WEIGHT = 12
"""How many times an emphasised kind of fault is listed among the others.

This makes it nearly half of all faults: most seeds see two cuts, one around the leader,
and few other faults at the same time, which would hide the effect of the cut alone.
"""
CORES = (2.0, 4.0, 6.0)
KINDS = ("a", "b")
SLOWEST_BYTES_PER_SECOND = 200_000
FASTEST_BYTES_PER_SECOND = 800_000


class Emphasis(Enum):
    """A kind of fault that is made frequent; each has its own recorded seeds."""

    NONE = ""
    REFUSALS = "refusals"
    """Zones are cut off by refused connections."""
    SLOW_ANSWERS = "slow-answers"
    """Long answers of the store take seconds to arrive, or stall midway."""
    KINDS = "kinds"
    """Workers are replaced by others, and jobs restrict where their tasks run."""
    LEADERS = "leaders"
    """The leader is paused, killed, silenced or turned away; one entry is larger."""
    DEPARTURES = "departures"
    """Workers drain and leave; they end at once, or run on for seconds after that."""
    POISON = "poison"
    """Jobs far overdue, endless or invalid, unreadable values, foreign heartbeats."""


@dataclass(order=True)
class _ActiveFault:
    """An active fault: when it ends, and the function that ends it."""

    at: float
    undo: Undo = field(compare=False)
    description: str = field(compare=False, default="")


class Faults:
    """Injects random faults, decided by a seed; faults may overlap."""

    def __init__(
        self,
        deployment: SoakDeployment,
        seed: int,
        emphasis: Emphasis = Emphasis.NONE,
    ) -> None:
        """Start without faults."""
        self.log: list[tuple[float, str]] = []
        """Wall clock seconds and description of each start and end of a fault."""
        self.killed: list[tuple[float, str]] = []
        """Wall clock seconds and name of each worker that was killed with its runs."""
        self._deployment = deployment
        self._random = random.Random(f"faults/{seed}")
        self._active: list[_ActiveFault] = []
        self._affected: set[str] = set()
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
            self._kinds += [self._refuse_zone] * EMPHASIS_WEIGHT
        elif emphasis is Emphasis.SLOW_ANSWERS:
            self._kinds += [self._slow_answers] * EMPHASIS_WEIGHT
        elif emphasis is Emphasis.KINDS:
            self._kinds += [self._replace_worker] * EMPHASIS_WEIGHT
        elif emphasis is Emphasis.LEADERS:
            self._kinds += [self._leader] * EMPHASIS_WEIGHT
        elif emphasis is Emphasis.DEPARTURES:
            self._kinds += [self._leave] * EMPHASIS_WEIGHT
        elif emphasis is Emphasis.POISON:
            self._kinds += [self._foreign_heartbeat] * EMPHASIS_WEIGHT
            self._kinds += [self._unreadable_job, self._terminate] * 2

    def inject(self, seconds: float) -> None:
        """Inject faults for `seconds`, then end them all."""
        end = time.monotonic() + seconds
        next_at = time.monotonic()
        while time.monotonic() < end:
            self._end_due(time.monotonic())
            if time.monotonic() >= next_at:
                self._random.choice(self._kinds)()
                next_at = time.monotonic() + self._random.uniform(0.1, 1.5)
            time.sleep(0.02)
        self._end_due(float("inf"))

    def _end_due(self, now: float) -> None:
        while self._active and min(self._active).at <= now:
            fault = min(self._active)
            self._active.remove(fault)
            self._record(f"end of {fault.description}")
            fault.undo()

    def _record(self, description: str) -> None:
        self.log.append((time.time(), description))

    def _inject(self, name: str, description: str, seconds: float, undo: Undo) -> None:
        self._record(description)
        self._affected.add(name)

        def end_fault() -> None:
            self._affected.discard(name)
            undo()

        self._active.append(
            _ActiveFault(time.monotonic() + seconds, end_fault, description)
        )

    def _pick_unaffected(self, processes: list[Process]) -> Process | None:
        """Return a random live process without an active fault, or None."""
        left = [p for p in processes if p.name not in self._affected and p.alive]
        return self._random.choice(left) if left else None

    def _programs(self) -> list[Process]:
        return [*self._deployment.entries, *self._deployment.agents]

    def _kill(self) -> None:
        program = self._pick_unaffected(self._programs())
        if program is not None:
            program.kill()
            seconds = self._random.uniform(0.1, 2.5)
            self._inject(program.name, f"kill {program.name}", seconds, program.start)

    def _terminate(self) -> None:
        program = self._pick_unaffected(self._programs())
        if program is None:
            return
        # SIGTERM: the process keeps serving its open connections until it exits.
        program.signal_to_stop()

        def restart() -> None:
            program.wait_for_end()
            program.start()

        seconds = self._random.uniform(0.5, 4.0)
        self._inject(program.name, f"terminate {program.name}", seconds, restart)

    def _pause(self) -> None:
        program = self._pick_unaffected(self._programs())
        if program is not None:
            program.freeze()
            seconds = self._random.uniform(0.2, LONGEST_PAUSE_SECONDS)
            self._inject(program.name, f"pause {program.name}", seconds, program.thaw)

    def _kill_worker(self) -> None:
        worker = self._pick_unaffected(list(self._deployment.workers))
        if worker is not None:
            worker.kill()
            self.killed.append((time.time(), worker.name))
            seconds = self._random.uniform(0.1, 3.0)
            self._inject(worker.name, f"kill {worker.name}", seconds, worker.start)

    def _foreign_heartbeat(self) -> None:
        agent = self._random.randrange(len(self._deployment.agents))
        name = self._deployment.agents[agent].name
        if name not in self._affected:
            self._record(f"heartbeat of a worker of another VM at {name}")
            send_foreign_heartbeat(self._deployment, agent)

    def _unreadable_job(self) -> None:
        if "store" not in self._affected:
            self._record("a job that can't be read")
            store_unreadable_job(self._deployment)

    def _leave(self) -> None:
        """Let a worker drain and leave; the next one begins after its end."""
        worker = self._pick_unaffected(list(self._deployment.workers))
        if worker is None:
            return
        seconds = self._random.choice([0.02, 0.3, 0.8, self._random.uniform(1.0, 6.0)])
        worker.faults(leave_seconds=seconds)

        def restart() -> None:
            worker.wait_for_end()
            self.killed.append((time.time(), worker.name))
            worker.start()

        description = f"{worker.name} leaves and ends after {seconds:.2f} s"
        pause = self._random.uniform(0.6, 2.0)
        self._inject(worker.name, description, seconds + pause, restart)

    def _replace_worker(self) -> None:
        """Kill a worker; one of another kind and size takes its place.

        The first worker stays as it is, so that each job can end.
        """
        worker = self._pick_unaffected(list(self._deployment.workers[1:]))
        if worker is None:
            return
        worker.kill()
        self.killed.append((time.time(), worker.name))
        cores, kind = self._random.choice(CORES), self._random.choice(KINDS)
        self._deployment.change_worker(worker, cores, kind)
        description = f"replace {worker.name}: {cores} cores, kind {kind}"
        seconds = self._random.uniform(0.05, 1.0)
        self._inject(worker.name, description, seconds, worker.start)

    def _worker_late(self) -> None:
        self._switch_worker(late_seconds=self._random.uniform(0.3, 2.0))

    def _worker_silent(self) -> None:
        self._switch_worker(silent=True)

    def _switch_worker(self, **switches: float | bool) -> None:
        worker = self._pick_unaffected(list(self._deployment.workers))
        if worker is not None:
            worker.faults(**switches)
            seconds = self._random.uniform(0.5, 5.0)
            description = f"{worker.name} {switches}"
            self._inject(worker.name, description, seconds, worker.faults)

    def _store(self) -> None:
        store = self._pick_unaffected([self._deployment.store])
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
        self._inject(store.name, f"store {switches}", seconds, store.faults)

    def _slow_answers(self) -> None:
        store = self._pick_unaffected([self._deployment.store])
        if store is None:
            return
        rate = self._random.randint(SLOWEST_BYTES_PER_SECOND, FASTEST_BYTES_PER_SECOND)
        switches = {"bytes_per_second": rate}
        if self._random.random() < 0.25:
            switches["stall_after_bytes"] = rate
        store.faults(**switches)
        seconds = self._random.uniform(2.0, 6.0)
        self._inject(store.name, f"store {switches}", seconds, store.faults)

    def _link(self) -> None:
        name = self._random.choice(sorted(self._deployment.links))
        link = self._deployment.links[name]
        if link.name in self._affected:
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
        self._inject(link.name, f"link {name} {switches}", seconds, link.faults)

    def _leader(self) -> None:
        """Pause, kill or silence the leader, or let the store turn it away."""
        leader = self._deployment.find_leader()
        links = self._deployment.links
        if leader is None or leader.name in self._affected:
            return
        to_store, to_peers = (
            links[f"{leader.name}>store"],
            links[f"peers>{leader.name}"],
        )
        if self._affected & {to_store.name, to_peers.name}:
            return
        kind = self._random.choice(("pause", "kill", "silence", "turn away"))
        seconds = self._random.uniform(0.5, 5.0)
        description = f"{kind} the leader {leader.name}"
        if kind == "pause":
            leader.freeze()
            self._inject(leader.name, description, seconds, leader.thaw)
        elif kind == "kill":
            leader.kill()
            self._inject(leader.name, description, seconds, leader.start)
        else:
            switches = {"silent": True, "silent_new": True}
            if kind == "turn away":
                switches = {"cut": True, "refuse": True}
            cut = [to_store] if kind == "turn away" else [to_store, to_peers]
            self._cut_links(cut, switches, description, seconds)

    def _cut_links(
        self,
        links: list[Process],
        switches: dict[str, bool],
        description: str,
        seconds: float,
    ) -> None:
        names = {link.name for link in links}
        for link in links:
            link.faults(**switches)
        self._affected |= names

        def end_fault() -> None:
            self._affected -= names
            for link in links:
                link.faults()

        self._inject(min(names), description, seconds, end_fault)

    def _refuse_zone(self) -> None:
        """Cut the entry and the agent of a zone off together, by refused connections.

        All processes stay alive, and those on one side keep the connections among
        themselves. Sometimes new connections are refused on both sides.
        """
        inside = self._deployment.zone_names(self._random.randrange(CUTTABLE_ZONES))
        seconds = self._random.uniform(SHORTEST_CUT_SECONDS, LONGEST_CUT_SECONDS)
        refuse_both = self._random.random() < 0.5
        outside = [p.name for p in self._programs() if p.name not in inside]
        links = self._deployment.links
        to_store = [links[f"{name}>store"] for name in inside]
        to_peers = {name: links[f"peers>{name}"] for name in [*inside, *outside]}
        affected_links = [*to_store, *to_peers.values()]
        # The programs inside must stay alive, and the end of another fault on one of
        # these links would also end this one.
        affected = {ZONE_CUT, *inside, *(link.name for link in affected_links)}
        if self._affected & affected:
            return
        for link in to_store:
            link.faults(refuse=True, cut=True)
        for name, link in to_peers.items():
            others = outside if name in inside else inside
            link.faults(refuse=refuse_both or name in inside, reset_from=others)
        self._affected |= affected

        def end_fault() -> None:
            self._affected -= affected
            for link in affected_links:
                link.faults()

        description = f"refusals around {inside}{', of all new' if refuse_both else ''}"
        self._inject(ZONE_CUT, description, seconds, end_fault)

    def _configure(self) -> None:
        if "store" not in self._affected:
            self._version += 1
            queues = ("holds", f"extra-{self._version}")
            self._deployment.configure(version=self._version, queues=queues)
            self._record(f"configuration {self._version}")

    def _zone(self) -> None:
        if "store" in self._affected or "zone" in self._affected:
            return
        key = f"op/evacuate/{self._random.choice(['zilina-a', 'zilina-b'])}"
        self._deployment.write_as_operator({key: {}})
        self._inject("zone", f"{key}", 2.0, lambda: self._cancel_evacuation(key))

    def _cancel_evacuation(self, key: str) -> None:
        self._deployment.store.faults()
        self._deployment.write_as_operator({}, remove=(key,))
