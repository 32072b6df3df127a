"""Resource accounting of this VM; the agent is the only authority over it.

Services, reservations and attempts hold resources; an attempt holds them until the
worker has reported its end. Reservations expire, so that an owner that crashes between
reservation and start does not hold resources for ever.
"""

from dataclasses import dataclass, field

from wagtailcleat.ids import AttemptId
from wagtailcleat.resources import NOTHING, Resources


@dataclass
class Allocation:
    """Resources of one attempt; `until` is the expiry of a reservation, else None."""

    size: Resources
    until: float | None


@dataclass
class Commitments:
    """The capacity of the VM and its allocations; times are on the VM's clock.

    `is_known` is true once configuration and worker have given the capacity. Until
    then no attempt is admitted, and none is evicted for lack of capacity.
    """

    is_known: bool = False
    capacity: Resources = NOTHING
    for_services: Resources = NOTHING
    allocation_by_attempt: dict[AttemptId, Allocation] = field(default_factory=dict)

    def free(self, now: float) -> Resources:
        """Return the resources left for new attempts, negative if overcommitted."""
        self._expire(now)
        left = self.capacity - self.for_services
        for allocation in self.allocation_by_attempt.values():
            left = left - allocation.size
        return left

    def reserve(
        self, attempt: AttemptId, size: Resources, *, until: float, now: float
    ) -> bool:
        """Reserve resources until `until`; return whether enough are free.

        A repeated call for the same attempt changes nothing.
        """
        self._expire(now)
        if attempt in self.allocation_by_attempt:
            return True
        if not size.fits(self.free(now)):
            return False
        self.allocation_by_attempt[attempt] = Allocation(size, until)
        return True

    def confirm(self, attempt: AttemptId, now: float) -> bool:
        """Make a reservation permanent; return whether it had not expired."""
        self._expire(now)
        allocation = self.allocation_by_attempt.get(attempt)
        if allocation is None:
            return False
        allocation.until = None
        return True

    def adopt(self, attempt: AttemptId, size: Resources) -> None:
        """Allocate the resources of an attempt that the worker already runs."""
        self.allocation_by_attempt[attempt] = Allocation(size, None)

    def release(self, attempt: AttemptId) -> None:
        """Release the resources of an attempt."""
        self.allocation_by_attempt.pop(attempt, None)

    def is_overcommitted(self, now: float) -> bool:
        """Return whether the allocations exceed the capacity of the VM."""
        return self.is_known and not NOTHING.fits(self.free(now))

    def _expire(self, now: float) -> None:
        expired = [
            attempt
            for attempt, allocation in self.allocation_by_attempt.items()
            if allocation.until is not None and allocation.until < now
        ]
        for attempt in expired:
            del self.allocation_by_attempt[attempt]
