"""Latencies of a service's answers over one interval, compared with its target."""

from bisect import bisect_left
from dataclasses import dataclass
from itertools import accumulate
from math import sqrt

from hdrh.histogram import HdrHistogram

MICROSECONDS = 1_000_000
ALLOWED_SLOW_SHARE = 0.01
"""Share of answers that may exceed the target, which is a 99th percentile."""
BREACH_DEVIATIONS = 2.0
"""Standard deviations above the expected number of slow answers for a breach."""
MIN_ANSWERS = 20


@dataclass(frozen=True)
class LatencySummary:
    """Latencies of a service's answers over one interval; `median` in seconds."""

    count: int
    over_target: int
    median: float

    @property
    def breached(self) -> bool:
        """Return whether more answers exceeded the target than chance explains.

        The 99th percentile of a few hundred answers is close to their maximum, so a
        controller that acted on it would evict tasks because of noise.
        """
        expected = self.count * ALLOWED_SLOW_SHARE
        limit = expected + BREACH_DEVIATIONS * sqrt(max(expected, 0.5))
        return self.count >= MIN_ANSWERS and self.over_target > limit


class LatencyWindow:
    """Summarizes what a latency histogram has recorded since the last read."""

    def __init__(self, histogram: HdrHistogram) -> None:
        """Start from the current counts of the histogram."""
        self.histogram = histogram
        self._before = self._counts()

    def read(self, target_seconds: float) -> LatencySummary:
        """Return the answers since the last read, compared with the target."""
        counts = self._counts()
        # Larger values extend the list of counts at its end only.
        before = self._before + [0] * (len(counts) - len(self._before))
        new = [now - then for now, then in zip(counts, before, strict=True)]
        self._before = counts
        total = sum(new)
        return LatencySummary(
            total, self._count_over(new, target_seconds), self._median(new, total)
        )

    def _counts(self) -> list[int]:
        # Only up to the largest value: most of the array lies beyond it and is empty.
        largest = self.histogram.get_max_value()
        last = self.histogram.get_counts_array_index(int(largest))
        return list(self.histogram.counts[: last + 1])

    def _count_over(self, new: list[int], target_seconds: float) -> int:
        value = int(target_seconds * MICROSECONDS)
        first = self.histogram.get_counts_array_index(value)
        return sum(new[first + 1 :])

    def _median(self, new: list[int], total: int) -> float:
        if not total:
            return 0.0
        middle = bisect_left(list(accumulate(new)), total / 2)
        value: int = self.histogram.get_value_from_index(middle)
        return value / MICROSECONDS
