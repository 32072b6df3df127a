"""A partition that heals, with and without the memory of lost members."""

import asyncio
from collections.abc import Callable
from typing import Any

from bench.slopes.mesh import Mesh
from bench.slopes.spread import until
from bench.virtual_time import run_virtual
from wagtailcleat.settings import Timing

CUT_SECONDS = 300.0
LATER_SHARE = 0.5
WITH_MEMORY_SECONDS = 3600.0
WITHOUT_MEMORY_SECONDS = 10.0


def measure(nodes: int, *, memory: bool, seeds: int, seed: int) -> dict[str, Any]:
    """Cut `nodes` in two halves, heal, and tell when all know all again.

    Parameters: `seeds` nodes stand as addresses in the others' settings.
    """
    forget = WITH_MEMORY_SECONDS if memory else WITHOUT_MEMORY_SECONDS

    async def main(clock: Callable[[], float]) -> dict[str, Any]:
        mesh = Mesh(clock, seed=seed, timing=Timing(forget_lost=forget))
        mesh.fill(nodes, seeds=seeds)
        await mesh.start()
        ports = list(mesh.node_by_port)
        mesh.side_by_port = dict.fromkeys(ports[nodes // 2 :], 1)
        await asyncio.sleep(CUT_SECONDS * LATER_SHARE)
        before = mesh.bytes()
        await asyncio.sleep(CUT_SECONDS * (1 - LATER_SHARE))
        seconds = CUT_SECONDS * (1 - LATER_SHARE)
        cut_bytes_s = 2 * (mesh.bytes() - before) / seconds / nodes
        known = _known(mesh)
        mesh.side_by_port = {}
        healed = await until(mesh, lambda: _known(mesh) == nodes)
        return {
            "nodes": nodes,
            "memory": memory,
            "seeds": seeds,
            "seed": seed,
            "least_known_before_heal": known,
            "healed": _known(mesh) == nodes,
            "heal_seconds": healed,
            "bytes_s_while_cut": cut_bytes_s,
        }

    return run_virtual(main)


def _known(mesh: Mesh) -> int:
    return min(len(node.view.live()) for node in mesh.nodes)
