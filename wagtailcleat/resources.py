"""Amounts of processors, memory and accelerators, and arithmetic on them."""

from typing import Annotated

import msgspec

Cores = Annotated[float, msgspec.Meta(ge=0, le=100_000)]
MemoryMb = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]
Accelerators = Annotated[int, msgspec.Meta(ge=0, le=100_000)]

ROUNDING_CORES = 1e-9
"""Sums of fractional cores differ from the exact value by rounding errors."""


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of cores, megabytes of memory and accelerators."""

    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        """Return the sum, dimension by dimension."""
        return Resources(
            self.cores + other.cores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        """Return the difference, which may be negative in a dimension."""
        return Resources(
            self.cores - other.cores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> "Resources":
        """Return this amount multiplied by `count`."""
        return Resources(
            self.cores * count, self.memory_mb * count, self.accelerators * count
        )

    def smaller(self, other: "Resources") -> "Resources":
        """Return the minimum of both amounts in each dimension."""
        return Resources(
            min(self.cores, other.cores),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )

    def larger(self, other: "Resources") -> "Resources":
        """Return the maximum of both amounts in each dimension."""
        return Resources(
            max(self.cores, other.cores),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def fits(self, free: "Resources") -> bool:
        """Return whether this amount fits into `free` in every dimension."""
        return (
            self.cores <= free.cores + ROUNDING_CORES
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )


NOTHING = Resources()
