"""Leaving without losing a request: entries acknowledge first, answers are flushed."""

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
SILENT_PINGS = 3


async def announce_leave(node: Node, timing: Timing) -> float:
    """Tell all peers that this agent leaves; return until when it must stay."""
    # Entries hear it over the streams they hold: what they sent before they
    # acknowledged it came before the acknowledgement, so after that none of them
    # has a request on its way here.
    node.view.change_me(node.clock(), state=MemberState.LEAVING)
    members = Members([], [node.view.me])
    entries = [s for s in node.listener.streams if s.peer_role is Role.ENTRY]
    calls = [e.call(members, timeout=ANNOUNCE_TIMEOUT_SECONDS) for e in entries]
    announced_at = node.clock()
    try:
        async with asyncio.timeout(ANNOUNCE_TIMEOUT_SECONDS):
            answers = await asyncio.gather(*calls, node.gossiper.announce())
    except TimeoutError:
        answers = [None]
    if all(isinstance(answer, Done) for answer in answers[: len(calls)]):
        return announced_at
    # An entry that did not acknowledge may have written requests into a silent
    # connection. It finds that out and asks here what became of them; if this
    # process were gone by then, nobody could tell that they have not run.
    log.warning("Not every entry acknowledged that this agent leaves")
    return announced_at + timing.silence + SILENT_PINGS * timing.ping + timing.connect


async def flush_answers(node: Node) -> None:
    """Wait until peers have closed their streams, and so have all answers."""
    # An answer may still be in a stream's buffer. Closing the stream would lose it,
    # and its caller could not be told whether the request ran.
    for stream in list(node.listener.streams):
        stream.go_away()
    try:
        async with asyncio.timeout(FLUSH_TIMEOUT_SECONDS):
            while node.listener.streams:  # noqa: ASYNC110
                await asyncio.sleep(FLUSH_POLL_SECONDS)
    except TimeoutError:
        log.warning("Not every answer has left this process")
