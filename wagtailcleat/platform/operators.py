"""What operators write into the store: the configuration and zones taken out."""

from typing import Any

from wagtailcleat.ids import ServiceName, ZoneName
from wagtailcleat.platform.fields import (
    number,
    read_object,
    rows,
    table,
    text,
    whole,
)
from wagtailcleat.scheduling.queues import (
    Queue,
    QueueTable,
    RequestLimits,
    queue_table,
)

CONFIGURATION_KEY = "op/config"
ZONE_OUT_PREFIX = "op/evacuate/"
OPERATOR_PREFIX = "op/"
MILLISECONDS = 1000


def decode_configuration(value: bytes) -> QueueTable:
    """Return the queues of a configuration.

    Raises:
        BodyError: it can't be read.

    """
    raw = read_object(value)
    queues = [_queue(route) for route in rows(raw, "routes")]
    return queue_table(whole(raw, "version"), queues, _limits(table(raw, "limits")))


def _queue(raw: dict[str, Any]) -> Queue:
    return Queue(
        text(raw, "name"),
        text(raw, "host"),
        text(raw, "prefix"),
        ServiceName(text(raw, "service")),
        whole(raw, "priority", default=0),
        whole(raw, "attempts", default=1),
        number(raw, "stretch", default=1.0),
        number(raw, "targetLatencyMs", default=0.0) / MILLISECONDS,
        bool(table(raw, "hint")),
    )


def _limits(raw: dict[str, Any]) -> RequestLimits:
    return RequestLimits(
        whole(raw, "maxHeaderBytes", default=16_384),
        whole(raw, "maxBodyBytes", default=262_144),
        number(raw, "headerTimeoutMs", default=3000) / MILLISECONDS,
        number(raw, "idleTimeoutMs", default=15_000) / MILLISECONDS,
    )


def zone_out(key: str) -> ZoneName | None:
    """Return the zone that an operator's key takes out, if it is such a key."""
    if not key.startswith(ZONE_OUT_PREFIX):
        return None
    return ZoneName(key.removeprefix(ZONE_OUT_PREFIX))
