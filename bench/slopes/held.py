"""What a daemon holds in memory, by members, configuration entries and tasks."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import msgspec

from bench.slopes.view_costs import filled_view, seconds_a_call
from wagtailcleat.batch.record import (
    AnyEvent,
    Assigned,
    AttemptEnded,
    JobAccepted,
    ShardRecord,
    encode_events,
    restore,
)
from wagtailcleat.configuration.models import (
    Configuration,
    Inventory,
    Rules,
    Service,
    Team,
    Vm,
    Zone,
)
from wagtailcleat.configuration.parts import InForce, cut
from wagtailcleat.ids import Incarnation, JobId, NodeId, Revision, ShardId, VmName
from wagtailcleat.resources import Resources
from wagtailcleat.wire.attempts import AttemptState
from wagtailcleat.wire.configuration import ConfigurationDelta
from wagtailcleat.wire.frames import Frame, Kind, encode
from wagtailcleat.wire.jobs import JobSpec, TaskSpec
from wagtailcleat.wire.task_ids import attempt_id, task_id

VMS_A_SERVICE = 100
TEAMS = 68
TASKS_A_JOB = 50
START = 1_800_000_000.0


def held(make: Callable[[], object]) -> float:
    """Return the bytes of memory that what `make` returns keeps."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


def members(count: int) -> dict[str, float]:
    """Return the bytes of a view of `count` members, and of one on the wire."""
    view = filled_view(count)
    frame = Frame(Kind.CALL, 1, view.me)  # type: ignore[arg-type]
    return {
        "bytes": held(lambda: _decoded_view(count)),
        "wire_bytes_a_member": float(len(msgspec.msgpack.encode(frame.message))),
    }


def _decoded_view(count: int) -> object:
    # Members as they come from the wire: no two share a string.
    view = filled_view(count)
    known = msgspec.msgpack.encode(list(view.member_by_node.values()))
    decoded = msgspec.msgpack.decode(known, type=list[type(view.me)])  # type: ignore[misc]
    view.member_by_node = {m.node: m for m in decoded}
    view._index = None
    view.live()
    return view


def configuration(vms: int, revision: int = 1, cores: float = 30.0) -> Configuration:
    """Return a configuration of `vms` VMs; half of them serve, 100 a service."""
    named = [
        Vm(f"vm-{n:04}", f"zilina-{'abcde'[n % 5]}", f"rack-{n // 20}", cores, 125_000)
        for n in range(vms)
    ]
    services = [
        Service(
            f"service-{s}", [vm.name for vm in named[s : s + VMS_A_SERVICE]], 4, 8000
        )
        for s in range(0, vms, VMS_A_SERVICE)
    ]
    zones = [Zone(f"zilina-{z}", "zilina") for z in "abcde"]
    teams = [Team(f"team-{n}", 100.0, 400_000) for n in range(TEAMS)]
    inventory = Inventory(zones, named, services)
    return Configuration(Revision(revision), "one", inventory, Rules(teams))


def entries(vms: int) -> dict[str, float]:
    """Return what a configuration takes, and one change of one VM in it."""
    first = configuration(vms)
    changed = msgspec.structs.replace(first.inventory.vms[0], cores=29.0)
    inventory = msgspec.structs.replace(
        first.inventory, vms=[changed, *first.inventory.vms[1:]]
    )
    second = msgspec.structs.replace(first, revision=Revision(2), inventory=inventory)
    source = InForce()
    source.adopt(first, 0.0)
    whole = source.delta(Revision(0))
    source.adopt(second, 1.0)
    delta = source.delta(Revision(1))
    return {
        "entries": float(len(cut(first))),
        "bytes": held(lambda: _told(whole)),
        "stored_bytes": float(len(msgspec.json.encode(first))),
        "whole_wire_bytes": float(_wire(whole)),
        "change_wire_bytes": float(_wire(delta)),
        "merge_seconds": _merge_seconds(whole, delta),
        "adopt_seconds": _adopt_seconds(first, second),
    }


def _told(whole: ConfigurationDelta) -> InForce:
    in_force = InForce()
    in_force.merge(whole, 0.0)
    return in_force


def _merge_seconds(whole: ConfigurationDelta, delta: ConfigurationDelta) -> float:
    repeats = 5
    taken = 0.0
    for _ in range(repeats):
        in_force = _told(whole)
        began = time.process_time()
        in_force.merge(delta, 1.0)
        taken += time.process_time() - began
    return taken / repeats


def _adopt_seconds(first: Configuration, second: Configuration) -> float:
    repeats = 5
    taken = 0.0
    for _ in range(repeats):
        in_force = InForce()
        in_force.adopt(first, 0.0)
        began = time.process_time()
        in_force.adopt(second, 1.0)
        taken += time.process_time() - began
    return taken / repeats


def _wire(message: ConfigurationDelta) -> int:
    return len(encode(Frame(Kind.REPLY, 1, message)))


def shard(tasks: int) -> dict[str, float]:
    """Return what a shard of `tasks` assigned tasks takes, held and stored."""
    record = _record(tasks)
    snapshot = record.snapshot()
    start = _events(0, 1)[1:]
    return {
        "bytes": held(lambda: _record(tasks)),
        "snapshot_bytes": float(len(snapshot)),
        "snapshot_seconds": seconds_a_call(record.snapshot),
        "restore_seconds": seconds_a_call(lambda: restore(snapshot)),
        "log_bytes_a_start_and_end": float(len(encode_events(start))),
    }


def _record(tasks: int) -> ShardRecord:
    record = ShardRecord()
    for number in range(tasks // TASKS_A_JOB):
        for event in _events(number, TASKS_A_JOB):
            if not isinstance(event, AttemptEnded):
                record.apply(event)
    return record


def _events(number: int, tasks: int) -> list[AnyEvent]:
    job = JobId(f"7.team-{number % TEAMS}.job-{number}")
    spec = JobSpec(
        job,
        f"team-{number % TEAMS}",  # type: ignore[arg-type]
        ShardId(7),
        tasks,
        TaskSpec("train --epochs 10", Resources(1, 4000), 60.0),
        START + 3600,
    )
    events: list[AnyEvent] = [JobAccepted(spec, START)]
    for index in range(tasks):
        vm = f"vm-{(number * tasks + index) % 1100:04}"
        attempt = attempt_id(task_id(job, index), 1)
        events.append(
            Assigned(
                attempt,
                VmName(vm),
                NodeId(f"agent-{vm}"),
                Incarnation(int(START * 1000)),
                START,
            )
        )
        events.append(AttemptEnded(attempt, AttemptState.SUCCEEDED, "", "", START))
    return events


def everything(count: int) -> dict[str, Any]:
    """Return all of this page's figures at one size."""
    return {"members": members(count), "entries": entries(count), "shard": shard(count)}
