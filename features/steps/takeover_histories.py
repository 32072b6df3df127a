"""Random histories of faults on virtual time, checked for duplicate runs.

Each history restarts and partitions entries and agents, and loses and delays messages.
"""

import asyncio
from random import Random

from features.steps.takeover_world import LinkState, SimulatedEntry, TakeoverWorld
from wagtailcleat.scheduling.models import RunEnd

ENTRIES = 3
AGENTS = 3
STEPS = 25
MAX_DELAY_SECONDS = 3.0
"""Longer than a leader's validity: a message that arrives after it must be ignored."""
RECOVERY_SECONDS = 30.0
"""How long after the last fault one entry must lead and all jobs must have started: a
new leader's recovery takes 7.7 s, and one change of leader may follow another."""


class History:
    """A `TakeoverWorld` and the random operations that a seed applies to it.

    The operations are the methods named `do_*`.
    """

    def __init__(self, seed: int) -> None:
        """Start without faults."""
        self.seed = seed
        self.random = Random(seed)
        self.world = TakeoverWorld(entries=ENTRIES, agents=AGENTS)
        self.delay_probability = self.random.choice([0.0, 0.02, 0.1])
        self.applied: list[str] = []
        self.world.network.delay_message = self._delay_message

    async def _delay_message(self, source: str, target: str, message: object) -> None:
        if self.random.random() < self.delay_probability:
            await asyncio.sleep(self.random.uniform(0, MAX_DELAY_SECONDS))

    def play(self) -> None:
        """Apply random operations, end all faults and check; then close the world."""
        operations = [getattr(self, name) for name in dir(self) if name[:3] == "do_"]
        try:
            self.world.until_led()
            for _ in range(STEPS):
                operation = self.random.choice(operations)
                operation()
                self.applied.append(
                    f"{self.world.clock():.2f} {operation.__name__[3:]}"
                )
                self.world.wait(self.random.choice([0.01, 0.1, 0.3, 1.0, 2.0]))
                assert not self.world.overlaps, self.describe()
            self.heal()
        finally:
            self.world.close()

    def describe(self) -> str:
        """Return the seed, the duplicate runs and the operations."""
        return f"seed {self.seed}: {self.world.overlaps} after {self.applied}"

    def heal(self) -> None:
        """End all faults; one entry must lead and a new job start."""
        world = self.world
        self.delay_probability = 0.0
        world.network.partitions.clear()
        for process in [*world.entries, *world.agents]:
            process.store.reachable = True
            process.store.request_delay_seconds = process.store.answer_delay_seconds = (
                0.0
            )
        job = world.submit(cores=1.0)

        def started() -> bool:
            self.do_restart()
            for agent, key in world.running():
                if key.task.job != job:
                    agent.worker.end(key, RunEnd.SUCCEEDED)
            return any(key.task.job == job for _, _, key in world.starts)

        world.until(started, RECOVERY_SECONDS, f"a job starts; {self.describe()}")
        world.wait(8.0)
        assert not world.overlaps, self.describe()

    def do_submit(self) -> None:
        """Submit a job of a few tasks."""
        self.world.submit(self.random.randint(1, 3), cores=2.0)

    # A second name doubles the probability of a submission.
    do_submit_more = do_submit

    def do_end(self) -> None:
        """Let a run end with success."""
        if running := self.world.running():
            agent, key = self.random.choice(running)
            agent.worker.end(key, RunEnd.SUCCEEDED)
            agent.following.report_soon()

    def _pick_processes(self) -> list:
        processes = [*self.world.entries, *self.world.agents]
        return self.random.sample(processes, self.random.randint(1, 4))

    def do_cut(self) -> None:
        """Partition some processes from the others, and perhaps from the store."""
        processes = self._pick_processes()
        if self.random.random() < 0.5:
            leading = [e for e in self.world.leading() if e not in processes]
            processes += leading[:1]
        state = self.random.choice([LinkState.REFUSED, LinkState.SILENT])
        self.world.network.partitions.append(
            ({process.host for process in processes}, state)
        )
        if self.random.random() < 0.7:
            for process in processes:
                process.store.reachable = False

    def do_rejoin(self) -> None:
        """End all partitions, and let all processes reach the store."""
        self.world.network.partitions.clear()
        for process in [*self.world.entries, *self.world.agents]:
            process.store.reachable = True

    def do_store_away(self) -> None:
        """Make the store unreachable for all processes."""
        for process in [*self.world.entries, *self.world.agents]:
            process.store.reachable = False

    def do_store_slow(self) -> None:
        """Make the store slow for one entry, and perhaps lose one of its answers."""
        store = self.random.choice(self.world.entries).store
        store.request_delay_seconds = self.random.choice([0.0, 0.0, 0.05, 0.3])
        store.answer_delay_seconds = self.random.choice([0.0, 0.0, 0.05, 0.3])
        store.answers_to_lose = self.random.choice([0, 1])

    def do_kill_entry(self) -> None:
        """Kill an entry, more often the leader."""
        leading = self.world.leading()
        alive = [entry for entry in self.world.entries if entry.alive]
        if leading and self.random.random() < 0.7:
            leading[0].kill()
        elif alive:
            self.random.choice(alive).kill()

    def do_kill_agent(self) -> None:
        """Kill an agent; its worker keeps running."""
        self.random.choice(self.world.agents).kill()

    def do_restart(self) -> None:
        """Restart all killed processes."""
        for process in [*self.world.entries, *self.world.agents]:
            if not process.alive:
                self.world.restart(process)

    def do_stop(self) -> None:
        """Tell the leader to stop; its process exits up to 2 s later."""
        for entry in self.world.leading()[:1]:
            entry.spawn(self._stop(entry))

    async def _stop(self, entry: SimulatedEntry) -> None:
        await entry.leadership.step_down()
        if self.random.random() < 0.5:
            entry.is_listening = False
        await asyncio.sleep(self.random.uniform(0, 2.0))
        entry.kill()


class RetryHistory(History):
    """A history of jobs of two steps, in which runs also fail."""

    def do_submit_steps(self) -> None:
        """Submit a job whose second step waits for the first."""
        self.world.submit(self.random.randint(1, 2), cores=2.0, then=1)

    # A second name doubles the probability of a submission.
    do_submit_steps_more = do_submit_steps

    def do_fail(self) -> None:
        """Let a run fail; its task starts again."""
        if running := self.world.running():
            agent, key = self.random.choice(running)
            agent.worker.end(key, RunEnd.FAILED)
            agent.following.report_soon()

    # A second name doubles the probability of a failure.
    do_fail_more = do_fail


def play_histories(seeds: range, history_type: type[History] = History) -> list[str]:
    """Play a history per seed; return the messages of the failed checks."""
    failures = []
    for seed in seeds:
        try:
            history_type(seed).play()
        except AssertionError as error:
            failures.append(str(error))
    return failures
