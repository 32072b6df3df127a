"""Simulated entries and agents on virtual time, with a fake store and network.

The package's code for leader election, the leader and an agent's link to the leader
runs unchanged; the store, the connections between processes and the workers are fakes,
each of which can fail alone.
"""

import asyncio
import contextlib
import math
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from contextvars import Context
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from features.steps.scheduling_world import (
    WALL_START,
    SimulatedWorker,
    make_job,
    plain,
)
from standins.virtual_time import VirtualLoop
from wagtailcleat.cluster.following import Following
from wagtailcleat.cluster.keys import JOB_PREFIX, ProcessInfo, encode, job_key
from wagtailcleat.cluster.leader import Leader
from wagtailcleat.cluster.leadership import Leadership
from wagtailcleat.cluster.timing import (
    CLOCK_DRIFT_FACTOR,
    RUN_CONTACT_LIMIT_SECONDS,
    RUN_LEASE_SECONDS,
)
from wagtailcleat.scheduling.models import Refusal, RunEnd
from wagtailcleat.storage import (
    Absent,
    Changes,
    Conflict,
    Event,
    Found,
    Listing,
    Txn,
    Unavailable,
    Unknown,
    Written,
)
from wagtailcleat.wire.handshake import Role
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.peers import Identity
from wagtailcleat.wire.results import Refused
from wagtailcleat.wire.scheduling import (
    KeepFollowing,
    Leads,
    Orders,
    Report,
    Submitted,
    TakeOver,
    WhoLeads,
)

PORT = 7720
NETWORK_LATENCY_SECONDS = 0.001
STORE_LATENCY_SECONDS = 0.004
RENEW_SECONDS = 0.4
"""How often a simulated agent renews its worker's leases."""
CLOCK_START = 1000.0


class LinkState(Enum):
    """How the network treats messages between two hosts."""

    OPEN = "open"
    REFUSED = "refused"
    SILENT = "silent"
    """Messages are dropped without a reset."""


@dataclass
class Keyspace:
    """The store's keys and its revision, shared by all `FakeStore`s."""

    revision: int = 0
    found_by_key: dict[str, Found] = field(default_factory=dict)
    history: list[Event] = field(default_factory=list)
    written: asyncio.Event = field(default_factory=asyncio.Event)

    def with_prefix(self, prefix: str) -> list[Found]:
        """Return the keys with a prefix."""
        return [f for key, f in self.found_by_key.items() if key.startswith(prefix)]

    def is_met(self, compare) -> bool:
        """Return whether a condition of a transaction is met."""
        found = self.found_by_key.get(compare.key)
        if compare.absent or found is None:
            return compare.absent and found is None
        return compare.mod_revision in (None, found.mod_revision)

    def commit(self, txn: Txn) -> Written | Conflict:
        """Apply a transaction if all its conditions are met."""
        if not all(self.is_met(compare) for compare in txn.compares):
            keys = [compare.key for compare in txn.compares]
            shown = [self.found_by_key[k] for k in keys if k in self.found_by_key]
            return Conflict(tuple(shown))
        self.revision += 1
        self.written.set()
        for key, value in txn.puts.items():
            old = self.found_by_key.get(key)
            created = old.create_revision if old else self.revision
            self.found_by_key[key] = Found(key, value, self.revision, created)
            self.history.append(Event(key, value, self.revision))
        for key in txn.deletes:
            if self.found_by_key.pop(key, None):
                self.history.append(Event(key, None, self.revision))
        return Written(self.revision)


