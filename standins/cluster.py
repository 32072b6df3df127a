"""A small deployment as local processes: stand-ins, agents and entries.

with Cluster() as cluster:
    cluster.apply()
    cluster.kill_vm("vm-1")
"""

import json
import tempfile
import uuid
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from functools import partial
from pathlib import Path
from types import TracebackType
from typing import Any

from standins.processes import Process, Response, http
from wagtailcleat.clock import boot_time

MAX_PARALLEL_STARTS = 4
SECRET = "a secret of the tests only"
ADMIN_TOKEN = "an admin token of the tests only"


@dataclass(frozen=True)
class VmOptions:
    """A VM: its location, its capacity and the services placed on it."""

    name: str
    zone: str
    rack: str
    cores: float = 30
    memory_mb: int = 125_000
    accelerators: int = 0
    services: tuple[str, ...] = ("booking-core",)
    usage_lag: float = 1.0


@dataclass(frozen=True)
class ServiceOptions:
    """A service: the resources and the limits of each of its endpoints."""

    name: str = "booking-core"
    cores: float = 4
    memory_mb: int = 8_000
    accelerators: int = 0
    slots: int = 8
    connections: int = 64
    queue: int = 16
    deadline_seconds: float = 2.0
    latency_target_seconds: float = 0.5


DEFAULT_VMS = (
    VmOptions("vm-1", "zilina-a", "rack-a1"),
    VmOptions("vm-2", "zilina-b", "rack-b1"),
    VmOptions("vm-3", "zilina-a", "rack-a2"),
)


