"""What this VM has committed: the agent is the only authority over it.

Room is taken by services, by reservations and by attempts, until the worker has
said that an attempt ended. A reservation lapses by itself, so that an owner that
died between asking and starting holds no room for ever.
"""

from dataclasses import dataclass, field

from wagtailcleat.ids import AttemptId
from wagtailcleat.resources import NOTHING, Resources


@dataclass
class Held:
    """Room held for an attempt; `until` is set while it is only reserved."""

    size: Resources
    until: float | None


@dataclass
class Commitments:
    """The VM's capacity and everything that takes of it.

    `known` tells whether the capacity comes from a configuration and the worker;
    until then nothing is taken on, and nothing that runs is evicted for it.
    """

    known: bool = False
    capacity: Resources = NOTHING
    for_services: Resources = NOTHING
    held_by_attempt: dict[AttemptId, Held] = field(default_factory=dict)

    def free(self, now: float) -> Resources:
        """Return what is left for new attempts."""
        self._expire(now)
        left = self.capacity - self.for_services
        for held in self.held_by_attempt.values():
            left = left - held.size
        return left

    def reserve(
        self, attempt: AttemptId, size: Resources, *, until: float, now: float
    ) -> bool:
        """Hold room until the time given; the same attempt twice is one hold."""
        self._expire(now)
        if attempt in self.held_by_attempt:
            return True
        if not size.fits(self.free(now)):
            return False
        self.held_by_attempt[attempt] = Held(size, until)
        return True

    def take(self, attempt: AttemptId, now: float) -> bool:
        """Turn a reservation into a lasting hold, if it has not lapsed."""
        self._expire(now)
        held = self.held_by_attempt.get(attempt)
        if held is None:
            return False
        held.until = None
        return True

    def adopt(self, attempt: AttemptId, size: Resources) -> None:
        """Hold room for an attempt that the worker already runs."""
        self.held_by_attempt[attempt] = Held(size, None)

    def release(self, attempt: AttemptId) -> None:
        """Give the room of an attempt back."""
        self.held_by_attempt.pop(attempt, None)

    def over(self, now: float) -> bool:
        """Tell whether more is committed than the VM holds."""
        return self.known and not NOTHING.fits(self.free(now))

    def _expire(self, now: float) -> None:
        lapsed = [
            attempt
            for attempt, held in self.held_by_attempt.items()
            if held.until is not None and held.until < now
        ]
        for attempt in lapsed:
            del self.held_by_attempt[attempt]
