"""Builds a deployment in one process from the parts that route and admit requests.

These parts are the product's own; the network and the endpoints below them are the
models of `bench.fakes`. `bench.services` and `bench.batch` drive it on virtual time.
"""

import asyncio
import random
from dataclasses import dataclass, field

from bench.fakes import EndpointModel, Network, PeersModel, Server
from bench.policies import Policy
from bench.profiles import Profile
from wagtailcleat.agent.service_instance import ServiceInstance
from wagtailcleat.agent.services import Services
from wagtailcleat.clock import Clock
from wagtailcleat.configuration.models import (
    Configuration,
    Inventory,
    Rules,
    Service,
    Team,
    Vm,
    Zone,
)
from wagtailcleat.configuration.parts import InForce
from wagtailcleat.entry.relay import Relay
from wagtailcleat.ids import (
    Incarnation,
    NodeId,
    Revision,
    ServiceName,
    ShardId,
    VmName,
    ZoneName,
)
from wagtailcleat.membership.view import View
from wagtailcleat.routing.choose import selector_for
from wagtailcleat.routing.latency import EndpointRecord, Endpoints
from wagtailcleat.settings import Timing
from wagtailcleat.wire.handshake import Role
from wagtailcleat.wire.membership import Member, MemberState
from wagtailcleat.wire.messages import AnyMessage
from wagtailcleat.wire.request_ids import RequestIds

FIRST_PORT = 1000
NO_LIMIT = 9_999
SECRET = "a secret of the bench only"
TEAM = "travel-desk"
LEDGER_EXPIRY_SECONDS = 1.0


class RecordIgnoringRefusals(EndpointRecord):
    """A record that ignores refusals, for the baseline that always retries."""

    def is_refusing(self, now: float) -> bool:
        """Return that no refusal is in force."""
        return False


class EndpointsIgnoringRefusals(Endpoints):
    """Endpoint records that ignore refusals."""

    def record(self, node: NodeId) -> EndpointRecord:
        """Return the record of a node."""
        return self.record_by_node.setdefault(node, RecordIgnoringRefusals())


@dataclass
class AgentModel:
    """The parts of one agent that admit and run service requests."""

    member: Member
    services: Services
    endpoint: EndpointModel
    server: Server
    closed_reason: str = ""

    @property
    def instance(self) -> ServiceInstance:
        """The agent's only service."""
        return next(iter(self.services.instance_by_service.values()))


@dataclass
class EntryModel:
    """The parts of one entry that route service requests."""

    view: View
    in_force: InForce
    peers: PeersModel
    relay: Relay


@dataclass
class Deployment:
    """A simulated deployment: all agents by VM, and all entries."""

    profile: Profile
    clock: Clock
    network: Network
    configuration: Configuration
    agent_by_vm: dict[VmName, AgentModel] = field(default_factory=dict)
    entries: list[EntryModel] = field(default_factory=list)
    timing: Timing = Timing()

    def peers(self, zone: str) -> PeersModel:
        """Return the peer connections of a process in `zone`."""
        return PeersModel(self.network, zone)

    def apply(self, configuration: Configuration) -> None:
        """Put a configuration in force at every entry."""
        for entry in self.entries:
            entry.in_force.adopt(configuration, self.clock())

    async def expire_ledgers(self) -> None:
        """Expire ledger entries periodically, as each agent's check does."""
        while True:
            await asyncio.sleep(LEDGER_EXPIRY_SECONDS)
            for agent in self.agent_by_vm.values():
                agent.services.ledger.expire(self.clock())


def configuration_of(
    profile: Profile,
    services: int = 1,
    *,
    revision: int = 1,
    zones_out: tuple[str, ...] = (),
) -> Configuration:
    """Return the profile's inventory and rules.

    Parameters: `services` is the number of services, which are assigned to the VMs in
    turn, one to each VM.
    """
    vms = [
        Vm(
            name=f"vm-{number}",
            zone=profile.zones[number % len(profile.zones)],
            rack=f"rack-{number // 3}",
            cores=profile.cores,
            memory_mb=profile.memory_mb,
        )
        for number in range(profile.workers)
    ]
    service_list = [_service(profile, vms, n, services) for n in range(services)]
    team = Team(
        name=TEAM,
        cores=profile.cores * profile.workers,
        memory_mb=profile.memory_mb * profile.workers,
    )
    zones = [Zone(name=zone, region="home") for zone in profile.zones]
    return Configuration(
        revision=Revision(revision),
        inventory=Inventory(zones=zones, vms=vms, services=service_list),
        rules=Rules(teams=[team]),
        zones_out=list(zones_out),
    )


