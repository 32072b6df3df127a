"""Real processes: a daemon at rest, a task start, a running task, a takeover."""

import json
import time
import uuid
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from statistics import fmean
from typing import Any

from standins.cluster import Cluster, VmOptions
from standins.processes import Process, http, wait_for

TEAM = "ledger"
TASK_CORES = 0.01
LANES = 16
SETTLE_SECONDS = 10.0
REST_SECONDS = 15.0
RUN_SECONDS = 30.0
PATIENCE_SECONDS = 120.0
TAKEOVER_SECONDS = 90.0
HOLD = "hold"
ECHO = "echo:done"


class SharedWorkerCluster(Cluster):
    """A cluster whose agents share one worker: half the processes and memory."""

    def _start_standins(self, vm: VmOptions) -> None:
        first = next(iter(self.vm_by_name))
        if vm.name == first:
            super()._start_standins(vm)
            return
        worker = wait_for(
            lambda: self.worker_by_vm.get(first), PATIENCE_SECONDS, "a worker"
        )
        self.worker_by_vm[vm.name] = worker


def vms(count: int) -> list[VmOptions]:
    """Return VMs without services, over three zones."""
    zones = ("zilina-a", "zilina-b", "zilina-c")
    return [
        VmOptions(f"vm-{n}", zones[n % len(zones)], f"rack-{n}", services=())
        for n in range(count)
    ]


@contextmanager
def deployed(
    agents: int, *, shards: int, share_worker: bool, grant: float = 30.0
) -> Iterator[Cluster]:
    """Start a deployment whose shards all have owners."""
    kind = SharedWorkerCluster if share_worker else Cluster
    shared = {"shards": shards}
    cluster = kind(
        vms(agents),
        services=(),
        timing={"grant": grant},
        agent_settings=shared,
        entry_settings=shared,
    )
    with cluster:
        team = {
            "name": TEAM,
            "cores": 30 * agents,
            "memory_mb": 125_000 * agents,
            "shards": LANES,
        }
        answer = cluster.apply(rules={"teams": [team]})
        assert answer.status == 200, answer
        wait_for(
            lambda: len(owned(cluster)) == shards, PATIENCE_SECONDS, "shards owned"
        )
        wait_for(lambda: _all_met(cluster), PATIENCE_SECONDS, "all met")
        yield cluster


def state(agent: Process) -> dict[str, Any]:
    """Return the state dump of an agent."""
    shown: dict[str, Any] = http("GET", f"{agent.url}/state").json()
    return shown


def owned(cluster: Cluster) -> dict[str, str]:
    """Return the agent's VM of each shard that has an owner."""
    vm_by_shard = {}
    for vm, agent in cluster.agent_by_vm.items():
        if agent.alive:
            vm_by_shard.update(dict.fromkeys(state(agent)["shards"], vm))
    return vm_by_shard


@dataclass(frozen=True)
class Used:
    """What one process used: processor seconds and bytes on streams; MB held."""

    cpu: float
    bytes: float
    rss_mb: float


class Meter:
    """Measures every agent and the store's calls from its making on."""

    def __init__(self, cluster: Cluster) -> None:
        """Begin to measure."""
        self._cluster = cluster
        self._began = time.monotonic()
        self._calls = _store_calls(cluster)
        self._before = {vm: _usage(a) for vm, a in cluster.agent_by_vm.items()}

    def seconds(self) -> float:
        """Return for how long it has measured."""
        return time.monotonic() - self._began

    def store_calls(self) -> Counter[str]:
        """Return the store's calls by path, since the beginning."""
        return _store_calls(self._cluster) - self._calls

    def used(self) -> dict[str, Used]:
        """Return what each agent used, by its VM."""
        return {
            vm: _difference(_usage(agent), self._before[vm])
            for vm, agent in self._cluster.agent_by_vm.items()
        }


def rest(agents: int, shards: int) -> dict[str, Any]:
    """Return what an agent uses at rest, by how many shards it owns."""
    with deployed(agents, shards=shards, share_worker=True) as cluster:
        time.sleep(SETTLE_SECONDS)
        count_by_vm = Counter(owned(cluster).values())
        meter = Meter(cluster)
        entry_cpu = cluster.entry.cpu_seconds()
        time.sleep(REST_SECONDS)
        seconds = meter.seconds()
        entry_core = (cluster.entry.cpu_seconds() - entry_cpu) / seconds
        calls = meter.store_calls()
        used = meter.used()
        return {
            "agents": agents,
            "shards": shards,
            "entry_core": entry_core,
            "entry_rss_mb": cluster.entry.rss_mb(),
            "owners": len(count_by_vm),
            "store_calls_s": {p: n / seconds for p, n in sorted(calls.items())},
            "by_agent": [
                {
                    "shards": count_by_vm.get(vm, 0),
                    "core": u.cpu / seconds,
                    "bytes_s": u.bytes / seconds,
                    "rss_mb": u.rss_mb,
                }
                for vm, u in used.items()
            ],
        }


def starts(agents: int, tasks: int) -> dict[str, Any]:
    """Return what `tasks` task starts and ends cost the one owner, and an agent."""
    with deployed(agents, shards=1, share_worker=False) as cluster:
        owner_vm = _empty_owner(cluster)
        time.sleep(SETTLE_SECONDS)
        resting = Meter(cluster)
        time.sleep(REST_SECONDS)
        base = {vm: u.cpu / resting.seconds() for vm, u in resting.used().items()}
        meter = Meter(cluster)
        _submit(cluster, tasks, ECHO)
        wait_for(
            lambda: _ended(cluster, owner_vm), PATIENCE_SECONDS, "every task ended"
        )
        return _a_start(meter, base, owner_vm, tasks)


