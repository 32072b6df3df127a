"""Decoding of the keys that operators write into the store.

These are the configuration and the availability zones taken out of service.
`operator_watch` in `wagtailcleat.cluster` reads them.
"""

from typing import Any

from wagtailcleat.ids import ServiceName, ZoneName
from wagtailcleat.platform.fields import (
    get_integer,
    get_list,
    get_number,
    get_object,
    get_text,
    parse_object,
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
    """Decode the queues and request limits of a configuration.

    Raises:
        BodyError: `value` is not JSON, or a field is missing or invalid.

    """
    raw = parse_object(value)
    queues = [
        _queue(get_object({"route": route}, "route"))
        for route in get_list(raw, "routes")
    ]
    return queue_table(
        get_integer(raw, "version"), queues, _limits(get_object(raw, "limits"))
    )


def _queue(raw: dict[str, Any]) -> Queue:
    return Queue(
        get_text(raw, "name"),
        get_text(raw, "host"),
        get_text(raw, "prefix"),
        ServiceName(get_text(raw, "service")),
        get_integer(raw, "priority", default=0),
        get_integer(raw, "attempts", default=1),
        get_number(raw, "stretch", default=1.0),
        get_number(raw, "targetLatencyMs", default=0.0) / MILLISECONDS,
        bool(get_object(raw, "hint")),
    )


def _limits(raw: dict[str, Any]) -> RequestLimits:
    return RequestLimits(
        get_integer(raw, "maxHeaderBytes", default=16_384),
        get_integer(raw, "maxBodyBytes", default=262_144),
        get_number(raw, "headerTimeoutMs", default=3000) / MILLISECONDS,
        get_number(raw, "idleTimeoutMs", default=15_000) / MILLISECONDS,
    )


def zone_taken_out(key: str) -> ZoneName | None:
    """Return the zone that `key` takes out of service; None for any other key."""
    if not key.startswith(ZONE_OUT_PREFIX):
        return None
    return ZoneName(key.removeprefix(ZONE_OUT_PREFIX))
