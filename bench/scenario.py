"""What a scenario and one run of it are."""

from collections.abc import Callable
from dataclasses import dataclass

from bench.policies import Policy
from bench.profiles import Profile

Measures = dict[str, float]


@dataclass(frozen=True)
class Run:
    """One run to make."""

    profile: Profile
    policy: Policy
    seconds: float
    seed: int


@dataclass(frozen=True)
class Scenario:
    """A scenario: how it is run, and the policies it compares."""

    name: str
    about: str
    run: Callable[[Run], Measures]
    policies: tuple[str, ...]
