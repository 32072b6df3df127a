"""Which endpoint a request goes to: policies as functions behind one setting."""

import random
from collections.abc import Callable
from enum import Enum

from wagtailcleat.configuration.models import Configuration, zone_is_out
from wagtailcleat.ids import NodeId
from wagtailcleat.routing.latency import Endpoints
from wagtailcleat.wire.membership import Member, MemberState

MAX_EJECTED_SHARE = 0.5
MAX_COMPARED = 16

Choose = Callable[[list[Member], Endpoints, float], Member]
"""Picks one of at least one candidate, at the present time."""


class Policy(Enum):
    """The routing policies; all but the first are baselines to measure against."""

    LEAST_COST = "least_cost"
    TWO_CHOICES = "two_choices"
    RANDOM = "random"
    ROUND_ROBIN = "round_robin"


def candidates(
    serving: list[Member],
    configuration: Configuration,
    endpoints: Endpoints,
    tried: set[NodeId],
    now: float,
) -> list[Member]:
    """Return the endpoints that may take a request, those not ejected first.

    Never more than half are passed over as ejected: beyond that the cause is
    likelier a common one, and the rest would only drown. A retry goes only where
    there may be room: when all are full, asking one after the other makes the
    refusal late and the load larger, and changes nothing.
    """
    usable = [
        member
        for member in serving
        if member.state in (MemberState.ALIVE, MemberState.SUSPECT)
        and member.node not in tried
        and not zone_is_out(configuration, member.zone)
    ]
    alive = [m for m in usable if m.state is MemberState.ALIVE] or usable
    if tried:
        alive = [m for m in alive if not endpoints.record(m.node).refusing(now)]
    good = [m for m in alive if not endpoints.record(m.node).ejected(now)]
    return good if len(good) >= len(alive) * (1 - MAX_EJECTED_SHARE) else alive


def chooser(policy: Policy, rng: random.Random) -> Choose:
    """Return the function that carries out `policy`."""
    turns = 0

    def two_choices(members: list[Member], endpoints: Endpoints, now: float) -> Member:
        pair = rng.sample(members, min(2, len(members)))
        return min(pair, key=lambda m: endpoints.record(m.node).cost(now))

    def least_cost(members: list[Member], endpoints: Endpoints, now: float) -> Member:
        # Sampled also where all are compared: equal costs must not all go to the
        # first of the list.
        some = rng.sample(members, min(MAX_COMPARED, len(members)))
        return min(some, key=lambda m: endpoints.record(m.node).cost(now))

    def any_one(members: list[Member], endpoints: Endpoints, now: float) -> Member:
        return rng.choice(members)

    def in_turn(members: list[Member], endpoints: Endpoints, now: float) -> Member:
        nonlocal turns
        turns += 1
        ordered = sorted(members, key=lambda m: m.node)
        return ordered[turns % len(ordered)]

    choose_by_policy: dict[Policy, Choose] = {
        Policy.TWO_CHOICES: two_choices,
        Policy.LEAST_COST: least_cost,
        Policy.RANDOM: any_one,
        Policy.ROUND_ROBIN: in_turn,
    }
    return choose_by_policy[policy]
