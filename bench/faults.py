"""What goes wrong in a scenario, as functions of the time."""

from collections.abc import Callable

from bench.deployment import Deployment
from bench.services import WARM_UP_SECONDS, Faults
from wagtailcleat.ids import VmName

SLOW_FACTOR = 10.0
FIRST_VM = VmName("vm-0")
SILENT_EVERY_SECONDS = 2.0
GONE_SUSPECTED_AFTER = 1.5
FROM = WARM_UP_SECONDS


def none(made: Deployment, now: float) -> None:
    """Break nothing."""


def slow_endpoint(made: Deployment, now: float) -> None:
    """Let one endpoint be ten times slower, all the time."""
    made.agent_by_vm[FIRST_VM].endpoint.faults.slow_factor = SLOW_FACTOR


def failing_endpoint(made: Deployment, now: float) -> None:
    """Let one endpoint fail at once, so that it looks idle and quick."""
    made.agent_by_vm[FIRST_VM].endpoint.faults.fails_at_once = True


def silent_connections() -> Faults:
    """Let one open stream of each entry in turn go silent every two seconds."""
    turn = 0

    def silence(made: Deployment, now: float) -> None:
        nonlocal turn
        if now < FROM + turn * SILENT_EVERY_SECONDS:
            return
        turn += 1
        for entry in made.entries:
            streams = [s for s in entry.peers.streams if not s.closed]
            if streams:
                streams[turn % len(streams)].silent = True

    return silence


def killed_agent(at: float) -> Faults:
    """Kill one VM; its suspicion reaches the entries a little later."""

    def kill(made: Deployment, now: float) -> None:
        agent = made.agent_by_vm[FIRST_VM]
        if now >= at:
            agent.server.up = False
        if now >= at + GONE_SUSPECTED_AFTER:
            for entry in made.entries:
                entry.view.suspect(agent.member.node, now)

    return kill


def together(*parts: Callable[[Deployment, float], None]) -> Faults:
    """Let several things go wrong."""

    def all_of_them(made: Deployment, now: float) -> None:
        for part in parts:
            part(made, now)

    return all_of_them
