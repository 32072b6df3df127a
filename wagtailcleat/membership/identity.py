"""Refuses to start a process whose name another living process has.

Two processes of one name would take turns in everybody's view, and each would be
sent work that the other knows nothing of: it shows when settings are copied to a
new VM and the old one still runs. Seeds are asked whom they know by this name, and
that process whether it still answers. One that is gone or paused does not answer,
so its replacement may start; it is fenced by its lower incarnation.
"""

import asyncio
import json

from wagtailcleat.errors import IdentityError
from wagtailcleat.membership.view import View
from wagtailcleat.wire.dumps import Dump, DumpState
from wagtailcleat.wire.membership import CompareViews, Member, Members
from wagtailcleat.wire.peers import Peers

ASK_SECONDS = 2.0
SECTIONS = ["node", "incarnation"]


async def refuse_taken_name(
    view: View, peers: Peers, seeds: list[tuple[str, int]]
) -> None:
    """Return if no living process is known to have this node's name.

    Raises:
        IdentityError: one has it.

    """
    known = await asyncio.gather(*(_known(view, peers, seed) for seed in seeds))
    address_by_incarnation = {m.incarnation: (m.host, m.port) for m in known if m}
    addresses = set(address_by_incarnation.values()) - {(view.me.host, view.me.port)}
    answers = await asyncio.gather(*(_lives(view, peers, a) for a in addresses))
    if any(answers):
        places = ", ".join(f"{host}:{port}" for host, port in sorted(addresses))
        raise IdentityError(
            f"another process named '{view.me.node}' runs at {places}: stop it first,"
            " or give this one a `node` name of its own"
        )


async def _known(view: View, peers: Peers, seed: tuple[str, int]) -> Member | None:
    if seed == (view.me.host, view.me.port):
        return None
    ask = CompareViews(view.sums())
    answer = await peers.call(*seed, ask, timeout=ASK_SECONDS)
    if not isinstance(answer, Members):
        return None
    same = (m for m in answer.members if m.node == view.me.node)
    return next((m for m in same if m.incarnation != view.me.incarnation), None)


async def _lives(view: View, peers: Peers, address: tuple[str, int]) -> bool:
    answer = await peers.call(*address, DumpState(SECTIONS), timeout=ASK_SECONDS)
    if not isinstance(answer, Dump):
        return False
    state = json.loads(answer.text)
    return bool(
        state["node"] == view.me.node and state["incarnation"] != view.me.incarnation
    )
