"""Random histories of late calls, silences, freezes and changes of leaders.

    python -m features.steps.late_histories FIRST LAST [FLAGS]

plays the seeds FIRST to LAST and prints the broken rules of each; the exit code is 1
if there are any. `--restarts`, `--breaks`, `--kinds`, `--departures` and `--stops` add
these, `--trace` prints all events of a history with a broken rule.
"""

import asyncio
import logging
import math
import sys
from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from features.steps.departures import draw, leave
from features.steps.late_worker import CALLS, CallFaults, PlatformWorker
from features.steps.late_world import RACK, FreezableProcess, LateWorld
from features.steps.scheduling_world import SERVICE, plain
from features.steps.start_rules import Capability
from features.steps.takeover_world import LinkState
from wagtailcleat.resources import Resources
from wagtailcleat.scheduling.models import RunEnd, Step

ENTRIES = 3
AGENTS = 3
STEPS = 30
MAX_DELAY_SECONDS = 3.0
LATE_TAIL_SECONDS = 13.0
"""Longer than any late call takes to be carried out."""
RECOVERY_SECONDS = 15.0
"""How long after the last fault a new job may take to succeed."""
LINK_RATES = (math.inf, 2_000.0, 600.0)
"""Bytes a second of the leader's link; a start has some 80 bytes."""
LISTED_SECONDS = 5.0
"""How long after that the last end may take to be acknowledged."""


class Faults(NamedTuple):
    """Faults that not all histories have."""

    restarts: bool
    """Whether workers restart under their ids."""
    breaks: bool
    """Whether connections of late calls break, and workers are unhealthy."""
    kinds: bool = False
    """Whether workers differ, jobs restrict where they run, and links are slow."""
    departures: bool = False
    """Whether workers leave as `departures` describes, and no other way."""
    stops: bool = False
    """Whether agents are told to stop, often just after a start."""


