"""Fault injection: signals to programs, and fault switches of links and stand-ins."""

import time

from soak.active_faults import ActiveFaults
from soak.deployment import SoakDeployment
from soak.emphasis import Emphasis
from soak.odd_entries import OddEntries
from soak.poison import send_foreign_heartbeat, store_unreadable_job
from soak.shutdowns import Shutdowns
from standins.processes import Process

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
ALONE_SHARE = 0.6
"""Share of the seeds with shutdowns that have no faults but planned ones and pauses."""
LONGEST_INTERVAL_SECONDS = 1.5
POWER_LOSS_SHARE = 0.7
CONFIGURE_SECONDS = 2.0
"""Within this a configuration must be in force."""
CORES = (2.0, 4.0, 6.0)
KINDS = ("a", "b")
SLOWEST_BYTES_PER_SECOND = 200_000
FASTEST_BYTES_PER_SECOND = 800_000


class Faults(ActiveFaults):
    """Injects random faults, decided by a seed; faults may overlap."""

    def __init__(
        self,
        deployment: SoakDeployment,
        seed: int,
        emphasis: Emphasis = Emphasis.NONE,
    ) -> None:
        """Start without faults."""
        super().__init__(deployment, seed)
        self._version = 10
        self._longest_interval = LONGEST_INTERVAL_SECONDS
        self._shutdowns: Shutdowns | None = None
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
        elif emphasis is Emphasis.SHUTDOWNS:
            self._shutdowns = Shutdowns(self, self._configure)
            shutdowns = self._shutdowns.kinds
            alone = self.random.random() < ALONE_SHARE
            others = [] if alone else self._kinds
            self._kinds = [
                *shutdowns * 2,
                self._shutdowns.leave,
                self._configure,
                *others,
            ]
            self._longest_interval *= 2 if alone else 1
        elif emphasis is Emphasis.ODD_ENTRIES:
            odd = OddEntries(self).kinds
            self._kinds = odd * 2 + [self._kill, self._terminate, self._configure]
            self._longest_interval *= 2

    def inject_random(self, seconds: float) -> None:
        """Inject faults for `seconds`, then end them all; power may fail at last."""
        self.inject(self._kinds, seconds, self._longest_interval)
        if self._shutdowns and self.random.random() < POWER_LOSS_SHARE:
            if self.random.random() < 0.5:
                self._configure()
            self.play(self._shutdowns.lose_power)

    def find_unfollowed(self) -> list[str]:
        """Write a configuration; return a line for each entry without its queue."""
        self._configure()
        prefix = f"/extra-{self._version}/"

        def status(entry: int) -> int:
            return self.deployment.call("GET", prefix, entry=entry)[0]

        left = dict.fromkeys(range(len(self.deployment.entries)), 0)
        end = time.monotonic() + CONFIGURE_SECONDS
        while left and time.monotonic() < end:
            left = {entry: seen for entry in left if (seen := status(entry)) != 200}
        return [
            f"last configuration not served: entry-{entry + 1} answers {seen}"
            for entry, seen in left.items()
        ]

    def _kill(self) -> None:
        program = self.pick_unaffected(self.programs())
        if program is not None:
            program.kill()
            seconds = self.random.uniform(0.1, 2.5)
            self.begin([program.name], f"kill {program.name}", seconds, program.start)

    def _terminate(self) -> None:
        program = self.pick_unaffected(self.programs())
        if program is None:
            return
        # SIGTERM: the process keeps serving its open connections until it exits.
        program.signal_to_stop()

        def restart() -> None:
            program.wait_for_end()
            program.start()

        seconds = self.random.uniform(0.5, 4.0)
        description = f"terminate {program.name}"
        self.begin([program.name], description, seconds, restart, planned=True)

    def _pause(self) -> None:
        program = self.pick_unaffected(self.programs())
        if program is not None:
            program.freeze()
            seconds = self.random.uniform(0.2, LONGEST_PAUSE_SECONDS)
            self.begin([program.name], f"pause {program.name}", seconds, program.thaw)

    def _kill_worker(self) -> None:
        worker = self.pick_unaffected(list(self.deployment.workers))
        if worker is not None:
            worker.kill()
            self.killed.append((time.time(), worker.name))
            seconds = self.random.uniform(0.1, 3.0)
            self.begin([worker.name], f"kill {worker.name}", seconds, worker.start)

    def _foreign_heartbeat(self) -> None:
        agent = self.random.randrange(len(self.deployment.agents))
        name = self.deployment.agents[agent].name
        if name not in self.affected:
            self.record(f"heartbeat of a worker of another VM at {name}")
            send_foreign_heartbeat(self.deployment, agent)

    def _unreadable_job(self) -> None:
        if "store" not in self.affected:
            self.record("a job that can't be read")
            store_unreadable_job(self.deployment)

    def _leave(self) -> None:
        """Let a worker drain and leave; the next one begins after its end."""
        worker = self.pick_unaffected(list(self.deployment.workers))
        if worker is None:
            return
        seconds = self.random.choice([0.02, 0.3, 0.8, self.random.uniform(1.0, 6.0)])
        worker.faults(leave_seconds=seconds)

        def restart() -> None:
            worker.wait_for_end()
            self.killed.append((time.time(), worker.name))
            worker.start()

        description = f"{worker.name} leaves and ends after {seconds:.2f} s"
        pause = self.random.uniform(0.6, 2.0)
        self.begin([worker.name], description, seconds + pause, restart, planned=True)

    def _replace_worker(self) -> None:
        """Kill a worker; one of another kind and size takes its place.

        The first worker stays as it is, so that each job can end.
        """
        worker = self.pick_unaffected(list(self.deployment.workers[1:]))
        if worker is None:
            return
        worker.kill()
        self.killed.append((time.time(), worker.name))
        cores, kind = self.random.choice(CORES), self.random.choice(KINDS)
        self.deployment.change_worker(worker, cores, kind)
        description = f"replace {worker.name}: {cores} cores, kind {kind}"
        seconds = self.random.uniform(0.05, 1.0)
        self.begin([worker.name], description, seconds, worker.start)

    def _worker_late(self) -> None:
        self._switch_worker(late_seconds=self.random.uniform(0.3, 2.0))

    def _worker_silent(self) -> None:
        self._switch_worker(silent=True)

    def _switch_worker(self, **switches: float | bool) -> None:
        worker = self.pick_unaffected(list(self.deployment.workers))
        if worker is not None:
            worker.faults(**switches)
            seconds = self.random.uniform(0.5, 5.0)
            description = f"{worker.name} {switches}"
            self.begin([worker.name], description, seconds, worker.faults)

    def _store(self) -> None:
        store = self.pick_unaffected([self.deployment.store])
        if store is None:
            return
        switches: dict[str, object] = self.random.choice(
            [
                {"hang": True},
                {"busy": True},
                {"lose_answers": self.random.randint(1, 6)},
                {"late_seconds": self.random.uniform(0.2, 2.0)},
                {"slow_seconds": self.random.uniform(0.05, 0.4)},
                {"refused_bodies": True},
            ]
        )
        store.faults(**switches)
        seconds = self.random.uniform(0.5, 4.0)
        self.begin([store.name], f"store {switches}", seconds, store.faults)

    def _slow_answers(self) -> None:
        store = self.pick_unaffected([self.deployment.store])
        if store is None:
            return
        rate = self.random.randint(SLOWEST_BYTES_PER_SECOND, FASTEST_BYTES_PER_SECOND)
        switches = {"bytes_per_second": rate}
        if self.random.random() < 0.25:
            switches["stall_after_bytes"] = rate
        store.faults(**switches)
        seconds = self.random.uniform(2.0, 6.0)
        self.begin([store.name], f"store {switches}", seconds, store.faults)

    def _link(self) -> None:
        name = self.random.choice(sorted(self.deployment.links))
        link = self.deployment.links[name]
        if link.name in self.affected:
            return
        switches: dict[str, object] = self.random.choice(
            [
                {"cut": True},
                {"silent": True},
                {"silent_new": True},
                {"hold": True},
                {"delay_seconds": self.random.uniform(0.05, 0.6)},
            ]
        )
        link.faults(**switches)
        seconds = self.random.uniform(0.3, 4.0)
        self.begin([link.name], f"link {name} {switches}", seconds, link.faults)

    def _leader(self) -> None:
        """Pause, kill or silence the leader, or let the store turn it away."""
        leader = self.deployment.find_leader()
        links = self.deployment.links
        if leader is None or leader.name in self.affected:
            return
        to_store, to_peers = (
            links[f"{leader.name}>store"],
            links[f"peers>{leader.name}"],
        )
        if self.affected & {to_store.name, to_peers.name}:
            return
        kind = self.random.choice(("pause", "kill", "silence", "turn away"))
        seconds = self.random.uniform(0.5, 5.0)
        description = f"{kind} the leader {leader.name}"
        if kind == "pause":
            leader.freeze()
            self.begin([leader.name], description, seconds, leader.thaw)
        elif kind == "kill":
            leader.kill()
            self.begin([leader.name], description, seconds, leader.start)
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
        for link in links:
            link.faults(**switches)

        def end_fault() -> None:
            for link in links:
                link.faults()

        names = [link.name for link in links]
        self.begin(names, description, seconds, end_fault)

    def _refuse_zone(self) -> None:
        """Cut the entry and the agent of a zone off together, by refused connections.

        All processes stay alive, and those on one side keep the connections among
        themselves. Sometimes new connections are refused on both sides.
        """
        inside = self.deployment.zone_names(self.random.randrange(CUTTABLE_ZONES))
        seconds = self.random.uniform(SHORTEST_CUT_SECONDS, LONGEST_CUT_SECONDS)
        refuse_both = self.random.random() < 0.5
        outside = [p.name for p in self.programs() if p.name not in inside]
        links = self.deployment.links
        to_store = [links[f"{name}>store"] for name in inside]
        to_peers = {name: links[f"peers>{name}"] for name in [*inside, *outside]}
        affected_links = [*to_store, *to_peers.values()]
        # The programs inside must stay alive, and the end of another fault on one of
        # these links would also end this one.
        affected = {ZONE_CUT, *inside, *(link.name for link in affected_links)}
        if self.affected & affected:
            return
        for link in to_store:
            link.faults(refuse=True, cut=True)
        for name, link in to_peers.items():
            others = outside if name in inside else inside
            link.faults(refuse=refuse_both or name in inside, reset_from=others)

        def end_fault() -> None:
            for link in affected_links:
                link.faults()

        description = f"refusals around {inside}{', of all new' if refuse_both else ''}"
        self.begin(affected, description, seconds, end_fault)

    def _configure(self) -> None:
        if "store" not in self.affected:
            self._version += 1
            queues = ("holds", f"extra-{self._version}")
            self.deployment.configure(version=self._version, queues=queues)
            self.record(f"configuration {self._version}")

    def _zone(self) -> None:
        if "store" in self.affected or "zone" in self.affected:
            return
        key = f"op/evacuate/{self.random.choice(['zilina-a', 'zilina-b'])}"
        self.deployment.write_as_operator({key: {}})
        self.begin(["zone"], key, 2.0, lambda: self._cancel_evacuation(key))

    def _cancel_evacuation(self, key: str) -> None:
        self.deployment.store.faults()
        self.deployment.write_as_operator({}, remove=(key,))
