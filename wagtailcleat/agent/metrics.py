"""Registers the metrics of an agent; `Agent` calls it once at start."""

from collections.abc import Mapping

from wagtailcleat.agent.attempts import Attempts
from wagtailcleat.agent.commitments import Commitments
from wagtailcleat.agent.interference import InterferenceController
from wagtailcleat.agent.services import Services
from wagtailcleat.batch.ownership import Ownership
from wagtailcleat.clock import Clock
from wagtailcleat.introspection import Introspection, Kind
from wagtailcleat.resources import Resources


def add_agent_metrics(
    introspection: Introspection,
    services: Services,
    attempts: Attempts,
    commitments: Commitments,
    ownership: Ownership,
    interference: InterferenceController,
    clock: Clock,
) -> None:
    """Register the metrics of services, attempts, resources and shards."""
    _add_services(introspection, services)
    _add_interference(introspection, interference)
    metric, labelled = introspection.metric, introspection.labelled
    metric(
        Kind.GAUGE,
        "tasks_running",
        "Batch tasks running on this VM.",
        lambda: len(attempts.running()),
    )
    metric(
        Kind.GAUGE,
        "shards_owned",
        "Batch shards that this process owns.",
        lambda: len(ownership.owner_by_shard),
    )
    labelled(
        Kind.GAUGE,
        "capacity",
        "What the VM holds: cores, megabytes, accelerators.",
        "resource",
        lambda: by_resource(commitments.capacity),
    )
    labelled(
        Kind.GAUGE,
        "free",
        "What of the VM is committed to nothing: cores, megabytes, accelerators.",
        "resource",
        lambda: by_resource(commitments.free(clock())),
    )


def _add_services(introspection: Introspection, services: Services) -> None:
    labelled = introspection.labelled
    instances = services.instance_by_service
    labelled(
        Kind.GAUGE,
        "service_requests_in_flight",
        "Requests that hold a slot, by service.",
        "service",
        lambda: {name: instance.slots.in_use for name, instance in instances.items()},
    )
    labelled(
        Kind.GAUGE,
        "service_requests_queued",
        "Requests that wait for a slot, by service.",
        "service",
        lambda: {name: instance.slots.queued for name, instance in instances.items()},
    )
    labelled(
        Kind.COUNTER,
        "service_requests_refused",
        "Requests refused as not run, by service.",
        "service",
        lambda: {name: instance.refused for name, instance in instances.items()},
    )
    labelled(
        Kind.COUNTER,
        "service_requests_failed",
        "Requests that the endpoint failed, by service.",
        "service",
        lambda: {name: instance.failed for name, instance in instances.items()},
    )
    introspection.latencies(
        "service_request_seconds",
        "From a slot to the endpoint's answer, by service.",
        "service",
        lambda: {name: instance.latencies for name, instance in instances.items()},
    )


def _add_interference(
    introspection: Introspection, controller: InterferenceController
) -> None:
    introspection.metric(
        Kind.GAUGE,
        "batch_offer",
        "Share of the VM offered to batch work for its services' sake.",
        lambda: controller.offered_share,
    )
    introspection.metric(
        Kind.COUNTER,
        "throttles",
        "Batch tasks held to a share of their cores for a service's sake.",
        lambda: controller.throttles,
    )
    introspection.metric(
        Kind.COUNTER,
        "neighbour_evictions",
        "Batch tasks evicted for a service's sake.",
        lambda: controller.evictions,
    )


def by_resource(amount: Resources) -> Mapping[str, float]:
    """Return the amounts of the resources by name."""
    return {
        "cores": amount.cores,
        "memory_mb": amount.memory_mb,
        "accelerators": amount.accelerators,
    }
