"""Settings files of both programs: JSON that is validated as a whole before use."""

from pathlib import Path
from typing import Annotated, TypeVar

import msgspec

from wagtailcleat.addresses import address_problem, host_port_problem
from wagtailcleat.checked import convert, read_json
from wagtailcleat.configuration.models import Name
from wagtailcleat.errors import SettingsError
from wagtailcleat.scheduling.options import SchedulingOptions
from wagtailcleat.settings import (
    Address,
    Count,
    LogLevel,
    Port,
    Positive,
    Secret,
    host_problems,
)

Addresses = list[Address]
MILLISECONDS = 1000


class CommonSettings(msgspec.Struct, frozen=True):
    """Settings that both programs have; unknown fields are ignored."""

    node: Name
    zone: Name
    host: Annotated[str, msgspec.Meta(min_length=1)]
    peer_port: Port
    metrics_port: Port
    secret: Secret
    store: Address
    seeds: Addresses = []
    """Addresses of some entries; only the hosts are used."""
    grace: Positive = 6.0
    """Seconds from SIGTERM until the process must have ended."""
    log_level: LogLevel = "INFO"
    advertised_host: str = ""
    """Host at which peers reach this process if not `host`, such as a relay's."""

    @property
    def peer_host(self) -> str:
        """The host that peers are told."""
        return self.advertised_host or self.host


class EntrySettings(CommonSettings, frozen=True, kw_only=True):
    """Settings of `wagtailcleat-entry` on the platform."""

    front: Address
    ready: Address
    status_kept: Positive = 120.0
    """Seconds for which the state of an ended job can be read."""
    advice: Address | None = None
    """Address of the service that knows which workers may run a step, if any."""
    cpu_share: Positive = 1.0
    """Share of a core's time that this process may use."""
    cpu_speed: Positive = 1.0
    """Speed of that core, relative to a usual one."""
    link_mbps: Positive = 1_000.0
    """Rate of this VM's link, in megabits a second."""
    value_bytes: Count = 1_048_576
    """Size of the largest value that the store takes."""
    silent_leader_ms: Count = 1_200
    """How long a leader that answers no probe must have shown no sign of life in the
    store before another entry claims; from 2,500 on its lease is waited for."""
    stop_ms: Count = 900
    """Longest time that a worker takes to stop a run."""
    learn_run_times: bool = False
    """Whether tasks are expected to take what runs of their step and queue have taken,
    rather than what submitters estimate."""
    far_factor: Positive = 1.0
    """How many times as long a task takes on a rack other than that of its data; with
    1 no task waits for room on that rack."""
    restore_ms: Count = 600
    """Time that a run takes to continue from a checkpoint."""

    @property
    def silent_claim_seconds(self) -> float:
        """The same in seconds."""
        return self.silent_leader_ms / MILLISECONDS

    @property
    def scheduling_options(self) -> SchedulingOptions:
        """The options of the scheduler of an entry that leads."""
        return SchedulingOptions(
            move_seconds=(self.stop_ms + self.restore_ms) / MILLISECONDS,
            learn_run_times=self.learn_run_times,
            far_factor=self.far_factor,
        )


class AgentSettings(CommonSettings, frozen=True, kw_only=True):
    """Settings of `wagtailcleat-agent` on the platform."""

    control: Address
    """Where the worker on this VM sends its heartbeats."""
    run_lease_limit_ms: Count = 6_000
    """Longest lease of a run that the platform grants."""


S = TypeVar("S", bound=CommonSettings)


def load(path: Path, kind: type[S]) -> S:
    """Return the settings of a file.

    Raises:
        SettingsError: with every problem found, each with its path in the file.

    """
    try:
        raw = read_json(path.read_bytes())
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from None
    if not isinstance(raw, dict):
        raise SettingsError(["$: not an object"])
    known = {field.encode_name for field in msgspec.structs.fields(kind)}
    settings = convert({key: raw[key] for key in raw if key in known}, kind)
    problems = _host_problems(settings) + _address_problems(settings)
    if problems:
        raise SettingsError(problems)
    return settings


def _host_problems(settings: CommonSettings) -> list[str]:
    """Return the hosts of processes that are names, which processes don't look up."""
    problems = host_problems("$.host", settings.host)
    if settings.advertised_host:
        problems += host_problems("$.advertised_host", settings.advertised_host)
    for index, seed in enumerate(settings.seeds):
        problems += host_problems(f"$.seeds[{index}]", split_address(seed)[0])
    return problems


def _address_problems(settings: CommonSettings) -> list[str]:
    """Return the addresses that can't be called, or can't be listened at."""
    own: dict[str, str] = {}
    called = {"store": settings.store}
    if isinstance(settings, EntrySettings):
        own = {"front": settings.front, "ready": settings.ready}
        if settings.advice is not None:
            called["advice"] = settings.advice
    elif isinstance(settings, AgentSettings):
        own = {"control": settings.control}
    problem_by_field = {
        **{field: host_port_problem(address) for field, address in called.items()},
        **{
            field: address_problem(*split_address(address))
            for field, address in own.items()
        },
    }
    return [
        f"$.{field}: {problem}"
        for field, problem in problem_by_field.items()
        if problem
    ]


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
