"""Entries, agents and workers that answer late, on virtual time, without network.

The package's code for entries (as in `takeover_world`) and for agents runs unchanged:
`Hosting`, `RunOrders` and `Following`, composed as in `agent_app`. The workers and the
connections to them are simulated. All processes can be killed and frozen.
"""

import asyncio
import itertools
from random import Random

from features.steps.freezable_loop import FreezableLoop, LoopProcess
from features.steps.late_client import LateClient
from features.steps.late_oracle import RunOracle
from features.steps.late_worker import MAX_LEASE_SECONDS, PlatformWorker
from features.steps.scheduling_world import SERVICE, make_job, plain
from features.steps.start_rules import Capability
from features.steps.takeover_world import (
    PORT,
    FakeStream,
    SimulatedEntry,
    SimulatedProcess,
    TakeoverWorld,
)
from wagtailcleat.cluster.following import Following
from wagtailcleat.cluster.hosting import Hosting
from wagtailcleat.cluster.keys import cancel_key, encode, job_key
from wagtailcleat.cluster.last_report import report_once_more, reported_worker
from wagtailcleat.cluster.timing import LAST_REPORT_SECONDS
from wagtailcleat.ids import JobId
from wagtailcleat.platform.heartbeats import Heartbeat
from wagtailcleat.resources import Resources
from wagtailcleat.scheduling.models import (
    Job,
    Step,
    WorkerInfo,
    WorkerState,
)
from wagtailcleat.storage import Txn
from wagtailcleat.wire.scheduling import Leads, Orders, Report

ATTEMPTS = 3
ZONE = "zilina-a"
RACK = "r1"
CAPABILITY = Capability(Resources(8.0, 128_000, 0), SERVICE, ("a", RACK))
"""What a worker is capable of, unless a test says otherwise."""
HEARTBEAT_SECONDS = 0.3
SECOND_HOST = "second-host"
"""An address that each VM has besides its own one, as `127.0.0.1` is."""


class FreezableProcess(SimulatedProcess):
    """A process all of whose tasks can be frozen."""

    def __init__(self, world: "LateWorld", node: str, host: str, *arguments) -> None:
        """Start as the base class does."""
        self.tasks_of_process = LoopProcess(world.loop)
        super().__init__(world, node, host, *arguments)

    def create_task(self, work) -> asyncio.Task:
        """Run a coroutine in this process."""
        return self.tasks_of_process.create_task(work)

    async def serve(self, stream: FakeStream, message):
        """Return the answer to a message, which waits while the process is frozen."""
        return await self.create_task(self.answer(stream, message))

    @property
    def frozen(self) -> bool:
        """Whether the process is frozen."""
        return self.tasks_of_process.frozen

    def freeze(self) -> None:
        """Run nothing until `thaw`."""
        self.tasks_of_process.frozen = True
        self.world.trace(f"{self.node}: is frozen")

    def thaw(self, *, timers_first: bool = False) -> None:
        """Continue, with all that became due meanwhile."""
        self.world.trace(f"{self.node}: continues")
        self.tasks_of_process.thaw(timers_first=timers_first)

    def kill(self) -> None:
        """Stop all tasks and close the port at once."""
        super().kill()
        self.tasks_of_process.kill()
        self.world.trace(f"{self.node}: is killed")


class FreezableEntry(FreezableProcess, SimulatedEntry):
    """An entry that can be frozen."""


class LateAgent(FreezableProcess):
    """An agent with the package's parts, and a client of its simulated worker."""

    def __init__(
        self, world: "LateWorld", node: str, host: str, worker: PlatformWorker
    ) -> None:
        """Connect the parts as `agent_app` does, and start."""
        super().__init__(world, node, host)
        self.worker = worker
        self._report_numbers = itertools.count(1)
        self.following = Following(
            store=self.store,
            peers=self.peers,
            clock=world.clock,
            entries=[(host, PORT) for host in world.entry_hosts],
            make_report=self._report,
            on_answer=self._answered,
            on_orders=self._take_orders,
        )
        self.hosting = Hosting(
            clock=world.clock,
            wall_clock=world.wall_clock,
            own_host=host,
            lease_limit=MAX_LEASE_SECONDS,
            may_start=self.following.may_act,
            leader_contact_at=lambda: self.following.contact_at,
            is_zone_out=lambda zone: False,
            on_change=self.following.report_soon,
            make_worker=self._make_client,
            is_local_address=lambda address: address == SECOND_HOST,
        )
        self.handlers = {
            Leads: self.without_stream(self.following.leader_announced),
            Orders: self._orders,
        }
        self.spawn(self.following.run())
        self.spawn(self.hosting.run())

    async def stop(self) -> None:
        """Report once more as `agent_app` does, then end."""
        self.world.trace(f"{self.node}: is told to stop")
        await report_once_more(
            self.hosting, self.following, seconds=LAST_REPORT_SECONDS
        )
        self.world.loop.call_soon(self.kill)

    def _make_client(
        self, address: str, instance: str, *, fence: int, call_seconds: float
    ) -> LateClient:
        return LateClient(self.worker, instance, fence=fence, call_seconds=call_seconds)

    def _report(self, epoch, orders_taken: int) -> Report:
        hosting = self.hosting
        now = self.world.clock()
        return Report(
            self.node,
            self.incarnation,
            ZONE,
            self.host,
            PORT,
            reported_worker(hosting),
            hosting.left,
            hosting.listed,
            hosting.running,
            hosting.ended,
            list(hosting.orders.unsettled_by_run),
            list(hosting.orders.refusal_by_run.items()),
            hosting.silent_seconds(now),
            hosting.lease_seconds(now),
            orders_taken,
            epoch,
            number=next(self._report_numbers),
            has_all_ends=hosting.has_all_ends,
            listed_in_epoch=hosting.answers_steadily(now),
        )

    def _answered(self, report: Report) -> None:
        for key, _ in report.refused:
            self.hosting.orders.refusal_by_run.pop(key, None)

    async def _orders(self, stream, message):
        return await self.following.orders(stream, message, None)

    def _take_orders(self, orders: Orders) -> None:
        for start in orders.starts:
            self.hosting.orders.start(start, orders.born)
        for key in orders.stops:
            self.hosting.orders.stop(key)
        for pace in orders.paces:
            self.hosting.orders.pace(pace)
        self.hosting.acknowledge(orders.born, orders.acknowledged)


