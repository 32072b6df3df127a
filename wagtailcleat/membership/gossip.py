"""Gossip: disseminates the member records and the configuration's revision.

Every node runs one `Gossiper`. In each round it exchanges its pending updates with
one random member, in the manner of SWIM. A new revision of the configuration is
pushed at once to a few members, who pull the changed parts and push the revision on;
the rounds reach the members that the push missed.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from wagtailcleat.clock import Clock
from wagtailcleat.configuration.parts import InForce
from wagtailcleat.logs import part_logger
from wagtailcleat.membership.view import BUCKET_COUNT, View
from wagtailcleat.resources import NOTHING, Resources
from wagtailcleat.settings import Timing
from wagtailcleat.wire.configuration import ConfigurationDelta, PullConfiguration
from wagtailcleat.wire.membership import (
    CompareViews,
    Gossip,
    Member,
    Members,
    MemberState,
    Probe,
)
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.peers import Peers
from wagtailcleat.wire.results import Done, Refused

log = part_logger("membership")

PUSH_FANOUT = 4
INDIRECT_PROBES = 3
DIRECT_RETRIES = 2
REFRESH_FANOUT = 3
ROUNDS_PER_LOST_PROBE = 10
ROUNDS_PER_SEED_EXCHANGE = 60
RECONCILE_PROBABILITY_DURING_UPDATES = 0.25
UNREACHABLE_STATES = (MemberState.SUSPECT, MemberState.LOST)
MAX_CONCURRENT_EXCHANGES = 8
MAX_BUCKETS_PER_RECONCILIATION = 2
CALL_TIMEOUT_SECONDS = 1.0
TRANSFER_TIMEOUT_SECONDS = 3.0
PULL_TIMEOUTS_SECONDS = (0.5, 1.0, TRANSFER_TIMEOUT_SECONDS)
"""Timeout of each attempt to pull a configuration; a later attempt waits longer."""

ConfigurationListener = Callable[[], None]


class Gossiper:
    """Runs the gossip rounds of one node, and answers the messages of others."""

    def __init__(
        self,
        view: View,
        in_force: InForce,
        peers: Peers,
        *,
        clock: Clock,
        timing: Timing,
        seeds: list[tuple[str, int]],
        rng: random.Random,
        free: Callable[[], Resources] = lambda: NOTHING,
    ) -> None:
        """Gossip the members of `view` and the revision of `in_force`.

        Parameters: `seeds` are host and port of members to contact while no other
        is known, and now and then later; `free` returns the free resources of this
        node's VM, which other nodes use as a hint for placement.
        """
        self.view = view
        self.in_force = in_force
        self.last_heard_at = clock()
        self._peers = peers
        self._clock = clock
        self._timing = timing
        self._seeds = seeds
        self._random = rng
        self._free = free
        self._listeners: list[ConfigurationListener] = []
        self._pull_task: asyncio.Task[None] | None = None
        self._push_tasks: set[asyncio.Task[None]] = set()
        self._exchange_tasks: set[asyncio.Task[None]] = set()

    def on_configuration(self, listener: ConfigurationListener) -> None:
        """Call `listener` after each change of the configuration in force."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Run a round at each gossip interval, with jitter, until cancelled."""
        while True:
            await self.run_round()
            pause = self._timing.gossip * self._random.uniform(0.7, 1.3)
            await asyncio.sleep(pause)

    async def run_round(self) -> None:
        """Expire members, and start an exchange with one random member.

        Now and then also contact a seed and probe a lost member.
        """
        timing = self._timing
        lost = self.view.expire(
            self._clock(), suspicion=timing.suspicion, forget_lost=timing.forget_lost
        )
        for member in lost:
            log.warning(
                "Member declared lost: suspect for longer than the suspicion time",
                extra={"member": member.node},
            )
        others = self.view.pick(1)
        # Chosen at random rather than by counting rounds: processes that started
        # together after an outage would all contact the seeds in the same second.
        if not others or self._random.random() < 1 / ROUNDS_PER_SEED_EXCHANGE:
            await self._exchange_with_seed()
        if self._random.random() < 1 / ROUNDS_PER_LOST_PROBE:
            await self._probe_lost()
        for member in others:
            self._start_exchange(member)

    async def refresh(self) -> bool:
        """Exchange updates with a few random members at once.

        Returns whether at least one answered, or no other member is known.
        """
        targets = self.view.pick(REFRESH_FANOUT)
        if not targets:
            return True
        exchanges = [self._exchange(m.host, m.port, peer=m) for m in targets]
        return any(await asyncio.gather(*exchanges))

    async def push_updates(self) -> None:
        """Push pending updates to a few random members, ahead of the next round."""
        targets = self.view.pick(PUSH_FANOUT)
        await asyncio.gather(*(self._exchange(m.host, m.port) for m in targets))

    def configuration_changed(self) -> None:
        """Notify the listeners, and push the new revision to a few members."""
        for listener in self._listeners:
            listener()
        task = asyncio.create_task(self.push_updates())
        self._push_tasks.add(task)
        task.add_done_callback(self._push_tasks.discard)

    def handlers(self) -> dict[type, Callable[[AnyMessage], Awaitable[AnyMessage]]]:
        """Return the handler of each gossip message, by message class."""
        return {
            Gossip: self._on_gossip,
            CompareViews: self._on_compare,
            Members: self._on_members,
            Probe: self._on_probe,
            PullConfiguration: self._on_pull,
        }

    async def _exchange_with_seed(self) -> None:
        if not self._seeds:
            return
        host, port = self._random.choice(self._seeds)
        if (host, port) != (self.view.me.host, self.view.me.port):
            await self._exchange(host, port)

    async def _probe_lost(self) -> None:
        member = self.view.pick_lost()
        if member is not None:
            await self._exchange(member.host, member.port, peer=member)

    def _start_exchange(self, member: Member) -> None:
        # An unanswered exchange takes seconds, as indirect probes follow it. Waiting
        # for it would delay the rounds just when messages are lost: a change of
        # configuration then took 7 s and more to reach the last process.
        if len(self._exchange_tasks) >= MAX_CONCURRENT_EXCHANGES:
            return
        task = asyncio.create_task(self._exchange_or_suspect(member))
        self._exchange_tasks.add(task)
        task.add_done_callback(self._exchange_tasks.discard)

    async def _exchange_or_suspect(self, member: Member) -> None:
        if await self._exchange(member.host, member.port, peer=member):
            return
        # One lost exchange is weak evidence of a failure. When many are lost,
        # suspecting at the first one caused so many false suspicions and refutations
        # that they crowded out the other updates.
        probes = [self._retry(member), self._probe_indirectly(member)]
        if not any(await asyncio.gather(*probes)):
            self.view.suspect(member.node, self._clock())

    async def _retry(self, member: Member) -> bool:
        for _ in range(DIRECT_RETRIES):
            if await self._exchange(member.host, member.port, peer=member):
                return True
        return False

    async def _probe_indirectly(self, member: Member) -> bool:
        helpers = [m for m in self.view.pick(INDIRECT_PROBES + 1) if m != member]
        probes = [
            self._peers.call(
                helper.host,
                helper.port,
                Probe(member.host, member.port),
                timeout=2 * CALL_TIMEOUT_SECONDS,
            )
            for helper in helpers[:INDIRECT_PROBES]
        ]
        answers = await asyncio.gather(*probes)
        return any(isinstance(answer, Done) for answer in answers)

    async def _exchange(self, host: str, port: int, peer: Member | None = None) -> bool:
        message = self._message(peer)
        answer = await self._peers.call(
            host, port, message, timeout=CALL_TIMEOUT_SECONDS
        )
        if not isinstance(answer, Gossip):
            return False
        self._apply(answer)
        if answer.revision > self.in_force.revision:
            await self._pull(host, port)
        if answer.digest != self.view.digest() and self._should_reconcile():
            await self._reconcile(host, port)
        return True

    def _should_reconcile(self) -> bool:
        # Comparing views repairs what the updates missed. While updates still spread,
        # views differ anyway, and comparing costs more bytes than the updates do.
        if len(self.view.member_by_node) == 1 or not self.view.has_pending_updates():
            return True
        return self._random.random() < RECONCILE_PROBABILITY_DURING_UPDATES

    async def _reconcile(self, host: str, port: int) -> None:
        request = CompareViews(self.view.bucket_checksums())
        answer = await self._peers.call(
            host, port, request, timeout=TRANSFER_TIMEOUT_SECONDS
        )
        if not isinstance(answer, Members):
            return
        self.view.merge_all(answer.members, self._clock())
        own = Members(answer.buckets, self.view.members_in_buckets(answer.buckets))
        await self._peers.call(host, port, own, timeout=TRANSFER_TIMEOUT_SECONDS)

    async def _pull(self, host: str, port: int) -> None:
        answer = await self._request_delta(host, port)
        if answer is None:
            return
        if self.in_force.merge(answer, self._clock()):
            log.info("A configuration is in force", extra={"revision": answer.revision})
            self.configuration_changed()

    async def _request_delta(self, host: str, port: int) -> ConfigurationDelta | None:
        for timeout in PULL_TIMEOUTS_SECONDS:
            request = PullConfiguration(self.in_force.revision)
            answer = await self._peers.call(host, port, request, timeout=timeout)
            if isinstance(answer, ConfigurationDelta):
                return answer
        return None

    async def _on_gossip(self, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, Gossip)
        self._apply(message)
        if message.revision > self.in_force.revision:
            self._start_pull(message)
        return self._message(self.view.member_by_node.get(message.sender))

    async def _on_compare(self, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, CompareViews)
        buckets = self.view.differing_buckets(message.sums)
        # After a zone is lost or a partition has healed all buckets differ, and a
        # whole view in each exchange would take many times the bytes that a daemon
        # may send. A new node, most of whose buckets are empty, gets the whole view.
        if message.sums.count(0) < BUCKET_COUNT / 2:
            count = min(MAX_BUCKETS_PER_RECONCILIATION, len(buckets))
            buckets = sorted(self._random.sample(buckets, count))
        return Members(buckets, self.view.members_in_buckets(buckets))

    async def _on_members(self, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, Members)
        self.view.merge_all(message.members, self._clock())
        return Done()

    async def _on_probe(self, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, Probe)
        reached = await self._exchange(message.host, message.port)
        return Done() if reached else Refused("unavailable", "not reached from here")

    async def _on_pull(self, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, PullConfiguration)
        return self.in_force.delta(message.revision)

    def _message(self, peer: Member | None = None) -> Gossip:
        # A member recorded as suspect or lost must receive that record, so that it
        # raises its version: its own unchanged record would never supersede it.
        unreachable = (
            [peer] if peer is not None and peer.state in UNREACHABLE_STATES else []
        )
        return Gossip(
            self.view.me.node,
            self.in_force.revision,
            [self.view.me, *unreachable, *self.view.take_updates()],
            self.view.digest(),
            self._free(),
        )

    def _apply(self, message: Gossip) -> None:
        now = self._clock()
        self.last_heard_at = now
        self.view.merge_all(message.members, now)
        self.view.record_free(message.sender, message.free, now)

    def _start_pull(self, message: Gossip) -> None:
        if self._pull_task is not None and not self._pull_task.done():
            return
        sender = self.view.member_by_node.get(message.sender)
        if sender is None or sender.state is MemberState.LOST:
            return
        pull = self._pull(sender.host, sender.port)
        self._pull_task = asyncio.create_task(pull)


def parse_seeds(seeds: list[str]) -> list[tuple[str, int]]:
    """Return the host and port of each seed, given as `HOST:PORT`.

    Raises:
        ValueError: a seed has no port, or one that is not a number.

    """
    pairs = [seed.rsplit(":", 1) for seed in seeds]
    return [(host, int(port)) for host, port in pairs]
