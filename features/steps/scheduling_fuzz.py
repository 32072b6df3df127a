"""Random histories of a scheduler, checked by an oracle that knows what runs."""

from collections import Counter

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from features.steps.scheduling_world import (
    HORIZON,
    SchedulingWorld,
    SimulatedWorker,
    filling,
    make_job,
    plain,
    serving,
)
from wagtailcleat.scheduling.job_entry import TaskState
from wagtailcleat.scheduling.job_records import record_of
from wagtailcleat.scheduling.models import RunEnd
from wagtailcleat.scheduling.placement import choose

WORKERS = 3
CORES = 16.0

OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "submit",
                "submit",
                "round",
                "round",
                "round",
                "report",
                "decide",
                "deliver",
                "end",
                "end",
                "fail",
                "cancel",
                "crash",
                "lose",
                "return",
                "silence",
                "leader",
                "commit",
                "wait",
            ]
        ),
        st.integers(0, 1000),
    ),
    min_size=10,
    max_size=70,
)


class History:
    """A world in which messages can be held back, with the oracle's knowledge."""

    worker_type = SimulatedWorker

    def __init__(self) -> None:
        """Start with idle workers whose agents are all connected."""
        workers = [self.worker_type(f"vm-{n}", cores=CORES) for n in range(WORKERS)]
        self.world = SchedulingWorld(workers)
        self.nodes = [worker.node for worker in workers]
        self.held_orders: list = []
        self.cut_since_by_node: dict[str, float] = {}
        self.jobs = 0
        self.epoch = 1
        self.succeeded: set = set()
        self.records: dict = {}
        self.cancelled: set = set()

    def step(self, name: str, number: int) -> None:
        """Carry out one operation and check the invariants."""
        getattr(self, f"do_{name}")(number)
        self.expire_leases()
        self.check()

    def do_submit(self, number: int) -> None:
        """Submit a job of one of several shapes."""
        self.jobs += 1
        shapes = [
            (plain(1 + number % 4, cores=1 + number % 7),),
            (plain(2, cores=3), plain(2, cores=5, after=(0,))),
            (filling(1 + number % 5),),
            (serving(1 + number % 2, cores=2),),
            (plain(2, cores=2, gang=True),),
        ]
        self.world.submit(make_job(f"j{self.jobs}", *shapes[number % len(shapes)]))

    def do_round(self, number: int) -> None:
        """Report, decide and deliver for all agents that are not cut off."""
        for node in self.nodes:
            self.report(node)
        self.do_decide(number)
        self.do_deliver(number)
        self.world.now += 0.3

    def report(self, node: str) -> None:
        """Deliver a report, unless the agent is cut off."""
        if node not in self.cut_since_by_node:
            self.world.report(self.world.worker_by_node[node])

    def do_report(self, number: int) -> None:
        """Deliver one agent's report, unless it is cut off."""
        self.report(self.nodes[number % WORKERS])

    def do_decide(self, number: int) -> None:
        """Run a placement round; the orders sent are held back."""
        decided = self.world.decide(on_placed=self.check_no_room_missed)
        for node, orders in decided:
            session = self.world.worker_by_node[node].session
            self.held_orders.append((node, session, self.epoch, orders))

    def do_deliver(self, number: int) -> None:
        """Deliver held orders, unless their connection or epoch has ended."""
        orders_sent, self.held_orders = self.held_orders, []
        for node, session, epoch, orders in orders_sent:
            worker = self.world.worker_by_node[node]
            current = session == worker.session and epoch == self.epoch
            if node in self.cut_since_by_node or not current:
                continue
            if orders.born == worker.born:
                worker.take(orders)
            else:
                worker.orders_taken = orders.number

    def runs(self) -> list:
        """Return all runs in progress, as pairs of worker and run key."""
        return [
            (worker, key)
            for worker in self.world.worker_by_node.values()
            for key in worker.running
        ]

    def do_end(self, number: int) -> None:
        """Let one run succeed."""
        if runs := self.runs():
            worker, key = runs[number % len(runs)]
            worker.end(key, RunEnd.SUCCEEDED)

    def do_fail(self, number: int) -> None:
        """Let one run fail."""
        if runs := self.runs():
            worker, key = runs[number % len(runs)]
            worker.end(key, RunEnd.FAILED)

    def do_cancel(self, number: int) -> None:
        """Cancel a job."""
        if self.jobs:
            job = f"j{1 + number % self.jobs}"
            world = self.world
            world.scheduler.cancel(job, now=world.now, wall_now=world.wall_now)

    def do_crash(self, number: int) -> None:
        """Let a worker crash and restart without runs."""
        self.world.worker_by_node[self.nodes[number % WORKERS]].restart()

    def do_lose(self, number: int) -> None:
        """Replace a connection by a new one; held messages of the old one are lost."""
        worker = self.world.worker_by_node[self.nodes[number % WORKERS]]
        worker.session += 1
        self.world.scheduler.mark_disconnected(worker.node)

    def do_silence(self, number: int) -> None:
        """Cut an agent off."""
        node = self.nodes[number % WORKERS]
        self.cut_since_by_node.setdefault(node, self.world.now)
        self.do_lose(number)

    def do_return(self, number: int) -> None:
        """Reconnect all agents that are cut off."""
        self.cut_since_by_node.clear()

    def expire_leases(self) -> None:
        """End the runs of workers whose agent was cut off until the leases expired."""
        for node, since in self.cut_since_by_node.items():
            if self.world.now - since >= HORIZON:
                worker = self.world.worker_by_node[node]
                for key in list(worker.running):
                    worker.end(key, RunEnd.LAPSED)

    def do_leader(self, number: int) -> None:
        """Replace the leader by one that restores the stored records."""
        world = self.world
        self.held_orders.clear()
        self.epoch += 1
        entries = list(world.scheduler.job_table.entry_by_id.values())
        world.lead(self.epoch)
        world.scheduler.unreported_agents = set(self.nodes)
        for worker in world.worker_by_node.values():
            worker.session += 1
            worker.orders_taken = 0
        for entry in entries:
            record = self.records.get(entry.job.id)
            world.scheduler.job_table.add(
                entry.job, now=world.now, wall_now=world.wall_now, record=record
            ).may_start_tasks = False

    def do_commit(self, number: int) -> None:
        """Make all progress durable."""
        for entry in self.world.scheduler.job_table.entry_by_id.values():
            if entry.version > entry.committed:
                self.records[entry.job.id] = record_of(entry)
        self.world.commit()

    def do_wait(self, number: int) -> None:
        """Let time pass, with reports of the agents that are not cut off."""
        for _ in range(4):
            self.world.now += 0.3
            for node in self.nodes:
                self.report(node)

    def check(self) -> None:
        """Assert that no task runs twice and no VM is over its capacity."""
        seen: dict = {}
        for _, key in self.runs():
            assert key.task not in seen, f"{key} and {seen[key.task]} run at once"
            seen[key.task] = key
        job_table = self.world.scheduler.job_table
        for worker in self.world.worker_by_node.values():
            cores = 0.0
            for key in worker.running:
                step = job_table.entry_by_id[key.task.job].job.steps[key.task.step]
                cores += 0.0 if step.fills else step.size.cores
                self.check_order(key, job_table)
            assert cores <= CORES + 1e-6, f"{worker.node} runs {cores} cores"

    def check_no_room_missed(self) -> None:
        """Assert that no task waits although a search of all VMs finds room for it.

        A round searches only VMs that have changed since the step's last search.
        Filling tasks are left out: their admission also changes with time alone.
        """
        scheduler = self.world.scheduler
        usable = [vm for vm in scheduler.vm_by_node.values() if vm.is_usable]
        for entry in scheduler.job_table.entry_by_id.values():
            for step, tasks in entry.tasks_by_step.items():
                waiting = [
                    task
                    for task in tasks
                    if task.state is TaskState.WAITING and entry.may_start(task)
                ]
                if not entry.open or not waiting:
                    continue
                if waiting[0].step.gang or waiting[0].step.fills:
                    continue
                if not scheduler.job_table.is_ready(entry, step):
                    continue
                task = waiting[0]
                vms = [vm for vm in usable if vm.service == entry.job.service]
                vm = choose(vms, task, now=self.world.now, racks=Counter())
                assert vm is None, f"{task.key} waits although {vm} has room"

    def check_order(self, key, job_table) -> None:
        """Assert that a run of a later step follows the success of the earlier one."""
        entry = job_table.entry_by_id[key.task.job]
        for earlier in entry.job.steps[key.task.step].after:
            left = entry.unfinished_by_step[key.task.occurrence, earlier]
            if entry.may_start_tasks and entry.open:
                assert left == 0, f"{key} runs before step {earlier} is done"


def run_random_histories(count: int) -> None:
    """Play `count` random histories, the same ones each time."""

    @settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        database=None,
        phases=[Phase.generate, Phase.shrink],
        suppress_health_check=list(HealthCheck),
    )
    @given(OPERATIONS)
    def play(operations: list) -> None:
        history = History()
        for name, number in operations:
            history.step(name, number)

    play()
