"""Real entries and agents' ties on virtual time, with a pretended store and network.

The leader's and the agents' own code runs; the store, the connections between the
processes and the workers are pretended, and each can fail by itself.
"""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from features.steps.scheduling_world import (
    WALL_START,
    PretendedWorker,
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
TRAVEL_SECONDS = 0.001
STORE_SECONDS = 0.004
RENEW_SECONDS = 0.4
"""How often a pretended agent renews its worker's leases."""
CLOCK_START = 1000.0


class Way(Enum):
    """What becomes of a connection between two hosts."""

    OPEN = "open"
    REFUSED = "refused"
    SILENT = "silent"


@dataclass
class Keyspace:
    """What the store holds, and its revision."""

    revision: int = 0
    found_by_key: dict[str, Found] = field(default_factory=dict)
    written: asyncio.Event = field(default_factory=asyncio.Event)

    def under(self, prefix: str) -> list[Found]:
        """Return the keys under a prefix."""
        return [f for key, f in self.found_by_key.items() if key.startswith(prefix)]

    def holds(self, compare) -> bool:
        """Tell whether a compare holds."""
        found = self.found_by_key.get(compare.key)
        if compare.absent or found is None:
            return compare.absent and found is None
        return compare.mod_revision in (None, found.mod_revision)

    def commit(self, txn: Txn) -> Written | Conflict:
        """Carry out a transaction, or nothing of it."""
        if not all(self.holds(compare) for compare in txn.compares):
            keys = [compare.key for compare in txn.compares]
            shown = [self.found_by_key[k] for k in keys if k in self.found_by_key]
            return Conflict(tuple(shown))
        self.revision += 1
        self.written.set()
        for key, value in txn.puts.items():
            self.found_by_key[key] = Found(key, value, self.revision)
        for key in txn.deletes:
            self.found_by_key.pop(key, None)
        return Written(self.revision)


class PretendedStore:
    """The store as one process reaches it."""

    def __init__(self, keyspace: Keyspace, clock) -> None:
        """Reach it."""
        self.keyspace = keyspace
        self.reached = True
        self.loses_answers = 0
        self.slow_seconds = 0.0
        """How much longer a call is on its way."""
        self.answer_seconds = 0.0
        """How much longer the answer to a write is on its way."""
        self.jobs_seconds = 0.0
        """How much longer the list of jobs is on its way."""
        self.down_since = None
        self.answered_at = 0.0
        self._clock = clock

    def away(self, now: float) -> bool:
        """Tell whether it is known not to answer."""
        return self.down_since is not None and now - self.down_since >= 0.5

    async def _asked(self) -> bool:
        await asyncio.sleep(self.slow_seconds + STORE_SECONDS / 2)
        if self.reached:
            self.down_since, self.answered_at = None, self._clock()
            return True
        self.down_since = self.down_since or self._clock()
        return False

    async def get(self, key: str):
        """Return a key's value."""
        if not await self._asked():
            return Unavailable("cut")
        found = self.keyspace.found_by_key.get(key, Absent())
        await asyncio.sleep(STORE_SECONDS / 2)
        return found

    async def list(self, prefix: str):
        """Return all keys under a prefix."""
        if not await self._asked():
            return Unavailable("cut")
        listing = Listing(self.keyspace.under(prefix), self.keyspace.revision)
        if prefix == JOB_PREFIX:
            await asyncio.sleep(self.jobs_seconds)
        await asyncio.sleep(STORE_SECONDS / 2)
        return listing

    async def write(self, txn: Txn):
        """Carry out a transaction."""
        if not await self._asked():
            return Unavailable("cut")
        outcome = self.keyspace.commit(txn)
        await asyncio.sleep(STORE_SECONDS / 2)
        if isinstance(outcome, Written):
            await asyncio.sleep(self.answer_seconds)
        if isinstance(outcome, Written) and self.loses_answers:
            self.loses_answers -= 1
            return Unknown("the answer was lost")
        return outcome

    async def changes(self, prefix: str, revision: int, *, wait_seconds: float):
        """Return what was written under a prefix since a revision."""
        if not await self._asked():
            return Unavailable("cut")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_seconds):
                while not self._newer(prefix, revision):
                    self.keyspace.written.clear()
                    await self.keyspace.written.wait()
        new = self._newer(prefix, revision)
        events = [Event(f.key, f.value, f.mod_revision) for f in new]
        return Changes(events, self.keyspace.revision)

    def _newer(self, prefix: str, revision: int) -> Sequence[Found]:
        under = self.keyspace.under(prefix)
        return [found for found in under if found.mod_revision > revision]


