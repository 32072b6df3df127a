"""Open-loop load on simulated services, with faults, and counts of the outcomes."""

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

InjectFaults = Callable[[Deployment, float], None]
"""Injects or clears faults, given the virtual time; called every 0.1 s."""


@dataclass(frozen=True)
class Arrival:
    """One request, with its intended send time and its service time in seconds."""

    number: int
    at: float
    work: float
    idempotent: bool


def arrivals(
    profile: Profile, load: float, seconds: float, seed: int
) -> Iterator[Arrival]:
    """Yield the arrivals of a Poisson process with the rate `load` times the capacity.

    They depend on the seed, profile and load alone, so they are the same for every
    policy.
    """
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


class OutcomeCounts:
    """Counts and latencies of the outcomes that callers got after the warm-up."""

    def __init__(self, deadline: float) -> None:
        """Create empty counts; answers within `deadline` seconds count as in time."""
        self.answered = histogram()
        self.refused = histogram()
        self.in_time = 0
        self.late = 0
        self.errors = 0
        self.not_run = 0
        self.unknown = 0
        self._deadline = deadline

    def add(self, outcome: object, latency: float, at_entry: float) -> None:
        """Count one outcome.

        Parameters: `latency` is the seconds from the intended send time; `at_entry`
        the seconds that the request spent at and behind the entry.
        """
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
        """The number of counted requests."""
        return self.in_time + self.late + self.errors + self.not_run + self.unknown


def run_services(
    profile: Profile,
    policy: Policy,
    *,
    load: float,
    seconds: float,
    seed: int,
    faults: InjectFaults | None = None,
) -> dict[str, float]:
    """Run one load on virtual time and return its measures; times in milliseconds."""

    async def main(clock: Clock) -> dict[str, float]:
        deployment = build(profile, policy, clock, seed)
        expiring = asyncio.create_task(deployment.expire_ledgers())
        injecting = asyncio.create_task(_inject_faults(deployment, faults))
        outcomes = await drive(deployment, load, seconds, seed, WARM_UP_SECONDS)
        expiring.cancel()
        injecting.cancel()
        return service_measures(deployment, outcomes, seconds - WARM_UP_SECONDS)

    return run_virtual(main)


async def _inject_faults(deployment: Deployment, faults: InjectFaults | None) -> None:
    while faults is not None:
        faults(deployment, deployment.clock())
        await asyncio.sleep(0.1)


async def drive(
    deployment: Deployment,
    load: float,
    seconds: float,
    seed: int,
    warm_up: float,
    services: int = 1,
) -> OutcomeCounts:
    """Send the arrivals to the entries; return the outcomes after `warm_up` seconds."""
    outcomes = OutcomeCounts(deployment.profile.deadline)
    rng = random.Random(f"{seed}/entries")
    running: set[asyncio.Task[None]] = set()
    for arrival in arrivals(deployment.profile, load, seconds, seed):
        await asyncio.sleep(arrival.at - deployment.clock())
        entry = rng.choice(deployment.entries)
        service = service_name(deployment.profile, arrival.number % services)
        counted = outcomes if arrival.at >= warm_up else None
        work = _request(deployment, entry, arrival, service, counted)
        task = asyncio.create_task(work)
        running.add(task)
        task.add_done_callback(running.discard)
    while running:
        await asyncio.wait(running)
    return outcomes


async def _request(
    deployment: Deployment,
    entry: EntryModel,
    arrival: Arrival,
    service: ServiceName,
    outcomes: OutcomeCounts | None,
) -> None:
    profile = deployment.profile
    await asyncio.sleep(profile.client_delay)
    arrived_at = deployment.clock()
    request = CallerRequest(
        service=service,
        method="POST",
        path=f"/{arrival.number}?work={arrival.work:.6f}",
        headers=[],
        body=b"",
        deadline=arrived_at + profile.deadline,
        idempotent=arrival.idempotent,
    )
    outcome = await entry.relay.send(request)
    at_entry = deployment.clock() - arrived_at
    await asyncio.sleep(profile.client_delay)
    if outcomes is not None:
        outcomes.add(outcome, deployment.clock() - arrival.at, at_entry)


def service_measures(
    deployment: Deployment, outcomes: OutcomeCounts, measured: float
) -> dict[str, float]:
    """Return the measures over `measured` seconds; times in milliseconds."""
    retries = sum(entry.relay.retries for entry in deployment.entries)
    requests = sum(entry.relay.requests for entry in deployment.entries)
    return {
        "requests": outcomes.total,
        "p50_ms": outcomes.answered.get_value_at_percentile(50) / 1000,
        "p99_ms": outcomes.answered.get_value_at_percentile(99) / 1000,
        "p999_ms": outcomes.answered.get_value_at_percentile(99.9) / 1000,
        "goodput_of_capacity": outcomes.in_time
        / measured
        / deployment.profile.capacity,
        "in_time_share": outcomes.in_time / max(1, outcomes.total),
        "late_share": outcomes.late / max(1, outcomes.total),
        "error_share": outcomes.errors / max(1, outcomes.total),
        "refused_share": outcomes.not_run / max(1, outcomes.total),
        "unknown_share": outcomes.unknown / max(1, outcomes.total),
        "refusal_p50_ms": outcomes.refused.get_value_at_percentile(50) / 1000,
        "retries_share": retries / max(1, requests),
    }