class FakeStore:
    """One process's client of the store."""

    def __init__(self, keyspace: Keyspace, clock) -> None:
        """Start reachable and without delays."""
        self.keyspace = keyspace
        self.reachable = True
        self.answers_to_lose = 0
        self.request_delay_seconds = 0.0
        """Added to the time that a request takes to arrive."""
        self.answer_delay_seconds = 0.0
        """Added to the time that the answer to a write takes to arrive."""
        self.job_list_delay_seconds = 0.0
        """Added to the time that a list of the jobs takes to arrive."""
        self.down_since = None
        self.answered_at = 0.0
        self._clock = clock

    def is_unavailable(self, now: float) -> bool:
        """Return whether it has been unreachable for 0.5 s."""
        return self.down_since is not None and now - self.down_since >= 0.5

    async def _receive_request(self) -> bool:
        await asyncio.sleep(self.request_delay_seconds + STORE_LATENCY_SECONDS / 2)
        if self.reachable:
            self.down_since, self.answered_at = None, self._clock()
            return True
        self.down_since = self.down_since or self._clock()
        return False

    async def get(self, key: str):
        """Return a key's value."""
        if not await self._receive_request():
            return Unavailable("cut")
        found = self.keyspace.found_by_key.get(key, Absent())
        await asyncio.sleep(STORE_LATENCY_SECONDS / 2)
        return found

    async def list(self, prefix: str):
        """Return all keys with a prefix."""
        if not await self._receive_request():
            return Unavailable("cut")
        listing = Listing(self.keyspace.with_prefix(prefix), self.keyspace.revision)
        if prefix == JOB_PREFIX:
            await asyncio.sleep(self.job_list_delay_seconds)
        await asyncio.sleep(STORE_LATENCY_SECONDS / 2)
        return listing

    async def write(self, txn: Txn):
        """Apply a transaction."""
        if not await self._receive_request():
            return Unavailable("cut")
        outcome = self.keyspace.commit(txn)
        await asyncio.sleep(STORE_LATENCY_SECONDS / 2)
        if isinstance(outcome, Written):
            await asyncio.sleep(self.answer_delay_seconds)
        if isinstance(outcome, Written) and self.answers_to_lose:
            self.answers_to_lose -= 1
            return Unknown("the answer was lost")
        return outcome

    async def changes(self, prefix: str, revision: int, *, wait_seconds: float):
        """Return the writes to keys with a prefix since a revision."""
        if not await self._receive_request():
            return Unavailable("cut")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_seconds):
                while not self._changed_since(prefix, revision):
                    self.keyspace.written.clear()
                    await self.keyspace.written.wait()
        events = self._changed_since(prefix, revision)
        return Changes(events, self.keyspace.revision)

    def _changed_since(self, prefix: str, revision: int) -> Sequence[Event]:
        return [
            event
            for event in self.keyspace.history
            if event.key.startswith(prefix) and event.mod_revision > revision
        ]


class FakeStream:
    """A connection that one process has opened to another."""

    def __init__(self, network: "Network", source: str, target: str) -> None:
        """Connect `source` to the process at `target`."""
        self.network = network
        self.source = source
        self.target = target
        self.process = network.process_by_host[target]
        self.peer = self.process.node
        self.peer_incarnation = self.process.incarnation
        self.closed = False
        self.reverse: FakeStream | None = None

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open."""
        return not self.closed

    def close(self, reason: str) -> None:
        """Close both ends."""
        self.closed = True
        if self.reverse is not None:
            self.reverse.closed = True

    async def call(self, message, *, timeout: float):
        """Send a message and return the answer."""
        # A message that was sent arrives even if its sender no longer waits for the
        # answer.
        exchange = self.network.loop.create_task(
            self._exchange(message), context=Context()
        )
        self.network.exchanges.add(exchange)
        exchange.add_done_callback(self.network.exchanges.discard)
        try:
            async with asyncio.timeout(timeout):
                return await asyncio.shield(exchange)
        except TimeoutError:
            return Lost(True, "no answer in time")

    async def _exchange(self, message):
        try:
            await self._deliver(self.source, self.target, message)
            answer = await self.process.serve(self._reverse_stream(), message)
            await self._deliver(self.target, self.source, answer)
        except (ConnectionError, asyncio.CancelledError) as error:
            # The handler is cancelled if its process is killed.
            return Lost(True, str(error))
        return answer

    def _reverse_stream(self) -> "FakeStream":
        if self.reverse is None:
            self.reverse = FakeStream(self.network, self.target, self.source)
            self.reverse.reverse = self
        return self.reverse

    async def _deliver(self, source: str, target: str, message) -> None:
        await asyncio.sleep(NETWORK_LATENCY_SECONDS)
        delay = self.network.delay_message
        if delay is not None:
            await delay(source, target, message)
        state = self.network.link_state(source, target)
        if state is LinkState.SILENT:
            await asyncio.Event().wait()
        if state is LinkState.REFUSED or self.closed or not self.process.alive:
            self.close("reset")
            raise ConnectionResetError("reset")


class Network:
    """The processes by host, and the state of the links between them."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without partitions."""
        self.loop = loop
        self.exchanges: set[asyncio.Task] = set()
        self.process_by_host: dict[str, SimulatedProcess] = {}
        self.partitions: list[tuple[set[str], LinkState]] = []
        """Groups of hosts, and the state of their links to all other hosts."""
        self.delay_message: Callable[[str, str, object], Awaitable[None]] | None = None
        """Awaited before a message is delivered; a test sets it to delay messages."""

    def link_state(self, source: str, target: str) -> LinkState:
        """Return the state of the link from `source` to `target`."""
        for hosts, state in self.partitions:
            if (source in hosts) != (target in hosts):
                return state
        return LinkState.OPEN

    def is_refused(self, source: str, target: str) -> bool:
        """Return whether `target` or the network refuses connections."""
        state = self.link_state(source, target)
        process = self.process_by_host.get(target)
        port_closed = process is None or not process.is_listening
        return state is LinkState.REFUSED or (state is LinkState.OPEN and port_closed)