class PretendedStream:
    """A connection that one process has opened to another."""

    def __init__(self, network: "Network", near: str, far: str) -> None:
        """Connect `near` to the process at `far`."""
        self.network = network
        self.near = near
        self.far = far
        self.process = network.process_by_host[far]
        self.peer = self.process.node
        self.peer_incarnation = self.process.incarnation
        self.closed = False
        self.back: PretendedStream | None = None

    @property
    def usable(self) -> bool:
        """Whether a call may be sent."""
        return not self.closed

    def close(self, reason: str) -> None:
        """Close both ends."""
        self.closed = True
        if self.back is not None:
            self.back.closed = True

    async def call(self, message, *, timeout: float):
        """Send a message and return the answer."""
        # What was sent arrives, also where its sender has stopped waiting.
        exchange = self.network.loop.create_task(self._exchange(message))
        self.network.exchanges.add(exchange)
        exchange.add_done_callback(self.network.exchanges.discard)
        try:
            async with asyncio.timeout(timeout):
                return await asyncio.shield(exchange)
        except TimeoutError:
            return Lost(True, "no answer in time")

    async def _exchange(self, message):
        try:
            await self._travel(self.near, self.far, message)
            answer = await self.process.answer(self._other_end(), message)
            await self._travel(self.far, self.near, answer)
        except ConnectionError as error:
            return Lost(True, str(error))
        return answer

    def _other_end(self) -> "PretendedStream":
        if self.back is None:
            self.back = PretendedStream(self.network, self.far, self.near)
            self.back.back = self
        return self.back

    async def _travel(self, near: str, far: str, message) -> None:
        await asyncio.sleep(TRAVEL_SECONDS)
        hold = self.network.hold
        if hold is not None:
            await hold(near, far, message)
        way = self.network.way(near, far)
        if way is Way.SILENT:
            await asyncio.Event().wait()
        if way is Way.REFUSED or self.closed or not self.process.alive:
            self.close("reset")
            raise ConnectionResetError("reset")


class Network:
    """All processes by their hosts, and the ways between those."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Begin whole."""
        self.loop = loop
        self.exchanges: set[asyncio.Task] = set()
        self.process_by_host: dict[str, PretendedProcess] = {}
        self.cut: list[tuple[set[str], Way]] = []
        self.hold: Callable[[str, str, object], Awaitable[None]] | None = None
        """Called with each message on its way; what it waits for holds it up."""

    def way(self, near: str, far: str) -> Way:
        """Return what becomes of a connection from `near` to `far`."""
        for hosts, way in self.cut:
            if (near in hosts) != (far in hosts):
                return way
        return Way.OPEN

    def refused(self, near: str, far: str) -> bool:
        """Tell whether `far` or the network refuses a connection."""
        way = self.way(near, far)
        process = self.process_by_host.get(far)
        gone = process is None or not process.listens
        return way is Way.REFUSED or (way is Way.OPEN and gone)


class PretendedPeers:
    """The connections that one process has opened."""

    def __init__(self, network: Network, host: str) -> None:
        """Connect from `host`."""
        self.network = network
        self.host = host
        self.stream_by_host: dict[str, PretendedStream] = {}

    async def stream(self, host: str, port: int):
        """Return the open stream to an address, or open one."""
        network = self.network
        stream = self.stream_by_host.get(host)
        if stream is not None and stream.usable and stream.process.alive:
            return stream
        way = network.way(self.host, host)
        if way is Way.SILENT:
            await asyncio.sleep(0.6)
            return Lost(False, "no answer")
        await asyncio.sleep(TRAVEL_SECONDS)
        if network.refused(self.host, host):
            return Lost(False, "refused")
        stream = PretendedStream(network, self.host, host)
        self.stream_by_host[host] = stream
        return stream

    async def call(self, host: str, port: int, message, *, timeout: float):
        """Call a process."""
        stream = await self.stream(host, port)
        if isinstance(stream, Lost):
            return stream
        return await stream.call(message, timeout=timeout)

    async def refused(self, host: str, port: int) -> bool:
        """Tell whether a connection is refused."""
        await asyncio.sleep(TRAVEL_SECONDS)
        return self.network.refused(self.host, host)


