"""The metrics of an entry, registered at its start."""

from wagtailcleat.entry.context import CallersState
from wagtailcleat.entry.relay import Relay
from wagtailcleat.introspection import Introspection, Kind


def add_entry_metrics(
    introspection: Introspection, state: CallersState, relay: Relay
) -> None:
    """Register the metrics of the callers' port and the relay."""
    metric = introspection.metric
    metric(
        Kind.COUNTER,
        "requests",
        "Service requests taken from callers.",
        lambda: relay.requests,
    )
    metric(
        Kind.COUNTER,
        "retries",
        "Service requests sent to a second endpoint.",
        lambda: relay.retries,
    )
    metric(
        Kind.COUNTER,
        "requests_refused",
        "Service requests refused as not run.",
        lambda: state.refused,
    )
    metric(
        Kind.COUNTER,
        "connections_turned_away",
        "Callers' connections closed as there were too many.",
        lambda: state.rejected_connections,
    )
    metric(
        Kind.GAUGE,
        "requests_in_flight",
        "Service requests and watchers in flight.",
        lambda: state.in_flight,
    )
    metric(
        Kind.GAUGE,
        "draining",
        "1 while this process leaves.",
        lambda: state.draining,
    )
    introspection.latencies(
        "request_seconds",
        "From a caller's request to its answer, all services.",
        "",
        lambda: {"": state.latencies},
    )
