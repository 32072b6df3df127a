"""Scenarios of batch beside services, and what happens in them."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from bench.batch import Batch, Events, World, run_batch
from bench.profiles import Profile
from bench.scenario import Measures, Run, Scenario
from wagtailcleat.ids import VmName

SERVICES = 2
LOAD = 0.6
WARM_UP_SHARE = 0.4
FIRST_VM = VmName("vm-0")
CONTROLS = ("product", "no_control", "evict_first")
SIZES = ("product", "first_fit_declared")


def smaller(profile: Profile) -> Profile:
    """Return the profile with one VM a zone for each service."""
    return replace(profile, workers=SERVICES * len(profile.zones))


def beside(
    batch: Batch, events: Callable[[Run], Events] | None = None
) -> Callable[[Run], Measures]:
    """Return what runs a batch load beside services."""

    def run(wanted: Run) -> Measures:
        return run_batch(
            smaller(wanted.profile),
            wanted.policy,
            batch,
            load=LOAD,
            seconds=wanted.seconds,
            seed=wanted.seed,
            warm_up=wanted.seconds * WARM_UP_SHARE,
            events=events(wanted) if events else None,
        )

    return run


def zone_out_and_back(wanted: Run) -> Events:
    """Take the first zone out at half the time, and bring it back at three quarters."""
    out_at, back_at = wanted.seconds * 0.5, wanted.seconds * 0.75
    state = {"out": False}

    def happen(world: World, now: float) -> None:
        out = out_at <= now < back_at
        if out != state["out"]:
            state["out"] = out
            zones = world.made.profile.zones[:1] if out else ()
            world.zones_out(*zones)

    return happen


def bad_worker(wanted: Run) -> Events:
    """Let one worker fail everything it starts."""

    def happen(world: World, now: float) -> None:
        faults = world.agent_by_vm[FIRST_VM].worker.standin.switches
        if not faults.now.fail_everything:
            faults.update({"fail_everything": True})

    return happen


def cancel_half(wanted: Run) -> Events:
    """Cancel every second open job at half the time."""
    state = {"done": False}
    running: set[asyncio.Task[None]] = set()

    def happen(world: World, now: float) -> None:
        if now >= wanted.seconds * 0.5 and not state["done"]:
            state["done"] = True
            running.add(asyncio.create_task(world.cancel_half()))

    return happen


def store_down(wanted: Run) -> Events:
    """Let the store be down from half the time to three quarters."""

    def happen(world: World, now: float) -> None:
        world.store.up = not wanted.seconds * 0.5 <= now < wanted.seconds * 0.75

    return happen


def killed_vm(wanted: Run) -> Events:
    """Kill one VM at half the time; it stays away."""
    suspected_after = 1.5
    at = wanted.seconds * 0.5

    def happen(world: World, now: float) -> None:
        vm = VmName("vm-1")
        if now >= at and world.agent_by_vm[vm].worker.up:
            world.kill(vm)
        if now >= at + suspected_after:
            node = world.made.agent_by_vm[vm].member.node
            for entry in world.made.entries:
                entry.view.suspect(node, now)

    return happen


BATCH_SCENARIOS = (
    Scenario("alone", "services at 0.6, no batch", beside(Batch(0.0)), ("product",)),
    Scenario("beside", "more batch than fits, no event", beside(Batch()), CONTROLS),
    Scenario(
        "waves",
        "batch comes in waves of 20 s",
        beside(Batch(waves=20.0)),
        CONTROLS,
    ),
    Scenario(
        "sizes-off",
        "real sizes 0.2 to 5 times the declared ones",
        beside(Batch(off=(0.2, 5.0), off_by_class=True)),
        SIZES,
    ),
    Scenario(
        "zone-out",
        "a zone goes at half the time and is back at three quarters",
        beside(Batch(), zone_out_and_back),
        ("product",),
    ),
    Scenario(
        "bad-worker",
        "one worker fails everything it starts",
        beside(Batch(), bad_worker),
        ("product",),
    ),
    Scenario(
        "bad-jobs",
        "one job in ten fails wherever it runs",
        beside(Batch(failing_tasks="fail")),
        ("product",),
    ),
    Scenario(
        "cancel-half",
        "every second open job is cancelled at half the time",
        beside(Batch(), cancel_half),
        ("product",),
    ),
    Scenario(
        "store-down",
        "the store is down from half to three quarters of the time",
        beside(Batch(), store_down),
        ("product",),
    ),
    Scenario(
        "killed-vm-batch",
        "one VM dies at half the time",
        beside(Batch(), killed_vm),
        ("product",),
    ),
)
