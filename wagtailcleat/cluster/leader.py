"""The leader's work: read jobs and reports, place tasks, send orders, write records.

`entry_app` creates one `Leader` for each epoch that its entry claims.
"""

import asyncio
import math
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from wagtailcleat.clock import Clock
from wagtailcleat.cluster.advice_questions import ask_advice
from wagtailcleat.cluster.jobs import Jobs, list_until_answered
from wagtailcleat.cluster.keys import AGENT_PREFIX, ProcessInfo
from wagtailcleat.cluster.leader_lease import LeaderLease
from wagtailcleat.cluster.leader_log import WaitLog, log_decisions, log_orders
from wagtailcleat.cluster.leadership import Leadership
from wagtailcleat.cluster.learnt_store import learnt_parts, persist_learnt
from wagtailcleat.cluster.records import DEFAULT_MAX_VALUE_BYTES, Records
from wagtailcleat.cluster.registrations import read_agents
from wagtailcleat.cluster.report_order import ReportOrder
from wagtailcleat.cluster.stored_values import StoredValues
from wagtailcleat.cluster.timing import AGENT_EXPIRY_SECONDS, STOP_REPEAT_SECONDS
from wagtailcleat.cluster.tombstones import Tombstones
from wagtailcleat.errors import Code
from wagtailcleat.ids import NodeId, ZoneName
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.advice import AdviceService
from wagtailcleat.platform.keyvalue import KeyValueStore
from wagtailcleat.scheduling.options import DEFAULT_OPTIONS, SchedulingOptions
from wagtailcleat.scheduling.scheduler import Scheduler
from wagtailcleat.supervise import Supervisor
from wagtailcleat.wire.answer_writer import AnswerWriter
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.peers import Peers
from wagtailcleat.wire.results import Refused
from wagtailcleat.wire.scheduling import (
    CancelSteps,
    CountWaiting,
    FollowFirst,
    Orders,
    Report,
    ReportTaken,
    ShowState,
    StateShown,
    Submitted,
    Waiting,
)
from wagtailcleat.wire.streams import Stream

log = part_logger("leader")

MIN_ROUND_INTERVAL_SECONDS = 0.01
"""Shortest time between two rounds, so that one round considers several reports."""
PLACING_LIMIT_SECONDS = 0.05
"""How long one round places work at most.

Reports and pings wait until the round ends, and the peers of a slow VM would take its
silence for a lost connection.
"""
LINK_SHARE_OF_STARTS = 0.5
"""Share of the link's rate for starts.

The rest is for pings, answers, callers and the store.
"""
HELD_STARTS_RETRY_SECONDS = 0.02
"""Pause before starts that the link's rate has delayed are tried again."""
MAX_ROUND_INTERVAL_SECONDS = 0.25
"""Longest time between two rounds: no event tells of due jobs or expired leases."""
ORDERS_TIMEOUT_SECONDS = 0.8
ENTRIES_INTERVAL_SECONDS = 5.0
"""How often a leader announces itself and checks the other entries."""
ENTRIES_RESTORING_INTERVAL_SECONDS = 0.5
"""The same while it is restoring jobs."""


