"""Signals to stop and to reload, one by one and in series, and a loss of all power."""

import json
import signal
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from soak.active_faults import ActiveFaults
from standins.processes import Process

GRACE_SECONDS = 6.0
"""How long after SIGTERM the platform kills a process."""
PAUSE_SECONDS = 4.5
AWAY_SECONDS = 7.0
"""Longer than leases last, so that no new worker tells what has become of the old."""
POLL_SECONDS = 0.005
START_SECONDS = 15.0
EARLIEST_SIGNAL_SECONDS = 0.1
"""Processor time after which the interpreter itself has started, twice over."""
LATEST_SIGNAL_SECONDS = 0.6
LOG_LEVELS = ("INFO", "DEBUG")
"""Those with which a program logs that it has started."""


class Shutdowns:
    """Faults that planned work brings with it, for `ActiveFaults`."""

    def __init__(self, faults: ActiveFaults, configure: Callable[[], None]) -> None:
        """Use the deployment of `faults`; `configure` writes a new configuration."""
        self._faults = faults
        self._random = faults.random
        self._deployment = faults.deployment
        self._configure = configure
        self.kinds: list[Callable[[], None]] = [
            self._stop_entries,
            self._stop_entries,
            self._stop_agent,
            self._reload_in_series,
            self._rewrite_settings,
            self._stand_still,
        ]

    def _stop_entries(self) -> None:
        """Stop one, two or three entries shortly after one another."""
        for _ in range(self._random.randint(1, len(self._deployment.entries))):
            entry = self._faults.pick_unaffected(self._deployment.entries)
            if entry is not None:
                self._stop(entry)
            time.sleep(self._random.choice([0.0, 0.05, 0.3]))
        if self._random.random() < 0.3:
            self._configure()

    def _stop_agent(self) -> None:
        agent = self._faults.pick_unaffected(self._deployment.agents)
        if agent is not None:
            self._stop(agent)

    def _stop(self, program: Process) -> None:
        """Send SIGTERM, and often more signals before the process has ended."""
        program.signal_to_stop()
        repeated = self._random.choice(
            [0, 0, signal.SIGTERM, signal.SIGINT, signal.SIGHUP]
        )
        after = self._random.choice([0.0, 0.05, 0.3, 1.0])
        description = f"terminate {program.name}"
        if repeated:
            name = signal.Signals(repeated).name
            description += f", {name} after {after} s"
            _signal_later(program, [repeated], after)
        early = None
        if self._random.random() < 0.3:
            early = self._random.uniform(EARLIEST_SIGNAL_SECONDS, LATEST_SIGNAL_SECONDS)
            description += f", SIGHUP after {early:.2f} s of work of its next start"

        def restart() -> None:
            program.wait_for_end(GRACE_SECONDS)
            self._start(program, early)

        seconds = self._random.uniform(0.5, 2.5)
        self._faults.begin([program.name], description, seconds, restart, planned=True)

    def _start(self, program: Process, reload_after: float | None) -> None:
        """Start a program, with a SIGHUP after so much work unless that is None."""
        if reload_after is not None:
            _signal_next_life(program, reload_after)
        try:
            program.start()
        except AssertionError as error:
            line = str(error).partition("\n")[0]
            self._faults.broken.append(f"did not start: {line}")
            program.start()

    def _reload_in_series(self) -> None:
        program = self._faults.pick_unaffected(self._faults.programs())
        if program is None:
            return
        count = self._random.choice([1, 3, 20])
        change = self._random.random() < 0.5
        if change:
            self._rewrite(program)
        _signal_later(program, [signal.SIGHUP] * count, 0.0)
        description = f"{count} SIGHUP to {program.name}{', changed' if change else ''}"
        self._faults.record(description, [program.name])
        if self._random.random() < 0.3:
            self._configure()

    def _rewrite_settings(self) -> None:
        """Change a settings file without a signal; often not in one step."""
        program = self._faults.pick_unaffected(self._faults.programs())
        if program is not None:
            self._rewrite(program, halfway=self._random.random() < 0.5)
            self._faults.record(f"settings of {program.name} rewritten", [program.name])

    def _rewrite(self, program: Process, *, halfway: bool = False) -> None:
        path = Path(program.arguments[0])
        level = self._random.choice(LOG_LEVELS)
        text = json.dumps(json.loads(path.read_text()) | {"log_level": level})
        if halfway:
            path.write_text(text[: len(text) // 2])
            time.sleep(0.05)
        path.write_text(text)

    def _stand_still(self) -> None:
        """Pause an agent, its worker, or both, as a VM that stands still would."""
        number = self._random.randrange(len(self._deployment.agents))
        on_vm = [self._deployment.agents[number], self._deployment.workers[number]]
        paused = self._random.choice([on_vm[:1], on_vm[1:], on_vm])
        names = [process.name for process in paused]
        if self._faults.affected & set(names):
            return
        if not all(process.alive for process in paused):
            return
        for process in paused:
            process.freeze()

        def thaw() -> None:
            for process in paused:
                process.thaw()

        description = f"{' and '.join(names)} stand still"
        self._faults.begin(names, description, PAUSE_SECONDS, thaw)

    def leave(self) -> None:
        """Let a worker drain and leave; the next one begins long after its end."""
        workers = self._deployment.workers
        worker = self._faults.pick_unaffected(workers)
        # The others have room for its tasks.
        if worker is None or self._faults.affected & {w.name for w in workers}:
            return
        number = worker.name.removeprefix("worker-")
        link = self._deployment.links[f"agent-{number}>{worker.name}"]
        if link.name in self._faults.affected:
            return
        seconds = self._random.choice([0.02, 0.3, 0.8])
        worker.faults(leave_seconds=seconds)

        def refuse_after_end() -> None:
            # As a VM does where nobody listens at a port any more.
            worker.wait_for_end()
            self._faults.killed.append((time.time(), worker.name))
            link.faults(refuse=True, cut=True)

        refusing = threading.Thread(target=refuse_after_end)
        refusing.start()

        def restart() -> None:
            refusing.join()
            link.faults()
            worker.start()

        description = f"{worker.name} leaves for long, ends after {seconds} s"
        names = [worker.name, link.name]
        self._faults.begin(names, description, AWAY_SECONDS, restart, planned=True)

    def lose_power(self) -> None:
        """Kill the processes of all VMs at one moment, and start them all again."""
        deployment = self._deployment
        processes = [*self._faults.programs(), *deployment.workers]
        for process in processes:
            process.send_signal(signal.SIGKILL)
        now = time.time()
        self._faults.killed += [(now, worker.name) for worker in deployment.workers]
        for process in processes:
            process.kill()

        def restart() -> None:
            starts = [
                threading.Thread(target=self._start, args=(process, None))
                for process in processes
            ]
            for start in starts:
                start.start()
            for start in starts:
                start.join()

        names = [process.name for process in processes]
        seconds = self._random.uniform(0.1, 1.0)
        self._faults.begin(names, "all VMs lose power", seconds, restart)
        time.sleep(seconds)
        self._faults.end_all()


def _signal_later(
    program: Process, signals: list[signal.Signals], seconds: float
) -> None:
    """Send signals to the present process, a short time apart, `seconds` from now."""
    life = program.pid

    def send() -> None:
        time.sleep(seconds)
        for number in signals:
            if program.pid == life:
                program.send_signal(number)
            time.sleep(POLL_SECONDS)

    threading.Thread(target=send, daemon=True).start()


def _signal_next_life(program: Process, seconds: float) -> None:
    """Send SIGHUP to the next process of this program.

    It is sent after `seconds` of processor time, so as not to depend on the machine.
    """
    before = program.pid

    def send() -> None:
        end = time.monotonic() + START_SECONDS
        while program.pid == before and time.monotonic() < end:
            time.sleep(POLL_SECONDS)
        with suppress(OSError, IndexError):
            while program.cpu_seconds() < seconds and time.monotonic() < end:
                time.sleep(POLL_SECONDS)
        program.send_signal(signal.SIGHUP)

    threading.Thread(target=send, daemon=True).start()
