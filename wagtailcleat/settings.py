"""Settings of entries and agents: one JSON file, checked before any port opens."""

from collections import Counter
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated, Literal, TypeVar

import msgspec

from wagtailcleat.checked import convert_with_problems, read_json
from wagtailcleat.configuration.models import Name
from wagtailcleat.errors import SettingsError
from wagtailcleat.routing.choose import Policy

Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
URL_PATTERN = r"^https?://[^\s/]+(:\d+)?$"
URL_WORDS = "an address like http://10.0.0.1:7001"
Url = Annotated[str, msgspec.Meta(pattern=URL_PATTERN, description=URL_WORDS)]
ADDRESS_PATTERN = r"^[^\s:]+:\d{1,5}$"
ADDRESS_WORDS = "an address like 10.0.0.1:7002"
Address = Annotated[
    str, msgspec.Meta(pattern=ADDRESS_PATTERN, description=ADDRESS_WORDS)
]
Secret = Annotated[str, msgspec.Meta(min_length=16, max_length=1024)]
LogLevel = Literal["DEBUG", "INFO", "WARNING", "ERROR"]
Positive = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
Count = Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]
ANY_ADDRESS = ("0.0.0.0", "::")
MAX_PORT = 65_535
PORTS = ("peer_port", "http_port", "admin_port")


class Timing(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Intervals, leases and timeouts in seconds; tests scale them down.

    All processes of a deployment must have the same values: an owner relies on an
    agent's reservation lasting no longer than `reservation`.
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
    rebalance: Positive = 30.0


class AgentSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of `wagtailcleat-agent`."""

    node: Name
    vm: Name
    zone: Name
    secret: Secret
    store: list[Url]
    worker: Url
    endpoints_by_service: dict[Name, Url] = {}
    host: str = "127.0.0.1"
    peer_port: Port = 0
    http_port: Port = 0
    seeds: list[Address] = []
    timing: Timing = Timing()
    shards: Count = 16
    owns_shards: bool = True
    advertised_port: Port = 0
    """The peer port that others connect to, where it differs from `peer_port`."""
    max_answer_bytes: Count = 16 * 1024 * 1024
    kept_answer_bytes: Count = 32 * 1024 * 1024
    log_level: LogLevel = "INFO"


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
    routing: Policy = Policy.LEAST_COST
    max_body_bytes: Count = 1024 * 1024
    max_connections: Count = 4096
    advertised_port: Port = 0
    """The peer port that others connect to, where it differs from `peer_port`."""
    max_in_flight: Count = 2048
    idle_connection: Positive = 300.0
    """Seconds until a connection is closed that has not sent complete headers."""
    slow_body: Positive = 10.0
    """Seconds within which a request's body must have arrived."""
    log_level: LogLevel = "INFO"


S = TypeVar("S", AgentSettings, EntrySettings)


def load(path: Path, kind: type[S]) -> S:
    """Read and check a settings file.

    Raises:
        SettingsError: with every problem, each with its path.

    """
    try:
        text = path.read_bytes()
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from None
    settings, found = convert_with_problems(read_json(text), kind)
    if settings is not None:
        found += _cross_field_problems(settings)
    if found:
        raise SettingsError(found)
    return settings


def _cross_field_problems(settings: AgentSettings | EntrySettings) -> list[str]:
    # A field that could not be converted is None and was reported already.
    found: list[str] = []
    if settings.store == []:
        found.append("$.store: name at least one address of the store")
    found += host_problems("$.host", settings.host)
    if settings.host in ANY_ADDRESS:
        found.append("$.host: others call this process there: give its own address")
    for index, seed in enumerate(settings.seeds or []):
        if seed is not None:
            host, _, port = seed.rpartition(":")
            found += host_problems(f"$.seeds[{index}]", host)
            if not 0 < int(port) <= MAX_PORT:
                found.append(f"$.seeds[{index}]: {port} is no port")
    return found + _port_problems(settings) + _timing_problems(settings.timing)


def host_problems(path: str, host: str | None) -> list[str]:
    """Return why a host can't be used, with its path in the settings; [] if it can."""
    if host is None:
        return []
    try:
        ip_address(host)
    except ValueError:
        return [f"{path}: '{host}' is no IP number"]
    return []


def _port_problems(settings: AgentSettings | EntrySettings) -> list[str]:
    count_by_port = Counter(getattr(settings, name, None) for name in PORTS)
    return [
        f"$: port {port} stands {count} times among {', '.join(PORTS)}"
        for port, count in count_by_port.items()
        if port and count > 1
    ]


def _timing_problems(timing: Timing | None) -> list[str]:
    if timing is None:
        return []
    ordered_pairs = (
        ("ping", "silence"),
        ("gossip", "suspicion"),
        ("grant", "outage_grant"),
    )
    found = []
    for shorter, longer in ordered_pairs:
        low, high = getattr(timing, shorter), getattr(timing, longer)
        if low is not None and high is not None and low > high:
            found.append(
                f"$.timing.{shorter}: {low:g} is longer than {longer}, {high:g}"
            )
    return found
