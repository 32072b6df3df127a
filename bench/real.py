"""Measures service requests end to end on real processes, scaled to one machine.

python -m bench.real --profile tatrastart --scenario overload
"""

import asyncio
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Annotated, Any

import cyclopts

from bench.errors import BadValueError, check_range
from bench.load import drive
from bench.profiles import Profile, profile_named
from bench.report import commit, spread, text_table, write_json
from bench.services import arrivals
from standins.cluster import Cluster, ServiceOptions, VmOptions
from standins.processes import http, wait_for

VMS = 4
SLOTS = 4
WORK_SECONDS = 0.1
DEADLINE_SECONDS = 0.8
WARM_UP_SECONDS = 2.0
READY_SECONDS = 30.0
EXIT_BAD_VALUE = 2
SECONDS_RANGE = (6.0, 600.0)
TEAM = "travel-desk"

ApplyEvents = Callable[[Cluster, Profile, float], None]
"""Applies the events of a scenario to the cluster, in a thread of its own.

The last argument is the length of the run in seconds.
"""


def scaled(profile: Profile) -> Profile:
    """Return the profile scaled down: fewer workers and slots, longer work."""
    return replace(
        profile,
        workers=VMS,
        slots=SLOTS,
        queue=2 * SLOTS,
        work_mean=WORK_SECONDS,
        deadline=DEADLINE_SECONDS,
    )


def cluster_of(profile: Profile) -> Cluster:
    """Return a cluster of stand-ins, an agent on each VM, and two entries."""
    vms = [
        VmOptions(
            f"vm-{number}",
            profile.zones[number % len(profile.zones)],
            f"rack-{number}",
            profile.cores,
            profile.memory_mb,
            services=(profile.service,),
        )
        for number in range(profile.workers)
    ]
    service = ServiceOptions(
        profile.service,
        slots=profile.slots,
        queue=profile.queue,
        deadline_seconds=profile.deadline,
        latency_target_seconds=profile.work_mean * 4,
    )
    return Cluster(vms, [service])


def wait_until_ready(cluster: Cluster, profile: Profile) -> list[str]:
    """Apply the inventory; return the service's URL at each entry once it answers."""
    rules = {"teams": [{"name": TEAM, "cores": 1000, "memory_mb": 10_000_000}]}
    answer = cluster.apply(rules=rules)
    assert answer.status == 200, answer
    urls = [
        f"http://127.0.0.1:{entry.ready['http_port']}/services/{profile.service}"
        for entry in cluster.entry_by_node.values()
    ]
    for url in urls:
        wait_for(lambda u=url: http("GET", u + "/x").status == 200, READY_SECONDS, url)
    _wait_for_members(cluster)
    return urls


def _wait_for_members(cluster: Cluster) -> None:
    def all_alive() -> bool:
        nodes = cluster.admin("GET", "/admin/nodes").json()["nodes"]
        return len(nodes) == len(cluster.agent_by_vm) + len(cluster.entry_by_node)

    wait_for(all_alive, READY_SECONDS, "every node is known")


def no_events(cluster: Cluster, profile: Profile, seconds: float) -> None:
    """Apply no event."""


def zone_out_and_back(cluster: Cluster, profile: Profile, seconds: float) -> None:
    """Take the first zone out for the middle third of the time."""
    zone = profile.zones[0]
    time.sleep(seconds / 3)
    cluster.admin("POST", f"/admin/zones/{zone}/out")
    time.sleep(seconds / 3)
    cluster.admin("POST", f"/admin/zones/{zone}/in")


def kill_vm(cluster: Cluster, profile: Profile, seconds: float) -> None:
    """Kill one VM with its agent at half the time."""
    time.sleep(seconds / 2)
    cluster.kill_vm("vm-0")


