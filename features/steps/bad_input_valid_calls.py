"""Valid requests that a caller makes while others send bad input."""

import itertools
import threading
import time
from dataclasses import dataclass

from standins.callers import Caller, CallResult
from wagtailcleat.clock import boot_time
from wagtailcleat.settings import Timing

VALID_PATH = "/services/booking-core/good"
PAUSE_SECONDS = 0.01

_numbers = itertools.count()


@dataclass(frozen=True)
class ValidCall:
    """A valid request: its answer, its time and the agent's processor time in it."""

    answer: CallResult
    seconds: float
    agent_cpu_seconds: float

    @property
    def is_excused(self):
        """Whether it was refused because the agent stood still without being busy.

        The refusal must say that the request was not run, and when to repeat it.
        """
        is_refused = self.answer.code == "not_run" and self.answer.retry_after > 0
        stood_still = (
            self.seconds > Timing().silence
            and self.agent_cpu_seconds < self.seconds / 2
        )
        return is_refused and stood_still


class ValidCalls:
    """A thread that makes one valid request after another, each to a unique path.

    A refused request is repeated once, after the time that its refusal states.
    """

    def __init__(self, cluster, agent):
        """Call the first entry of `cluster`, whose requests `agent` runs."""
        self.calls = []
        self.repeats = []
        self._caller = Caller(cluster.entry)
        self._agent = agent
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    @property
    def excused(self):
        """The calls that were refused because the agent stood still."""
        return [call for call in self.calls if call.is_excused]

    def stop(self):
        """Stop the thread and close its connection."""
        self._stopping.set()
        self._thread.join()
        self._caller.close()

    def _run(self):
        while not self._stopping.is_set():
            call = self._call(f"{VALID_PATH}/{next(_numbers)}")
            self.calls.append(call)
            if call.is_excused:
                time.sleep(call.answer.retry_after)
                self.repeats.append(self._caller.call("GET", call.answer.path))
            self._stopping.wait(PAUSE_SECONDS)

    def _call(self, path):
        started_at, cpu_before = boot_time(), self._agent.cpu_seconds()
        answer = self._caller.call("GET", path)
        seconds, cpu_after = boot_time() - started_at, self._agent.cpu_seconds()
        return ValidCall(answer, seconds, cpu_after - cpu_before)
