"""All scenarios of `bench.run` by name: each is a load and the faults during it."""

from collections.abc import Callable

from bench import faults
from bench.batch_scenarios import BATCH_SCENARIOS
from bench.errors import BadValueError
from bench.scenario import Measures, RunParameters, Scenario
from bench.services import InjectFaults, run_services

ROUTING = ("product", "two_choices", "random", "round_robin")
OVERLOAD = ("product", "no_limits", "retry_always", "no_limits_retry_always")


def _services(  # type: ignore[no-untyped-def]
    load: float,
    create_faults: Callable[[], InjectFaults] | None = None,
    stretch: float = 1.0,
):
    def run(parameters: RunParameters) -> Measures:
        return run_services(
            parameters.profile,
            parameters.policy,
            load=load,
            seconds=parameters.seconds * stretch,
            seed=parameters.seed,
            faults=create_faults() if create_faults else None,
        )

    return run


def _kill() -> InjectFaults:
    return faults.killed_agent(faults.FAULTS_FROM_SECONDS + 1)


def _slow_and_silent() -> InjectFaults:
    return faults.combined(faults.slow_endpoint, faults.silent_connections())


def _failing_and_overload() -> InjectFaults:
    return faults.failing_endpoint


SCENARIOS = (
    Scenario(
        "unloaded",
        "0.05 of capacity, for 14 times as long",
        _services(0.05, stretch=14.0),
        ("product",),
    ),
    Scenario("steady", "0.7 of capacity", _services(0.7), ROUTING),
    Scenario("load-1.0", "all of capacity", _services(1.0), ROUTING),
    Scenario("load-1.3", "1.3 times capacity", _services(1.3), OVERLOAD),
    Scenario("load-2.0", "twice the capacity", _services(2.0), OVERLOAD),
    Scenario(
        "slow-endpoint",
        "0.7 load; one endpoint ten times slower",
        _services(0.7, lambda: faults.slow_endpoint),
        ROUTING,
    ),
    Scenario(
        "failing-endpoint",
        "0.7 load; one endpoint fails at once",
        _services(0.7, lambda: faults.failing_endpoint),
        ROUTING,
    ),
    Scenario(
        "silent-connections",
        "0.7 load; a stream of each entry goes silent every 2 s",
        _services(0.7, faults.silent_connections),
        ROUTING,
    ),
    Scenario("killed-vm", "0.7 load; one VM is killed", _services(0.7, _kill), ROUTING),
    Scenario(
        "slow-and-silent",
        "0.7 load; one endpoint slow, and streams going silent",
        _services(0.7, _slow_and_silent),
        ROUTING,
    ),
    Scenario(
        "failing-at-1.3",
        "1.3 load; one endpoint fails at once",
        _services(1.3, _failing_and_overload),
        OVERLOAD,
    ),
)
SCENARIO_BY_NAME = {s.name: s for s in (*SCENARIOS, *BATCH_SCENARIOS)}


def scenario_named(name: str) -> Scenario:
    """Return the scenario called `name`.

    Raises:
        BadValueError: there is no such scenario.

    """
    if name not in SCENARIO_BY_NAME:
        raise BadValueError("--scenario", name, SCENARIO_BY_NAME)
    return SCENARIO_BY_NAME[name]
