"""One incarnation of the worker on an agent's VM, as the agent knows it."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from wagtailcleat.cluster.settings import split_address
from wagtailcleat.cluster.timing import (
    CLOCK_DRIFT_FACTOR,
    LIST_AGE_SECONDS,
    WORKER_SILENT_SECONDS,
)
from wagtailcleat.platform.runs import RunList, RunWorker
from wagtailcleat.scheduling.models import Ended, RunKey, Running

MakeWorker = Callable[..., RunWorker]
"""Creates the client of a worker; takes the arguments of `RunWorker`."""
CLOSE_DELAY_SECONDS = 3.0
"""Delay before connections to an earlier incarnation of the worker are closed.

All calls on them have timed out by then.
"""
RETRY_PAUSE_SECONDS = 0.1
"""Pause after a list that was not answered."""
RECONNECT_PAUSE_SECONDS = 0.02
"""The same once the worker has ended, if the next one may carry out a late start."""
REFUSALS_UNTIL_LOST = 3
"""Refused connections in a row, 0.1 s apart, that show that the worker has ended."""
LEASE_EXPIRY_MARGIN_SECONDS = 0.2
"""How long after its lease has expired a run is assumed to continue."""


@dataclass(eq=False)
class WorkerIncarnation:
    """One incarnation of the worker, with its runs and leases as last known."""

    worker: RunWorker
    born: int
    address: str
    instance: str
    clock_ahead: float = 0.0
    """How far the worker's clock is ahead of this VM's, at least, in seconds."""
    lists_answered: int = 0
    """Number of answered lists."""
    listed_fence: int = 0
    """Fencing token of the last answered list."""
    listed_at: float = 0.0
    answers_since: float = math.inf
    """When the first list was answered after which it was never silent."""
    running: list[Running] = field(default_factory=list)
    ended: list[Ended] = field(default_factory=list)
    has_all_ends: bool = True
    """Whether the last list contains every unacknowledged end."""
    acknowledged: int = 0
    lease_until: float = 0.0
    """The latest time at which the leases expire, on this VM's clock."""
    runs_lost: bool = False
    """Whether the worker's runs count as lost since the last list."""
    leases_lapsed: bool = False
    """Whether all leases have certainly lapsed since the last list."""
    refusals: int = 0
    """Number of connections refused in a row."""
    is_doubtful: bool = False
    """Whether another incarnation may listen at the address since the last list.

    It may have the same id. Until this one answers a list, it gets no start, and lists
    neither renew leases nor acknowledge ends.
    """
    process_ended: bool = False
    """Whether its process has ended since the last list.

    See `refusals_show_end`; or another incarnation has answered at its address.
    """
    is_leaving: bool = False
    """Whether it has announced that it ends soon. It gets no starts and no leases."""
    told_to_stop: set[RunKey] = field(default_factory=set)
    """Runs that were ordered to stop because it is leaving."""

    @property
    def is_confirmed(self) -> bool:
        """Whether it has answered a list, and no later call speaks against it."""
        return self.lists_answered > 0 and not self.is_doubtful

    @property
    def is_idle(self) -> bool:
        """Whether its last list has neither runs nor unacknowledged ends."""
        is_empty = not self.running and not self.ended and self.has_all_ends
        return self.lists_answered > 0 and is_empty

    def take_list(
        self, answer: RunList, *, fence: int, now: float, lease: float
    ) -> bool:
        """Update the runs from a list; return whether a run is new or has ended.

        Parameters: `fence` is the token of the call; `lease` is the longest lease in
        seconds, which an earlier incarnation of the agent may have granted just now.
        """
        changed = (
            not self.lists_answered
            or [ended.number for ended in answer.ended]
            != [ended.number for ended in self.ended]
            or {running.key for running in answer.running}
            != {running.key for running in self.running}
        )
        if not self.lists_answered:
            self.lease_until = max(self.lease_until, now + lease * CLOCK_DRIFT_FACTOR)
        was_silent = now - self.listed_at > WORKER_SILENT_SECONDS
        if was_silent or self.runs_lost or not self.lists_answered:
            self.answers_since = now
        self.lists_answered += 1
        self.clock_ahead = answer.worker_seconds - now
        self.running = answer.running
        self.ended = answer.ended
        self.has_all_ends = answer.has_all_ends
        self.listed_fence = fence
        self.listed_at = now
        self.runs_lost = self.leases_lapsed = False
        self.is_doubtful = self.process_ended = False
        self.refusals = 0
        return changed

    def take_runs_to_stop(self) -> list[RunKey]:
        """Return the listed runs that were not returned before; it is leaving."""
        listed = {running.key for running in self.running}
        new = listed - self.told_to_stop
        self.told_to_stop |= new
        return sorted(new)

    def close_later(self) -> None:
        """Close the connections once all calls on them have timed out."""
        loop = asyncio.get_running_loop()
        loop.call_later(CLOSE_DELAY_SECONDS, self.worker.close)