class FakePeers:
    """One process's connections to other processes."""

    def __init__(self, network: Network, host: str) -> None:
        """Connect from `host`."""
        self.network = network
        self.host = host
        self.stream_by_host: dict[str, FakeStream] = {}

    async def stream(self, host: str, port: int):
        """Return the open stream to an address, or open one."""
        network = self.network
        stream = self.stream_by_host.get(host)
        if stream is not None and stream.is_usable and stream.process.alive:
            return stream
        state = network.link_state(self.host, host)
        if state is LinkState.SILENT:
            await asyncio.sleep(0.6)
            return Lost(False, "no answer")
        await asyncio.sleep(NETWORK_LATENCY_SECONDS)
        if network.is_refused(self.host, host):
            return Lost(False, "refused")
        stream = FakeStream(network, self.host, host)
        self.stream_by_host[host] = stream
        return stream

    async def call(self, host: str, port: int, message, *, timeout: float):
        """Send a message to a process and return the answer."""
        stream = await self.stream(host, port)
        if isinstance(stream, Lost):
            return stream
        return await stream.call(message, timeout=timeout)

    async def refused(self, host: str, port: int) -> bool:
        """Return whether a connection to a host is refused."""
        await asyncio.sleep(NETWORK_LATENCY_SECONDS)
        return self.network.is_refused(self.host, host)


class SimulatedProcess:
    """The common part of entries and agents: tasks, handlers, and being killed."""

    def __init__(self, world: "TakeoverWorld", node: str, host: str) -> None:
        """Listen at `host`, with no task running."""
        self.world = world
        self.node = node
        self.host = host
        self.incarnation = next(world.incarnations)
        self.alive = True
        self.is_listening = True
        self.store = FakeStore(world.keyspace, world.clock)
        self.peers = FakePeers(world.network, host)
        self.handlers: dict[type, Callable] = {}
        self.tasks: list[asyncio.Task] = []
        world.network.process_by_host[host] = self

    def spawn(self, work) -> None:
        """Run a coroutine until the process is killed."""
        self.tasks.append(self.create_task(work))

    def create_task(self, work) -> asyncio.Task:
        """Run a coroutine in this process."""
        return self.world.loop.create_task(work)

    async def serve(self, stream: FakeStream, message):
        """Return the answer to a message."""
        return await self.answer(stream, message)

    async def answer(self, stream: FakeStream, message):
        """Return the handler's answer to a message."""
        handler = self.handlers.get(type(message))
        if handler is None:
            return Refused("unavailable", "not served here")
        return await handler(stream, message)

    def without_stream(self, handler) -> Callable:
        """Return a handler that drops its stream argument."""
        return lambda stream, message: handler(message)

    def kill(self) -> None:
        """Stop all tasks and close the port at once."""
        self.alive = self.is_listening = False
        for task in self.tasks:
            task.cancel()


