"""Random histories that compare the number of waiting jobs with an oracle."""

from dataclasses import dataclass, field

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from features.steps.ended_runs_fuzz import repeatable
from features.steps.scheduling_world import (
    HORIZON,
    SchedulingWorld,
    SimulatedWorker,
    make_job,
    plain,
)
from wagtailcleat.scheduling.job_records import record_of
from wagtailcleat.scheduling.models import JobState, Refusal, RunEnd

QUEUES = ("seat-hold", "fares")
WORKERS = 2
CORES = 12.0
ROUND_SECONDS = 0.3
ENDS = [RunEnd.SUCCEEDED, RunEnd.FAILED, RunEnd.STOPPED, RunEnd.BROKEN]

OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "submit",
                "submit",
                "decide",
                "round",
                "round",
                "carry_out",
                "leave_in_doubt",
                "leave_in_doubt",
                "refuse",
                "lose",
                "run_late",
                "never_run",
                "report",
                "report_all",
                "report_all",
                "end",
                "end_all",
                "cancel",
                "crash",
                "commit",
                "commit",
                "leader",
                "silence",
            ]
        ),
        st.integers(0, 1000),
    ),
    min_size=12,
    max_size=60,
)


@dataclass
class Oracle:
    """What follows from the reports alone, without the scheduler's own state."""

    queue_by_job: dict = field(default_factory=dict)
    """The jobs that were not cancelled."""
    ever_listed: set = field(default_factory=set)
    """Jobs of which a worker has listed a run to any leader."""
    begun: set = field(default_factory=set)
    """Those that the present leader must know to have begun."""
    stored: set = field(default_factory=set)
    """Those that every later leader must know to have begun."""
    restored: set = field(default_factory=set)
    """Jobs that the present leader has restored."""
    runs_by_node: dict = field(default_factory=dict)
    """Runs that each agent last listed to the present leader."""

    def take_report(self, node, report) -> None:
        """Learn from a report that a leader takes in."""
        running = [run.key for run in report.running]
        jobs = {key.task.job for key in running}
        jobs |= {ended.key.task.job for ended in report.ended}
        self.begun |= jobs
        self.ever_listed |= jobs
        self.runs_by_node[node] = running

    def commit(self) -> None:
        """Learn that all progress is stored: of jobs whose runs no worker lists."""
        held = {k.task.job for keys in self.runs_by_node.values() for k in keys}
        self.stored |= self.begun - held

    def change_leader(self) -> None:
        """Forget what only the leader knew."""
        self.begun = set(self.stored)
        self.restored = set(self.queue_by_job)
        self.runs_by_node = {}

    def check(self, said, queue, *, all_reported) -> None:
        """Assert that the number of waiting jobs of a queue is right."""
        jobs = {job for job, name in self.queue_by_job.items() if name == queue}
        least, most = len(jobs - self.ever_listed), len(jobs - self.begun)
        if said is None:
            assert not all_reported, "unknown although all agents have reported"
            return
        undecided = (jobs & self.restored) - self.ever_listed
        assert all_reported or not undecided, f"{said} said, unknown are {undecided}"
        assert least <= said <= most, f"{said} said, right are {least} to {most}"


