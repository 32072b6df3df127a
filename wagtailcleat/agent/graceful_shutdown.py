"""Steps of the agent's graceful shutdown that keep requests from being lost.

Entries acknowledge the leave first, and all answers are delivered before the exit.
"""

import asyncio

from wagtailcleat.logs import part_logger
from wagtailcleat.node import Node
from wagtailcleat.settings import Timing
from wagtailcleat.wire.handshake import Role
from wagtailcleat.wire.membership import Members, MemberState
from wagtailcleat.wire.results import Done

log = part_logger("agent")

ANNOUNCE_TIMEOUT_SECONDS = 1.0
FLUSH_TIMEOUT_SECONDS = 2.0
FLUSH_POLL_SECONDS = 0.01
MISSED_PINGS = 3
"""Ping intervals allowed for an entry to detect a silent connection."""


async def announce_leave(node: Node, timing: Timing) -> float:
    """Announce to all peers that this agent leaves; return when it may exit."""
    # The announcement goes over the streams that entries opened. Messages on a stream
    # are ordered, so all requests that an entry sent come before its acknowledgement,
    # and none is in flight to this agent afterwards.
    node.view.change_me(node.clock(), state=MemberState.LEAVING)
    members = Members([], [node.view.me])
    entries = [s for s in node.listener.streams if s.peer_role is Role.ENTRY]
    calls = [e.call(members, timeout=ANNOUNCE_TIMEOUT_SECONDS) for e in entries]
    announced_at = node.clock()
    try:
        async with asyncio.timeout(ANNOUNCE_TIMEOUT_SECONDS):
            answers = await asyncio.gather(*calls, node.gossiper.push_updates())
    except TimeoutError:
        answers = [None]
    if all(isinstance(answer, Done) for answer in answers[: len(calls)]):
        return announced_at
    # An entry that did not acknowledge may have written requests to a connection that
    # has gone silent. Once it detects the silence, it asks this agent for their
    # outcome. This process must still run then: no other can say that they have not
    # run.
    log.warning("Agent delays its exit: an entry did not acknowledge the leave")
    return announced_at + timing.silence + MISSED_PINGS * timing.ping + timing.connect


async def flush_answers(node: Node) -> None:
    """Wait until peers have received all answers and closed their streams."""
    # Closing a stream would lose the answers in its send buffer, and their callers
    # could not be told whether the requests ran.
    for stream in list(node.listener.streams):
        stream.go_away()
    try:
        async with asyncio.timeout(FLUSH_TIMEOUT_SECONDS):
            while node.listener.streams:  # noqa: ASYNC110
                await asyncio.sleep(FLUSH_POLL_SECONDS)
    except TimeoutError:
        log.warning("Peer streams did not close in time; answers may be lost")