class Cluster:
    """The processes of one deployment, in a temporary folder removed on close.

    `timing` is part of the settings of every program; `agent_settings` and
    `entry_settings` are added to the settings of the agents and the entries.
    """

    def __init__(
        self,
        vms: Iterable[VmOptions] = DEFAULT_VMS,
        services: Iterable[ServiceOptions] = (ServiceOptions(),),
        entries: int = 2,
        *,
        timing: dict[str, float] | None = None,
        agent_settings: dict[str, Any] | None = None,
        entry_settings: dict[str, Any] | None = None,
        link_store: bool = False,
    ) -> None:
        """Start all processes; `link_store` puts a link between programs and store."""
        self.vm_by_name = {vm.name: vm for vm in vms}
        self.services = list(services)
        self.worker_by_vm: dict[str, Process] = {}
        self.endpoint_by_vm_and_service: dict[tuple[str, str], Process] = {}
        self.agent_by_vm: dict[str, Process] = {}
        self.entry_by_node: dict[str, Process] = {}
        self.store_link: Process | None = None
        self._processes: list[Process] = []
        self._folder = tempfile.TemporaryDirectory(prefix="wagtailcleat-")
        self.folder = Path(self._folder.name)
        self._timing = timing or {}
        self._agent_settings = agent_settings or {}
        self._entry_settings = entry_settings or {}
        try:
            self._start(entries, link_store)
        except BaseException:
            self.close()
            raise

    def __enter__(self) -> "Cluster":
        """Return the cluster, already started."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop all processes."""
        self.close()

    @property
    def entry(self) -> Process:
        """The first entry."""
        return next(iter(self.entry_by_node.values()))

    def close(self) -> None:
        """Stop every process, the programs first, and remove the folder."""
        standins = [p for p in self._processes if p.is_standin]
        _run_in_parallel(
            Process.close, [p for p in self._processes if not p.is_standin]
        )
        _run_in_parallel(Process.close, standins)
        self._folder.cleanup()

    def inventory(self) -> dict[str, Any]:
        """Return the inventory of the VMs and services of this cluster."""
        vms = list(self.vm_by_name.values())
        regions = {vm.zone: vm.zone.rpartition("-")[0] or vm.zone for vm in vms}
        fields = ("name", "zone", "rack", "cores", "memory_mb", "accelerators")
        return {
            "zones": [{"name": z, "region": r} for z, r in sorted(regions.items())],
            "vms": [{field: getattr(vm, field) for field in fields} for vm in vms],
            "services": [
                asdict(s) | {"vms": [vm.name for vm in vms if s.name in vm.services]}
                for s in self.services
            ],
        }

    def admin(
        self, method: str, path: str, body: Any = None, entry: Process | None = None
    ) -> Response:
        """Call the administration API of an entry, by default the first."""
        port = (entry or self.entry).ready["admin_port"]
        headers = {"Authorization": f"Bearer {ADMIN_TOKEN}"}
        return http(method, f"http://127.0.0.1:{port}{path}", body, headers)

    def apply(
        self,
        inventory: dict[str, Any] | None = None,
        rules: dict[str, Any] | None = None,
        *,
        base_revision: int = 0,
        change_id: str = "",
        entry: Process | None = None,
    ) -> Response:
        """Apply an inventory, by default that of this cluster."""
        body = {
            "base_revision": base_revision,
            "change_id": change_id or uuid.uuid4().hex,
            "inventory": inventory or self.inventory(),
            "rules": rules or {},
        }
        return self.admin("PUT", "/admin/configuration", body, entry)

    def processes_on_vm(self, vm: str) -> list[Process]:
        """Return the processes on a VM, its agent first."""
        endpoints = self.endpoint_by_vm_and_service.items()
        found = [self.agent_by_vm[vm], self.worker_by_vm[vm]]
        return found + [process for (host, _), process in endpoints if host == vm]

    def kill_vm(self, vm: str) -> None:
        """Simulate a VM failure: kill all processes on it."""
        for process in self.processes_on_vm(vm):
            process.kill()
        self._record_killed(vm)

    def restart_vm(self, vm: str) -> None:
        """Restart all processes on a VM on the same ports; its tasks are lost."""
        for process in reversed(self.processes_on_vm(vm)):
            process.start()

    def freeze_vm(self, vm: str) -> None:
        """Pause all processes on a VM."""
        for process in self.processes_on_vm(vm):
            process.freeze()

    def thaw_vm(self, vm: str) -> None:
        """Resume all processes on a VM."""
        for process in self.processes_on_vm(vm):
            process.thaw()

    def starts_and_ends(self, vm: str) -> list[list[Any]]:
        """Return each task start and end on a VM, also from before a worker restart."""
        return _read_rows(self.folder / f"worker-{vm}.record")

    def runs(self, vm: str, service: str = "booking-core") -> list[list[Any]]:
        """Return each request that an endpoint ran, also from before a restart."""
        return _read_rows(self.folder / f"endpoint-{vm}-{service}.record")

    def link(self, name: str, target_port: int) -> Process:
        """Start a link (a TCP proxy) to a port."""
        return self._add(name, "standins.link", "--target-port", str(target_port))

    def _start(self, entries: int, link_store: bool) -> None:
        self.store = self._add("store", "standins.store")
        if link_store:
            self.store_link = self.link("store-link", self.store.ready["port"])
        self._store_urls = [(self.store_link or self.store).url]
        zones = list(dict.fromkeys(vm.zone for vm in self.vm_by_name.values()))
        first, *others = range(1, entries + 1)
        self._seeds: list[str] = []
        # Entries need no worker, so the first one starts with the stand-ins.
        starts = [partial(self._start_entry, first, zones)]
        for vm in self.vm_by_name.values():
            starts.append(partial(self._start_worker, vm))
            starts += [partial(self._start_endpoint, vm, s) for s in vm.services]
        _run_in_parallel(_call, starts)
        self._seeds = [f"127.0.0.1:{self.entry.ready['peer_port']}"]
        starts = [partial(self._start_entry, number, zones) for number in others]
        starts += [partial(self._start_agent, vm) for vm in self.vm_by_name.values()]
        _run_in_parallel(_call, starts)
        # Parallel starts end in any order, but tests that choose by index need a fixed
        # order.
        self.agent_by_vm = {vm: self.agent_by_vm[vm] for vm in self.vm_by_name}
        by_node = sorted(self.entry_by_node.items(), key=lambda item: item[0])
        self.entry_by_node = dict(by_node)

    def _add(self, name: str, module: str, *arguments: str) -> Process:
        process = Process(name, self.folder, module, arguments)
        self._processes.append(process)
        return process

    def _start_worker(self, vm: VmOptions) -> None:
        options = {
            "--cores": vm.cores,
            "--memory-mb": vm.memory_mb,
            "--accelerators": vm.accelerators,
            "--usage-lag": vm.usage_lag,
            "--record": self.folder / f"worker-{vm.name}.record",
        }
        arguments = [str(part) for option in options.items() for part in option]
        name = f"worker-{vm.name}"
        self.worker_by_vm[vm.name] = self._add(name, "standins.worker", *arguments)

    def _start_endpoint(self, vm: VmOptions, service: str) -> None:
        name = f"endpoint-{vm.name}-{service}"
        record = str(self.folder / f"{name}.record")
        arguments = ["--service", service, "--record", record]
        self.endpoint_by_vm_and_service[vm.name, service] = self._add(
            name, "standins.endpoint", *arguments
        )

    def _start_agent(self, vm: VmOptions) -> None:
        settings = {
            "node": f"agent-{vm.name}",
            "vm": vm.name,
            "zone": vm.zone,
            "worker": self.worker_by_vm[vm.name].url,
            "endpoints_by_service": {
                service: self.endpoint_by_vm_and_service[vm.name, service].url
                for service in vm.services
            },
        }
        self.agent_by_vm[vm.name] = self._start_program(
            "wagtailcleat.agent.app", settings | self._agent_settings
        )

    def _start_entry(self, number: int, zones: list[str]) -> None:
        settings = {
            "node": f"entry-{number}",
            "zone": zones[(number - 1) % len(zones)],
            "admin_port": 0,
            "admin_token": ADMIN_TOKEN,
        }
        process = self._start_program(
            "wagtailcleat.entry.app", settings | self._entry_settings
        )
        self.entry_by_node[process.name] = process

    def _start_program(self, module: str, settings: dict[str, Any]) -> Process:
        shared = {
            "host": "127.0.0.1",
            "peer_port": 0,
            "http_port": 0,
            "secret": SECRET,
            "store": self._store_urls,
            "seeds": self._seeds,
            "timing": self._timing,
        }
        whole = shared | settings
        path = self.folder / f"{whole['node']}.json"
        path.write_text(json.dumps(whole))
        process = self._add(str(whole["node"]), module, "--settings", str(path))
        # A restarted program must use the ports that other programs have as seeds.
        ports = {name: process.ready[name] for name in whole if name.endswith("_port")}
        path.write_text(json.dumps(whole | ports))
        return process

    def _record_killed(self, vm: str) -> None:
        path = self.folder / f"worker-{vm}.record"
        running = {}
        for _, kind, task_id, _ in _read_rows(path):
            running[task_id] = kind == "start"
        now = boot_time()
        with path.open("a") as file:
            for task_id in (task_id for task_id, runs in running.items() if runs):
                file.write(json.dumps([now, "end", task_id, "killed"]) + "\n")


def _call(start: Callable[[], None]) -> None:
    start()


def _run_in_parallel(start: Callable[[Any], None], items: Iterable[Any]) -> None:
    with ThreadPoolExecutor(MAX_PARALLEL_STARTS) as pool:
        list(pool.map(start, items))


def _read_rows(path: Path) -> list[list[Any]]:
    lines = path.read_text().splitlines() if path.exists() else []
    return [json.loads(line) for line in lines]
