"""Load balancing: chooses the endpoint that a request is sent to.

For each attempt, an entry's relay narrows the endpoints down by `candidates` and
chooses one of them by the policy that the `routing` setting names.
"""

import random
from collections.abc import Callable
from enum import Enum

from wagtailcleat.configuration.models import Configuration, zone_is_out
from wagtailcleat.ids import NodeId
from wagtailcleat.routing.latency import Endpoints
from wagtailcleat.wire.membership import Member, MemberState

MAX_EJECTED_SHARE = 0.5
MAX_COMPARED = 16

EndpointSelector = Callable[[list[Member], Endpoints, float], Member]
"""Returns one of the candidates, of which there must be at least one.

The last argument is the present time, in seconds.
"""


class Policy(Enum):
    """Load-balancing policies; all but the first are baselines for comparison."""

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
    """Return the endpoints that a request may be sent to, possibly none.

    Endpoints of a zone that is out and those in `tried` are excluded; so are suspect
    members while any is alive. Ejected endpoints are excluded unless they are more
    than half: then a common cause is more likely than faults of single endpoints,
    and the remaining endpoints would be overloaded. A retry excludes the endpoints
    that have just refused for lack of room: when all are full, asking one after the
    other delays the refusal, adds load and changes nothing.
    """
    usable = [
        member
        for member in serving
        if member.state in (MemberState.ALIVE, MemberState.SUSPECT)
        and member.node not in tried
        and not zone_is_out(configuration, member.zone)
    ]
    eligible = [m for m in usable if m.state is MemberState.ALIVE] or usable
    if tried:
        eligible = [
            m for m in eligible if not endpoints.record(m.node).is_refusing(now)
        ]
    kept = [m for m in eligible if not endpoints.record(m.node).is_ejected(now)]
    return kept if len(kept) >= len(eligible) * (1 - MAX_EJECTED_SHARE) else eligible


def selector_for(policy: Policy, rng: random.Random) -> EndpointSelector:
    """Return the function that chooses an endpoint by `policy`."""
    choices_made = 0

    def two_choices(members: list[Member], endpoints: Endpoints, now: float) -> Member:
        pair = rng.sample(members, min(2, len(members)))
        return min(pair, key=lambda m: endpoints.record(m.node).cost(now))

    def least_cost(members: list[Member], endpoints: Endpoints, now: float) -> Member:
        # The sample also shuffles when it contains all members: among equal costs the
        # first of the list must not get every request.
        sample = rng.sample(members, min(MAX_COMPARED, len(members)))
        return min(sample, key=lambda m: endpoints.record(m.node).cost(now))

    def random_choice(
        members: list[Member], endpoints: Endpoints, now: float
    ) -> Member:
        return rng.choice(members)

    def round_robin(members: list[Member], endpoints: Endpoints, now: float) -> Member:
        nonlocal choices_made
        choices_made += 1
        ordered = sorted(members, key=lambda m: m.node)
        return ordered[choices_made % len(ordered)]

    choose_by_policy: dict[Policy, EndpointSelector] = {
        Policy.TWO_CHOICES: two_choices,
        Policy.LEAST_COST: least_cost,
        Policy.RANDOM: random_choice,
        Policy.ROUND_ROBIN: round_robin,
    }
    return choose_by_policy[policy]
