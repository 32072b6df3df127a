"""Settings: one JSON file a program, checked whole before anything opens."""

from pathlib import Path
from typing import Annotated, TypeVar

import msgspec

from wagtailcleat.checked import convert, read_json
from wagtailcleat.configuration.models import Name
from wagtailcleat.errors import SettingsError

Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
Url = Annotated[str, msgspec.Meta(pattern=r"^https?://[^\s/]+(:\d+)?$")]
Address = Annotated[str, msgspec.Meta(pattern=r"^[^\s:]+:\d{1,5}$")]
Secret = Annotated[str, msgspec.Meta(min_length=16, max_length=1024)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
Count = Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]
MIN_STORES = 1


class Timing(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Seconds of every interval, lease and bound; the suite scales them down.

    The same values must stand in the settings of every process of a deployment:
    an owner counts on an agent's reservation lasting no longer than `reservation`.
    """

    ping: Positive = 0.25
    silence: Positive = 0.75
    idle_close: Positive = 20.0
    connect: Positive = 1.0
    gossip: Positive = 1.0
    suspicion: Positive = 3.0
    forget_lost: Positive = 3600.0
    endpoint_check: Positive = 1.0
    store_call: Positive = 2.0
    ownership: Annotated[int, msgspec.Meta(ge=1, le=3600)] = 10
    grant: Positive = 30.0
    outage_grant: Positive = 3600.0
    reservation: Positive = 3.0
    commit: Positive = 0.1
    placement: Positive = 0.25
    answers_kept: Positive = 60.0
    keyed_answers_kept: Positive = 600.0
    drain: Positive = 30.0
    balancer_notice: Positive = 2.0


class AgentSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of `wagtailcleat-agent`."""

    node: Name
    vm: Name
    zone: Name
    secret: Secret
    store: list[Url]
    worker: Url
    endpoints_by_service: dict[str, str] = {}
    host: str = "127.0.0.1"
    peer_port: Port = 0
    http_port: Port = 0
    seeds: list[Address] = []
    timing: Timing = Timing()
    shards: Count = 16
    owns_shards: bool = True
    advertised_port: Port = 0
    """The peer port that others connect to, where it is not `peer_port`."""
    max_answer_bytes: Count = 16 * 1024 * 1024
    kept_answer_bytes: Count = 32 * 1024 * 1024
    log_level: str = "INFO"


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of `wagtailcleat-entry`."""

    node: Name
    zone: Name
    secret: Secret
    admin_token: Secret
    store: list[Url]
    host: str = "127.0.0.1"
    peer_port: Port = 0
    http_port: Port = 0
    admin_port: Port = 0
    seeds: list[Address] = []
    timing: Timing = Timing()
    shards: Count = 16
    routing: str = "least_cost"
    max_body_bytes: Count = 1024 * 1024
    max_connections: Count = 4096
    advertised_port: Port = 0
    """The peer port that others connect to, where it is not `peer_port`."""
    max_in_flight: Count = 2048
    log_level: str = "INFO"


S = TypeVar("S", AgentSettings, EntrySettings)


def load(path: Path, kind: type[S]) -> S:
    """Read and check a settings file.

    Raises:
        SettingsError: with every problem found, each with its path.

    """
    try:
        text = path.read_bytes()
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from None
    settings = convert(read_json(text), kind)
    if len(settings.store) < MIN_STORES:
        raise SettingsError(["$.store: name at least one address of the store"])
    return settings
