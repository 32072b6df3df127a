"""`wagtailcleat-entry`: the composition root of the program on entry VMs."""

import asyncio
from pathlib import Path
from typing import Annotated, TypeVar

import cyclopts
from tornado.web import Application

from wagtailcleat.clock import Clock, boot_time, wall_time
from wagtailcleat.command_line import run_program
from wagtailcleat.configuration.follow import Follower
from wagtailcleat.daemon import run_daemon
from wagtailcleat.draining_server import DrainingServer
from wagtailcleat.entry.admin import admin_application
from wagtailcleat.entry.admin_base import AdminContext
from wagtailcleat.entry.callers import callers_application
from wagtailcleat.entry.context import CallersContext, CallersState
from wagtailcleat.entry.jobs import JobClient
from wagtailcleat.entry.lookup import ServiceLookup
from wagtailcleat.entry.metrics import add_entry_metrics
from wagtailcleat.entry.relay import Relay
from wagtailcleat.entry.serving import CallersServer
from wagtailcleat.logs import part_logger
from wagtailcleat.metrics import add_node_metrics
from wagtailcleat.node import Node, make_node
from wagtailcleat.process import (
    bind,
    bound_port,
)
from wagtailcleat.routing.choose import selector_for
from wagtailcleat.settings import EntrySettings
from wagtailcleat.wire.handshake import Role
from wagtailcleat.wire.membership import MemberState
from wagtailcleat.wire.request_ids import RequestIds

log = part_logger("entry")

MAX_HEADER_BYTES = 32 * 1024
MAX_ADMIN_BODY_BYTES = 1_000_000
ENDPOINT_CLEANUP_INTERVAL_SECONDS = 10.0

S = TypeVar("S", bound=DrainingServer)

app = cyclopts.App(name="wagtailcleat-entry", help=__doc__)


class Entry:
    """One running entry: the HTTP servers of callers and operators, and the relay.

    An entry is a reverse proxy: it relays requests to endpoints behind agents.
    """

    def __init__(
        self,
        settings: EntrySettings,
        *,
        clock: Clock = boot_time,
        wall_clock: Clock = wall_time,
    ) -> None:
        """Create all parts; only the peer port is served before `start`."""
        self.node: Node = make_node(
            settings, Role.ENTRY, clock=clock, wall_clock=wall_clock
        )
        node = self.node
        self.state = CallersState()
        self.relay = Relay(
            node.view,
            node.in_force,
            node.peers,
            clock=node.clock,
            choose=selector_for(settings.routing, node.rng("routing")),
            rng=node.rng("relay"),
            ids=RequestIds(
                node.view.me.node, node.view.me.incarnation, settings.secret
            ),
            wait_for_fresh_view=node.wait_for_fresh_view,
        )
        callers = CallersContext(
            self.relay,
            node.in_force,
            node.view,
            node.clock,
            self.state,
            settings.max_in_flight,
            settings.max_body_bytes,
            ServiceLookup(),
        )
        jobs = JobClient(
            node.view, node.in_force, node.peers, settings.shards, node.clock
        )
        admin = AdminContext(
            settings.admin_token,
            node.store,
            node.view,
            node.in_force,
            node.peers,
            node.gossiper,
            node.introspection,
            node.clock,
            jobs,
        )
        self.callers_server = _make_server(
            CallersServer,
            callers_application(callers, jobs),
            settings.max_body_bytes,
            settings,
        )
        self.callers_server.set_limits(self.state, settings.max_connections)
        self.admin_server = _make_server(
            DrainingServer, admin_application(admin), MAX_ADMIN_BODY_BYTES, settings
        )
        self._settings = settings
        self._add_dump_sections()

    def start(self) -> dict[str, int]:
        """Start the servers and background tasks; return the ports by name."""
        node, settings = self.node, self._settings
        follower = Follower(
            node.store,
            node.in_force,
            node.gossiper,
            clock=node.clock,
            rng=node.rng("follower"),
        )
        node.supervisor.spawn("configuration", follower.run)
        node.supervisor.spawn("forget", self._delete_departed_endpoints)
        node.start()
        callers = bind(settings.host, settings.http_port)
        self.callers_server.add_sockets(callers)  # type: ignore[arg-type]
        admin = bind(settings.host, settings.admin_port)
        self.admin_server.add_sockets(admin)  # type: ignore[arg-type]
        return {
            "peer_port": node.view.me.port,
            "http_port": bound_port(callers),
            "admin_port": bound_port(admin),
        }

    async def stop(self) -> None:
        """Fail the health check, drain requests in flight, then leave the cluster."""
        timing = self._settings.timing
        self.state.draining = True
        log.info("Draining before leaving the cluster")
        await self.node.change_me(state=MemberState.LEAVING)
        # The load balancer sends new requests until it has seen the health check fail.
        await asyncio.sleep(timing.balancer_notice)
        self.state.stop_watchers.set()
        await asyncio.gather(
            self.callers_server.drain(timing.drain),
            self.admin_server.drain(timing.drain),
        )
        await self.admin_server.close_all_connections()
        await self.node.leave()

    async def _delete_departed_endpoints(self) -> None:
        while True:
            nodes = {m.node for m in self.node.view.live()}
            self.relay.endpoints.keep_only(nodes)
            await asyncio.sleep(ENDPOINT_CLEANUP_INTERVAL_SECONDS)

    def _add_dump_sections(self) -> None:
        add = self.node.introspection.add
        state, relay = self.state, self.relay
        add("requests_in_flight", lambda: state.in_flight)
        add("draining", lambda: state.draining)
        add("refused", lambda: state.refused)
        add("connections_turned_away", lambda: state.rejected_connections)
        add("requests", lambda: relay.requests)
        add("retries", lambda: relay.retries)
        add("p50_ms", lambda: state.latencies.get_value_at_percentile(50) / 1000)
        add("p99_ms", lambda: state.latencies.get_value_at_percentile(99) / 1000)
        add("endpoints", self._endpoint_statistics)
        add_node_metrics(self.node.introspection, self.node)
        add_entry_metrics(self.node.introspection, state, relay)

    def _endpoint_statistics(self) -> dict[str, object]:
        now = self.node.clock()
        records = self.relay.endpoints.record_by_node
        return {
            node: {
                "latency_ms": round(record.latency * 1000, 3),
                "in_flight": record.in_flight,
                "ejected": record.is_ejected(now),
            }
            for node, record in records.items()
        }


def _make_server(
    kind: type[S],
    application: Application,
    max_body_bytes: int,
    settings: EntrySettings,
) -> S:
    return kind(
        application,
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=max_body_bytes,
        idle_connection_timeout=settings.idle_connection,
        body_timeout=settings.slow_body,
    )


@app.default
def run(
    *,
    settings: Annotated[Path, cyclopts.Parameter(help="Settings file, JSON.")],
    check: Annotated[bool, cyclopts.Parameter(help="Only check the settings.")] = False,
) -> int:
    """Serve callers and operators on an entry VM."""
    return run_daemon(settings, EntrySettings, Entry, check=check)


def main() -> None:
    """Run the program."""
    run_program(app)


if __name__ == "__main__":
    main()
