"""Watchers: event streams relayed in order, and resumed without a gap.

When an endpoint goes, its stream breaks off, perhaps within an event. Only whole
events are passed on, and the stream is opened anew at another endpoint with the
id of the last one passed on, so that the watcher sees neither a gap nor a torn event.
"""

import asyncio
from dataclasses import replace

from wagtailcleat.entry.context import Callers, CallersHandler
from wagtailcleat.entry.relay import CallerRequest, WatchOpened
from wagtailcleat.headers import LAST_EVENT_ID
from wagtailcleat.ids import NodeId
from wagtailcleat.logs import part_logger
from wagtailcleat.wire.messages import Part, PartsEnd

log = part_logger("watchers")

MAX_EVENT_BYTES = 1024 * 1024
RESUME_SECONDS = 30.0
RESUME_PAUSE_SECONDS = 0.2
OPEN_SECONDS = 3.0


class EventCutter:
    """Cuts a byte stream into whole events, and keeps the last one's id."""

    def __init__(self, last_id: str) -> None:
        """Begin after the event `last_id`."""
        self.last_id = last_id
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return all events that `data` completed."""
        self._rest = (self._rest + data).replace(b"\r\n", b"\n")
        end = self._rest.rfind(b"\n\n")
        if end < 0:
            return b""
        whole, self._rest = self._rest[: end + 2], self._rest[end + 2 :]
        for line in whole.split(b"\n"):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("utf-8", "replace")
        return whole

    def too_large(self) -> bool:
        """Tell whether an event is longer than this process holds."""
        return len(self._rest) > MAX_EVENT_BYTES

    def drop_rest(self) -> None:
        """Forget a torn event: it comes whole after the resume."""
        self._rest = b""


async def relay_events(
    handler: CallersHandler,
    callers: Callers,
    request: CallerRequest,
    opened: WatchOpened,
) -> None:
    """Pass events on until the endpoint ends them or the watcher is gone."""
    cutter = EventCutter(handler.request.headers.get(LAST_EVENT_ID, ""))
    watch: WatchOpened | None = opened
    while watch is not None:
        try:
            ended = await _pass_on(handler, cutter, watch)
        finally:
            callers.relay.give_up(watch)
        if ended or callers.state.draining:
            return
        cutter.drop_rest()
        watch = await _resume(callers, request, cutter.last_id, watch.member.node)


async def _pass_on(
    handler: CallersHandler, cutter: EventCutter, watch: WatchOpened
) -> bool:
    async for item in watch.parts:
        if isinstance(item, Part):
            events = cutter.feed(item.data)
            if events:
                handler.write(events)
                await handler.flush()
            if cutter.too_large():
                log.warning(
                    "An event is too large", extra={"path": handler.request.path}
                )
                return True
        elif isinstance(item, PartsEnd):
            return item.whole
        else:
            return False
    return False


async def _resume(
    callers: Callers, request: CallerRequest, last_id: str, lost: NodeId
) -> WatchOpened | None:
    headers = [(k, v) for k, v in request.headers if k.lower() != LAST_EVENT_ID.lower()]
    if last_id:
        headers.append((LAST_EVENT_ID, last_id))
    give_up_at = callers.clock() + RESUME_SECONDS
    tried = {lost}
    while callers.clock() < give_up_at:
        again = replace(
            request, headers=headers, deadline=callers.clock() + OPEN_SECONDS
        )
        opened = await callers.relay.open_watch(again, tried)
        if isinstance(opened, WatchOpened):
            log.info("A watcher was resumed", extra={"on": opened.member.node})
            return opened
        tried = set()
        await asyncio.sleep(RESUME_PAUSE_SECONDS)
    return None
