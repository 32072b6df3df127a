"""Gossip: who is there, and which configuration is in force.

Each round a node exchanges its latest news with one random member. News of a
configuration is pushed at once to a few, who pull what changed and push on; the
rounds find those whom the push missed.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from wagtailcleat.clock import Clock
from wagtailcleat.configuration.parts import InForce
from wagtailcleat.logs import part_logger
from wagtailcleat.membership.view import BUCKETS, View
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

FANOUT = 4
INDIRECT_PROBES = 3
DIRECT_RETRIES = 2
REFRESH_ASKS = 3
ROUNDS_A_LOST_PROBE = 10
ROUNDS_A_SEED = 60
RECONCILE_SHARE_AMID_RUMOURS = 0.25
DOUBTED = (MemberState.SUSPECT, MemberState.LOST)
MAX_SUSPICIONS = 8
RECONCILED_BUCKETS = 2
CALL_SECONDS = 1.0
PULL_SECONDS = 3.0
PULL_TRIES_SECONDS = (0.5, 1.0, PULL_SECONDS)

ConfigurationListener = Callable[[], None]


class Gossiper:
    """Runs the rounds of one node and answers those of others."""

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
        """Exchange `view` and `in_force` with others.

        Parameters: `free` tells what this node's VM has free, for the hint.
        """
        self.view = view
        self.in_force = in_force
        self.heard_at = clock()
        self._peers = peers
        self._clock = clock
        self._timing = timing
        self._seeds = seeds
        self._random = rng
        self._free = free
        self._listeners: list[ConfigurationListener] = []
        self._pulling: asyncio.Task[None] | None = None
        self._pushes: set[asyncio.Task[None]] = set()
        self._exchanges: set[asyncio.Task[None]] = set()

    def on_configuration(self, listener: ConfigurationListener) -> None:
        """Call `listener` after each new configuration."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Exchange news every round, with jitter, until cancelled."""
        while True:
            await self.round()
            pause = self._timing.gossip * self._random.uniform(0.7, 1.3)
            await asyncio.sleep(pause)

    async def round(self) -> None:
        """Exchange news with one member, and see who is lost."""
        timing = self._timing
        lost = self.view.expire(
            self._clock(), suspicion=timing.suspicion, forget_lost=timing.forget_lost
        )
        for member in lost:
            log.warning("A member is lost", extra={"member": member.node})
        others = self.view.pick(1)
        # By chance, not by count: processes that started together, after an outage,
        # would all ask the seeds in the same second.
        if not others or self._random.random() < 1 / ROUNDS_A_SEED:
            await self._seed()
        if self._random.random() < 1 / ROUNDS_A_LOST_PROBE:
            await self._probe_lost()
        for member in others:
            self._exchange_soon(member)

    async def refresh(self) -> bool:
        """Hear one member anew; true where one answered or none is known."""
        targets = self.view.pick(REFRESH_ASKS)
        if not targets:
            return True
        asks = [self._exchange(m.host, m.port, about=m) for m in targets]
        return any(await asyncio.gather(*asks))

    async def announce(self) -> None:
        """Push one's latest news to a few members at once."""
        targets = self.view.pick(FANOUT)
        await asyncio.gather(*(self._exchange(m.host, m.port) for m in targets))

    def configuration_changed(self) -> None:
        """Tell listeners, and push the news to a few members at once."""
        for listener in self._listeners:
            listener()
        task = asyncio.create_task(self.announce())
        self._pushes.add(task)
        task.add_done_callback(self._pushes.discard)

    def handlers(self) -> dict[type, Callable[[AnyMessage], Awaitable[AnyMessage]]]:
        """Return what answers each message of this part."""
        return {
            Gossip: self._on_gossip,
            CompareViews: self._on_compare,
            Members: self._on_members,
            Probe: self._on_probe,
            PullConfiguration: self._on_pull,
        }

    # ---- asking

    async def _seed(self) -> None:
        if not self._seeds:
            return
        host, port = self._random.choice(self._seeds)
        if (host, port) != (self.view.me.host, self.view.me.port):
            await self._exchange(host, port)

    async def _probe_lost(self) -> None:
        member = self.view.pick_lost()
        if member is not None:
            await self._exchange(member.host, member.port, about=member)

    def _exchange_soon(self, member: Member) -> None:
        # An exchange without answer ends after seconds, with the probes of others.
        # Waiting for it would hold up the rounds just when news is lost: a change
        # of configuration then reached the last process after 7 s and more.
        if len(self._exchanges) >= MAX_SUSPICIONS:
            return
        task = asyncio.create_task(self._exchange_or_suspect(member))
        self._exchanges.add(task)
        task.add_done_callback(self._exchanges.discard)

    async def _exchange_or_suspect(self, member: Member) -> None:
        if await self._exchange(member.host, member.port, about=member):
            return
        # One lost exchange says little. Where many are lost, suspecting on the first
        # made so much false news, and refutations of it, that true news drowned.
        tries = [self._retry(member), self._probe_through_others(member)]
        if not any(await asyncio.gather(*tries)):
            self.view.suspect(member.node, self._clock())

    async def _retry(self, member: Member) -> bool:
        for _ in range(DIRECT_RETRIES):
            if await self._exchange(member.host, member.port, about=member):
                return True
        return False

    async def _probe_through_others(self, member: Member) -> bool:
        helpers = [m for m in self.view.pick(INDIRECT_PROBES + 1) if m != member]
        probes = [
            self._peers.call(
                helper.host,
                helper.port,
                Probe(member.host, member.port),
                timeout=2 * CALL_SECONDS,
            )
            for helper in helpers[:INDIRECT_PROBES]
        ]
        answers = await asyncio.gather(*probes)
        return any(isinstance(answer, Done) for answer in answers)

    async def _exchange(
        self, host: str, port: int, about: Member | None = None
    ) -> bool:
        news = self._news(about)
        answer = await self._peers.call(host, port, news, timeout=CALL_SECONDS)
        if not isinstance(answer, Gossip):
            return False
        self._take(answer)
        if answer.revision > self.in_force.revision:
            await self._pull(host, port)
        if answer.digest != self.view.digest() and self._reconcile_now():
            await self._reconcile(host, port)
        return True

    def _reconcile_now(self) -> bool:
        # While news is on its way views differ anyhow: comparing them is for what
        # the rumours missed, and else costs more bytes than the rumours do.
        if len(self.view.member_by_node) == 1 or not self.view.has_rumours():
            return True
        return self._random.random() < RECONCILE_SHARE_AMID_RUMOURS

    async def _reconcile(self, host: str, port: int) -> None:
        compare = CompareViews(self.view.sums())
        answer = await self._peers.call(host, port, compare, timeout=PULL_SECONDS)
        if not isinstance(answer, Members):
            return
        self.view.merge_all(answer.members, self._clock())
        mine = Members(answer.buckets, self.view.in_buckets(answer.buckets))
        await self._peers.call(host, port, mine, timeout=PULL_SECONDS)

    async def _pull(self, host: str, port: int) -> None:
        answer = await self._ask_delta(host, port)
        if answer is None:
            return
        if self.in_force.merge(answer, self._clock()):
            log.info("A configuration is in force", extra={"revision": answer.revision})
            self.configuration_changed()

    async def _ask_delta(self, host: str, port: int) -> ConfigurationDelta | None:
        for timeout in PULL_TRIES_SECONDS:
            ask = PullConfiguration(self.in_force.revision)
            answer = await self._peers.call(host, port, ask, timeout=timeout)
            if isinstance(answer, ConfigurationDelta):
                return answer
        return None

    # ---- answering

    async def _on_gossip(self, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, Gossip)
        self._take(message)
        if message.revision > self.in_force.revision:
            self._pull_soon(message)
        return self._news(self.view.member_by_node.get(message.sender))

    async def _on_compare(self, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, CompareViews)
        buckets = self.view.differing(message.sums)
        # All buckets differ after a zone is lost or a partition has healed, and a
        # whole view in each exchange would take many times a daemon's bytes. A
        # newcomer, whose own buckets are nearly all empty, gets the whole at once.
        if message.sums.count(0) < BUCKETS / 2:
            count = min(RECONCILED_BUCKETS, len(buckets))
            buckets = sorted(self._random.sample(buckets, count))
        return Members(buckets, self.view.in_buckets(buckets))

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

    # ---- both

    def _news(self, about: Member | None = None) -> Gossip:
        # A member that others believe lost must hear it, to raise its version:
        # its own unchanged record would never win over theirs.
        doubted = [about] if about is not None and about.state in DOUBTED else []
        return Gossip(
            self.view.me.node,
            self.in_force.revision,
            [self.view.me, *doubted, *self.view.rumours()],
            self.view.digest(),
            self._free(),
        )

    def _take(self, news: Gossip) -> None:
        now = self._clock()
        self.heard_at = now
        self.view.merge_all(news.members, now)
        self.view.note_free(news.sender, news.free, now)

    def _pull_soon(self, news: Gossip) -> None:
        if self._pulling is not None and not self._pulling.done():
            return
        sender = self.view.member_by_node.get(news.sender)
        if sender is None or sender.state is MemberState.LOST:
            return
        pull = self._pull(sender.host, sender.port)
        self._pulling = asyncio.create_task(pull)


def parse_seeds(seeds: list[str]) -> list[tuple[str, int]]:
    """Return host and port of each `HOST:PORT`."""
    pairs = [seed.rsplit(":", 1) for seed in seeds]
    return [(host, int(port)) for host, port in pairs]
