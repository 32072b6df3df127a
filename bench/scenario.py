"""The types of a scenario and of the parameters of one run."""

from collections.abc import Callable
from dataclasses import dataclass

from bench.policies import Policy
from bench.profiles import Profile

Measures = dict[str, float]


@dataclass(frozen=True)
class RunParameters:
    """The parameters of one run; `seconds` are virtual time."""

    profile: Profile
    policy: Policy
    seconds: float
    seed: int


@dataclass(frozen=True)
class Scenario:
    """A scenario, the function that runs it, and the policies it compares."""

    name: str
    about: str
    run: Callable[[RunParameters], Measures]
    policies: tuple[str, ...]
