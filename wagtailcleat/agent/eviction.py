"""Which attempts an agent evicts to make room, as a plain decision."""

from collections.abc import Iterable

from wagtailcleat.agent.commitments import Commitments
from wagtailcleat.ids import AttemptId
from wagtailcleat.resources import NOTHING, ROUNDING_CORES, Resources


def to_evict(
    commitments: Commitments,
    evictable: Iterable[AttemptId],
    wanted: Resources,
    now: float,
) -> list[AttemptId]:
    """Return the attempts to evict so that `wanted` fits; none where it never will.

    Parameters: `evictable` with those to go first first. An attempt that takes
    nothing of what lacks stays.
    """
    lacking = _lacking(wanted, commitments.free(now))
    chosen: list[AttemptId] = []
    for attempt in evictable:
        if lacking == NOTHING:
            break
        held = commitments.held_by_attempt.get(attempt)
        if held is None or not _helps(held.size, lacking):
            continue
        chosen.append(attempt)
        lacking = _lacking(lacking, held.size)
    return chosen if lacking == NOTHING else []


def _lacking(wanted: Resources, there: Resources) -> Resources:
    left = wanted - there
    return Resources(
        left.cores if left.cores > ROUNDING_CORES else 0.0,
        max(0, left.memory_mb),
        max(0, left.accelerators),
    )


def _helps(size: Resources, lacking: Resources) -> bool:
    return (
        (lacking.cores > 0 and size.cores > 0)
        or (lacking.memory_mb > 0 and size.memory_mb > 0)
        or (lacking.accelerators > 0 and size.accelerators > 0)
    )