def service_name(profile: Profile, number: int) -> ServiceName:
    """Return the name of the profile's service with this number."""
    return ServiceName(profile.service if not number else f"{profile.service}-{number}")


def service_number(profile: Profile, vm: int, services: int) -> int:
    """Return the number of a VM's service; each zone gets all services in turn."""
    return vm // len(profile.zones) % services


def _service(profile: Profile, vms: list[Vm], number: int, services: int) -> Service:
    return Service(
        name=service_name(profile, number),
        vms=[
            vm.name
            for index, vm in enumerate(vms)
            if service_number(profile, index, services) == number
        ],
        cores=profile.slots,
        memory_mb=profile.memory_mb // 8,
        slots=profile.slots,
        connections=profile.connections,
        queue=profile.queue,
        deadline_seconds=profile.deadline,
        latency_target_seconds=profile.work_mean * 4,
    )


def build(
    profile: Profile, policy: Policy, clock: Clock, seed: int, services: int = 1
) -> Deployment:
    """Return a deployment that routes and admits as `policy` says."""
    configuration = configuration_of(profile, services)
    deployment = Deployment(profile, clock, Network(profile.zone_delay), configuration)
    for number, vm in enumerate(configuration.inventory.vms):
        service = configuration.inventory.services[
            service_number(profile, number, services)
        ]
        member = _agent_member(vm, FIRST_PORT + number, service.name)
        deployment.agent_by_vm[VmName(vm.name)] = _agent(
            deployment, member, service, policy
        )
    members = [agent.member for agent in deployment.agent_by_vm.values()]
    for number in range(profile.entries):
        entry = _entry(deployment, number, policy, seed)
        entry.view.merge_all(members, clock())
        deployment.entries.append(entry)
    deployment.apply(configuration)
    return deployment


def _agent_member(vm: Vm, port: int, service: str) -> Member:
    return Member(
        node=NodeId(f"agent-{vm.name}"),
        role=Role.AGENT,
        host="127.0.0.1",
        port=port,
        zone=ZoneName(vm.zone),
        vm=VmName(vm.name),
        incarnation=Incarnation(1),
        version=1,
        state=MemberState.ALIVE,
        services=[ServiceName(service)],
        shards=[ShardId(0)] if port == FIRST_PORT else [],
    )


def _agent(
    deployment: Deployment, member: Member, service: Service, policy: Policy
) -> AgentModel:
    model = EndpointModel(deployment.profile.slots)
    services = Services(
        {},
        incarnation=member.incarnation,
        clock=deployment.clock,
        timing=deployment.timing,
        closed_reason=lambda: agent.closed_reason,
        wait_for_fresh_view=_view_is_fresh,
        close_older=lambda _: None,
        max_answer_bytes=1 << 20,
        kept_answer_bytes=32 << 20,
    )
    instance = ServiceInstance(service, model)  # type: ignore[arg-type]
    if not policy.limits:
        instance.slots.slots = NO_LIMIT
    services.instance_by_service[ServiceName(service.name)] = instance
    handlers = services.handlers()

    async def handle(message: AnyMessage) -> AnyMessage:
        return await handlers[type(message)](None, message, None)  # type: ignore[arg-type]

    server = Server(member, handle)
    deployment.network.add(server)
    agent = AgentModel(member, services, model, server)
    return agent


def _entry(
    deployment: Deployment, number: int, policy: Policy, seed: int
) -> EntryModel:
    zone = deployment.profile.zones[number % len(deployment.profile.zones)]
    me = Member(
        node=NodeId(f"entry-{number}"),
        role=Role.ENTRY,
        host="127.0.0.1",
        port=number,
        zone=ZoneName(zone),
        vm=VmName(""),
        incarnation=Incarnation(1),
        version=1,
        state=MemberState.ALIVE,
        services=[],
        shards=[],
    )
    view = View(me, random.Random(f"{seed}/view/{number}"))
    in_force = InForce()
    peers = PeersModel(deployment.network, zone)
    relay = Relay(
        view,
        in_force,
        peers,  # type: ignore[arg-type]
        clock=deployment.clock,
        choose=selector_for(policy.routing, random.Random(f"{seed}/route/{number}")),
        rng=random.Random(f"{seed}/relay/{number}"),
        ids=RequestIds(me.node, me.incarnation, SECRET),
        wait_for_fresh_view=_view_is_fresh,
    )
    if policy.retry_always:
        relay.budget.spend = lambda: True  # type: ignore[method-assign]
        relay.endpoints = EndpointsIgnoringRefusals()
    return EntryModel(view, in_force, peers, relay)


async def _view_is_fresh() -> None:
    """Return at once: no process of the model is paused."""
