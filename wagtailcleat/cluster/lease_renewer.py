"""Renew a leader's lease, by the store or by promises, and end or hand it over.

Used by `leadership` only.
"""

import asyncio
import contextlib
from collections.abc import Callable

from wagtailcleat.clock import Clock
from wagtailcleat.cluster.claims import LearnLeader
from wagtailcleat.cluster.keys import HEARTBEAT_KEY, ProcessInfo
from wagtailcleat.cluster.leader_lease import LeaderLease
from wagtailcleat.cluster.lease_keys import adopt_revisions, write_heartbeat
from wagtailcleat.cluster.other_entries import OtherEntries, reaches_store
from wagtailcleat.cluster.successors import Successors
from wagtailcleat.cluster.timing import (
    LEADER_LEASE_SECONDS,
    PROBE_TIMEOUT_SECONDS,
    RENEWAL_INTERVAL_SECONDS,
    STORE_SILENT_SECONDS,
)
from wagtailcleat.ids import Epoch
from wagtailcleat.logs import part_logger
from wagtailcleat.platform.keyvalue import KeyValueStore
from wagtailcleat.storage import Conflict, WriteOutcome, Written
from wagtailcleat.wire.peers import Peers
from wagtailcleat.wire.scheduling import Follows, Leads, TakeOver

log = part_logger("leadership")

STEP_DOWN_STORE_SECONDS = 0.3
"""How long a leader that steps down waits for the store before it tells the others."""
STEP_DOWN_TRIES = 2
"""The first attempt may conflict with a renewal that was in progress."""
RENEWAL_TRIES = 3
"""Another program may write the leader's keys between two renewals."""
STORE_RETURN_CHECK_SECONDS = 0.05
"""How often a leader without the store checks whether it is back."""
STORE_RETURN_CHECKS = 2
"""Checks in a row after which a renewal in flight is given up.

The answer that shows that the store is back may be that of the renewal itself.
"""
STORE_RECHECK_SECONDS = 0.1
"""How long a leader waits for the store once more before it hands over."""
HAND_OVER_AFTER_SECONDS = 10.0
"""How long an entry leads, at least, before it hands over to a larger one."""
HAND_OVER_RESTORING_SECONDS = 1.5
"""The same while it restores: running work lapses unless restoring ends soon."""


