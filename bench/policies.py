"""The policies that the bench compares: the product's own and simple baselines."""

from dataclasses import dataclass
from enum import Enum

from bench.errors import BadValueError
from wagtailcleat.routing.choose import Policy as Routing


class Control(Enum):
    """How batch tasks that slow a service down are controlled.

    `STEPS` is the product's way: throttle first, then evict.
    """

    STEPS = "steps"
    NONE = "none"
    EVICT_FIRST = "evict_first"


class Fitting(Enum):
    """How a VM is chosen for a task."""

    SCORED = "scored"
    FIRST_FIT = "first_fit"


@dataclass(frozen=True)
class Policy:
    """The rules of routing, admission and placement; the defaults are the product's."""

    name: str
    routing: Routing = Routing.LEAST_COST
    limits: bool = True
    retry_always: bool = False
    control: Control = Control.STEPS
    fitting: Fitting = Fitting.SCORED
    learning: bool = True


POLICIES = (
    Policy("product"),
    Policy("random", routing=Routing.RANDOM),
    Policy("round_robin", routing=Routing.ROUND_ROBIN),
    Policy("two_choices", routing=Routing.TWO_CHOICES),
    Policy("no_limits", limits=False),
    Policy("retry_always", retry_always=True),
    Policy("no_limits_retry_always", limits=False, retry_always=True),
    Policy("no_control", control=Control.NONE),
    Policy("evict_first", control=Control.EVICT_FIRST),
    Policy("first_fit_declared", fitting=Fitting.FIRST_FIT, learning=False),
)
POLICY_BY_NAME = {policy.name: policy for policy in POLICIES}


def policy_named(name: str) -> Policy:
    """Return the policy called `name`.

    Raises:
        BadValueError: there is no such policy.

    """
    if name not in POLICY_BY_NAME:
        raise BadValueError("--policy", name, POLICY_BY_NAME)
    return POLICY_BY_NAME[name]
