"""Probe whether the leader's process still leads; `Leadership` of each entry does."""

from collections.abc import Awaitable, Callable
from enum import Enum

from wagtailcleat.cluster.keys import ProcessInfo
from wagtailcleat.cluster.other_entries import RefusalProbe
from wagtailcleat.cluster.timing import PROBE_TIMEOUT_SECONDS
from wagtailcleat.wire.parts import Lost
from wagtailcleat.wire.peers import Identity, Peers
from wagtailcleat.wire.scheduling import Leads, WhoLeads


class ProbeResult(Enum):
    """What a probe shows about the leader's process."""

    LEADS = "leads"
    REPLACED = "replaced"
    """Another incarnation answers at the leader's address: the process has ended."""
    REFUSED = "refused"
    """The VM or the network refuses connections: the process may still be alive."""
    SILENT = "silent"


async def probe_leader(
    leader: Leads,
    *,
    identity: Identity,
    own_info: ProcessInfo,
    peers: Peers,
    refused: RefusalProbe,
    learn: Callable[[Leads], Awaitable[None]],
) -> ProbeResult:
    """Ask the leader whether it leads, and return what that shows.

    Parameters: `refused` tells whether an address refuses connections; `learn` is
    called with the leader that the answer names.
    """
    if not leader.epoch or leader.node == identity.node:
        return ProbeResult.SILENT
    stream = await peers.stream(leader.host, leader.port)
    if isinstance(stream, Lost):
        is_refused = await refused(leader.host, leader.port)
        return ProbeResult.REFUSED if is_refused else ProbeResult.SILENT
    question = WhoLeads(
        own_info.host, own_info.port, own_info.incarnation, own_info.weight
    )
    answer = await stream.call(question, timeout=PROBE_TIMEOUT_SECONDS)
    if isinstance(answer, Leads):
        await learn(answer)
        if stream.peer != leader.node:
            # Another process listens there, whatever it knows of the leader.
            return ProbeResult.SILENT
        if stream.peer_incarnation != leader.incarnation:
            # The other incarnation has just answered, so the leader's process at
            # this address has ended. An open connection alone proves nothing: one
            # to an earlier incarnation looks open for long if its VM lost power.
            return ProbeResult.REPLACED
        if answer.epoch == leader.epoch and answer.node != leader.node:
            return ProbeResult.SILENT
        # An older epoch proves nothing: a leader learns its own epoch only from
        # the store's answer to its claim, when others may have read it already.
        return ProbeResult.LEADS if answer.epoch >= leader.epoch else ProbeResult.SILENT
    return ProbeResult.SILENT
