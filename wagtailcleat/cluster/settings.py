"""Settings of the programs of a deployment: JSON, checked whole before use."""

from pathlib import Path
from typing import Annotated, TypeVar

import msgspec

from wagtailcleat.checked import convert, read_json
from wagtailcleat.configuration.models import Name
from wagtailcleat.errors import SettingsError
from wagtailcleat.settings import Address, Count, LogLevel, Port, Positive, Secret

Addresses = list[Address]


class Shared(msgspec.Struct, frozen=True):
    """What both programs are told. Unknown fields are passed over."""

    node: Name
    zone: Name
    host: Annotated[str, msgspec.Meta(min_length=1)]
    peer_port: Port
    metrics_port: Port
    secret: Secret
    store: Address
    seeds: Addresses = []
    """Addresses of some entries; only the IP numbers are used."""
    grace: Positive = 6.0
    """Seconds from SIGTERM to the end."""
    log_level: LogLevel = "INFO"
    advertised_host: str = ""
    """Where peers reach this process, if not at `host`: behind a relay, say."""

    @property
    def peer_host(self) -> str:
        """The address that peers are told."""
        return self.advertised_host or self.host


class EntrySettings(Shared, frozen=True, kw_only=True):
    """Settings of `wagtailcleat-entry` on the platform."""

    front: Address
    ready: Address
    status_kept: Positive = 120.0
    """Seconds for which the state of an ended job can be asked."""
    advice: Address | None = None
    """Where the service answers that knows which workers may run a step, if any."""
    cpu_share: Positive = 1.0
    """Share of a core's time that this process may use."""
    cpu_speed: Positive = 1.0
    """How many times as fast as a usual core that one is."""
    link_mbps: Positive = 1_000.0
    """What the link of this VM carries, in megabits a second."""


class AgentSettings(Shared, frozen=True, kw_only=True):
    """Settings of `wagtailcleat-agent` on the platform."""

    control: Address
    """Where the worker on this VM sends its heartbeats."""
    run_lease_limit_ms: Count = 6_000
    """How long the platform lets a run's lease last at most."""


S = TypeVar("S", bound=Shared)


def load(path: Path, kind: type[S]) -> S:
    """Read and check a settings file.

    Raises:
        SettingsError: with every problem found, each with its path.

    """
    try:
        raw = read_json(path.read_bytes())
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from None
    if not isinstance(raw, dict):
        raise SettingsError(["$: not an object"])
    known = {field.encode_name for field in msgspec.structs.fields(kind)}
    return convert({key: raw[key] for key in raw if key in known}, kind)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)
