"""Measures every slope of the capacity page and fits its lines.

python -m bench.slopes.run --out slopes.json
python -m bench.slopes.run --only starts --tasks 500 --tasks 1000 --tasks 2000 ...
"""

import json
import logging
import os
import sys
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Annotated, Any

import cyclopts

from bench.errors import BadValueError, check_range
from bench.report import commit
from bench.slopes import fleet, held, partition, spread, streams, view_costs
from bench.slopes.fit import MIN_SIZES, fit

EXIT_BAD_VALUE = 2
MEMBERS_RANGE = (20, 3000)
AGENTS_RANGE = (4, 60)
TASKS_RANGE = (50, 5000)
SHARDS_RANGE = (1, 128)
STREAMS_RANGE = (10, 1000)
PROCESSES_RANGE = (1, 6)
SEEDS_RANGE = (1, 10)
LOSSES = (0.0, 0.3)
PARTITION_NODES = 300
PARTITION_SEEDS = (0, 3)
START_AGENTS = 6
REST_AGENTS = 20

Option = cyclopts.Parameter
Report = dict[str, Any]


def _many(measure: Callable[..., Report], jobs: list[tuple[Any, ...]], processes: int):  # type: ignore[no-untyped-def]
    with ProcessPoolExecutor(
        processes, mp_context=get_context("spawn"), initializer=_quiet
    ) as pool:
        return list(pool.map(measure, *zip(*jobs, strict=True)))


def _quiet() -> None:
    # Thousands of nodes note each loss of each other; nobody reads it here.
    logging.disable(logging.CRITICAL)


def _line(points: Iterator[tuple[float, float]]) -> Report:
    return fit(list(points)).shown()


def _view(members: list[int], **_: Any) -> Report:
    found = {size: view_costs.measure(size) for size in members}
    names = next(iter(found.values()))
    lines = {n: _line((s, cost[n]) for s, cost in found.items()) for n in names}
    return {"lines": lines}


def _held(members: list[int], **_: Any) -> Report:
    found = [held.everything(size) for size in members]
    lines: Report = {}
    for kind in ("members", "entries", "shard"):
        for name in found[0][kind]:
            points = (
                (size, sample[kind][name])
                for size, sample in zip(members, found, strict=True)
            )
            lines[f"{kind}/{name}"] = _line(points)
    return {"lines": lines}


def _streams(sizes: list[int], **_: Any) -> Report:
    runs = [streams.measure(size) for size in sizes]
    names = ("bytes_both_ends", "core_both_ends")
    return {
        "runs": runs,
        "lines": {n: _line((r["streams"], r[n]) for r in runs) for n in names},
    }


def _spread(members: list[int], seeds: int, processes: int, **_: Any) -> Report:
    jobs = [
        (size, loss, seed + 1)
        for size in sorted(members, reverse=True)
        for loss in LOSSES
        for seed in range(seeds)
    ]
    return {"runs": _many(spread.measure, jobs, processes)}


def _zone(members: list[int], seeds: int, processes: int, **_: Any) -> Report:
    jobs = [(size, 0.0, seed + 1) for size in members for seed in range(seeds)]
    return {"runs": _many(spread.zone_loss, jobs, processes)}


def _one_partition(memory: bool, known_seeds: int, seed: int) -> Report:
    return partition.measure(
        PARTITION_NODES, memory=memory, seeds=known_seeds, seed=seed
    )


def _partition(seeds: int, processes: int, **_: Any) -> Report:
    jobs = [
        (memory, known, seed + 1)
        for memory in (True, False)
        for known in PARTITION_SEEDS
        for seed in range(seeds)
    ]
    return {"runs": _many(_one_partition, jobs, processes)}


def _rest(agents: list[int], shards: list[int], **_: Any) -> Report:
    runs = [fleet.rest(size, max(shards)) for size in agents]
    runs += [fleet.rest(REST_AGENTS, count) for count in shards]
    each = [agent for run in runs for agent in run["by_agent"]]
    names = ("core", "bytes_s", "rss_mb")
    lines = {
        f"{name} by shards": _line((a["shards"], a[name]) for a in each)
        for name in names
    }
    same = [run for run in runs if run["shards"] == max(shards)]
    lines |= {
        f"{name} by agents": _line(
            (run["agents"], a[name]) for run in same for a in run["by_agent"]
        )
        for name in names
    }
    lines["store calls/s by owners"] = _line(
        (run["owners"], sum(run["store_calls_s"].values())) for run in runs
    )
    return {"runs": runs, "lines": lines}


