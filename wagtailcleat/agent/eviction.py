"""Selects the attempts to evict when resources are short; called by `Evictor`."""

from collections.abc import Iterable

from wagtailcleat.agent.commitments import Commitments
from wagtailcleat.ids import AttemptId
from wagtailcleat.resources import NOTHING, ROUNDING_CORES, Resources


def select_evictions(
    commitments: Commitments,
    evictable: Iterable[AttemptId],
    required: Resources,
    now: float,
) -> list[AttemptId]:
    """Return the attempts to evict so that `required` fits; none if it cannot fit.

    Attempts that hold none of the resources in short supply are not selected.

    Parameters: `evictable` lists the candidates in the order of eviction.
    """
    shortfall = _shortfall(required, commitments.free(now))
    selected: list[AttemptId] = []
    for attempt in evictable:
        if shortfall == NOTHING:
            break
        allocation = commitments.allocation_by_attempt.get(attempt)
        if allocation is None or not _reduces_shortfall(allocation.size, shortfall):
            continue
        selected.append(attempt)
        shortfall = _shortfall(shortfall, allocation.size)
    return selected if shortfall == NOTHING else []


def _shortfall(required: Resources, available: Resources) -> Resources:
    left = required - available
    return Resources(
        left.cores if left.cores > ROUNDING_CORES else 0.0,
        max(0, left.memory_mb),
        max(0, left.accelerators),
    )


def _reduces_shortfall(size: Resources, shortfall: Resources) -> bool:
    return (
        (shortfall.cores > 0 and size.cores > 0)
        or (shortfall.memory_mb > 0 and size.memory_mb > 0)
        or (shortfall.accelerators > 0 and size.accelerators > 0)
    )
