"""The metrics that entries and agents share."""

from collections import Counter

from wagtailcleat.introspection import Introspection, Kind
from wagtailcleat.node import Node
from wagtailcleat.wire.membership import MemberState


def add_node_metrics(introspection: Introspection, node: Node) -> None:
    """Add metrics of revision, membership, streams, store and restarts of `node`."""
    metric, labelled = introspection.metric, introspection.labelled
    metric(
        Kind.GAUGE,
        "configuration_revision",
        "Revision of the configuration in force here.",
        lambda: node.in_force.revision,
    )
    labelled(
        Kind.GAUGE,
        "members",
        "Members known, by state.",
        "state",
        lambda: _members(node),
    )
    labelled(
        Kind.GAUGE,
        "streams",
        "Streams to other processes, by who opened them.",
        "direction",
        lambda: {
            "opened": len(node.peers.streams),
            "accepted": len(node.listener.streams),
        },
    )
    metric(
        Kind.GAUGE,
        "store_up",
        "1 while the platform's store answers.",
        lambda: node.store.up,
    )
    metric(
        Kind.COUNTER,
        "store_calls",
        "Calls to the platform's store.",
        lambda: node.store.calls,
    )
    metric(
        Kind.COUNTER,
        "store_failures",
        "Calls to the platform's store that failed.",
        lambda: node.store.failures,
    )
    metric(
        Kind.COUNTER,
        "child_restarts",
        "Restarts of crashed parts of this process.",
        lambda: node.supervisor.restarts(),
    )


def _members(node: Node) -> dict[str, float]:
    counted = Counter(m.state for m in node.view.member_by_node.values())
    return {state.value: counted[state] for state in MemberState}
