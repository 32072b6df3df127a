"""Find the leader and report to it; run by each agent.

The answer to a report allows the agent to carry out that leader's orders for a limited
time, counted from sending the report. An order that arrives later is not carried out.
"""

import asyncio
import contextlib
import math
from collections.abc import Callable

import msgspec

from wagtailcleat.clock import Clock
from wagtailcleat.cluster.checkpoint_delta import CheckpointDelta
from wagtailcleat.cluster.keys import LEADER_KEY
from wagtailcleat.cluster.stored_values import StoredValues, Unreadable
from wagtailcleat.cluster.timing import (
    LEADER_SEARCH_PAUSE_SECONDS,
    LIST_AGE_SECONDS,
    PREDECESSOR_LEASE_SECONDS,
    REPORT_INTERVAL_SECONDS,
    REPORT_TIMEOUT_SECONDS,
)
from wagtailcleat.errors import Code
from wagtailcleat.ids import Epoch
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.keyvalue import KeyValueStore
from wagtailcleat.storage import Found
from wagtailcleat.wire.answer_writer import AnswerWriter
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.peers import Peers
from wagtailcleat.wire.results import Done, Refused
from wagtailcleat.wire.scheduling import (
    FollowFirst,
    Leads,
    Orders,
    Report,
    ReportTaken,
    WhoLeads,
)
from wagtailcleat.wire.streams import Stream

log = part_logger("following")

COALESCE_SECONDS = 0.004
"""Pause before a report of a change, so that one report has all ends of a moment."""
HEDGE_SECONDS = 0.1
"""How long an entry may take to answer before the next one is asked as well.

After a loss of power entries come back one after the other. A connection to one that
has no power yet is neither accepted nor refused.
"""
SEARCHES_PER_STORE_READ = 3
"""Searches without an answered report per read of the store.

Entries may name a leader that was replaced. The platform counts each call of the store
as a cost.
"""

MakeReport = Callable[[Epoch, int], Report]
"""Returns an agent's report, given its epoch and the last orders' number."""


