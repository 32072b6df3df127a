"""Watchers: event streams relayed in order, and resumed without a gap.

When an endpoint goes, its stream breaks off, perhaps within an event. Only whole
events are passed on, and the stream is opened anew at another endpoint with the
id of the last one passed on, so that the watcher sees neither a gap nor a torn event.
"""

import asyncio
import re
from dataclasses import replace

from wagtailcleat.entry.context import Callers, CallersHandler
from wagtailcleat.entry.relay import CallerRequest, WatchOpened
from wagtailcleat.headers import LAST_EVENT_ID
from wagtailcleat.ids import NodeId
from wagtailcleat.logs import part_logger
from wagtailcleat.wire.requests import Part, PartsEnd

log = part_logger("watchers")

MAX_EVENT_BYTES = 1024 * 1024
RESUME_SECONDS = 30.0
RESUME_PAUSE_SECONDS = 0.2
OPEN_SECONDS = 3.0
SLOW_READER_SECONDS = 60.0
# A line ends with CR LF, LF, or CR; a CR that is the last byte may yet be the
# first half of CR LF, so it ends no line until the next byte is here.
LINE = re.compile(rb"[^\r\n]*(?:\r\n|\n|\r(?=[^\n]))")


class EventCutter:
    """Cuts a byte stream into whole events, and keeps the last one's id."""

    def __init__(self, last_id: str) -> None:
        """Begin after the event `last_id`."""
        self.last_id = last_id
        self._rest = b""
        self._read = 0
        self._id_of_event: str | None = None
        self._in_event = False

    def feed(self, data: bytes) -> bytes:
        """Return all events, and comments between them, that `data` completed."""
        self._rest += data
        whole = 0
        while found := LINE.match(self._rest, self._read):
            self._read = found.end()
            if self._ends_event(found.group().rstrip(b"\r\n")):
                whole = self._read
        events, self._rest = self._rest[:whole], self._rest[whole:]
        self._read -= whole
        return events

    def _ends_event(self, line: bytes) -> bool:
        if line.startswith(b":"):
            return not self._in_event
        if line:
            self._in_event = True
            field, _, value = line.partition(b":")
            if field == b"id" and b"\0" not in value:
                self._id_of_event = value.removeprefix(b" ").decode("utf-8", "replace")
            return False
        if self._id_of_event is not None:
            self.last_id = self._id_of_event
        self._in_event, self._id_of_event = False, None
        return True

    def too_large(self) -> bool:
        """Tell whether an event is longer than this process holds."""
        return len(self._rest) > MAX_EVENT_BYTES

    def drop_rest(self) -> None:
        """Forget a torn event: it comes whole after the resume."""
        self._rest, self._read = b"", 0
        self._in_event, self._id_of_event = False, None


async def relay_events(
    handler: CallersHandler,
    callers: Callers,
    request: CallerRequest,
    opened: WatchOpened,
) -> None:
    """Pass events on until the endpoint ends them, or the watcher is gone.

    A drain of this process ends them too, between two events.
    """
    relaying = asyncio.create_task(_relay(handler, callers, request, opened))
    ends = [
        asyncio.create_task(callers.state.watchers_end.wait()),
        asyncio.create_task(handler.gone.wait()),
    ]
    try:
        await asyncio.wait([relaying, *ends], return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in (relaying, *ends):
            task.cancel()
        await asyncio.gather(relaying, *ends, return_exceptions=True)


async def _relay(
    handler: CallersHandler,
    callers: Callers,
    request: CallerRequest,
    opened: WatchOpened,
) -> None:
    cutter = EventCutter(handler.request.headers.get(LAST_EVENT_ID, ""))
    watch: WatchOpened | None = opened
    while watch is not None:
        try:
            ended = await _pass_on(handler, cutter, watch)
        finally:
            callers.relay.give_up(watch)
        if ended:
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
                async with asyncio.timeout(SLOW_READER_SECONDS):
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