class LeaseRenewer:
    """Renews the lease of this entry while it leads."""

    def __init__(
        self,
        *,
        store: KeyValueStore,
        peers: Peers,
        other_entries: OtherEntries,
        clock: Clock,
        wall_clock: Clock,
        leader: Callable[[], Leads],
        learn: LearnLeader,
    ) -> None:
        """Create the renewer.

        Parameters: `leader` returns the latest leader known; `learn` is called with
        each leader that another entry names.
        """
        self._store = store
        self._peers = peers
        self._other_entries = other_entries
        self._clock = clock
        self._wall_clock = wall_clock
        self._leader = leader
        self._learn = learn

    def __repr__(self) -> str:
        """Show the epoch of the latest leader known."""
        return f"<LeaseRenewer under epoch {self._leader().epoch}>"

    async def step_down(self, lease: LeaderLease) -> None:
        """End a lease, and ask another entry to take over."""
        lease.stepped_down.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STEP_DOWN_STORE_SECONDS):
                await self._store_step_down(lease)
        await self._hand_over(lease, need_store=False)

    async def _store_step_down(self, lease: LeaderLease) -> None:
        # Messages to the other entries can be lost; each of them reads the store.
        for _ in range(STEP_DOWN_TRIES):
            outcome = await self._write_heartbeat(lease, stepped_down=True)
            if not isinstance(outcome, Conflict):
                return
            if not adopt_revisions(lease, outcome):
                return

    async def renew_until_lost(
        self, lease: LeaderLease, work: "asyncio.Task[None]"
    ) -> None:
        """Renew a lease until it is lost, the leader steps down or `work` has ended."""
        while not lease.stepped_down.is_set() and not work.done():
            renewed = await self._renew_unless_store_returns(lease)
            if renewed is None:
                continue
            if not renewed:
                return
            if lease.hand_over_requested:
                lease.hand_over_requested = False
                await self._hand_over(lease, need_store=True, larger=True)
                continue
            await self._wait_for_next_renewal(lease)

    async def _renew_unless_store_returns(self, lease: LeaderLease) -> bool | None:
        """Renew the lease once, as `_renew` does; return None to do it again.

        A call that was sent while the store was away may wait for its time limit
        although the store is back, and the leader may not act meanwhile.
        """
        renewal = asyncio.create_task(self._renew(lease))
        was_down = False
        checks_since_return = 0
        try:
            while checks_since_return < STORE_RETURN_CHECKS:
                done, _ = await asyncio.wait(
                    {renewal}, timeout=STORE_RETURN_CHECK_SECONDS
                )
                if done:
                    return renewal.result()
                is_down = self._store.down_since is not None
                was_down = was_down or is_down
                is_back = was_down and not is_down and not lease.stepped_down.is_set()
                checks_since_return = checks_since_return + 1 if is_back else 0
            return None
        finally:
            renewal.cancel()

    async def _wait_for_next_renewal(self, lease: LeaderLease) -> None:
        """Wait for the renewal interval, or until the store is back."""
        until = self._clock() + RENEWAL_INTERVAL_SECONDS
        was_down = self._store.down_since is not None
        while not lease.stepped_down.is_set() and (left := until - self._clock()) > 0:
            if was_down and self._store.down_since is None:
                return
            pause = min(left, STORE_RETURN_CHECK_SECONDS) if was_down else left
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await lease.stepped_down.wait()

    async def _renew(self, lease: LeaderLease) -> bool:
        """Renew the lease once; return False if another entry has claimed."""
        for _ in range(RENEWAL_TRIES):
            sent_at = self._clock()
            outcome = await self._write_heartbeat(lease)
            if isinstance(outcome, Written):
                lease.extend(sent_at, LEADER_LEASE_SECONDS)
                return True
            if not isinstance(outcome, Conflict):
                await self._renew_by_promises(lease)
                return True
            if not adopt_revisions(lease, outcome):
                return False
        return True

    async def _write_heartbeat(
        self, lease: LeaderLease, *, stepped_down: bool = False
    ) -> WriteOutcome:
        return await write_heartbeat(
            self._store,
            lease,
            now=self._clock(),
            wall_now=self._wall_clock(),
            stepped_down=stepped_down,
        )

    async def _renew_by_promises(self, lease: LeaderLease) -> None:
        if not self._other_entries.all_known:
            # Promises of those that are known would count as promises of all, and this
            # leader would continue to act beside the next one.
            return
        sent_at = self._clock()
        other_entries = self._other_entries.entries()
        promises = await self._collect_promises(lease, other_entries, sent_at)
        if lease.stepped_down.is_set() or len(promises) < len(other_entries):
            return
        shortest = min(
            (promise.seconds for promise in promises), default=LEADER_LEASE_SECONDS
        )
        lease.extend(sent_at, shortest)

    async def _collect_promises(
        self, lease: LeaderLease, other_entries: list[ProcessInfo], sent_at: float
    ) -> list[Follows]:
        """Return the promises of the other entries.

        Hand over to an entry that reaches the store if this one does not. Answers are
        judged as they arrive, because the question to an entry that is gone is not
        answered until it times out.
        """
        unanswered = {
            asyncio.create_task(self._request_promise(entry, lease.epoch)): entry
            for entry in other_entries
        }
        promises: list[Follows] = []
        successors = Successors()
        try:
            while unanswered:
                done, _ = await asyncio.wait(
                    unanswered,
                    timeout=successors.seconds_left(self._clock()),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for request in done:
                    entry = unanswered.pop(request)
                    promise = request.result()
                    if promise is None:
                        continue
                    promises.append(promise)
                    if self._only_this_entry_lost_store(promise, sent_at):
                        successors.add(entry, self._clock())
                if successors.is_decided(unanswered.values(), self._clock()):
                    if await self._hand_over_to_best(lease, successors):
                        break
                    successors = Successors()
        finally:
            for request in unanswered:
                request.cancel()
        return promises

    async def _hand_over_to_best(
        self, lease: LeaderLease, successors: Successors
    ) -> bool:
        """Hand over unless the store answers again; return whether one has answered."""
        if await self._store_answers_again():
            return False
        for entry in successors.best_first():
            fields = {
                "epoch": lease.epoch,
                "to": entry.host,
                "cores": entry.weight,
                "among": len(successors.best_first()),
            }
            log.info("Another entry reaches the store", extra=fields)
            if await self._hand_over_to(lease, entry):
                return True
        return False

    async def _request_promise(
        self, entry: ProcessInfo, epoch: Epoch
    ) -> Follows | None:
        return await self._other_entries.promise(entry, epoch)

    def _only_this_entry_lost_store(self, promise: Follows, sent_at: float) -> bool:
        """Return whether the store answers another entry but has long failed this one.

        The store must have answered the other entry after it first failed this one:
        when the store goes down for all, each entry has had an answer a moment ago.
        """
        since = self._store.down_since
        if since is None or sent_at - since < STORE_SILENT_SECONDS:
            return False
        return promise.store_age < sent_at - since

    async def _store_answers_again(self) -> bool:
        """Ask the store once more; return whether it answers.

        The store may be back for all, and the others may have had an answer first.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STORE_RECHECK_SECONDS):
                await self._store.get(HEARTBEAT_KEY)
        return self._store.down_since is None

    async def _hand_over(
        self, lease: LeaderLease, *, need_store: bool, larger: bool = False
    ) -> None:
        for entry in (
            self._other_entries.larger() if larger else self._other_entries.entries()
        ):
            if need_store:
                promise = await self._other_entries.promise(entry, lease.epoch)
                if promise is None or not reaches_store(promise):
                    continue
            if await self._hand_over_to(lease, entry):
                return

    async def _hand_over_to(self, lease: LeaderLease, entry: ProcessInfo) -> bool:
        """Step down in favour of an entry; return whether it has answered who leads."""
        lease.stepped_down.set()
        answer = await self._peers.call(
            entry.host, entry.port, TakeOver(lease.epoch), timeout=PROBE_TIMEOUT_SECONDS
        )
        if not isinstance(answer, Leads):
            return False
        await self._learn(answer)
        return True

    async def _announce(self, lease: LeaderLease) -> None:
        # An entry that does not reach the store can't read there who leads.
        if lease.announced:
            return
        lease.announced = True
        await asyncio.gather(
            *(
                self._peers.call(
                    p.host, p.port, self._leader(), timeout=PROBE_TIMEOUT_SECONDS
                )
                for p in self._other_entries.entries()
            )
        )

    async def maintain_entries(self, lease: LeaderLease, *, restored: bool) -> float:
        """Announce the leader, deregister silent entries, hand over to a larger one.

        Return in how many seconds an entry is to be deregistered; inf if none is.

        One process decides for all VMs, and on the smallest entries of a deployment it
        has a quarter of the processor time that it has on the largest.

        Parameters: `restored` tells whether the leader has read all that is stored.
        """
        if await self._other_entries.read():
            await self._maintain_read_entries(lease, restored=restored)
        return self._other_entries.seconds_to_deregistration(self._clock())

    async def _maintain_read_entries(
        self, lease: LeaderLease, *, restored: bool
    ) -> None:
        await self._announce(lease)
        await self._other_entries.deregister_silent(lease.epoch, lease.leader_revision)
        held_for = self._clock() - lease.claimed_at
        required = HAND_OVER_AFTER_SECONDS if restored else HAND_OVER_RESTORING_SECONDS
        if held_for >= required and self._other_entries.larger():
            log.info(
                "Hands over to an entry with more processor time",
                extra={"epoch": lease.epoch},
            )
            lease.hand_over_requested = True
