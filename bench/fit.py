"""Least-squares fit of a straight line, for `bench.costs`."""

from dataclasses import asdict, dataclass
from statistics import fmean
from typing import Any

MIN_SIZES = 3
Point = tuple[float, float]


@dataclass(frozen=True)
class Line:
    """A fitted line `cost = base + slope * size`.

    `spread` is the greatest difference between a point's cost and the line.
    """

    base: float
    slope: float
    spread: float
    points: list[Point]

    def to_dict(self) -> dict[str, Any]:
        """Return the line as plain values."""
        return asdict(self)


def fit(points: list[Point]) -> Line:
    """Return the least-squares line through `points`.

    Raises:
        ValueError: the points have fewer than three different sizes.

    """
    sizes = [size for size, _ in points]
    costs = [cost for _, cost in points]
    if len(set(sizes)) < MIN_SIZES:
        raise ValueError(f"{len(set(sizes))} sizes, a line needs {MIN_SIZES}")
    size_mean, cost_mean = fmean(sizes), fmean(costs)
    size_variation = sum((size - size_mean) ** 2 for size in sizes)
    covariation = sum((s - size_mean) * (c - cost_mean) for s, c in points)
    slope = covariation / size_variation
    base = cost_mean - slope * size_mean
    spread = max(abs(cost - base - slope * size) for size, cost in points)
    return Line(base, slope, spread, points)