def is_list_complete(incarnation: WorkerIncarnation, wanted: int) -> bool:
    """Return whether `wanted` lists were answered and the last one has every end."""
    # A run may be missing because the list had no room for its end, which does not
    # mean that it never ran.
    return incarnation.lists_answered >= wanted and incarnation.has_all_ends


def is_listed(incarnation: WorkerIncarnation, key: RunKey) -> bool:
    """Return whether the last list has a run, in progress or ended."""
    return any(running.key == key for running in incarnation.running) or any(
        ended.key == key for ended in incarnation.ended
    )


def has_ended(incarnation: WorkerIncarnation) -> bool:
    """Return whether everything that was started on an incarnation has ended."""
    return incarnation.process_ended or incarnation.leases_lapsed


def silent_seconds(incarnation: WorkerIncarnation, now: float) -> float:
    """Return for how many seconds a worker has not answered; 0 while it does."""
    if not incarnation.lists_answered:
        return 0.0
    silent = now - incarnation.listed_at
    if incarnation.runs_lost:
        # Its runs count as lost, so the leader would take the VM for free, and starts
        # there would be in doubt until the worker is back, if ever.
        return max(silent, WORKER_SILENT_SECONDS)
    return silent if silent > WORKER_SILENT_SECONDS else 0.0


def answers_steadily(incarnation: WorkerIncarnation, now: float) -> bool:
    """Return whether the runs listed last were all in progress a moment ago.

    A worker that has stood still may list runs once more whose leases have lapsed.
    """
    is_silent = silent_seconds(incarnation, now) > 0
    return not is_silent and now - incarnation.answers_since >= LIST_AGE_SECONDS


def refusals_show_end(
    incarnation: WorkerIncarnation,
    *,
    own_host: str,
    is_local_address: Callable[[str], bool],
) -> bool:
    """Return whether the connections refused in a row show that the process has ended.

    On an address of this VM the kernel refuses a connection only if no process listens.
    At `own_host`, the address of this agent, that is the worker's process. At another
    address of this VM it may be one that relays to the worker, so the worker must also
    have said that it ends. For any other address, the network may refuse while the
    worker is still running.

    Parameters: `is_local_address` returns whether an address is certainly of this VM.
    """
    if incarnation.refusals < REFUSALS_UNTIL_LOST:
        return False
    host, _ = split_address(incarnation.address)
    if host == own_host:
        return True
    # A heartbeat of another VM's worker may name an address that is local here too.
    has_answered = incarnation.lists_answered > 0
    return incarnation.is_leaving and has_answered and is_local_address(host)


def leases_lapse_at(incarnation: WorkerIncarnation) -> float:
    """Return when all leases have certainly lapsed, on this VM's clock.

    The worker's clock may run more slowly since the last list showed it.
    """
    longest = (incarnation.lease_until - incarnation.listed_at) * CLOCK_DRIFT_FACTOR
    return incarnation.listed_at + longest + LEASE_EXPIRY_MARGIN_SECONDS


def retry_pause(incarnation: WorkerIncarnation, *, may_be_late: bool) -> float:
    """Return the pause after a list that was not answered, in seconds.

    The next incarnation has seen no fencing token, so it refuses no late start until
    the agent has called it. Parameters: `may_be_late` is whether there may be such a
    start.
    """
    is_urgent = may_be_late and incarnation.refusals >= REFUSALS_UNTIL_LOST
    return RECONNECT_PAUSE_SECONDS if is_urgent else RETRY_PAUSE_SECONDS
