"""Scenarios of batch tasks beside services, with their events; see `bench.run`."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from bench.batch import ApplyEvents, BatchLoad, BatchSimulation, run_batch
from bench.profiles import Profile
from bench.scenario import Measures, RunParameters, Scenario
from wagtailcleat.ids import VmName

SERVICES = 2
LOAD = 0.6
WARM_UP_SHARE = 0.4
FIRST_VM = VmName("vm-0")
CONTROLS = ("product", "no_control", "evict_first")
SIZES = ("product", "first_fit_declared")


def with_one_vm_per_service(profile: Profile) -> Profile:
    """Return the profile with one VM in each zone for each service."""
    return replace(profile, workers=SERVICES * len(profile.zones))


def services_with_batch(
    batch: BatchLoad, events: Callable[[RunParameters], ApplyEvents] | None = None
) -> Callable[[RunParameters], Measures]:
    """Return the function that runs a batch load beside services.

    Parameters: `events` makes the events of one run from its parameters.
    """

    def run(parameters: RunParameters) -> Measures:
        return run_batch(
            with_one_vm_per_service(parameters.profile),
            parameters.policy,
            batch,
            load=LOAD,
            seconds=parameters.seconds,
            seed=parameters.seed,
            warm_up=parameters.seconds * WARM_UP_SHARE,
            events=events(parameters) if events else None,
        )

    return run


def zone_out_and_back(parameters: RunParameters) -> ApplyEvents:
    """Take the first zone out at half the time and bring it back at three quarters."""
    out_at, back_at = parameters.seconds * 0.5, parameters.seconds * 0.75
    state = {"out": False}

    def apply(simulation: BatchSimulation, now: float) -> None:
        out = out_at <= now < back_at
        if out != state["out"]:
            state["out"] = out
            zones = simulation.deployment.profile.zones[:1] if out else ()
            simulation.set_zones_out(*zones)

    return apply


def bad_worker(parameters: RunParameters) -> ApplyEvents:
    """Make one worker fail every task that it starts."""

    def apply(simulation: BatchSimulation, now: float) -> None:
        faults = simulation.agent_by_vm[FIRST_VM].worker.standin.switches
        if not faults.current.fail_everything:
            faults.update({"fail_everything": True})

    return apply


def cancel_half(parameters: RunParameters) -> ApplyEvents:
    """Cancel every second open job at half the time."""
    state = {"done": False}
    running: set[asyncio.Task[None]] = set()

    def apply(simulation: BatchSimulation, now: float) -> None:
        if now >= parameters.seconds * 0.5 and not state["done"]:
            state["done"] = True
            running.add(asyncio.create_task(simulation.cancel_half()))

    return apply


def store_down(parameters: RunParameters) -> ApplyEvents:
    """Take the store down from half the time to three quarters."""

    def apply(simulation: BatchSimulation, now: float) -> None:
        simulation.store.up = (
            not parameters.seconds * 0.5 <= now < parameters.seconds * 0.75
        )

    return apply


def killed_vm(parameters: RunParameters) -> ApplyEvents:
    """Kill one VM for good at half the time; the entries suspect it 1.5 s later."""
    suspected_after = 1.5
    at = parameters.seconds * 0.5

    def apply(simulation: BatchSimulation, now: float) -> None:
        vm = VmName("vm-1")
        if now >= at and simulation.agent_by_vm[vm].worker.up:
            simulation.kill(vm)
        if now >= at + suspected_after:
            node = simulation.deployment.agent_by_vm[vm].member.node
            for entry in simulation.deployment.entries:
                entry.view.suspect(node, now)

    return apply


BATCH_SCENARIOS = (
    Scenario(
        "alone",
        "services at 0.6, no batch",
        services_with_batch(BatchLoad(0.0)),
        ("product",),
    ),
    Scenario(
        "beside",
        "more batch than fits, no event",
        services_with_batch(BatchLoad()),
        CONTROLS,
    ),
    Scenario(
        "waves",
        "batch comes in waves of 20 s",
        services_with_batch(BatchLoad(wave_period_seconds=20.0)),
        CONTROLS,
    ),
    Scenario(
        "sizes-off",
        "real sizes 0.2 to 5 times the declared ones",
        services_with_batch(
            BatchLoad(usage_factor_range=(0.2, 5.0), usage_factor_per_class=True)
        ),
        SIZES,
    ),
    Scenario(
        "zone-out",
        "a zone goes at half the time and is back at three quarters",
        services_with_batch(BatchLoad(), zone_out_and_back),
        ("product",),
    ),
    Scenario(
        "bad-worker",
        "one worker fails everything it starts",
        services_with_batch(BatchLoad(), bad_worker),
        ("product",),
    ),
    Scenario(
        "bad-jobs",
        "one job in ten fails wherever it runs",
        services_with_batch(BatchLoad(failing_command="fail")),
        ("product",),
    ),
    Scenario(
        "cancel-half",
        "every second open job is cancelled at half the time",
        services_with_batch(BatchLoad(), cancel_half),
        ("product",),
    ),
    Scenario(
        "store-down",
        "the store is down from half to three quarters of the time",
        services_with_batch(BatchLoad(), store_down),
        ("product",),
    ),
    Scenario(
        "killed-vm-batch",
        "one VM dies at half the time",
        services_with_batch(BatchLoad(), killed_vm),
        ("product",),
    ),
)