class LateHistory:
    """A `LateWorld` and the random operations that a seed applies to it.

    The operations are the methods named `do_*`.
    """

    def __init__(self, seed: int, faults: Faults) -> None:
        """Start without faults; `faults` says which may come."""
        self.random = random = Random(seed)
        weights = random.choice([(1.0, 1.0, 1.0), (0.5, 1.0, 2.0)])
        self.world = LateWorld(
            entries=ENTRIES, agents=AGENTS, random=random, weights=weights
        )
        self.delay_probability = 0.0
        self.world.network.delay_message = self._delay_message
        self._has_kinds = faults.kinds
        left_out = set()
        if not faults.restarts:
            left_out.add("do_crash")
        if not faults.breaks:
            left_out |= {"do_break", "do_unhealthy"}
        if not faults.stops:
            left_out |= {"do_stop_agent", "do_stop_agent_more"}
        if not faults.kinds:
            left_out |= {"do_submit_restricted", "do_submit_restricted_more"}
            left_out |= {"do_replace", "do_replace_more"}
        if faults.departures:
            left_out |= {"do_leave", "do_replace", "do_replace_more"}
            nodes = self.world.worker_by_node
            self.world.local_nodes |= {n for n in nodes if random.random() < 0.7}
            addresses = Random(f"addresses/{seed}")
            self.world.second_nodes |= {n for n in nodes if addresses.random() < 0.5}
        else:
            left_out |= {"do_depart", "do_depart_more", "do_depart_again"}
        self._operations = [
            getattr(self, name)
            for name in dir(self)
            if name.startswith("do_") and name not in left_out
        ]
        if faults.kinds:
            self.world.link_bytes_per_second = random.choice(LINK_RATES)
            for worker in self._workers()[1:]:
                worker.next_capability = self._draw_capability
        checkpoint_bytes = random.choice([0, 700])
        fail = random.choice([0.0, 0.0, 0.2])
        for worker in self._workers():
            worker.checkpoint_bytes = checkpoint_bytes
            worker.run_end = lambda key: (
                RunEnd.FAILED if random.random() < fail else RunEnd.SUCCEEDED
            )

    async def _delay_message(self, source: str, target: str, message: object) -> None:
        if self.random.random() < self.delay_probability:
            await asyncio.sleep(self.random.uniform(0, MAX_DELAY_SECONDS))

    def play(self) -> list[str]:
        """Apply random operations, end all faults; return the broken rules."""
        world = self.world
        try:
            world.until_led()
            world.wait(2.0)
            for _ in range(STEPS):
                operation = self.random.choice(self._operations)
                world.trace(f"-- {operation.__name__[3:]}")
                operation()
                world.wait(self.random.choice([0.01, 0.1, 0.3, 1.0, 2.0]))
                if world.breaches():
                    return world.breaches()
            return self._heal()
        finally:
            world.close()

    def _workers(self) -> list[PlatformWorker]:
        return list(self.world.worker_by_node.values())

    def _processes(self) -> list[FreezableProcess]:
        return [*self.world.entries, *self.world.agents]

    def _heal(self) -> list[str]:
        """End all faults; return the broken rules."""
        world = self.world
        world.trace("-- heal")
        world.network.partitions.clear()
        self.delay_probability = 0.0
        world.heartbeat_delay = lambda: 0.0
        for worker in self._workers():
            worker.faults = CallFaults()
            worker.run_end = lambda key: RunEnd.SUCCEEDED
            worker.frozen.set()
            if worker.boot is None:
                worker.start()
        for job in world.job_by_id.values():
            # Restricted tasks may have one worker only, and go on for long.
            if self._has_kinds or any(step.long_running for step in job.steps):
                world.cancel(job.id)
        for process in self._processes():
            process.store.reachable = True
            if process.frozen:
                process.thaw()
            if not process.alive:
                world.restart(process)
        world.wait(LATE_TAIL_SECONDS)
        job = world.submit(2, cores=1.0)
        started_at = world.clock()
        while world.clock() < started_at + RECOVERY_SECONDS and not self._done(job):
            world.wait(0.1)
        found = world.breaches()
        if not self._done(job):
            found.append(f"progress: {job} has not succeeded in {RECOVERY_SECONDS} s")
        world.wait(LISTED_SECONDS)
        found += [
            f"listed: {worker.instance} still lists {worker.boot.ends}"
            for worker in self._workers()
            if worker.boot is not None and worker.boot.ends
        ]
        return found

    def _done(self, job: str) -> bool:
        done = {
            run.key.task
            for run in self.world.oracle.runs
            if run.key.task.job == job and run.how is RunEnd.SUCCEEDED
        }
        return len(done) == 2

    def do_submit(self) -> None:
        """Submit a job of a few tasks."""
        cores = self.random.choice([2.0, 4.0, 7.0])
        self.world.submit(self.random.randint(1, 4), cores=cores)

    do_submit_more = do_submit

    def do_submit_steps(self) -> None:
        """Submit a job of two steps, or one whose task lasts until it is cancelled."""
        cores = self.random.choice([2.0, 4.0])
        if self.random.random() < 0.3:
            self.world.submit_steps(plain(1, cores=cores, long_running=True))
        else:
            first = plain(2, cores=cores, checkpointable=True)
            self.world.submit_steps(first, plain(2, cores=cores, after=(0,)))

    def _draw_capability(self) -> Capability:
        """Return what a worker's next incarnation is capable of."""
        cores = self.random.choice([4.0, 8.0, 12.0])
        memory_mb = self.random.choice([8_000, 128_000])
        service = self.random.choice([SERVICE, SERVICE, SERVICE, "other-service"])
        kind = self.random.choice(["a", "b"])
        return Capability(Resources(cores, memory_mb, 0), service, (kind, RACK))

    def do_submit_restricted(self) -> None:
        """Submit a job whose tasks may run on some workers only, or few on each."""
        random = self.random
        step = Step(
            random.randint(1, 6),
            Resources(random.choice([0.5, 2.0, 4.0]), random.choice([100, 3_000]), 0),
            max_per_vm=random.choice([0, 1, 1, 2]),
            required_label=random.choice(["", "", "a", "b"]),
            fills=random.random() < 0.2,
            checkpointable=True,
        )
        self.world.submit_steps(step)

    do_submit_restricted_more = do_submit_restricted

    def do_replace(self) -> None:
        """Replace a worker, whose place one of another kind and id takes soon.

        A burst is submitted just before, so that starts to the worker are waiting.
        """
        self.do_submit_restricted()
        self.do_submit_restricted()
        self.world.wait(self.random.choice([0.0, 0.02, 0.1, 0.3]))
        worker = self.random.choice(self._workers())
        if worker.boot is None:
            return
        worker.leave()
        seconds = self.random.choice([0.01, 0.05, 0.3])
        self.world.loop.call_later(seconds, self._start, worker)

    do_replace_more = do_replace

    def do_cancel(self) -> None:
        """Cancel a job."""
        if jobs := list(self.world.job_by_id):
            self.world.cancel(self.random.choice(jobs))

    def do_leave(self) -> None:
        """Let a worker leave for good; another one begins on its VM."""
        node, worker = self.random.choice(list(self.world.worker_by_node.items()))
        if worker.boot is None:
            return
        left = worker.leave()
        agent = self.world.agent(node)
        if agent.alive and self.random.random() < 0.7:
            agent.create_task(agent.hosting.leave(*left))
        seconds = self.random.choice([0.05, 0.5, 2.0])
        self.world.loop.call_later(seconds, self._start, worker)

    def do_depart(self) -> None:
        """Let a worker drain and leave; it may go on for long after its `leave`."""
        node = self.random.choice(list(self.world.worker_by_node))
        how = draw(self.random)
        self.world.loop.create_task(leave(self.world, node, how))

    do_depart_more = do_depart_again = do_depart

    def do_late(self) -> None:
        """Let a worker carry some calls out late."""
        worker = self.random.choice(self._workers())
        names = self.random.choice([CALLS, ("start",), ("start", "stop"), ("list",)])
        chance = self.random.choice([0.2, 0.5, 0.9])
        worker.faults.late = dict.fromkeys(names, chance)
        worker.faults.late_seconds = self.random.choice([(0.4, 2.0), (2.0, 12.0)])

    do_late_more = do_late

    def do_all_late(self) -> None:
        """Let all workers carry some orders out late."""
        chance = self.random.choice([0.3, 0.6])
        for worker in self._workers():
            worker.faults.late = dict.fromkeys(("start", "stop", "pace"), chance)

    def do_unhealthy(self) -> None:
        """Let a worker refuse some calls because it is unhealthy."""
        worker = self.random.choice(self._workers())
        worker.faults.unhealthy = dict.fromkeys(CALLS, 0.3)

    def do_break(self) -> None:
        """Let the connections of some late calls to a worker break."""
        worker = self.random.choice(self._workers())
        worker.faults.broken = 0.5

    def do_lose(self) -> None:
        """Let a worker lose some calls or answers."""
        worker = self.random.choice(self._workers())
        chance = self.random.choice([0.1, 0.4])
        worker.faults.lost = dict.fromkeys(CALLS, chance)
        worker.faults.unanswered = dict.fromkeys(CALLS, chance)

    def do_answer(self) -> None:
        """Let a worker answer all calls again."""
        self.random.choice(self._workers()).faults = CallFaults()

    def do_silence(self) -> None:
        """Let a worker answer nobody for a while, and then carry on."""
        worker = self.random.choice(self._workers())
        worker.frozen.clear()
        worker.trace("is silent")
        seconds = self.random.choice([0.3, 1.0, 3.0, 6.0])
        self.world.loop.call_later(seconds, worker.frozen.set)

    def do_crash(self) -> None:
        """Crash a worker, which comes back with the same id."""
        worker = self.random.choice(self._workers())
        if worker.boot is None:
            return
        worker.crash()
        seconds = self.random.choice([0.05, 0.5, 2.0])
        self.world.loop.call_later(seconds, self._start, worker)

    def _start(self, worker: PlatformWorker) -> None:
        if worker.boot is None:
            worker.start()

    def do_heartbeats(self) -> None:
        """Delay heartbeats, or no longer."""
        longest = self.random.choice([0.0, 0.5, 3.0])
        self.world.heartbeat_delay = lambda: self.random.uniform(0.0, longest)

    def do_freeze_agent(self) -> None:
        """Freeze an agent."""
        self._freeze(self.random.choice(self.world.agents))

    def do_freeze_leader(self) -> None:
        """Freeze the leader."""
        for entry in self.world.leading()[:1]:
            self._freeze(entry)

    def _freeze(self, process: FreezableProcess) -> None:
        if process.frozen or not process.alive:
            return
        process.freeze()
        seconds = self.random.choice([0.2, 0.7, 1.5, 2.1, 3.0, 5.0])
        timers_first = self.random.random() < 0.5
        self.world.loop.call_later(seconds, self._thaw, process, timers_first)

    def _thaw(self, process: FreezableProcess, timers_first: bool) -> None:
        if process.frozen:
            process.thaw(timers_first=timers_first)

    def do_kill_leader(self) -> None:
        """Kill the leader."""
        for entry in self.world.leading()[:1]:
            entry.kill()

    def do_step_down(self) -> None:
        """Tell the leader to stop; its process ends a little later."""
        for entry in self.world.leading()[:1]:
            entry.spawn(entry.leadership.step_down())
            self.world.loop.call_later(0.5, entry.kill)

    def do_kill_agent(self) -> None:
        """Kill an agent; its worker keeps running."""
        self.random.choice(self.world.agents).kill()

    def do_restart_agent(self) -> None:
        """Kill an agent that has started something, and restart it soon."""
        worker = self.random.choice(self._workers())
        chance = self.random.choice([0.5, 1.0])
        worker.faults.late = dict.fromkeys(("start",), chance)
        worker.faults.late_seconds = (0.5, 4.0)
        self.world.submit(2, cores=2.0)
        self.world.wait(self.random.uniform(0.05, 0.5))
        node = next(n for n, w in self.world.worker_by_node.items() if w is worker)
        agent = self.world.agent(node)
        agent.kill()
        seconds = self.random.uniform(0.05, 1.0)
        self.world.loop.call_later(seconds, self._restart, agent)

    do_restart_agent_more = do_restart_agent

    def do_stop_agent(self) -> None:
        """Tell an agent to stop, with starts in flight; it starts again later."""
        random = self.random
        for worker in self._workers():
            worker.faults.late = dict.fromkeys(("start",), random.choice([0.0, 0.5]))
            worker.faults.late_seconds = (0.1, 4.0)
        self.world.submit(random.randint(1, 6), cores=2.0)
        self.world.wait(random.uniform(0.0, 0.2))
        agent = random.choice(self.world.agents)
        if not agent.alive or agent.frozen:
            return
        agent.spawn(agent.stop())
        seconds = 1.0 + random.uniform(0.05, 3.0)
        self.world.loop.call_later(seconds, self._restart_stopped, agent)

    do_stop_agent_more = do_stop_agent

    def _restart_stopped(self, agent: FreezableProcess) -> None:
        if agent in self._processes() and not agent.alive:
            self.world.restart(agent)

    def _restart(self, process: FreezableProcess) -> None:
        if process in self._processes():
            self.world.restart(process)

    def do_delay(self) -> None:
        """Delay some messages between processes, or none any more."""
        self.delay_probability = self.random.choice([0.0, 0.02, 0.1])

    def do_restart(self) -> None:
        """Restart all killed processes."""
        for process in self._processes():
            if not process.alive:
                self.world.restart(process)

    do_restart_again = do_restart

    def do_cut(self) -> None:
        """Partition some processes from the others, and perhaps from the store."""
        processes = self.random.sample(self._processes(), self.random.randint(1, 3))
        state = self.random.choice([LinkState.REFUSED, LinkState.SILENT])
        hosts = {process.host for process in processes}
        self.world.network.partitions.append((hosts, state))
        if self.random.random() < 0.5:
            for process in processes:
                process.store.reachable = False

    def do_rejoin(self) -> None:
        """End all partitions, and let all processes reach the store."""
        self.world.network.partitions.clear()
        for process in self._processes():
            process.store.reachable = True

    do_rejoin_again = do_rejoin


