"""Deduplication table of service requests: the outcome of each request id.

It covers the requests of one agent incarnation; `ServiceRequests` reads and fills it.
An answer can be lost, and a request can arrive late or twice. The ledger makes a
request that is not idempotent run at most once on this agent: an id runs only if it was
never seen, and an id that was settled as never seen is refused if it arrives later.

An entry that has expired must not look as if its id had never been seen: a settle that
comes late because its sender was paused would be answered `not_run` for a request that
ran, and an original that comes even later would run. The ledger therefore keeps the
highest expired number of each series of ids, and every id of the series up to that
number counts as seen.
"""

import asyncio
from collections import OrderedDict, deque
from dataclasses import dataclass

from wagtailcleat.errors import Code
from wagtailcleat.ids import RequestId
from wagtailcleat.wire.request_ids import is_keyed, series_and_number
from wagtailcleat.wire.requests import Answer
from wagtailcleat.wire.results import Refused

MAX_ENTRIES = 100_000
MAX_SERIES = 10_000
ENTRY_BYTES = 300

Outcome = Answer | Refused


@dataclass
class RequestEntry:
    """One request: running until `outcome` is done, then kept until `keep_until`."""

    outcome: asyncio.Future[Outcome]
    digest: bytes = b""
    """Hash of the request, which shows that an id is reused for another one."""
    keep_until: float = 0.0
    size: int = ENTRY_BYTES


class Ledger:
    """The requests of this incarnation that have not expired yet."""

    def __init__(self, *, max_bytes: int, max_entries: int = MAX_ENTRIES) -> None:
        """Keep answers of at most `max_bytes` in all, and `max_entries` ids."""
        self.bytes = 0
        self._max_bytes = max_bytes
        self._max_entries = max_entries
        self._entry_by_id: dict[RequestId, RequestEntry] = {}
        # Plain and keyed ids have different retention periods. Within each of the two
        # queues the first to end is the first to expire, so that expiry needs no scan
        # of all entries.
        self._ended_plain: deque[RequestId] = deque()
        self._ended_keyed: deque[RequestId] = deque()
        self._with_body_by_id: OrderedDict[RequestId, RequestEntry] = OrderedDict()
        self._forgotten_by_series: OrderedDict[str, int] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entry_by_id)

    def find(self, request: RequestId) -> RequestEntry | None:
        """Return the entry of a request, None if it was never seen or has expired."""
        return self._entry_by_id.get(request)

    def may_be_forgotten(self, request: RequestId) -> bool:
        """Return whether a request without an entry may have had one that expired."""
        found = series_and_number(request)
        if found is None:
            return False
        series, number = found
        return number <= self._forgotten_by_series.get(series, 0)

    def open(self, request: RequestId, digest: bytes = b"") -> RequestEntry:
        """Add an entry for a running request that was never seen before."""
        entry = RequestEntry(asyncio.get_running_loop().create_future(), digest)
        self._entry_by_id[request] = entry
        return entry

    def close(self, request: RequestId, outcome: Outcome, *, keep_until: float) -> None:
        """Record the outcome of a request, to be kept until `keep_until`."""
        entry = self._entry_by_id.get(request) or self.open(request)
        entry.keep_until = keep_until
        if not entry.outcome.done():
            entry.outcome.set_result(outcome)
        if isinstance(outcome, Answer):
            entry.size = ENTRY_BYTES + len(outcome.body)
            self._with_body_by_id[request] = entry
        self.bytes += entry.size
        ended = self._ended_keyed if is_keyed(request) else self._ended_plain
        ended.append(request)
        self._drop_oldest_bodies()

    def expire(self, now: float) -> None:
        """Remove expired entries, and the oldest ones above the maximum number."""
        for ended in (self._ended_plain, self._ended_keyed):
            while ended and self._may_forget(ended[0], now):
                self._forget(ended.popleft())

    def _may_forget(self, request: RequestId, now: float) -> bool:
        over = len(self._entry_by_id) > self._max_entries
        return over or self._entry_by_id[request].keep_until < now

    def _forget(self, request: RequestId) -> None:
        self.bytes -= self._entry_by_id.pop(request).size
        self._with_body_by_id.pop(request, None)
        found = series_and_number(request)
        if found is None:
            return
        series, number = found
        highest = max(number, self._forgotten_by_series.pop(series, 0))
        self._forgotten_by_series[series] = highest
        # Each incarnation of an entry process has one series. The series removed here
        # belong to incarnations that ended thousands of restarts ago.
        if len(self._forgotten_by_series) > MAX_SERIES:
            self._forgotten_by_series.popitem(last=False)

    def _drop_oldest_bodies(self) -> None:
        # Only the bodies are dropped, the oldest first: the record that a request ran
        # must outlive its answer, or a repetition of the request would run again.
        while self.bytes > self._max_bytes and self._with_body_by_id:
            _, entry = self._with_body_by_id.popitem(last=False)
            reason = "it ran; its answer is not kept"
            entry.outcome = _done(Refused(Code.OUTCOME_UNKNOWN.value, reason))
            self.bytes -= entry.size - ENTRY_BYTES
            entry.size = ENTRY_BYTES


def _done(outcome: Outcome) -> asyncio.Future[Outcome]:
    future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
    future.set_result(outcome)
    return future