class History:
    """A world whose messages can be held back, with its oracle."""

    def __init__(self) -> None:
        """Start with idle workers that have reported."""
        workers = [SimulatedWorker(f"vm-{n}", cores=CORES) for n in range(WORKERS)]
        self.world = SchedulingWorld(workers)
        self.workers = workers
        self.oracle = Oracle()
        self.held_orders: list = []
        self.jobs = 0
        self.record_by_job: dict = {}

    def step(self, name: str, number: int) -> None:
        """Carry out one operation, and compare with the oracle."""
        getattr(self, f"do_{name}")(number)
        self.world.now += ROUND_SECONDS
        self.check()

    def check(self) -> None:
        """Assert that counts and states are right."""
        scheduler = self.world.scheduler
        for queue in QUEUES:
            said = scheduler.job_table.waiting(queue)
            all_reported = not scheduler.unreported_agents
            self.oracle.check(said, queue, all_reported=all_reported)
        for job, entry in scheduler.job_table.entry_by_id.items():
            if job in self.oracle.begun:
                assert entry.durable_state is not JobState.QUEUED, f"{job} has begun"
            elif job not in self.oracle.ever_listed:
                assert entry.durable_state is not JobState.RUNNING, f"{job} waits"

    def do_submit(self, number: int) -> None:
        """Submit a job of up to three tasks to one of the queues."""
        self.jobs += 1
        job, queue = f"j{self.jobs}", QUEUES[number % len(QUEUES)]
        self.world.submit(make_job(job, plain(1 + number % 3), queue=queue))
        self.oracle.queue_by_job[job] = queue

    def do_decide(self, number: int) -> None:
        """Run a placement round; its orders are held back."""
        for node, orders in self.world.decide():
            worker = self.world.worker_by_node[node]
            self.held_orders.append((worker, worker.session, orders))

    def do_round(self, number: int) -> None:
        """Run a placement round whose orders are carried out at once."""
        self.do_decide(number)
        for position in range(WORKERS):
            self.do_carry_out(position)

    def _deliver(self, number: int, *, carry_out: bool) -> tuple:
        """Deliver the held orders of one agent; return it, and starts left to it."""
        node = self.workers[number % WORKERS].node
        held = [row for row in self.held_orders if row[0].node == node]
        self.held_orders = [row for row in self.held_orders if row[0].node != node]
        left = []
        for worker, session, orders in held:
            if session != worker.session or orders.born != worker.born:
                continue
            if carry_out:
                worker.take(orders)
                continue
            worker.take(msgspec.structs.replace(orders, starts=[]))
            left += [start.key for start in orders.starts]
        return self.world.worker_by_node[node], left

    def do_carry_out(self, number: int) -> None:
        """Deliver an agent's orders, which its worker carries out."""
        self._deliver(number, carry_out=True)

    def do_leave_in_doubt(self, number: int) -> None:
        """Deliver an agent's orders, whose starts its worker does not answer."""
        worker, keys = self._deliver(number, carry_out=False)
        worker.unsettled += keys

    def do_refuse(self, number: int) -> None:
        """Deliver an agent's orders, whose starts are refused."""
        worker, keys = self._deliver(number, carry_out=False)
        worker.refused += [(key, Refusal.TICKET) for key in keys]

    def do_lose(self, number: int) -> None:
        """Lose an agent's orders with its connection."""
        worker = self.workers[number % WORKERS]
        worker.session += 1
        self.world.scheduler.mark_disconnected(worker.node)

    def do_run_late(self, number: int) -> None:
        """Let a worker carry out a start that was in doubt."""
        worker = self.workers[number % WORKERS]
        if worker.unsettled:
            worker.running[worker.unsettled.pop()] = None

    def do_never_run(self, number: int) -> None:
        """Prove that a start in doubt never ran."""
        worker = self.workers[number % WORKERS]
        if worker.unsettled:
            worker.refused.append((worker.unsettled.pop(), Refusal.NEVER_RAN))

    def _report(self, worker: SimulatedWorker) -> None:
        self.oracle.take_report(worker.node, worker.report())
        self.world.report(worker)
        worker.refused = []

    def do_report(self, number: int) -> None:
        """Deliver one agent's report."""
        self._report(self.workers[number % WORKERS])

    def do_report_all(self, number: int) -> None:
        """Deliver a report of every agent."""
        for worker in self.workers:
            self._report(worker)

    def do_end(self, number: int) -> None:
        """End one run in some way."""
        runs = [(worker, key) for worker in self.workers for key in worker.running]
        if runs:
            worker, key = runs[number % len(runs)]
            worker.end(key, ENDS[number % len(ENDS)])

    def do_end_all(self, number: int) -> None:
        """End all runs in the same way."""
        for worker in self.workers:
            for key in list(worker.running):
                worker.end(key, ENDS[number % len(ENDS)])

    def do_cancel(self, number: int) -> None:
        """Cancel a job; its state is stored with it."""
        if self.jobs:
            job = f"j{1 + number % self.jobs}"
            world = self.world
            world.scheduler.cancel(job, now=world.now, wall_now=world.wall_now)
            self.do_commit(number)
            self.oracle.queue_by_job.pop(job, None)

    def do_crash(self, number: int) -> None:
        """Let a worker crash and restart; its agent forgets the starts in doubt."""
        worker = self.workers[number % WORKERS]
        worker.restart()
        worker.unsettled, worker.refused = [], []

    def do_commit(self, number: int) -> None:
        """Store all progress."""
        for job, entry in self.world.scheduler.job_table.entry_by_id.items():
            if entry.version > entry.committed:
                self.record_by_job[job] = record_of(entry)
        self.world.commit()
        self.oracle.commit()

    def do_leader(self, number: int) -> None:
        """Replace the leader by one that restores what is stored."""
        world = self.world
        entries = list(world.scheduler.job_table.entry_by_id.values())
        world.lead(world.scheduler.epoch + 1)
        world.scheduler.unreported_agents = {worker.node for worker in self.workers}
        for entry in entries:
            record = self.record_by_job.get(entry.job.id)
            world.scheduler.job_table.add(
                entry.job,
                now=world.now,
                wall_now=world.wall_now,
                record=record,
                store_revision=1 if record else 0,
            ).may_start_tasks = False
        for worker in self.workers:
            worker.session += 1
            worker.orders_taken = 0
        self.oracle.change_leader()

    def do_silence(self, number: int) -> None:
        """Let one agent be silent until its leases have lapsed."""
        world, silent = self.world, self.workers[number % WORKERS]
        self.do_lose(number)
        world.now += HORIZON
        for key in list(silent.running):
            silent.end(key, RunEnd.LAPSED)
        silent.unsettled = []
        for worker in self.workers:
            if worker is not silent:
                self._report(worker)
        world.scheduler.expire(now=world.now, predecessors_until=world.claimed_at)
        self.oracle.runs_by_node.pop(silent.node, None)


def run_waiting_histories(count: int) -> None:
    """Play `count` random histories, the same ones each time."""

    @repeatable(count)
    @given(OPERATIONS)
    def play(operations: list) -> None:
        history = History()
        for name, number in operations:
            history.step(name, number)

    play()