class _TraceHandler(logging.Handler):
    """Adds the log records of the package to a world's events."""

    def __init__(self, world: LateWorld) -> None:
        super().__init__()
        self._world = world

    def emit(self, record: logging.LogRecord) -> None:
        known = vars(logging.makeLogRecord({}))
        fields = {k: v for k, v in vars(record).items() if k not in known}
        self._world.trace(f"   log: {record.getMessage()} {fields}")


def play_histories(seeds: Iterable[int], faults: Faults) -> list[str]:
    """Play a history for each seed; return the broken rules with their seeds."""
    return [
        f"seed {seed}: {breach}"
        for seed in seeds
        for breach in LateHistory(seed, faults).play()
    ]


def main(arguments: list[str]) -> int:
    """Play histories, print the broken rules and return the exit code."""
    logging.getLogger().setLevel(logging.INFO)
    flags = ("--restarts", "--breaks", "--kinds", "--departures", "--stops")
    faults = Faults(*(flag in arguments for flag in flags))
    exit_code = 0
    for seed in range(int(arguments[1]), int(arguments[2]) + 1):
        history = LateHistory(seed, faults)
        logging.getLogger().handlers = [_TraceHandler(history.world)]
        breaches = history.play()
        if breaches:
            exit_code = 1
            shown = history.world.lines if "--trace" in arguments else []
            print(
                "\n".join([f"seed {seed}: {b}" for b in breaches] + shown), flush=True
            )
    return exit_code


if __name__ == "__main__":
    sys.exit(main(sys.argv))
