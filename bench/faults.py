"""Faults of the service scenarios; `bench.services` calls them at every tick."""

from collections.abc import Callable

from bench.deployment import Deployment
from bench.services import WARM_UP_SECONDS, InjectFaults
from wagtailcleat.ids import VmName

SLOW_FACTOR = 10.0
FIRST_VM = VmName("vm-0")
SILENCE_INTERVAL_SECONDS = 2.0
SUSPECTED_AFTER_SECONDS = 1.5
FAULTS_FROM_SECONDS = WARM_UP_SECONDS


def none(deployment: Deployment, now: float) -> None:
    """Inject no fault."""


def slow_endpoint(deployment: Deployment, now: float) -> None:
    """Make one endpoint ten times slower for the whole run."""
    deployment.agent_by_vm[FIRST_VM].endpoint.faults.slow_factor = SLOW_FACTOR


def failing_endpoint(deployment: Deployment, now: float) -> None:
    """Make one endpoint fail every request at once, so that it looks idle and fast."""
    deployment.agent_by_vm[FIRST_VM].endpoint.faults.fails_at_once = True


def silent_connections() -> InjectFaults:
    """Return a fault that silences one open stream of each entry every two seconds."""
    count = 0

    def silence(deployment: Deployment, now: float) -> None:
        nonlocal count
        if now < FAULTS_FROM_SECONDS + count * SILENCE_INTERVAL_SECONDS:
            return
        count += 1
        for entry in deployment.entries:
            streams = [s for s in entry.peers.streams if not s.closed]
            if streams:
                streams[count % len(streams)].silent = True

    return silence


def killed_agent(at: float) -> InjectFaults:
    """Return a fault that kills one VM at `at`; the entries suspect it 1.5 s later."""

    def kill(deployment: Deployment, now: float) -> None:
        agent = deployment.agent_by_vm[FIRST_VM]
        if now >= at:
            agent.server.up = False
        if now >= at + SUSPECTED_AFTER_SECONDS:
            for entry in deployment.entries:
                entry.view.suspect(agent.member.node, now)

    return kill


def combined(*parts: Callable[[Deployment, float], None]) -> InjectFaults:
    """Return a fault that injects all of `parts`."""

    def inject_all(deployment: Deployment, now: float) -> None:
        for part in parts:
            part(deployment, now)

    return inject_all
