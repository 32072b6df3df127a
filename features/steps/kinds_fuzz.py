"""Random histories of workers that differ, and jobs that restrict where they run."""

from hypothesis import given
from hypothesis import strategies as st

from features.steps.ended_runs_fuzz import repeatable
from features.steps.scheduling_fuzz import CORES, WORKERS, History
from features.steps.scheduling_world import (
    SERVICE,
    SchedulingWorld,
    SimulatedWorker,
    filling,
    make_job,
    plain,
    serving,
)

START_BYTES_PER_SECOND = 500.0
"""A start has some 80 bytes; half of a round's starts wait for later rounds."""
KINDS = ("a", "b")
SIZES = (CORES / 2, CORES)
SERVICES = (SERVICE, SERVICE, SERVICE, "other-service")
MEMORIES_MB = (4_000, 128_000)

OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["submit", "submit", "submit", "round", "round", "round", "round"]
            + ["report", "report", "decide", "decide", "deliver", "deliver", "end"]
            + ["end", "fail", "cancel", "crash", "crash", "crash", "lose", "silence"]
            + ["return", "leader", "commit", "wait"]
        ),
        st.integers(0, 1000),
    ),
    min_size=20,
    max_size=90,
)


class KindsHistory(History):
    """A history that checks each start against the worker that carries it out."""

    def __init__(self) -> None:
        """Start with workers of two kinds and a leader behind a slow link."""
        super().__init__()
        workers = [
            SimulatedWorker(f"vm-{n}", cores=CORES, labels=(KINDS[n % 2], "r1"))
            for n in range(WORKERS)
        ]
        self.world = SchedulingWorld(
            workers, start_bytes_per_second=START_BYTES_PER_SECOND
        )

    def do_submit(self, number: int) -> None:
        """Submit a job that restricts where its tasks may run."""
        self.jobs += 1
        shapes = [
            plain(1 + number % 5, cores=1, max_per_vm=1 + number % 2),
            plain(1 + number % 6, cores=3, required_label=KINDS[number % 2]),
            plain(2, cores=2, gang=True, max_per_vm=1),
            serving(1 + number % 3, cores=2, max_per_vm=1),
            filling(1 + number % 5, max_per_vm=2, required_label=KINDS[number % 2]),
        ]
        self.world.submit(make_job(f"j{self.jobs}", shapes[number % len(shapes)]))

    def do_deliver(self, number: int) -> None:
        """Deliver held orders, and check the rules at the workers."""
        orders_sent, self.held_orders = self.held_orders, []
        for node, session, epoch, orders in orders_sent:
            worker = self.world.worker_by_node[node]
            current = session == worker.session and epoch == self.epoch
            if node not in self.cut_since_by_node and current:
                broken = self.world.deliver(worker, orders)
                assert not broken, broken

    def do_crash(self, number: int) -> None:
        """Let a worker crash, and another one take its place."""
        worker = self.world.worker_by_node[self.nodes[number % WORKERS]]
        worker.restart()
        worker.labels = (KINDS[number // 3 % 2], worker.rack)
        worker.cores = SIZES[number // 6 % 2]
        worker.memory_mb = MEMORIES_MB[number // 12 % 2]
        worker.service = SERVICES[number // 24 % 4]


def run_kinds_histories(count: int) -> None:
    """Play `count` random histories, the same ones each time."""

    @repeatable(count)
    @given(OPERATIONS)
    def play(operations: list) -> None:
        history = KindsHistory()
        for name, number in operations:
            history.step(name, number)

    play()