def _starts(tasks: list[int], **_: Any) -> Report:
    runs = [fleet.starts(START_AGENTS, count) for count in tasks]
    names = ("owner_cpu", "owner_bytes", "store_calls", "owner_rss_mb")
    lines = {n: _line((r["tasks"], r[n]) for r in runs) for n in names}
    return {"runs": runs, "lines": lines}


def _running(tasks: list[int], **_: Any) -> Report:
    runs = [fleet.running(START_AGENTS, count) for count in tasks]
    names = ("owner_core", "owner_bytes_s", "owner_rss_mb", "agent_core")
    lines = {n: _line((r["tasks"], r[n]) for r in runs) for n in names}
    return {"runs": runs, "lines": lines}


def _takeover(tasks: list[int], **_: Any) -> Report:
    return {"runs": [fleet.takeover(START_AGENTS, count) for count in tasks]}


MEASURE_BY_NAME: dict[str, Callable[..., Report]] = {
    "view": _view,
    "held": _held,
    "streams": _streams,
    "spread": _spread,
    "zone": _zone,
    "partition": _partition,
    "rest": _rest,
    "starts": _starts,
    "running": _running,
    "takeover": _takeover,
}


def _check_sizes(option: str, sizes: list[int], limits: tuple[int, int]) -> None:
    for size in sizes:
        check_range(option, size, *limits)
    if len(set(sizes)) < MIN_SIZES:
        raise BadValueError(option, sizes, f"at least {MIN_SIZES} different sizes")


def _check_only(only: list[str]) -> None:
    for name in only:
        if name not in MEASURE_BY_NAME:
            raise BadValueError("--only", name, MEASURE_BY_NAME)


def main(
    *,
    out: Annotated[Path, Option(help="Where the report goes, as JSON.")],
    only: Annotated[list[str] | None, Option(help="Which measures; else all.")] = None,
    members: Annotated[list[int] | None, Option(help="Sizes of a view.")] = None,
    agents: Annotated[list[int] | None, Option(help="Agents as processes.")] = None,
    shards: Annotated[list[int] | None, Option(help="Shards at rest.")] = None,
    tasks: Annotated[list[int] | None, Option(help="Tasks of a job.")] = None,
    streams: Annotated[list[int] | None, Option(help="Streams at rest.")] = None,
    seeds: Annotated[int, Option(help="Runs of each size on the mesh.")] = 2,
    processes: Annotated[int, Option(help="Runs on the mesh at one time.")] = 3,
) -> int:
    """Measure; write one report that names the commit it ran at."""
    wanted = only or list(MEASURE_BY_NAME)
    sizes = {
        "members": members or [100, 300, 1100],
        "agents": agents or [10, 20, 40],
        "shards": shards or [4, 16, 64],
        "tasks": tasks or [300, 600, 1200],
        "sizes": streams or [50, 150, 400],
    }
    limits = {
        "members": MEMBERS_RANGE,
        "agents": AGENTS_RANGE,
        "shards": SHARDS_RANGE,
        "tasks": TASKS_RANGE,
        "sizes": STREAMS_RANGE,
    }
    try:
        _check_only(wanted)
        check_range("--seeds", seeds, *SEEDS_RANGE)
        check_range("--processes", processes, *PROCESSES_RANGE)
        for name, allowed in limits.items():
            option = "--streams" if name == "sizes" else f"--{name}"
            _check_sizes(option, sizes[name], allowed)
    except BadValueError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_VALUE
    _quiet()
    report: Report = {"commit": commit(), "load_before": os.getloadavg()[0]}
    for name in wanted:
        print(f"measuring {name}", file=sys.stderr, flush=True)
        measure = MEASURE_BY_NAME[name]
        report[name] = measure(**sizes, seeds=seeds, processes=processes)
        out.write_text(json.dumps(report, indent=1, sort_keys=True) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
