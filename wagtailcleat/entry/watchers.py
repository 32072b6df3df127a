"""Relays event streams to watchers in order, and resumes them without a gap.

When an endpoint fails, its stream may end within an event. So only complete events
are relayed, and the stream is reopened at another endpoint with the id of the last
relayed event: the watcher receives neither a gap nor a partial event.
"""

import asyncio
import re
from dataclasses import replace

from wagtailcleat.entry.context import CallersContext, CallersHandler
from wagtailcleat.entry.relay import CallerRequest, Watch
from wagtailcleat.headers import LAST_EVENT_ID
from wagtailcleat.ids import NodeId
from wagtailcleat.logs import part_logger
from wagtailcleat.wire.requests import Part, PartsEnd

log = part_logger("watchers")

MAX_EVENT_BYTES = 1024 * 1024
RESUME_TIMEOUT_SECONDS = 30.0
RESUME_RETRY_INTERVAL_SECONDS = 0.2
OPEN_TIMEOUT_SECONDS = 3.0
WRITE_TIMEOUT_SECONDS = 60.0
# A line ends with CR LF, LF or CR. A CR that is the last byte received may be the
# first half of CR LF, so it does not end the line until the next byte is received.
LINE_PATTERN = re.compile(rb"[^\r\n]*(?:\r\n|\n|\r(?=[^\n]))")


class EventSplitter:
    """Splits a byte stream into complete events, and keeps the id of the last one."""

    def __init__(self, last_id: str) -> None:
        """Start after the event `last_id`; empty if there is none."""
        self.last_id = last_id
        self._buffer = b""
        self._scanned_bytes = 0
        self._id_of_event: str | None = None
        self._in_event = False

    def feed(self, data: bytes) -> bytes:
        """Return the events, and comments between them, that `data` completes."""
        self._buffer += data
        complete = 0
        while found := LINE_PATTERN.match(self._buffer, self._scanned_bytes):
            self._scanned_bytes = found.end()
            if self._ends_event(found.group().rstrip(b"\r\n")):
                complete = self._scanned_bytes
        events, self._buffer = self._buffer[:complete], self._buffer[complete:]
        self._scanned_bytes -= complete
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

    def is_too_large(self) -> bool:
        """Return whether the incomplete event exceeds `MAX_EVENT_BYTES`."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def discard_partial_event(self) -> None:
        """Discard a partial event; it is received complete after the resume."""
        self._buffer, self._scanned_bytes = b"", 0
        self._in_event, self._id_of_event = False, None


async def relay_events(
    handler: CallersHandler,
    callers: CallersContext,
    request: CallerRequest,
    watch: Watch,
) -> None:
    """Relay events until the endpoint ends the stream or the watcher disconnects.

    A drain of this process also ends the stream, between two events.
    """
    relaying = asyncio.create_task(_relay_and_resume(handler, callers, request, watch))
    end_events = [
        asyncio.create_task(callers.state.stop_watchers.wait()),
        asyncio.create_task(handler.disconnected.wait()),
    ]
    try:
        await asyncio.wait([relaying, *end_events], return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in (relaying, *end_events):
            task.cancel()
        await asyncio.gather(relaying, *end_events, return_exceptions=True)


async def _relay_and_resume(
    handler: CallersHandler,
    callers: CallersContext,
    request: CallerRequest,
    watch: Watch,
) -> None:
    splitter = EventSplitter(handler.request.headers.get(LAST_EVENT_ID, ""))
    current: Watch | None = watch
    while current is not None:
        try:
            is_complete = await _relay_events_of(handler, splitter, current)
        finally:
            callers.relay.cancel_watch(current)
        if is_complete:
            return
        splitter.discard_partial_event()
        current = await _resume(callers, request, splitter.last_id, current.member.node)


async def _relay_events_of(
    handler: CallersHandler, splitter: EventSplitter, watch: Watch
) -> bool:
    async for item in watch.parts:
        if isinstance(item, Part):
            events = splitter.feed(item.data)
            if events:
                handler.write(events)
                async with asyncio.timeout(WRITE_TIMEOUT_SECONDS):
                    await handler.flush()
            if splitter.is_too_large():
                log.warning(
                    "An event exceeds the size limit; its stream is closed",
                    extra={"path": handler.request.path},
                )
                return True
        elif isinstance(item, PartsEnd):
            return item.whole
        else:
            return False
    return False


async def _resume(
    callers: CallersContext, request: CallerRequest, last_id: str, failed_node: NodeId
) -> Watch | None:
    headers = [(k, v) for k, v in request.headers if k.lower() != LAST_EVENT_ID.lower()]
    if last_id:
        headers.append((LAST_EVENT_ID, last_id))
    give_up_at = callers.clock() + RESUME_TIMEOUT_SECONDS
    tried = {failed_node}
    while callers.clock() < give_up_at:
        resumed = replace(
            request, headers=headers, deadline=callers.clock() + OPEN_TIMEOUT_SECONDS
        )
        watch = await callers.relay.open_watch(resumed, tried)
        if isinstance(watch, Watch):
            log.info(
                "A watcher's event stream was resumed", extra={"on": watch.member.node}
            )
            return watch
        tried = set()
        await asyncio.sleep(RESUME_RETRY_INTERVAL_SECONDS)
    return None
