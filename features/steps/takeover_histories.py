"""Random histories of entries, agents, cuts, losses and delays on virtual time."""

import asyncio
from random import Random

from features.steps.takeover_world import PretendedEntry, TakeoverWorld, Way
from wagtailcleat.scheduling.models import RunEnd

ENTRIES = 3
AGENTS = 3
STEPS = 25
LONGEST_DELAY = 3.0
"""Longer than a leader's validity: what arrives then must count for nothing."""
HEALED_SECONDS = 30.0
"""Within which, without faults, one entry leads and all work has started: what a new
leader waits for takes 7.7 s, and a leader may come after a leader."""


class History:
    """A world and what has been done to it, by a seed."""

    def __init__(self, seed: int) -> None:
        """Begin whole."""
        self.seed = seed
        self.random = Random(seed)
        self.world = TakeoverWorld(entries=ENTRIES, agents=AGENTS)
        self.delayed_share = self.random.choice([0.0, 0.02, 0.1])
        self.done: list[str] = []
        self.world.network.hold = self._hold

    async def _hold(self, near: str, far: str, message: object) -> None:
        if self.random.random() < self.delayed_share:
            await asyncio.sleep(self.random.uniform(0, LONGEST_DELAY))

    def play(self) -> None:
        """Do random things, heal, and check; the world is closed after it."""
        operations = [getattr(self, name) for name in dir(self) if name[:3] == "do_"]
        try:
            self.world.until_led()
            for _ in range(STEPS):
                operation = self.random.choice(operations)
                operation()
                self.done.append(f"{self.world.clock():.2f} {operation.__name__[3:]}")
                self.world.wait(self.random.choice([0.01, 0.1, 0.3, 1.0, 2.0]))
                assert not self.world.overlaps, self.told()
            self.heal()
        finally:
            self.world.close()

    def told(self) -> str:
        """Return what was done and what ran twice."""
        return f"seed {self.seed}: {self.world.overlaps} after {self.done}"

    def heal(self) -> None:
        """End all faults; one entry must lead and all work start."""
        world = self.world
        self.delayed_share = 0.0
        world.network.cut.clear()
        for process in [*world.entries, *world.agents]:
            process.store.reached = True
            process.store.slow_seconds = process.store.answer_seconds = 0.0
        job = world.submit(cores=1.0)

        def started() -> bool:
            self.do_restart()
            for agent, key in world.running():
                if key.task.job != job:
                    agent.worker.end(key, RunEnd.SUCCEEDED)
            return any(key.task.job == job for _, _, key in world.starts)

        world.until(started, HEALED_SECONDS, f"a job starts; {self.told()}")
        world.wait(8.0)
        assert not world.overlaps, self.told()

    # ---- what can happen

    def do_submit(self) -> None:
        """Hand in a job of a few tasks."""
        self.world.submit(self.random.randint(1, 3), cores=2.0)

    do_submit_more = do_submit

    def do_end(self) -> None:
        """Let a run succeed."""
        if running := self.world.running():
            agent, key = self.random.choice(running)
            agent.worker.end(key, RunEnd.SUCCEEDED)
            agent.following.report_soon()

    def _some(self) -> list:
        processes = [*self.world.entries, *self.world.agents]
        return self.random.sample(processes, self.random.randint(1, 4))

    def do_cut(self) -> None:
        """Cut some processes off from the others, and perhaps from the store."""
        some = self._some()
        if self.random.random() < 0.5:
            leading = [e for e in self.world.leading() if e not in some]
            some += leading[:1]
        way = self.random.choice([Way.REFUSED, Way.SILENT])
        self.world.network.cut.append(({process.host for process in some}, way))
        if self.random.random() < 0.7:
            for process in some:
                process.store.reached = False

    def do_rejoin(self) -> None:
        """End all cuts, and give all processes the store."""
        self.world.network.cut.clear()
        for process in [*self.world.entries, *self.world.agents]:
            process.store.reached = True

    def do_store_away(self) -> None:
        """Take the store from everybody."""
        for process in [*self.world.entries, *self.world.agents]:
            process.store.reached = False

    def do_store_slow(self) -> None:
        """Make the store slow for one entry, and lose an answer of it."""
        store = self.random.choice(self.world.entries).store
        store.slow_seconds = self.random.choice([0.0, 0.0, 0.05, 0.3])
        store.answer_seconds = self.random.choice([0.0, 0.0, 0.05, 0.3])
        store.loses_answers = self.random.choice([0, 1])

    def do_kill_entry(self) -> None:
        """Kill an entry, mostly the one that leads."""
        leading = self.world.leading()
        alive = [entry for entry in self.world.entries if entry.alive]
        if leading and self.random.random() < 0.7:
            leading[0].kill()
        elif alive:
            self.random.choice(alive).kill()

    def do_kill_agent(self) -> None:
        """Kill an agent; its worker runs on."""
        self.random.choice(self.world.agents).kill()

    def do_restart(self) -> None:
        """Start what was killed again."""
        for process in [*self.world.entries, *self.world.agents]:
            if not process.alive:
                self.world.restart(process)

    def do_stop(self) -> None:
        """Tell the leader to stop; its process ends a little later."""
        for entry in self.world.leading()[:1]:
            entry.spawn(self._stop(entry))

    async def _stop(self, entry: PretendedEntry) -> None:
        await entry.leadership.step_down()
        if self.random.random() < 0.5:
            entry.listens = False
        await asyncio.sleep(self.random.uniform(0, 2.0))
        entry.kill()


def play_histories(seeds: range) -> list[str]:
    """Play a history for each seed; return what broke a promise."""
    broken = []
    for seed in seeds:
        try:
            History(seed).play()
        except AssertionError as error:
            broken.append(str(error))
    return broken
