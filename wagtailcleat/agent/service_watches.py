"""Relays event streams from an endpoint to watchers, part by part."""

import asyncio

from wagtailcleat.agent.endpoint import EndpointFailed, EndpointStream
from wagtailcleat.agent.service_admission import ServiceAdmission
from wagtailcleat.agent.service_instance import (
    RETRY_AFTER_SECONDS,
    ServiceInstance,
    endpoint_refusal,
)
from wagtailcleat.errors import Code
from wagtailcleat.ids import ServiceName
from wagtailcleat.wire.answer_writer import AnswerWriter
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.requests import Answer, Header, Part, PartsEnd, ServiceRequest
from wagtailcleat.wire.results import Refused

MAX_PARTS_QUEUED = 256


class ServiceWatches:
    """The event streams that are open at this agent."""

    def __init__(
        self,
        instance_by_service: dict[ServiceName, ServiceInstance],
        admission: ServiceAdmission,
    ) -> None:
        """Relay events from the endpoints of `instance_by_service`."""
        self._instance_by_service = instance_by_service
        self._admission = admission
        self._ending = asyncio.Event()

    def end_all(self) -> None:
        """End all event streams; their watchers resume at another agent."""
        self._ending.set()

    async def serve(
        self, message: ServiceRequest, answer_writer: AnswerWriter
    ) -> AnyMessage:
        """Relay the endpoint's events to `answer_writer`; return the final message."""
        refusal = await self._admission.admit(message.service)
        if refusal is not None:
            return refusal
        instance = self._instance_by_service[message.service]
        if instance.watchers >= instance.max_watchers:
            reason = "all connections are taken"
            return Refused(Code.NOT_RUN.value, reason, RETRY_AFTER_SECONDS)
        instance.watchers += 1
        try:
            return await _Relay(instance, message, answer_writer, self._ending).run()
        finally:
            instance.watchers -= 1


class _Relay:
    """One event stream, with a queue for a watcher slower than the endpoint.

    It ends the stream if the queue reaches `MAX_PARTS_QUEUED`.
    """

    def __init__(
        self,
        instance: ServiceInstance,
        message: ServiceRequest,
        answer_writer: AnswerWriter,
        ending: asyncio.Event,
    ) -> None:
        self._instance = instance
        self._message = message
        self._answer_writer = answer_writer
        self._ending = ending
        self._items: asyncio.Queue[Answer | Part | EndpointFailed | None] = (
            asyncio.Queue()
        )
        self._stream = EndpointStream(self._on_head, self._on_data)

    async def run(self) -> AnyMessage:
        """Relay head and parts; return the message that ends the stream."""
        reading = asyncio.create_task(self._read())
        ending = asyncio.create_task(self._await_ending())
        try:
            return await self._forward()
        finally:
            self._stream.abort()
            reading.cancel()
            ending.cancel()

    async def _forward(self) -> AnyMessage:
        head_sent = False
        while True:
            item = await self._items.get()
            if isinstance(item, Answer):
                head_sent = True
                await self._answer_writer.send_head(item)
            elif isinstance(item, Part):
                await self._answer_writer.send_part(item)
            elif head_sent:
                return PartsEnd(whole=item is None)
            else:
                return endpoint_refusal(item)

    def _on_head(self, status: int, headers: list[Header]) -> None:
        load = self._instance.load()
        self._items.put_nowait(Answer(status, headers, b"", load, parts=True))

    def _on_data(self, data: bytes) -> None:
        if self._items.qsize() < MAX_PARTS_QUEUED:
            self._items.put_nowait(Part(data))
        else:
            self._stream.abort()

    async def _read(self) -> None:
        endpoint = self._instance.endpoint
        self._items.put_nowait(await endpoint.watch(self._message, self._stream))

    async def _await_ending(self) -> None:
        await self._ending.wait()
        self._items.put_nowait(EndpointFailed(True, "the agent leaves"))
