"""Random histories of starts in doubt and ends that are listed late."""

from hypothesis import given
from hypothesis import strategies as st

from features.steps.ended_runs_fuzz import repeatable
from features.steps.scheduling_fuzz import History
from features.steps.scheduling_world import SimulatedWorker, make_job, plain
from wagtailcleat.scheduling.models import Ended, Refusal, RunEnd, RunKey, TaskKey
from wagtailcleat.wire.scheduling import Orders

MAX_ROUNDS_TO_SETTLE = 60

OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["submit", "submit", "round", "round", "round", "round", "round"]
            + ["round", "report", "decide", "deliver", "doubt", "doubt", "hide"]
            + ["hide", "hide", "list", "list", "list", "carry_out", "carry_out"]
            + ["carry_out", "settle", "end", "fail", "lose", "leader", "commit"]
        ),
        st.integers(0, 1000),
    ),
    min_size=20,
    max_size=90,
)


class DoubtfulWorker(SimulatedWorker):
    """A worker that may not answer starts, and may list its runs again late."""

    def __init__(self, node: str, **more) -> None:
        """Answer all starts."""
        super().__init__(node, **more)
        self.answers = True
        self.in_doubt: dict[RunKey, object] = {}
        """Starts that may still be carried out."""
        self.hidden_ends: list[tuple[RunKey, RunEnd]] = []
        """Ends that no list has shown; their runs count as lost."""
        self.acknowledged_tasks: set[TaskKey] = set()
        """Tasks whose success is acknowledged."""

    def take(self, orders: Orders) -> None:
        """Carry out orders; starts are in doubt while the worker does not answer."""
        known = set(self.running)
        listed = list(self.ended)
        super().take(orders)
        if not self.answers:
            for key in set(self.running) - known:
                self.in_doubt[key] = self.running.pop(key)
        self.unsettled = list(self.in_doubt)
        self.acknowledged_tasks |= {
            end.key.task
            for end in listed
            if end.how is RunEnd.SUCCEEDED and end not in self.ended
        }

    def carry_out(self, key: RunKey) -> None:
        """Carry out a start that is in doubt."""
        self.running[key] = self.in_doubt.pop(key)
        self.unsettled = list(self.in_doubt)

    def settle(self) -> None:
        """Let the agent learn that its starts in doubt were not carried out."""
        self.refused += [(key, Refusal.NEVER_RAN) for key in self.in_doubt]
        self.in_doubt.clear()
        self.unsettled = []

    def hide(self, how: RunEnd) -> None:
        """Let all runs end unseen, after the leases have lapsed for the agent."""
        self.hidden_ends += [(key, how) for key in self.running]
        self.running.clear()
        self.settle()

    def list_hidden(self) -> None:
        """List the ends that were not seen."""
        for key, how in self.hidden_ends:
            self.ends += 1
            self.ended.append(Ended(self.ends, key, how))
        self.hidden_ends.clear()


class DoubtHistory(History):
    """A history that checks starts against acknowledged ends."""

    worker_type = DoubtfulWorker

    def __init__(self) -> None:
        """Start without starts in doubt."""
        super().__init__()
        self.workers: list[DoubtfulWorker] = list(self.world.worker_by_node.values())

    def report(self, node: str) -> None:
        """Deliver a report; refusals are repeated until one is answered."""
        super().report(node)
        self.world.worker_by_node[node].refused.clear()

    def _pick(self, number: int) -> DoubtfulWorker:
        return self.workers[number % len(self.workers)]

    def do_submit(self, number: int) -> None:
        """Submit a job of independent tasks, or of a gang."""
        self.jobs += 1
        step = plain(1 + number % 3, cores=2, gang=number % 4 == 0)
        self.world.submit(make_job(f"j{self.jobs}", step))

    def do_round(self, number: int) -> None:
        """Report, decide and deliver; half of the rounds also store the progress."""
        super().do_round(number)
        if number % 2:
            self.do_commit(number)

    def do_doubt(self, number: int) -> None:
        """Let a worker stop answering starts, or answer again."""
        worker = self._pick(number)
        worker.answers = not worker.answers

    def do_carry_out(self, number: int) -> None:
        """Let a worker carry out one of the starts in doubt."""
        worker = self._pick(number)
        if worker.in_doubt:
            key = sorted(worker.in_doubt)[number % len(worker.in_doubt)]
            worker.carry_out(key)
            for other in self.workers:
                assert key.task not in other.acknowledged_tasks, f"{key} starts"

    def do_settle(self, number: int) -> None:
        """Let an agent settle its starts in doubt."""
        self._pick(number).settle()

    def do_hide(self, number: int) -> None:
        """Let a worker be silent until its leases have lapsed."""
        self._pick(number).hide(RunEnd.SUCCEEDED if number % 2 else RunEnd.LAPSED)

    def do_list(self, number: int) -> None:
        """Let a worker list the ends that it has not shown."""
        self._pick(number).list_hidden()

    def settle_all(self) -> None:
        """End all faults; all ends must be acknowledged."""
        for worker in self.workers:
            worker.answers = True
            worker.settle()
            worker.list_hidden()
        for _ in range(MAX_ROUNDS_TO_SETTLE):
            self.step("round", 0)
            self.step("commit", 0)
            for worker, key in self.runs():
                worker.end(key, RunEnd.SUCCEEDED)
            if not any(worker.ended for worker in self.workers):
                return
        listed = [worker.ended for worker in self.workers]
        raise AssertionError(f"ends are not acknowledged: {listed}")


def run_doubtful_histories(count: int) -> None:
    """Play `count` random histories, the same ones each time."""

    @repeatable(count)
    @given(OPERATIONS)
    def play(operations: list) -> None:
        history = DoubtHistory()
        for name, number in operations:
            history.step(name, number)
        history.settle_all()

    play()
