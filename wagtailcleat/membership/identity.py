"""Whether another living process already has this node's name.

Two processes of one name would answer for each other: the peers would see one
member that moves to and fro, and send requests and grants to either. It shows when
an operator copies a settings file. A starting process asks its seeds who has the
name, and asks that process itself; only an answer from it counts, since the record
of a process that died is remembered for an hour.
"""

import random

from wagtailcleat.membership.view import View
from wagtailcleat.wire.messages import CompareViews, Member, Members
from wagtailcleat.wire.streams import Lost, Peers

ASKED_SEEDS = 3
ASK_SECONDS = 2.0


async def living_namesake(
    view: View,
    peers: Peers,
    seeds: list[tuple[str, int]],
    rng: random.Random,
    now: float,
) -> Member | None:
    """Return the other living process of this node's name, if there is one.

    What the seed answers is merged, so the process starts with a whole view.
    """
    for host, port in rng.sample(seeds, min(ASKED_SEEDS, len(seeds))):
        answer = await peers.call(
            host, port, CompareViews(view.sums()), timeout=ASK_SECONDS
        )
        if not isinstance(answer, Members):
            continue
        for member in answer.members:
            if await _is_living_namesake(view.me, member, peers):
                return member
        view.merge_all(answer.members, now)
        return None
    return None


async def _is_living_namesake(me: Member, member: Member, peers: Peers) -> bool:
    if member.node != me.node or member.incarnation == me.incarnation:
        return False
    if (member.host, member.port) == (me.host, me.port):
        return False
    stream = await peers.stream(member.host, member.port)
    return (
        not isinstance(stream, Lost)
        and stream.peer == me.node
        and stream.peer_incarnation == member.incarnation
    )
