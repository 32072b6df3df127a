"""Open-loop load on a service: arrivals, faults at times, and what callers saw."""

import asyncio
import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from bench.deployment import Deployment, EntryModel, build, service_name
from bench.policies import Policy
from bench.profiles import Profile
from bench.virtual_time import run_virtual
from wagtailcleat.clock import Clock
from wagtailcleat.entry.relay import CallerRequest
from wagtailcleat.ids import ServiceName
from wagtailcleat.outcomes import Answered, NotRun

MICROSECONDS = 1_000_000
HIGHEST_MICROSECONDS = 600 * MICROSECONDS
DIGITS = 3
WARM_UP_SECONDS = 2.0
IDEMPOTENT_SHARE = 0.7

Faults = Callable[[Deployment, float], None]
"""Breaks something at a time, and mends it at another; called each tick."""


@dataclass(frozen=True)
class Arrival:
    """One request: when the caller means to send it, and what work it is."""

    number: int
    at: float
    work: float
    idempotent: bool


def arrivals(
    profile: Profile, load: float, seconds: float, seed: int
) -> Iterator[Arrival]:
    """Draw the same arrivals for every policy: by seed, profile and load alone."""
    rng = random.Random(f"{seed}/arrivals/{profile.name}")
    rate = load * profile.capacity
    mu = math.log(profile.work_mean) - profile.work_sigma**2 / 2
    at = rng.expovariate(rate)
    number = 0
    while at < seconds:
        work = rng.lognormvariate(mu, profile.work_sigma)
        yield Arrival(number, at, work, rng.random() < IDEMPOTENT_SHARE)
        number += 1
        at += rng.expovariate(rate)


def histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, HIGHEST_MICROSECONDS, DIGITS)


class Seen:
    """What callers saw, after the warm-up."""

    def __init__(self, deadline: float) -> None:
        """Count answers within `deadline` seconds as in time."""
        self.answered = histogram()
        self.refused = histogram()
        self.in_time = 0
        self.late = 0
        self.errors = 0
        self.not_run = 0
        self.unknown = 0
        self._deadline = deadline

    def note(self, outcome: object, latency: float, at_entry: float) -> None:
        """Note one outcome, with its seconds from the intended send time."""
        if isinstance(outcome, Answered) and outcome.answer.status < 500:
            self.answered.record_value(int(latency * MICROSECONDS) + 1)
            in_time = latency <= self._deadline
            self.in_time += in_time
            self.late += not in_time
        elif isinstance(outcome, Answered):
            self.errors += 1
        elif isinstance(outcome, NotRun):
            self.not_run += 1
            self.refused.record_value(int(at_entry * MICROSECONDS) + 1)
        else:
            self.unknown += 1

    @property
    def total(self) -> int:
        """All requests noted."""
        return self.in_time + self.late + self.errors + self.not_run + self.unknown


def run_services(
    profile: Profile,
    policy: Policy,
    *,
    load: float,
    seconds: float,
    seed: int,
    faults: Faults | None = None,
) -> dict[str, float]:
    """Run one load and return its measures; times in milliseconds."""

    async def main(clock: Clock) -> dict[str, float]:
        made = build(profile, policy, clock, seed)
        sweeping = asyncio.create_task(made.sweep())
        breaking = asyncio.create_task(_break(made, faults))
        seen = await drive(made, load, seconds, seed, WARM_UP_SECONDS)
        sweeping.cancel()
        breaking.cancel()
        return service_measures(made, seen, seconds - WARM_UP_SECONDS)

    return run_virtual(main)


async def _break(made: Deployment, faults: Faults | None) -> None:
    while faults is not None:
        faults(made, made.clock())
        await asyncio.sleep(0.1)


async def drive(
    made: Deployment,
    load: float,
    seconds: float,
    seed: int,
    warm_up: float,
    services: int = 1,
) -> Seen:
    """Send the arrivals to the entries, and return what was seen after `warm_up`."""
    seen = Seen(made.profile.deadline)
    rng = random.Random(f"{seed}/entries")
    running: set[asyncio.Task[None]] = set()
    for arrival in arrivals(made.profile, load, seconds, seed):
        await asyncio.sleep(arrival.at - made.clock())
        entry = rng.choice(made.entries)
        service = service_name(made.profile, arrival.number % services)
        noted = seen if arrival.at >= warm_up else None
        work = _request(made, entry, arrival, service, noted)
        task = asyncio.create_task(work)
        running.add(task)
        task.add_done_callback(running.discard)
    while running:
        await asyncio.wait(running)
    return seen


async def _request(
    made: Deployment,
    entry: EntryModel,
    arrival: Arrival,
    service: ServiceName,
    seen: Seen | None,
) -> None:
    profile = made.profile
    await asyncio.sleep(profile.client_delay)
    reached = made.clock()
    request = CallerRequest(
        service=service,
        method="POST",
        path=f"/{arrival.number}?work={arrival.work:.6f}",
        headers=[],
        body=b"",
        deadline=reached + profile.deadline,
        idempotent=arrival.idempotent,
    )
    outcome = await entry.relay.send(request)
    at_entry = made.clock() - reached
    await asyncio.sleep(profile.client_delay)
    if seen is not None:
        seen.note(outcome, made.clock() - arrival.at, at_entry)


def service_measures(made: Deployment, seen: Seen, measured: float) -> dict[str, float]:
    """Return the measures of `measured` seconds; times in milliseconds."""
    retries = sum(entry.relay.retries for entry in made.entries)
    requests = sum(entry.relay.requests for entry in made.entries)
    return {
        "requests": seen.total,
        "p50_ms": seen.answered.get_value_at_percentile(50) / 1000,
        "p99_ms": seen.answered.get_value_at_percentile(99) / 1000,
        "p999_ms": seen.answered.get_value_at_percentile(99.9) / 1000,
        "goodput_of_capacity": seen.in_time / measured / made.profile.capacity,
        "in_time_share": seen.in_time / max(1, seen.total),
        "late_share": seen.late / max(1, seen.total),
        "error_share": seen.errors / max(1, seen.total),
        "refused_share": seen.not_run / max(1, seen.total),
        "unknown_share": seen.unknown / max(1, seen.total),
        "refusal_p50_ms": seen.refused.get_value_at_percentile(50) / 1000,
        "retries_share": retries / max(1, requests),
    }