class PretendedProcess:
    """What entries and agents have in common: tasks, handlers, an end."""

    def __init__(self, world: "TakeoverWorld", node: str, host: str) -> None:
        """Listen at `host`; nothing runs yet."""
        self.world = world
        self.node = node
        self.host = host
        self.incarnation = next(world.incarnations)
        self.alive = True
        self.listens = True
        self.store = PretendedStore(world.keyspace, world.clock)
        self.peers = PretendedPeers(world.network, host)
        self.handlers: dict[type, Callable] = {}
        self.tasks: list[asyncio.Task] = []
        world.network.process_by_host[host] = self

    def spawn(self, work) -> None:
        """Run a part for ever."""
        self.tasks.append(self.world.loop.create_task(work))

    async def answer(self, stream: PretendedStream, message):
        """Serve a call."""
        handler = self.handlers.get(type(message))
        if handler is None:
            return Refused("unavailable", "not served here")
        return await handler(stream, message)

    def plain(self, handler) -> Callable:
        """Return a handler that needs no stream."""
        return lambda stream, message: handler(message)

    def kill(self) -> None:
        """End at once."""
        self.alive = self.listens = False
        for task in self.tasks:
            task.cancel()


class PretendedEntry(PretendedProcess):
    """An entry: its part in the leadership, and the leader while it leads."""

    def __init__(
        self, world: "TakeoverWorld", node: str, host: str, weight: float = 1.0
    ) -> None:
        """Wire the parts; `weight` is its processor time."""
        super().__init__(world, node, host)
        self.weight = weight
        self.refused_reports: Counter[str] = Counter()
        """By agent, while this entry leads and restores."""
        self.leader: Leader | None = None
        self.leadership = Leadership(
            Identity(node, Role.ENTRY, self.incarnation, "s"),
            ProcessInfo(host, PORT, self.incarnation, weight),
            store=self.store,
            peers=self.peers,
            clock=world.clock,
            lead=self._lead,
            refused=self.peers.refused,
        )
        leadership = self.leadership
        self.handlers = {
            WhoLeads: self.plain(leadership.who_leads),
            Leads: self.plain(leadership.leader_announced),
            KeepFollowing: self.plain(leadership.keep_following),
            TakeOver: self.plain(leadership.take_over),
            Report: self._report,
            Submitted: self.plain(self._submitted),
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


class PretendedAgent(PretendedProcess):
    """An agent's tie to the leader, and a worker that keeps to its leases."""

    def __init__(
        self, world: "TakeoverWorld", node: str, host: str, worker: PretendedWorker
    ) -> None:
        """Wire the parts; `worker` may run on from the agent's earlier life."""
        super().__init__(world, node, host)
        self.worker = worker
        self.lease_until = 0.0
        self.following = Following(
            store=self.store,
            peers=self.peers,
            clock=world.clock,
            entries=[(host, PORT) for host in world.entry_hosts],
            make_report=self._make_report,
            on_answer=self._answered,
            on_orders=self._take,
        )
        self.handlers = {
            Leads: self.plain(self.following.leader_announced),
            Orders: self._orders,
        }
        self.spawn(self.following.run())
        self.spawn(self._renew())

    def _make_report(self, epoch, orders_taken: int) -> Report:
        self.worker.orders_taken = orders_taken
        return msgspec.structs.replace(
            self.worker.report(),
            host=self.host,
            port=PORT,
            incarnation=self.incarnation,
            epoch=epoch,
        )

    def _answered(self, report: Report) -> None:
        self.worker.refused = []

    async def _orders(self, stream, message):
        return await self.following.orders(stream, message, None)

    def _take(self, orders: Orders) -> None:
        now = self.world.clock()
        for start in orders.starts:
            if not self.following.may_act():
                self.worker.refused.append((start.key, Refusal.NOT_ALLOWED))
                continue
            self._lengthen(now)
            self.worker.running[start.key] = start
            self.world.started(self, start.key)
        for key in orders.stops:
            self.worker.end(key, RunEnd.STOPPED)
        self.following.report_soon()

    def _lengthen(self, now: float) -> None:
        until = min(
            now + RUN_LEASE_SECONDS,
            self.following.contact_at + RUN_CONTACT_LIMIT_SECONDS,
        )
        if until > now:
            # The worker's clock is as slow as it may be.
            longest = now + (until - now) * CLOCK_DRIFT_FACTOR
            self.lease_until = max(self.lease_until, longest)

    async def _renew(self) -> None:
        while True:
            self._lengthen(self.world.clock())
            await asyncio.sleep(RENEW_SECONDS)


class TakeoverWorld:
    """Entries and agents that begin together, and the oracle of what runs."""

    def __init__(
        self, *, entries: int, agents: int, weights: Sequence[float] = ()
    ) -> None:
        """Start everything; `weights` are the entries' processor times."""
        self.loop = VirtualLoop(settle=0.0)
        self.keyspace = Keyspace()
        self.network = Network(self.loop)
        self.incarnations = iter(range(1, 1000))
        self.starts: list[tuple[float, str, object]] = []
        self.overlaps: list[str] = []
        self.jobs = 0
        self.entry_hosts = [f"entry-host-{n}" for n in range(1, entries + 1)]
        self.entries = [
            PretendedEntry(self, f"entry-{n}", host, weight)
            for n, (host, weight) in enumerate(
                zip(self.entry_hosts, weights or [1.0] * entries, strict=True), 1
            )
        ]
        self.agents = [
            PretendedAgent(
                self,
                f"agent-{n}",
                f"agent-host-{n}",
                PretendedWorker(f"agent-{n}", cores=8.0),
            )
            for n in range(1, agents + 1)
        ]
        self._look = self.loop.create_task(self._lapse())

    def clock(self) -> float:
        """Return the time of every process."""
        return CLOCK_START + self.loop.time()

    def close(self) -> None:
        """End everything."""
        self.loop.end()

    # ---- what happens

    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.loop.pass_time(seconds)

    def until(self, holds: Callable[[], bool], seconds: float, what: str) -> float:
        """Let time pass until something holds; return how many seconds that took."""
        began = self.clock()
        while not holds():
            assert self.clock() - began < seconds, f"not within {seconds} s: {what}"
            self.wait(0.01)
        return self.clock() - began

    def submit(self, count: int = 1, cores: float = 4.0) -> str:
        """Store a job, and tell the leader."""
        self.jobs += 1
        job = make_job(f"job-{self.jobs}", plain(count, cores=cores))
        self.keyspace.commit(Txn([], {job_key(job.id): encode(job)}))
        return job.id

    def leading(self) -> list[PretendedEntry]:
        """Return the entries that may act as leaders now."""
        return [e for e in self.entries if e.alive and e.leader and e.leader.acting]

    def until_led(self, but: PretendedEntry | None = None) -> PretendedEntry:
        """Wait until an entry leads, another one than `but`."""

        def led() -> bool:
            return any(entry is not but for entry in self.leading())

        self.until(led, 20.0, "an entry leads")
        return next(entry for entry in self.leading() if entry is not but)

    def restart(self, process: PretendedProcess) -> PretendedProcess:
        """Start a killed process again."""
        if isinstance(process, PretendedEntry):
            number = self.entries.index(process)
            new = PretendedEntry(self, process.node, process.host, process.weight)
            self.entries[number] = new
            return new
        number = self.agents.index(process)
        again = PretendedAgent(self, process.node, process.host, process.worker)
        again.lease_until = process.lease_until
        self.agents[number] = again
        return again

    # ---- what really runs

    def started(self, agent: PretendedAgent, key) -> None:
        """Note a start, and whether the task runs elsewhere."""
        now = self.clock()
        self.starts.append((now, agent.node, key))
        for other in self.agents:
            for run in other.worker.running:
                if run.task == key.task and run != key:
                    self.overlaps.append(f"{now:.3f}: {key} and {run} at {other.node}")

    def running(self) -> list[tuple[PretendedAgent, object]]:
        """Return all that runs."""
        return [(agent, key) for agent in self.agents for key in agent.worker.running]

    async def _lapse(self) -> None:
        while True:
            for agent in self.agents:
                if self.clock() >= agent.lease_until:
                    for key in list(agent.worker.running):
                        agent.worker.end(key, RunEnd.LAPSED)
                        agent.following.report_soon()
            await asyncio.sleep(0.005)