class Leader:
    """A leader of one epoch: its scheduler, jobs, records and connected agents.

    `ready` is set once the stored jobs have been read.
    """

    def __init__(
        self,
        lease: LeaderLease,
        *,
        store: KeyValueStore,
        peers: Peers,
        leadership: Leadership,
        clock: Clock,
        wall_clock: Clock,
        status_kept: float,
        zones_out: Callable[[], frozenset[ZoneName]],
        advice: AdviceService | None = None,
        link_bytes_per_second: float = math.inf,
        max_value_bytes: int = DEFAULT_MAX_VALUE_BYTES,
        options: SchedulingOptions = DEFAULT_OPTIONS,
        values: StoredValues | None = None,
    ) -> None:
        """Create a leader that has not read the stored jobs yet.

        Parameters: `status_kept` is how long the state of an ended job is kept, in
        seconds; `zones_out` returns the zones that operators have taken out; `advice`
        is asked which workers may run a step, if it is given; `options` as in
        `Scheduler`; `values` decodes what is stored; the others as in `Records`.
        """
        self._advice = advice
        self._zones_out = zones_out
        self.lease = lease
        self.scheduler = Scheduler(
            lease.epoch,
            lease_horizon=AGENT_EXPIRY_SECONDS,
            stop_retry_seconds=STOP_REPEAT_SECONDS,
            start_bytes_per_second=LINK_SHARE_OF_STARTS * link_bytes_per_second,
            options=options,
        )
        self.ready = False
        self._store = store
        self._values = values or StoredValues()
        self._peers = peers
        self._leadership = leadership
        self._clock = clock
        self._wall_clock = wall_clock
        self._wake = asyncio.Event()
        self._records = Records(
            lease,
            self.scheduler,
            store=store,
            clock=clock,
            wall_clock=wall_clock,
            status_kept=status_kept,
            on_progress=self._wake.set,
            link_bytes_per_second=link_bytes_per_second,
            max_value_bytes=max_value_bytes,
        )
        self._tombstones = Tombstones(lease, store=store, clock=clock)
        self.jobs = Jobs(
            lease,
            self.scheduler,
            store=store,
            clock=clock,
            wall_clock=wall_clock,
            on_change=self._wake.set,
            on_cancel=self._records.dirty.set,
            on_tombstone=self._tombstones.add,
        )
        self._wait_log = WaitLog()
        self._report_order = ReportOrder()
        self._stream_by_node: dict[NodeId, Stream] = {}
        self._session_by_stream: dict[int, int] = {}
        self._sessions = 0
        self._sending: set[asyncio.Task[None]] = set()

    def __repr__(self) -> str:
        """Show the epoch and the scheduler's jobs."""
        return f"<Leader epoch {self.lease.epoch}: {self.scheduler.job_table}>"

    @property
    def _now(self) -> float:
        return self._clock()

    @property
    def acting(self) -> bool:
        """Whether orders may be given now."""
        return self.ready and self.lease.valid_for(self._now) > 0

    async def run(self, on_restart: Callable[[str], None] | None = None) -> None:
        """Restore the stored jobs, then lead until cancelled; see `Supervisor`."""
        supervisor = Supervisor(f"epoch-{self.lease.epoch}", on_restart=on_restart)
        # Restoring takes long over a slow link; a larger entry may take over meanwhile.
        supervisor.spawn("entries", self._maintain_entries)
        try:
            await self._restore()
            supervisor.spawn("jobs", self.jobs.watch)
            supervisor.spawn("records", self._records.run)
            supervisor.spawn("tombstones", self._tombstones.run)
            supervisor.spawn("rounds", self._rounds)
            parts = learnt_parts(self.scheduler)
            persist = partial(persist_learnt, parts, self.lease, self._store)
            supervisor.spawn("learnt", persist)
            if self._advice is not None:
                supervisor.spawn("advice", partial(self._ask_advice, self._advice))
            await asyncio.Event().wait()
        finally:
            await supervisor.stop()
            for task in self._sending:
                task.cancel()

    async def _restore(self) -> None:
        started_at = self._now
        log.info("Restoring the jobs", extra={"epoch": self.lease.epoch})
        listing = await list_until_answered(self._store, AGENT_PREFIX, self._clock)
        agents = await read_agents(self._store, self._values, listing.found)
        for agent in agents:
            self._records.restore_agent(agent.node, agent.revision)
            self.scheduler.unreported_agents.add(agent.node)
        await self.jobs.restore()
        self.ready = True
        log.info(
            "Restored the jobs",
            extra={
                "jobs": len(self.scheduler.job_table.entry_by_id),
                "agents": len(agents),
                "seconds": round(self._now - started_at, 3),
            },
        )
        for process in filter(None, (agent.process for agent in agents)):
            self._spawn(self._send_leader(process))

    async def _send_leader(self, agent: ProcessInfo) -> None:
        await self._peers.call(
            agent.host,
            agent.port,
            self._leadership.leader,
            timeout=ORDERS_TIMEOUT_SECONDS,
        )

    async def submitted(self, message: Submitted) -> AnyMessage:
        """Add a job that an entry has just stored."""
        if not self.ready:
            # An earlier leader may already have stored the job's progress. The lists
            # of jobs and records are still being read, and the job would start from
            # the beginning if it were added without its record. The lists, or the
            # watch that follows them, add it.
            return Refused(Code.RESTORING.value, "the leader is still restoring")
        self.jobs.add(message.id, message.job, 0)
        self._wake.set()
        return StateShown("")

    def state(self, message: ShowState) -> StateShown:
        """Return a job's durable state, or an empty one if it is not known for sure.

        While this leader may not act, another one may have ended the job, and its
        callers may have been shown that. A final state does not change any more.
        """
        entry = self.scheduler.job_table.entry_by_id.get(message.id)
        if entry is None:
            return StateShown("")
        state = entry.durable_state
        return StateShown(state.value if state.final or self.acting else "")

    def waiting(self, message: CountWaiting) -> Waiting | Refused:
        """Return the number of a queue's jobs of which no task has started."""
        if not self.ready:
            return Refused(Code.RESTORING.value, "the leader is still restoring")
        if not self.acting:
            # It accepts no reports now, so it learns of no starts, and another leader
            # may have replaced it.
            return Refused(Code.UNAVAILABLE.value, "this leader may not act now")
        count = self.scheduler.job_table.waiting(message.queue)
        if count is None:
            return Refused(Code.RESTORING.value, "some agents have not reported yet")
        return Waiting(count)

    async def cancel(self, message: CancelSteps, timeout: float) -> StateShown:
        """Cancel a job and return its state.

        The state is empty if the job is not known, or if the cancellation could not be
        stored within `timeout` seconds.
        """
        entry = self.scheduler.cancel(
            message.id, now=self._now, wall_now=self._wall_clock(), why="by a call"
        )
        if entry is None:
            return StateShown("")
        log.info("Cancelled", extra={"job": message.id, "state": entry.state.value})
        self._records.dirty.set()
        self._wake.set()
        stored = await self._records.wait_until_stored(entry, timeout)
        return StateShown(entry.state.value if stored else "")

    async def report(
        self, stream: Stream, message: AnyMessage, answer_writer: AnswerWriter
    ) -> AnyMessage:
        """Handle an agent's report; the answer says for how long the agent may act."""
        assert isinstance(message, Report)
        if not self.ready and self.lease.valid_for(self._now) > 0:
            return Refused(Code.RESTORING.value, "the leader is still restoring")
        if not self.acting:
            # Another leader may have replaced this one, so agents must search for the
            # leader. After an answer, runs continue for as long as the next leader
            # waits after the last moment at which this one may act.
            return Refused(Code.UNAVAILABLE.value, "this leader may not act now")
        if not self._report_order.note_incarnation(message):
            return Refused(Code.CONFLICT.value, "a later incarnation has reported")
        if message.epoch != self.lease.epoch:
            # The agent may still accept an order of the previous leader. A delayed
            # order would start a run that this report does not list, and the same task
            # would be started elsewhere.
            return FollowFirst(self.lease.epoch)
        if not await self.jobs.load_reported_jobs(message):
            return Refused(Code.UNAVAILABLE.value, "the store is asked for a job")
        if self._report_order.is_stale(message):
            return Refused(Code.CONFLICT.value, "a later report was taken in")
        session = self._session(message.node, stream)
        self.scheduler.process_report(
            message, session, now=self._now, wall_now=self._wall_clock()
        )
        vm = self.scheduler.vm_by_node[message.node]
        vm.registered = message.node in self._records.registered
        valid_seconds = self.lease.valid_for(self._now)
        vm.may_act_until = self._now + valid_seconds
        self._wake.set()
        self._records.dirty.set()
        return ReportTaken(self.lease.epoch, valid_seconds)

    def _session(self, node: NodeId, stream: Stream) -> int:
        if self._stream_by_node.get(node) is not stream:
            self._sessions += 1
            self._stream_by_node[node] = stream
            self._session_by_stream[id(stream)] = self._sessions
            log.info("Agent in touch", extra={"agent": node})
        return self._session_by_stream[id(stream)]

    async def _rounds(self) -> None:
        while True:
            try:
                async with asyncio.timeout(MAX_ROUND_INTERVAL_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            self._round()
            await asyncio.sleep(MIN_ROUND_INTERVAL_SECONDS)

    def _round(self) -> None:
        now = self._now
        for node, stream in list(self._stream_by_node.items()):
            if stream.closed:
                del self._stream_by_node[node]
                self._session_by_stream.pop(id(stream), None)
                self.scheduler.mark_disconnected(node)
                log.info("Agent out of touch", extra={"agent": node})
                self._records.dirty.set()
        # Agents expire as of the last renewal. Another leader may have claimed since,
        # and the runs of an agent that follows it continue, although this leader, which
        # may still act, no longer gets the agent's reports.
        confirmed_at = min(now, self.lease.renewed_at)
        for node in self.scheduler.expire(
            now=confirmed_at, predecessors_until=self.lease.predecessors_until
        ):
            log.warning("Gave up the runs of an agent", extra={"agent": node})
            self._records.dirty.set()
        log_decisions(self.scheduler)
        self._wait_log.update(self.scheduler, now)
        if not self.acting:
            return
        self.scheduler.zones_out = self._zones_out()
        completed = self.scheduler.place(
            now=now,
            wall_now=self._wall_clock(),
            may_continue=lambda: self._now < now + PLACING_LIMIT_SECONDS,
        )
        if not completed:
            self._wake.set()
        for vm, orders in self.scheduler.orders(now=now):
            log_orders(vm, orders)
            if vm.node in self._stream_by_node:
                self._spawn(self._send(self._stream_by_node[vm.node], orders))
        if self.scheduler.holds_starts:
            asyncio.get_running_loop().call_later(
                HELD_STARTS_RETRY_SECONDS, self._wake.set
            )

    async def _send(self, stream: Stream, orders: Orders) -> None:
        answer = await stream.call(orders, timeout=ORDERS_TIMEOUT_SECONDS)
        if isinstance(answer, Lost):
            # The agent's next report shows whether the orders were accepted. It comes
            # on a new connection, which distinguishes it from reports that were already
            # on their way.
            stream.close("orders were not answered")
            self._wake.set()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def _ask_advice(self, service: AdviceService) -> None:
        await ask_advice(
            service,
            self.scheduler,
            acting=lambda: self.acting,
            clock=self._clock,
            wall_clock=self._wall_clock,
            on_granted=self._wake.set,
        )

    async def _maintain_entries(self) -> None:
        while True:
            ready = self.ready
            due = await self._leadership.maintain_entries(self.lease, restored=ready)
            pause = (
                ENTRIES_INTERVAL_SECONDS
                if ready
                else ENTRIES_RESTORING_INTERVAL_SECONDS
            )
            await asyncio.sleep(min(pause, due))
