"""Refuses to start a process whose node name another running process has.

The daemon calls `refuse_taken_name` before it joins the gossip. Two processes of one
name would replace each other's record in every view, and each would be sent work that
the other does not know of; this happens when settings are copied to a new VM while
the old one still runs. Each seed is asked which member it knows by this name, and
that process is asked whether it still runs. A process that has ended or is paused
does not answer, so its replacement may start; the old process is then fenced by its
lower incarnation.
"""

import asyncio
import json

from wagtailcleat.errors import IdentityError
from wagtailcleat.membership.view import View
from wagtailcleat.wire.dumps import Dump, DumpState
from wagtailcleat.wire.membership import CompareViews, Member, Members
from wagtailcleat.wire.peers import Peers

CALL_TIMEOUT_SECONDS = 2.0
DUMP_SECTIONS = ["node", "incarnation"]


async def refuse_taken_name(
    view: View, peers: Peers, seeds: list[tuple[str, int]]
) -> None:
    """Return if no other running process is known to have this node's name.

    Raises:
        IdentityError: another process has the name and answers.

    """
    found = await asyncio.gather(*(_find_duplicate(view, peers, s) for s in seeds))
    address_by_incarnation = {m.incarnation: (m.host, m.port) for m in found if m}
    addresses = set(address_by_incarnation.values()) - {(view.me.host, view.me.port)}
    answers = await asyncio.gather(*(_is_running(view, peers, a) for a in addresses))
    if any(answers):
        address_list = ", ".join(f"{host}:{port}" for host, port in sorted(addresses))
        raise IdentityError(
            f"another process named '{view.me.node}' runs at {address_list}: stop it"
            " first, or give this one a `node` name of its own"
        )


async def _find_duplicate(
    view: View, peers: Peers, seed: tuple[str, int]
) -> Member | None:
    if seed == (view.me.host, view.me.port):
        return None
    request = CompareViews(view.bucket_checksums())
    answer = await peers.call(*seed, request, timeout=CALL_TIMEOUT_SECONDS)
    if not isinstance(answer, Members):
        return None
    same_name = (m for m in answer.members if m.node == view.me.node)
    return next((m for m in same_name if m.incarnation != view.me.incarnation), None)


async def _is_running(view: View, peers: Peers, address: tuple[str, int]) -> bool:
    answer = await peers.call(
        *address, DumpState(DUMP_SECTIONS), timeout=CALL_TIMEOUT_SECONDS
    )
    if not isinstance(answer, Dump):
        return False
    state = json.loads(answer.text)
    return bool(
        state["node"] == view.me.node and state["incarnation"] != view.me.incarnation
    )