class Following:
    """The agent's side of its connection to the leader.

    `epoch` is the epoch that the agent follows; it takes no orders of older ones.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        peers: Peers,
        clock: Clock,
        entries: list[tuple[str, int]],
        make_report: MakeReport,
        on_answer: Callable[[Report], None],
        on_orders: Callable[[Orders], None],
        values: StoredValues | None = None,
    ) -> None:
        """Create an agent's connection, without a leader yet.

        Parameters: `entries` are addresses of entries that may know the leader;
        `on_answer` is called with each report that was answered; `values` decodes what
        is stored.
        """
        self.epoch = Epoch(0)
        self.contact_at = 0.0
        """When the last answered report that lists the runs was sent; 0 if none."""
        self.valid_until = 0.0
        """Until when orders of the leader may be carried out."""
        self._leader: Leads | None = None
        self._failed_leader: Leads | None = None
        """The leader that has not taken the last report.

        If the entries still name it, it is asked again after a pause: all agents
        would otherwise repeat their reports at once, for as long as it may not act.
        """
        self._orders_taken = 0
        self._store = store
        self._values = values or StoredValues()
        self._peers = peers
        self._clock = clock
        self._entries = list(entries)
        self._make_report = make_report
        self._delta = CheckpointDelta()
        self._on_answer = on_answer
        self._on_orders = on_orders
        self._report_due = asyncio.Event()
        self._changes = 0
        """Number of changes to report."""
        self._all_reported = asyncio.Event()
        """Set while the leader that is followed has a report of all changes."""
        self._all_reported.set()
        self._announced = asyncio.Event()
        """Set when a leader announces itself."""
        self._searches = 0
        self._searches_since_contact = 0
        """Searches since a report was last answered."""
        self._started_at = clock()
        self._followed_at = math.inf
        """When this agent began to follow its epoch."""

    def __repr__(self) -> str:
        """Show the epoch that is followed."""
        return f"<Following epoch {self.epoch}>"

    def may_act(self) -> bool:
        """Return whether orders of the leader may be carried out now."""
        return self._clock() < self.valid_until

    def report_soon(self) -> None:
        """Report soon, because something has changed."""
        self._changes += 1
        self._all_reported.clear()
        self._report_due.set()

    async def wait_until_reported(self) -> None:
        """Wait until a report with all changes was answered."""
        await self._all_reported.wait()

    async def leader_announced(self, message: AnyMessage) -> AnyMessage:
        """Follow a leader that announces itself."""
        assert isinstance(message, Leads)
        self._learn(message)
        self._announced.set()
        return Done()

    async def orders(
        self, stream: Stream, message: AnyMessage, answer_writer: AnswerWriter
    ) -> AnyMessage:
        """Carry out orders; refuse outdated ones and those of another epoch."""
        assert isinstance(message, Orders)
        if message.epoch != self.epoch or message.number <= self._orders_taken:
            return Refused(Code.CONFLICT.value, "not of the leader followed here")
        self._orders_taken = message.number
        self._on_orders(message)
        return Done()

    async def run(self) -> None:
        """Report to the leader, or search for it, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(REPORT_INTERVAL_SECONDS):
                    await self._report_due.wait()
                await asyncio.sleep(COALESCE_SECONDS)
            except TimeoutError:
                pass
            self._report_due.clear()
            if self._leader is None:
                await self._find_leader()
                if self._leader is not None and self._leader == self._failed_leader:
                    await self._wait_until_announced()
            leader = self._leader
            if leader is not None:
                reported = await self._report(leader)
                self._failed_leader = None if reported else leader
                if not reported and self._leader is leader:
                    self._leader = None
                if not reported:
                    self._report_due.set()

    async def _report(self, leader: Leads) -> bool:
        stream = await self._peers.stream(leader.host, leader.port)
        if isinstance(stream, Lost):
            return False
        sent_at = self._clock()
        changes = self._changes
        full_report = self._full_report(sent_at)
        report = self._delta.shorten(full_report)
        answer = await stream.call(report, timeout=REPORT_TIMEOUT_SECONDS)
        if isinstance(answer, Lost):
            self._delta.lost()
            # Orders that are delayed on this connection must not be accepted later.
            stream.close("a report was not answered")
            return False
        if isinstance(answer, FollowFirst):
            return await self._follow(answer.epoch)
        if isinstance(answer, Refused) and answer.code == Code.RESTORING.value:
            await self._wait_until_announced()
            self._report_due.set()
            return True
        if not isinstance(answer, ReportTaken) or answer.epoch != self.epoch:
            return False
        if answer.valid_seconds <= 0:
            # This does not count as a contact: the time for which the next leader waits
            # for this agent may have begun before this report.
            return False
        if report.listed:
            # Runs continue after this for as long as the leader assumes. A report
            # without a list of runs, unlike one with an empty list, does not tell the
            # leader what runs here, so it must not prolong the runs.
            self.contact_at = sent_at
        self.valid_until = sent_at + answer.valid_seconds
        self._searches_since_contact = 0
        self._delta.answered(report, seconds=self._clock() - sent_at)
        self._on_answer(report)
        if changes == self._changes and len(report.ended) == len(full_report.ended):
            self._all_reported.set()
        return True

    def _full_report(self, now: float) -> Report:
        report = self._make_report(self.epoch, self._orders_taken)
        if now - self._followed_at >= LIST_AGE_SECONDS:
            return report
        return msgspec.structs.replace(report, listed_in_epoch=False)

    async def _wait_until_announced(self) -> None:
        # A leader that is restoring its jobs accepts no reports, and announces itself
        # once it does. If all agents repeated their reports at once, they would fill
        # the link that the leader restores over.
        self._announced.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEADER_SEARCH_PAUSE_SECONDS):
                await self._announced.wait()

    async def _follow(self, epoch: Epoch) -> bool:
        """Follow a later epoch and report soon; return False if it is outdated."""
        if epoch <= self.epoch or not await self._is_latest_epoch(epoch):
            return False
        log.info("Follows", extra={"epoch": epoch})
        self.epoch = epoch
        self._followed_at = self._clock()
        self._orders_taken = 0
        self.valid_until = 0.0
        self.report_soon()
        return True

    async def _is_latest_epoch(self, epoch: Epoch) -> bool:
        # A leader relies on an agent that has reported to it to accept no orders of
        # earlier epochs. An earlier incarnation of this process may have reported just
        # before it ended, while an earlier leader may still act. Until that leader's
        # lease has certainly expired, the latest epoch is read from the store.
        if self._clock() - self._started_at > PREDECESSOR_LEASE_SECONDS:
            return True
        found = await self._store.get(LEADER_KEY)
        if not isinstance(found, Found):
            return False
        leader = self._values.read(found, Leads)
        if isinstance(leader, Unreadable):
            return False
        self._learn(leader)
        return leader.epoch == epoch

    def _learn(self, leader: Leads) -> None:
        if leader.epoch < max(self.epoch, 1):
            return
        known = self._leader
        if known is not None and known.epoch >= leader.epoch:
            return
        self._leader = leader
        self._report_due.set()

    async def _find_leader(self) -> None:
        self._searches += 1
        self._searches_since_contact += 1
        await self._ask_entries()
        if self._searches_since_contact % SEARCHES_PER_STORE_READ == 0:
            await self._ask_store()
        if self._leader is not None:
            return
        await asyncio.sleep(LEADER_SEARCH_PAUSE_SECONDS)

    async def _ask_entries(self) -> None:
        """Ask one entry who leads, and others as long as none has answered."""
        waiting: set[asyncio.Task[AnyMessage | Lost]] = set()
        for host, port in self._candidates():
            waiting.add(asyncio.create_task(self._ask_who_leads(host, port)))
            done, waiting = await asyncio.wait(
                waiting, timeout=HEDGE_SECONDS, return_when=asyncio.FIRST_COMPLETED
            )
            if any(isinstance(task.result(), Leads) for task in done):
                return

    async def _ask_who_leads(self, host: str, port: int) -> AnyMessage | Lost:
        answer = await self._peers.call(
            host, port, WhoLeads(), timeout=REPORT_TIMEOUT_SECONDS
        )
        if isinstance(answer, Leads) and answer.epoch:
            self._learn(answer)
        return answer

    def _candidates(self) -> list[tuple[str, int]]:
        """Return the known entries, beginning with another one in each search."""
        if not self._entries:
            return []
        first = self._searches % len(self._entries)
        return self._entries[first:] + self._entries[:first]

    async def _ask_store(self) -> None:
        found = await self._store.get(LEADER_KEY)
        if not isinstance(found, Found):
            return
        leader = self._values.read(found, Leads)
        if isinstance(leader, Unreadable):
            return
        address = (leader.host, leader.port)
        if address not in self._entries:
            self._entries.append(address)
        self._learn(leader)
