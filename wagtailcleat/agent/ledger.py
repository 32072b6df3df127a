"""What became of each request this agent incarnation has seen, by its id.

An answer can be lost on its way, and a request can arrive late or twice. The
ledger is why a non-idempotent request still runs at most once here: an id runs
only if it was never seen, and an id that was settled as never seen is refused if
it comes after all.
"""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass

from wagtailcleat.ids import RequestId
from wagtailcleat.wire.messages import Answer, Refused

MAX_KEPT = 100_000
ENTRY_BYTES = 300

Outcome = Answer | Refused


@dataclass
class RequestEntry:
    """One request: running until `outcome` is done, then kept for a while."""

    outcome: asyncio.Future[Outcome]
    keep_until: float = 0.0
    size: int = ENTRY_BYTES
    dropped: bool = False
    """The answer was let go to save memory: it ran, but can't be told again."""


class Ledger:
    """All requests seen lately, the oldest first."""

    def __init__(self, *, max_bytes: int) -> None:
        """Keep answers of at most `max_bytes` in all."""
        self.bytes = 0
        self._max_bytes = max_bytes
        self._entry_by_id: OrderedDict[RequestId, RequestEntry] = OrderedDict()

    def __len__(self) -> int:
        """Return how many requests are kept."""
        return len(self._entry_by_id)

    def find(self, request: RequestId) -> RequestEntry | None:
        """Return the entry of a request, if it was seen."""
        return self._entry_by_id.get(request)

    def open(self, request: RequestId) -> RequestEntry:
        """Note a request never seen before as running."""
        entry = RequestEntry(asyncio.get_running_loop().create_future())
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
        self.bytes += entry.size
        self._shed()

    def expire(self, now: float) -> None:
        """Forget entries whose time is up."""
        expired = [
            request
            for request, entry in self._entry_by_id.items()
            if entry.outcome.done() and entry.keep_until < now
        ]
        for request in expired:
            self.bytes -= self._entry_by_id.pop(request).size

    def _shed(self) -> None:
        # Bodies go first, oldest first: the fact that a request ran must outlive
        # its answer, or a repeat of it would run again.
        for entry in self._entry_by_id.values():
            if self.bytes <= self._max_bytes:
                return
            if entry.outcome.done() and not entry.dropped:
                entry.dropped = True
                entry.outcome = _done(
                    Refused("outcome_unknown", "it ran; its answer is not kept")
                )
                self.bytes -= entry.size - ENTRY_BYTES
                entry.size = ENTRY_BYTES


def _done(outcome: Outcome) -> asyncio.Future[Outcome]:
    future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
    future.set_result(outcome)
    return future
