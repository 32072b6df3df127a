"""What became of each request this agent incarnation has seen, by its id.

An answer can be lost on its way, and a request can arrive late or twice. The
ledger is why a non-idempotent request still runs at most once here: an id runs
only if it was never seen, and an id that was settled as never seen is refused if
it comes after all.

What is forgotten must not look as if it had never been seen: a settle that comes
late (its sender was paused) would be told `not_run` of a request that ran, and an
original that comes later still would run. So a forgotten id leaves its number
behind, and every id of its series up to that number counts as seen.
"""

import asyncio
from collections import OrderedDict, deque
from dataclasses import dataclass

from wagtailcleat.errors import Code
from wagtailcleat.ids import RequestId
from wagtailcleat.wire.request_ids import is_keyed, series_and_number
from wagtailcleat.wire.requests import Answer
from wagtailcleat.wire.results import Refused

MAX_KEPT = 100_000
MAX_SERIES = 10_000
ENTRY_BYTES = 300

Outcome = Answer | Refused


@dataclass
class RequestEntry:
    """One request: running until `outcome` is done, then kept for a while."""

    outcome: asyncio.Future[Outcome]
    digest: bytes = b""
    """What the request asks for, to tell another use of its id apart."""
    keep_until: float = 0.0
    size: int = ENTRY_BYTES


class Ledger:
    """All requests seen lately, the oldest first."""

    def __init__(self, *, max_bytes: int, max_kept: int = MAX_KEPT) -> None:
        """Keep answers of at most `max_bytes` in all, and `max_kept` ids."""
        self.bytes = 0
        self._max_bytes = max_bytes
        self._max_kept = max_kept
        self._entry_by_id: dict[RequestId, RequestEntry] = {}
        # Plain and keyed ids are kept for two lengths of time: within each of the
        # two, whichever ended first is forgotten first, so no pass over all is needed.
        self._ended_plain: deque[RequestId] = deque()
        self._ended_keyed: deque[RequestId] = deque()
        self._with_body_by_id: OrderedDict[RequestId, RequestEntry] = OrderedDict()
        self._forgotten_by_series: OrderedDict[str, int] = OrderedDict()

    def __len__(self) -> int:
        """Return how many requests are kept."""
        return len(self._entry_by_id)

    def find(self, request: RequestId) -> RequestEntry | None:
        """Return the entry of a request, if it was seen and is kept."""
        return self._entry_by_id.get(request)

    def may_be_forgotten(self, request: RequestId) -> bool:
        """Tell whether a request that is not kept may have been seen before."""
        found = series_and_number(request)
        if found is None:
            return False
        series, number = found
        return number <= self._forgotten_by_series.get(series, 0)

    def open(self, request: RequestId, digest: bytes = b"") -> RequestEntry:
        """Note a request never seen before as running."""
        entry = RequestEntry(asyncio.get_running_loop().create_future(), digest)
        self._entry_by_id[request] = entry
        return entry

    def close(self, request: RequestId, outcome: Outcome, *, keep_until: float) -> None:
        """Note a request's outcome, and keep it until the time given."""
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
        self._shed()

    def expire(self, now: float) -> None:
        """Forget entries whose time is up, and the oldest where there are too many."""
        for ended in (self._ended_plain, self._ended_keyed):
            while ended and self._may_forget(ended[0], now):
                self._forget(ended.popleft())

    def _may_forget(self, request: RequestId, now: float) -> bool:
        over = len(self._entry_by_id) > self._max_kept
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
        # One series for each incarnation of an entry: the ones let go are of
        # entries that ended thousands of restarts ago.
        if len(self._forgotten_by_series) > MAX_SERIES:
            self._forgotten_by_series.popitem(last=False)

    def _shed(self) -> None:
        # Bodies go first, oldest first: the fact that a request ran must outlive
        # its answer, or a repeat of it would run again.
        while self.bytes > self._max_bytes and self._with_body_by_id:
            _, entry = self._with_body_by_id.popitem(last=False)
            told = "it ran; its answer is not kept"
            entry.outcome = _done(Refused(Code.OUTCOME_UNKNOWN.value, told))
            self.bytes -= entry.size - ENTRY_BYTES
            entry.size = ENTRY_BYTES


def _done(outcome: Outcome) -> asyncio.Future[Outcome]:
    future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
    future.set_result(outcome)
    return future