def kill_entry(cluster: Cluster, profile: Profile, seconds: float) -> None:
    """Kill the second entry at half the time, and restart it a second later."""
    time.sleep(seconds / 2)
    entry = list(cluster.entry_by_node.values())[1]
    entry.kill()
    time.sleep(1.0)
    entry.start()


def store_down(cluster: Cluster, profile: Profile, seconds: float) -> None:
    """Take the store down for the middle third of the time."""
    time.sleep(seconds / 3)
    cluster.store.faults(down=True)
    time.sleep(seconds / 3)
    cluster.store.faults()


def slow_endpoint(cluster: Cluster, profile: Profile, seconds: float) -> None:
    """Delay one endpoint's answers by nine times the mean work for the whole run."""
    endpoint = cluster.endpoint_by_vm_and_service["vm-0", profile.service]
    endpoint.faults(delay_seconds=9 * profile.work_mean)


LOAD_AND_EVENTS_BY_SCENARIO: dict[str, tuple[float, ApplyEvents]] = {
    "unloaded": (0.05, no_events),
    "steady": (0.7, no_events),
    "overload": (2.0, no_events),
    "slow-endpoint": (0.7, slow_endpoint),
    "zone-out": (0.6, zone_out_and_back),
    "killed-vm": (0.6, kill_vm),
    "killed-entry": (0.6, kill_entry),
    "store-down": (0.6, store_down),
}


def run(profile: Profile, scenario: str, seconds: float, seed: int) -> dict[str, float]:
    """Run a scenario once on a new deployment, and return its measures."""
    load, apply_events = LOAD_AND_EVENTS_BY_SCENARIO[scenario]
    with cluster_of(profile) as cluster:
        urls = wait_until_ready(cluster, profile)
        thread = threading.Thread(target=apply_events, args=(cluster, profile, seconds))
        thread.start()
        load_arrivals = arrivals(profile, load, seconds, seed)
        answers = asyncio.run(
            drive(
                urls,
                load_arrivals,
                profile.deadline,
                seed=seed,
                warm_up=WARM_UP_SECONDS,
            )
        )
        thread.join()
    measures = answers.measures()
    rate = answers.in_time / (seconds - WARM_UP_SECONDS)
    return measures | {"goodput_of_capacity": rate / profile.capacity}


def main(
    *,
    profile: Annotated[str, cyclopts.Parameter(help="Deployment to run.")] = (
        "tatrastart"
    ),
    scenario: Annotated[str, cyclopts.Parameter(help="Scenario to run.")] = "steady",
    seed: Annotated[int, cyclopts.Parameter(help="First seed.")] = 1,
    seeds: Annotated[int, cyclopts.Parameter(help="Number of seeds.")] = 3,
    seconds: Annotated[
        float, cyclopts.Parameter(help="Length of each run in seconds.")
    ] = 12.0,
    json: Annotated[
        Path | None, cyclopts.Parameter(help="File for the report as JSON.")
    ] = None,
) -> int:
    """Run a scenario on real processes; print the median and range over the seeds."""
    try:
        check_range("--seeds", seeds, 1, 100)
        check_range("--seconds", seconds, *SECONDS_RANGE)
        chosen = scaled(profile_named(profile))
        if scenario not in LOAD_AND_EVENTS_BY_SCENARIO:
            raise BadValueError("--scenario", scenario, LOAD_AND_EVENTS_BY_SCENARIO)
    except BadValueError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_VALUE
    runs = []
    for number in range(seed, seed + seeds):
        runs.append(run(chosen, scenario, seconds, number))
        print(f"seed {number} done", file=sys.stderr, flush=True)
    rows: dict[str, Any] = {"product": spread(runs)}
    print(f"{scenario}, {profile}, real processes, at {commit()}")
    print(text_table(rows))
    if json is not None:
        write_json(json, {"scenario": scenario, "commit": commit(), "policies": rows})
    return 0


if __name__ == "__main__":
    app = cyclopts.App(help=__doc__)
    app.default(main)
    sys.exit(app())