class SimulatedEntry(SimulatedProcess):
    """An entry with its leader election, and the leader's work while it leads."""

    def __init__(
        self, world: "TakeoverWorld", node: str, host: str, weight: float = 1.0
    ) -> None:
        """Connect the parts and start; `weight` is the entry's processor time."""
        super().__init__(world, node, host)
        self.weight = weight
        self.wall_offset = 0.0
        """How many seconds its wall clock is ahead."""
        self.refused_reports: Counter[str] = Counter()
        """Reports refused per agent, while this entry leads but is not yet ready."""
        self.leader: Leader | None = None
        self.leadership = Leadership(
            Identity(node, Role.ENTRY, self.incarnation, "s"),
            ProcessInfo(host, PORT, self.incarnation, weight),
            store=self.store,
            peers=self.peers,
            clock=world.clock,
            lead=self._lead,
            wall_clock=lambda: world.clock() + self.wall_offset,
            refused=self.peers.refused,
        )
        leadership = self.leadership
        self.handlers = {
            WhoLeads: self.without_stream(leadership.who_leads),
            Leads: self.without_stream(leadership.leader_announced),
            KeepFollowing: self.without_stream(leadership.keep_following),
            TakeOver: self.without_stream(leadership.take_over),
            Report: self._report,
            Submitted: self.without_stream(self._submitted),
        }
        self.spawn(leadership.run())

    async def _lead(self, lease) -> None:
        self.leader = Leader(
            lease,
            store=self.store,
            peers=self.peers,
            leadership=self.leadership,
            clock=self.world.clock,
            wall_clock=lambda: WALL_START,
            status_kept=60.0,
            zones_out=frozenset,
            link_bytes_per_second=self.world.link_bytes_per_second,
            advice=self.world.advice,
        )
        try:
            await self.leader.run()
        finally:
            self.leader = None

    async def _report(self, stream, message):
        if self.leader is None:
            return Refused("unavailable", "this entry does not lead")
        if not self.leader.ready:
            self.refused_reports[message.node] += 1
        return await self.leader.report(stream, message, None)

    async def _submitted(self, message):
        if self.leader is None:
            return Refused("unavailable", "this entry does not lead")
        return await self.leader.submitted(message)


class SimulatedAgent(SimulatedProcess):
    """An agent's link to the leader, and a worker whose runs end with their lease."""

    def __init__(
        self, world: "TakeoverWorld", node: str, host: str, worker: SimulatedWorker
    ) -> None:
        """Connect the parts and start; `worker` may outlive the agent's incarnation."""
        super().__init__(world, node, host)
        self.worker = worker
        self.lease_until = 0.0
        self.following = Following(
            store=self.store,
            peers=self.peers,
            clock=world.clock,
            entries=[(host, PORT) for host in world.entry_hosts],
            make_report=self._make_report,
            on_answer=self._forget_refused,
            on_orders=self._carry_out,
        )
        self.handlers = {
            Leads: self.without_stream(self.following.leader_announced),
            Orders: self._orders,
        }
        self.spawn(self.following.run())
        self.spawn(self._renew_leases())

    def _make_report(self, epoch, orders_taken: int) -> Report:
        self.worker.orders_taken = orders_taken
        return msgspec.structs.replace(
            self.worker.report(),
            host=self.host,
            port=PORT,
            incarnation=self.incarnation,
            epoch=epoch,
        )

    def _forget_refused(self, report: Report) -> None:
        self.worker.refused = []

    async def _orders(self, stream, message):
        return await self.following.orders(stream, message, None)

    def _carry_out(self, orders: Orders) -> None:
        now = self.world.clock()
        for start in orders.starts:
            if not self.following.may_act():
                self.worker.refused.append((start.key, Refusal.NOT_ALLOWED))
                continue
            self._extend_lease(now)
            self.worker.running[start.key] = start
            self.world.record_start(self, start.key)
        for key in orders.stops:
            self.worker.end(key, RunEnd.STOPPED)
        self.following.report_soon()

    def _extend_lease(self, now: float) -> None:
        until = min(
            now + RUN_LEASE_SECONDS,
            self.following.contact_at + RUN_CONTACT_LIMIT_SECONDS,
        )
        if until > now:
            # The worker's clock is as slow as the allowed drift permits.
            longest = now + (until - now) * CLOCK_DRIFT_FACTOR
            self.lease_until = max(self.lease_until, longest)

    async def _renew_leases(self) -> None:
        while True:
            self._extend_lease(self.world.clock())
            await asyncio.sleep(RENEW_SECONDS)


