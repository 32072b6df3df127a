"""How news spreads: a configuration change, a departure, and the idle bytes."""

import asyncio
import contextlib
from collections.abc import Callable
from statistics import fmean
from typing import Any

from bench.slopes.mesh import Mesh, MeshNode
from bench.virtual_time import run_virtual
from wagtailcleat.configuration.models import Configuration
from wagtailcleat.ids import Revision
from wagtailcleat.wire.membership import MemberState

STEP_SECONDS = 0.02
IDLE_SECONDS = 30.0
WINDOW_SECONDS = 5.0
CHANGES = 5
DEPARTURES = 3
SETTLE_SECONDS = 8.0
PATIENCE_SECONDS = 120.0
SEEDS = 3


async def until(mesh: Mesh, condition: Callable[[], bool]) -> float:
    """Wait until `condition` holds; return the seconds, or the patience."""
    began = mesh.clock()
    for _ in range(round(PATIENCE_SECONDS / STEP_SECONDS)):
        if condition():
            break
        await asyncio.sleep(STEP_SECONDS)
    return mesh.clock() - began


def measure(nodes: int, loss: float, seed: int) -> dict[str, Any]:
    """Return seconds and bytes a process of each kind of news, and of none."""

    async def main(clock: Callable[[], float]) -> dict[str, Any]:
        mesh = Mesh(clock, seed=seed)
        mesh.fill(nodes, seeds=SEEDS)
        mesh.loss = loss
        await mesh.start()
        await asyncio.sleep(mesh.timing.idle_close)
        idle, worst = await _idle(mesh)
        changes = [await _change(mesh, number, idle) for number in range(CHANGES)]
        left = await _left(mesh)
        departures = [await _departure(mesh) for _ in range(DEPARTURES)]
        return {
            "nodes": nodes,
            "loss": loss,
            "seed": seed,
            "idle_bytes_s": idle,
            "idle_bytes_s_worst": worst,
            "change_seconds": [seconds for seconds, _, _ in changes],
            "change_bytes": fmean(size for _, size, _ in changes),
            "change_bytes_worst": max(worst for _, _, worst in changes),
            "left_seconds": left,
            "departure_seconds": departures,
        }

    return run_virtual(main)


def zone_loss(nodes: int, loss: float, seed: int) -> dict[str, Any]:
    """Kill a fifth of the nodes at once; return when all know, and the bytes."""

    async def main(clock: Callable[[], float]) -> dict[str, Any]:
        mesh = Mesh(clock, seed=seed)
        mesh.fill(nodes, seeds=SEEDS)
        mesh.loss = loss
        await mesh.start()
        zone = mesh.nodes[-1].view.me.zone
        gone = [node for node in mesh.nodes if node.view.me.zone == zone]
        names = [node.view.me.node for node in gone]
        for node in gone:
            mesh.kill(node)
        windows = asyncio.create_task(_windows(mesh))
        seconds = await until(
            mesh, lambda: all(_all_know(mesh, name, MemberState.LOST) for name in names)
        )
        await asyncio.sleep(SETTLE_SECONDS)
        windows.cancel()
        rates = await windows
        return {
            "nodes": nodes,
            "loss": loss,
            "seed": seed,
            "killed": len(gone),
            "known_seconds": seconds,
            "bytes_s_mean": fmean(mean for mean, _ in rates),
            "bytes_s_worst": max(worst for _, worst in rates),
        }

    return run_virtual(main)


async def _windows(mesh: Mesh) -> list[tuple[float, float]]:
    # The mean and the worst node's bytes a second, window by window, until told.
    rates = []
    with contextlib.suppress(asyncio.CancelledError):
        while True:
            before = {node.port: _traffic(node) for node in mesh.nodes}
            await asyncio.sleep(WINDOW_SECONDS)
            each = [_traffic(n) - before[n.port] for n in mesh.nodes]
            rates.append((fmean(each) / WINDOW_SECONDS, max(each) / WINDOW_SECONDS))
    return rates


def _traffic(node: MeshNode) -> int:
    return node.bytes_in + node.bytes_out


async def _idle(mesh: Mesh) -> tuple[float, float]:
    before = {node.port: _traffic(node) for node in mesh.nodes}
    await asyncio.sleep(IDLE_SECONDS)
    rates = [(_traffic(n) - before[n.port]) / IDLE_SECONDS for n in mesh.nodes]
    return fmean(rates), max(rates)


async def _change(mesh: Mesh, number: int, idle: float) -> tuple[float, float, float]:
    # One follower alone hears it from the store: the worst case, since all entries
    # follow. Bytes are counted until the news is everywhere and the pushes ended.
    source = mesh.nodes[number % SEEDS]
    revision = Revision(number + 1)
    before = {node.port: _traffic(node) for node in mesh.nodes}
    began = mesh.clock()
    source.in_force.adopt(
        Configuration(revision, f"change-{number}", zones_out=[f"zone-{number}"]),
        mesh.clock(),
    )
    source.gossiper.configuration_changed()
    seconds = await until(
        mesh, lambda: all(n.in_force.revision >= revision for n in mesh.nodes)
    )
    await asyncio.sleep(SETTLE_SECONDS)
    background = idle * (mesh.clock() - began)
    sizes = [_traffic(node) - before[node.port] - background for node in mesh.nodes]
    return seconds, fmean(sizes), max(sizes)


async def _left(mesh: Mesh) -> float:
    node = mesh.nodes[-1]
    name = node.view.me.node
    node.view.change_me(mesh.clock(), state=MemberState.LEFT)
    await node.gossiper.announce()
    mesh.kill(node)
    return await until(mesh, lambda: _all_know(mesh, name, MemberState.LEFT))


async def _departure(mesh: Mesh) -> float:
    node = mesh.nodes[-1]
    name = node.view.me.node
    mesh.kill(node)
    return await until(mesh, lambda: _all_know(mesh, name, MemberState.LOST))


def _all_know(mesh: Mesh, name: str, state: MemberState) -> bool:
    return all(n.view.member_by_node[name].state is state for n in mesh.nodes)  # type: ignore[index]