def running(agents: int, tasks: int) -> dict[str, Any]:
    """Return what `tasks` running tasks cost the one owner, and an agent."""
    with deployed(agents, shards=1, share_worker=False) as cluster:
        owner_vm = _empty_owner(cluster)
        _submit(cluster, tasks, HOLD)
        agent = cluster.agent_by_vm[owner_vm]
        wait_for(
            lambda: state(agent)["shards"]["0"]["starts"] >= tasks,
            PATIENCE_SECONDS,
            "every task runs",
        )
        time.sleep(SETTLE_SECONDS)
        meter = Meter(cluster)
        time.sleep(RUN_SECONDS)
        seconds = meter.seconds()
        used = meter.used()
        others = [u for vm, u in used.items() if vm != owner_vm]
        owner = used[owner_vm]
        return {
            "agents": agents,
            "tasks": tasks,
            "owner_core": owner.cpu / seconds,
            "owner_bytes_s": owner.bytes / seconds,
            "owner_rss_mb": owner.rss_mb,
            "agent_core": fmean(u.cpu for u in others) / seconds,
            "agent_bytes_s": fmean(u.bytes for u in others) / seconds,
            "agent_rss_mb": fmean(u.rss_mb for u in others),
            "store_calls_s": sum(meter.store_calls().values()) / seconds,
        }


def takeover(agents: int, tasks: int) -> dict[str, Any]:
    """Kill the owner of a shard of `tasks` running tasks; return who took it when."""
    with deployed(agents, shards=1, share_worker=False) as cluster:
        vm = owned(cluster)["0"]
        _submit(cluster, tasks, HOLD)
        agent = cluster.agent_by_vm[vm]
        wait_for(
            lambda: state(agent)["shards"]["0"]["starts"] >= tasks,
            PATIENCE_SECONDS,
            "every task runs",
        )
        before = _store_calls(cluster)
        began = time.monotonic()
        agent.kill()
        wait_for(lambda: owned(cluster), TAKEOVER_SECONDS, "a new owner")
        seconds = time.monotonic() - began
        calls = _store_calls(cluster) - before
        return {
            "agents": agents,
            "tasks": tasks,
            "seconds": seconds,
            "store_calls": dict(calls),
        }


def _a_start(
    meter: Meter, base: dict[str, float], owner_vm: str, tasks: int
) -> dict[str, Any]:
    seconds = meter.seconds()
    used = meter.used()
    cpu = {vm: u.cpu - base[vm] * seconds for vm, u in used.items()}
    others = [vm for vm in used if vm != owner_vm]
    agent_cpu = fmean(cpu[vm] for vm in others)
    agent_bytes = fmean(used[vm].bytes for vm in others)
    tasks_an_agent = tasks / len(others)
    return {
        "agents": len(used),
        "tasks": tasks,
        "seconds": seconds,
        "starts_s": tasks / seconds,
        "owner_cpu": cpu[owner_vm],
        "owner_bytes": used[owner_vm].bytes,
        "agent_cpu_a_task": agent_cpu / tasks_an_agent,
        "agent_bytes_a_task": agent_bytes / tasks_an_agent,
        "owner_rss_mb": used[owner_vm].rss_mb,
        "store_calls": sum(meter.store_calls().values()),
        "store_calls_by_path": dict(meter.store_calls()),
    }


def _empty_owner(cluster: Cluster) -> str:
    # The owner's own VM takes no task, so that what it uses is the owner's work.
    owner_vm = owned(cluster)["0"]
    inventory = cluster.inventory()
    for vm in inventory["vms"]:
        if vm["name"] == owner_vm:
            vm["cores"] = TASK_CORES / 2
    answer = cluster.admin("GET", "/admin/configuration").json()
    applied = cluster.apply(
        inventory, answer["rules"], base_revision=answer["revision"]
    )
    assert applied.status == 200, applied
    return owner_vm


def _submit(cluster: Cluster, tasks: int, command: str) -> None:
    job = {
        "id": f"job-{uuid.uuid4().hex[:8]}",
        "command": command,
        "cores": TASK_CORES,
        "memory_mb": 1,
        "tasks": tasks,
    }
    url = f"{cluster.entry.url}/teams/{TEAM}/jobs"

    def accepted() -> bool:
        return http("POST", url, json.dumps(job).encode()).status == 201

    wait_for(accepted, PATIENCE_SECONDS, "the job is accepted")


def _ended(cluster: Cluster, owner_vm: str) -> bool:
    shard = state(cluster.agent_by_vm[owner_vm])["shards"]["0"]
    time.sleep(0.2)
    return bool(shard["pending"] == 0 and shard["assigned"] == 0)


def _all_met(cluster: Cluster) -> bool:
    wanted = len(cluster.agent_by_vm) + len(cluster.entry_by_node)
    dumps = [state(agent)["members"]["alive"] for agent in cluster.agent_by_vm.values()]
    return min(dumps) >= wanted


def _store_calls(cluster: Cluster) -> Counter[str]:
    return Counter(cluster.store.record()["calls_by_path"])


def _usage(agent: Process) -> Used:
    streams = state(agent)["streams"]
    size = streams["bytes_in"] + streams["bytes_out"] + streams["bytes_of_closed"]
    return Used(agent.cpu_seconds(), size, agent.rss_mb())


def _difference(after: Used, before: Used) -> Used:
    return Used(after.cpu - before.cpu, after.bytes - before.bytes, after.rss_mb)