class TakeoverWorld:
    """Entries and agents that start together, and a check for duplicate runs."""

    def __init__(
        self,
        *,
        entries: int,
        agents: int,
        weights: Sequence[float] = (),
        loop: VirtualLoop | None = None,
    ) -> None:
        """Start all processes; `weights` are the entries' processor times."""
        self.loop = loop or VirtualLoop(settle=0.0)
        self.keyspace = Keyspace()
        self.network = Network(self.loop)
        self.link_bytes_per_second = math.inf
        """The rate of each leader's link."""
        self.advice = None
        """The advice service that each leader asks, if there is one."""
        self.incarnations = iter(range(1, 1000))
        self.starts: list[tuple[float, str, object]] = []
        self.overlaps: list[str] = []
        """Starts of a task that ran elsewhere, one line each."""
        self.job_count = 0
        self.entry_hosts = [f"10.0.0.{n}" for n in range(1, entries + 1)]
        self.entries = [
            self.make_entry(f"entry-{n}", host, weight)
            for n, (host, weight) in enumerate(
                zip(self.entry_hosts, weights or [1.0] * entries, strict=True), 1
            )
        ]
        self.agents = [
            self.make_agent(f"agent-{n}", f"10.0.1.{n}") for n in range(1, agents + 1)
        ]
        self._expiry = self.loop.create_task(self.expire_leases())

    def make_entry(self, node: str, host: str, weight: float) -> SimulatedEntry:
        """Start an entry."""
        return SimulatedEntry(self, node, host, weight)

    def make_agent(self, node: str, host: str) -> "SimulatedAgent":
        """Start an agent with a new worker."""
        return SimulatedAgent(self, node, host, SimulatedWorker(node, cores=8.0))

    def clock(self) -> float:
        """Return the time in seconds, the same for all processes."""
        return CLOCK_START + self.loop.time()

    def close(self) -> None:
        """Stop the event loop."""
        self.loop.end()

    def wait(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.loop.pass_time(seconds)

    def until(self, condition: Callable[[], bool], seconds: float, what: str) -> float:
        """Let time pass until a condition is true; return the seconds that passed."""
        started_at = self.clock()
        while not condition():
            assert self.clock() - started_at < seconds, (
                f"not within {seconds} s: {what}"
            )
            self.wait(0.01)
        return self.clock() - started_at

    def submit(self, count: int = 1, cores: float = 4.0, *, then: int = 0) -> str:
        """Store a job of `count` tasks, and then of `then` tasks; return its id."""
        self.job_count += 1
        steps = [plain(count, cores=cores)]
        steps += [plain(then, cores=cores, after=(0,))] if then else []
        job = make_job(f"job-{self.job_count}", *steps)
        self.keyspace.commit(Txn([], {job_key(job.id): encode(job)}))
        return job.id

    def leading(self) -> list[SimulatedEntry]:
        """Return the entries that may act as leaders now."""
        return [e for e in self.entries if e.alive and e.leader and e.leader.acting]

    def until_led(self, but: SimulatedEntry | None = None) -> SimulatedEntry:
        """Wait until an entry other than `but` leads, and return it."""

        def led() -> bool:
            return any(entry is not but for entry in self.leading())

        self.until(led, 20.0, "an entry leads")
        return next(entry for entry in self.leading() if entry is not but)

    def restart(self, process: SimulatedProcess) -> SimulatedProcess:
        """Return a new incarnation of a killed process."""
        if isinstance(process, SimulatedEntry):
            number = self.entries.index(process)
            entry = self.make_entry(process.node, process.host, process.weight)
            self.entries[number] = entry
            return entry
        number = self.agents.index(process)
        agent = SimulatedAgent(self, process.node, process.host, process.worker)
        agent.lease_until = process.lease_until
        self.agents[number] = agent
        return agent

    def record_start(self, agent: SimulatedAgent, key) -> None:
        """Record a start, and an overlap if the task already runs elsewhere."""
        now = self.clock()
        self.starts.append((now, agent.node, key))
        for other in self.agents:
            for run in other.worker.running:
                if run.task == key.task and run != key:
                    self.overlaps.append(f"{now:.3f}: {key} and {run} at {other.node}")

    def running(self) -> list[tuple[SimulatedAgent, object]]:
        """Return all runs that go on, with their agents."""
        return [(agent, key) for agent in self.agents for key in agent.worker.running]

    async def expire_leases(self) -> None:
        """End the runs whose leases expire, until cancelled."""
        while True:
            for agent in self.agents:
                if self.clock() >= agent.lease_until:
                    for key in list(agent.worker.running):
                        agent.worker.end(key, RunEnd.LAPSED)
                        agent.following.report_soon()
            await asyncio.sleep(0.005)