class LateWorld(TakeoverWorld):
    """Entries, agents and their workers; `oracle` knows what the workers saw."""

    def __init__(
        self, *, entries: int, agents: int, random: Random, weights=()
    ) -> None:
        """Start all processes and workers."""
        self.random = random
        self.lines: list[str] = []
        """What happened, in order, each line with its time."""
        self.job_by_id: dict[JobId, Job] = {}
        self.oracle = RunOracle(self.clock, lambda task: self.job_by_id[task.job])
        self._heartbeat_numbers = itertools.count(1)
        self.heartbeat_delay = lambda: 0.0
        self.wall_clock_behind = 0.0
        """How far the agents' wall clocks are behind, in seconds."""
        self.worker_by_node: dict[str, PlatformWorker] = {}
        self.local_nodes: set[str] = set()
        """Nodes whose workers listen at the address of their VM.

        Connections to the other workers cross a network that may refuse them.
        """
        self.second_nodes: set[str] = set()
        """Nodes whose workers listen at another address of their VM."""
        super().__init__(
            entries=entries, agents=agents, weights=weights, loop=FreezableLoop()
        )

    def trace(self, text: str) -> None:
        """Note an event."""
        self.lines.append(f"{self.clock():.3f} {text}")

    def wall_clock(self) -> float:
        """Return the wall clock of the agents' VMs."""
        return self.clock() - self.wall_clock_behind

    def make_entry(self, node: str, host: str, weight: float) -> FreezableEntry:
        """Start an entry."""
        return FreezableEntry(self, node, host, weight)

    def make_agent(self, node: str, host: str) -> LateAgent:
        """Start an agent, and its worker unless it has one."""
        if node not in self.worker_by_node:
            worker = self.worker_by_node[node] = PlatformWorker(
                instance=f"i-{node}",
                capability=CAPABILITY,
                loop=self.loop,
                clock=self.clock,
                oracle=self.oracle,
                random=self.random,
                trace=self.trace,
            )
            self.loop.create_task(self._send_heartbeats(node, worker))
        return LateAgent(self, node, host, self.worker_by_node[node])

    async def _send_heartbeats(self, node: str, worker: PlatformWorker) -> None:
        while True:
            if worker.boot is not None and worker.frozen.is_set():
                self.deliver_heartbeat(node, worker)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def deliver_heartbeat(self, node: str, worker: PlatformWorker) -> None:
        """Send a worker's heartbeat to the agent of its VM."""
        capability = worker.capability
        info = WorkerInfo(
            worker.instance,
            worker.born,
            capability.service,
            ZONE,
            WorkerState.DRAINING if worker.boot.draining else WorkerState.READY,
            capability.capacity,
            capability.labels,
            RACK,
        )
        sequence = next(self._heartbeat_numbers)
        host = SECOND_HOST if node in self.second_nodes else "worker-host"
        if node in self.local_nodes:
            host = self.agent(node).host
        heartbeat = Heartbeat(info, f"{host}:1", sequence)
        self.loop.create_task(self._deliver(node, heartbeat))

    async def _deliver(self, node: str, heartbeat: Heartbeat) -> None:
        await asyncio.sleep(self.heartbeat_delay())
        agent = self.agent(node)
        if agent.alive:
            agent.create_task(agent.hosting.take_heartbeat(heartbeat))

    def agent(self, node: str) -> LateAgent:
        """Return the present incarnation of an agent."""
        return next(agent for agent in self.agents if agent.node == node)

    async def expire_leases(self) -> None:
        """Do nothing: the workers end their runs themselves."""

    def restart(self, process: SimulatedProcess) -> SimulatedProcess:
        """Return a new incarnation of a killed process."""
        if isinstance(process, SimulatedEntry):
            return super().restart(process)
        number = self.agents.index(process)
        self.agents[number] = self.make_agent(process.node, process.host)
        self.trace(f"{process.node}: starts again")
        return self.agents[number]

    def submit(self, count: int = 1, cores: float = 4.0) -> JobId:
        """Store a job of `count` tasks; return its id."""
        return self.submit_steps(plain(count, cores=cores))

    def submit_steps(self, *steps: Step) -> JobId:
        """Store a job with these steps; return its id."""
        self.job_count += 1
        job = make_job(JobId(f"job-{self.job_count}"), *steps, attempts=ATTEMPTS)
        self.job_by_id[job.id] = job
        self.keyspace.commit(Txn([], {job_key(job.id): encode(job)}))
        self.trace(f"{job.id} is stored: {steps}")
        return job.id

    def cancel(self, job: JobId) -> None:
        """Store that a job is cancelled."""
        self.keyspace.commit(Txn([], {cancel_key(job): b"{}"}))
        self.trace(f"{job} is cancelled")

    def breaches(self) -> list[str]:
        """Return the broken rules, one line each."""
        return self.oracle.check(ATTEMPTS)

    def close(self) -> None:
        """Stop the event loop."""
        for process in [*self.entries, *self.agents]:
            process.tasks_of_process.thaw()
        super().close()
