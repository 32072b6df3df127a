"""A deployment's deciding parts in one process, on a clock handed down."""

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
LEDGER_SWEEP_SECONDS = 1.0


class RecordNeverFull(EndpointRecord):
    """A record that forgets refusals, for the baseline that always retries."""

    def is_refusing(self, now: float) -> bool:
        """Tell that no refusal stands."""
        return False


class EndpointsNeverFull(Endpoints):
    """Records that forget refusals."""

    def record(self, node: NodeId) -> EndpointRecord:
        """Return the record of a node."""
        return self.record_by_node.setdefault(node, RecordNeverFull())


@dataclass
class AgentModel:
    """The parts of one agent that decide on service requests."""

    member: Member
    services: Services
    endpoint: EndpointModel
    server: Server
    closed_because: str = ""

    @property
    def instance(self) -> ServiceInstance:
        """The agent's only service."""
        return next(iter(self.services.instance_by_service.values()))


@dataclass
class EntryModel:
    """The parts of one entry that decide on service requests."""

    view: View
    in_force: InForce
    peers: PeersModel
    relay: Relay


@dataclass
class Deployment:
    """All agents by VM, and all entries."""

    profile: Profile
    clock: Clock
    network: Network
    configuration: Configuration
    agent_by_vm: dict[VmName, AgentModel] = field(default_factory=dict)
    entries: list[EntryModel] = field(default_factory=list)
    timing: Timing = Timing()

    def peers(self, zone: str) -> PeersModel:
        """Return what a process in `zone` calls others by."""
        return PeersModel(self.network, zone)

    def apply(self, configuration: Configuration) -> None:
        """Bring a configuration in force at every entry."""
        for entry in self.entries:
            entry.in_force.adopt(configuration, self.clock())

    async def sweep(self) -> None:
        """Let ledgers forget, as each agent's check does."""
        while True:
            await asyncio.sleep(LEDGER_SWEEP_SECONDS)
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

    Parameters: `services` stand on the VMs in turn, one on each VM.
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
    found = [_service(profile, vms, n, services) for n in range(services)]
    team = Team(
        name=TEAM,
        cores=profile.cores * profile.workers,
        memory_mb=profile.memory_mb * profile.workers,
    )
    zones = [Zone(name=zone, region="home") for zone in profile.zones]
    return Configuration(
        revision=Revision(revision),
        inventory=Inventory(zones=zones, vms=vms, services=found),
        rules=Rules(teams=[team]),
        zones_out=list(zones_out),
    )


def service_name(profile: Profile, number: int) -> ServiceName:
    """Return the name of a profile's service, by its number."""
    return ServiceName(profile.service if not number else f"{profile.service}-{number}")


def service_number(profile: Profile, vm: int, services: int) -> int:
    """Return which service stands on a VM: each zone gets all of them in turn."""
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
    """Wire a deployment that decides as `policy` says."""
    configuration = configuration_of(profile, services)
    made = Deployment(profile, clock, Network(profile.zone_delay), configuration)
    for number, vm in enumerate(configuration.inventory.vms):
        service = configuration.inventory.services[
            service_number(profile, number, services)
        ]
        member = _agent_member(vm, FIRST_PORT + number, service.name)
        made.agent_by_vm[VmName(vm.name)] = _agent(made, member, service, policy)
    members = [agent.member for agent in made.agent_by_vm.values()]
    for number in range(profile.entries):
        entry = _entry(made, number, policy, seed)
        entry.view.merge_all(members, clock())
        made.entries.append(entry)
    made.apply(configuration)
    return made


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
    made: Deployment, member: Member, service: Service, policy: Policy
) -> AgentModel:
    model = EndpointModel(made.profile.slots)
    services = Services(
        {},
        incarnation=member.incarnation,
        clock=made.clock,
        timing=made.timing,
        closed_reason=lambda: agent.closed_because,
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
    made.network.add(server)
    agent = AgentModel(member, services, model, server)
    return agent


def _entry(made: Deployment, number: int, policy: Policy, seed: int) -> EntryModel:
    zone = made.profile.zones[number % len(made.profile.zones)]
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
    peers = PeersModel(made.network, zone)
    relay = Relay(
        view,
        in_force,
        peers,  # type: ignore[arg-type]
        clock=made.clock,
        choose=selector_for(policy.routing, random.Random(f"{seed}/route/{number}")),
        rng=random.Random(f"{seed}/relay/{number}"),
        ids=RequestIds(me.node, me.incarnation, SECRET),
        is_view_fresh=lambda: True,
    )
    if policy.retry_always:
        relay.budget.spend = lambda: True  # type: ignore[method-assign]
        relay.endpoints = EndpointsNeverFull()
    return EntryModel(view, in_force, peers, relay)
