"""The state dump and the metrics of a process, both bounded in size.

A dump larger than `MAX_DUMP_BYTES` is truncated. Names of metrics are fixed in the
code, and ids of attempts and requests are never used as names or labels: each would
create a time series, more than a monitoring system can store.
"""

import json
from collections.abc import Callable, Iterable, Iterator, Mapping
from enum import Enum

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import Metric
from prometheus_client.registry import Collector

MAX_DUMP_BYTES = 1024 * 1024
MAX_ITEMS = 200
REDUCED_MAX_ITEMS = 10
NAMESPACE = "wagtailcleat"
QUANTILES = (0.5, 0.9, 0.99, 0.999)
MICROSECONDS_PER_SECOND = 1_000_000

Section = Callable[[], object]
Values = Mapping[str, float]
"""A metric's value by label value, of which there are few."""


class Kind(Enum):
    """The type of a metric in Prometheus' terms."""

    GAUGE = "gauge"
    COUNTER = "counter"


class Introspection:
    """The registry of state dump sections and metrics of one process."""

    def __init__(self) -> None:
        """Start without sections and metrics."""
        self._registry = CollectorRegistry()
        self._section_by_name: dict[str, Section] = {}

    def __repr__(self) -> str:
        """Show the names of the sections."""
        return f"<Introspection {', '.join(self._section_by_name)}>"

    def add(self, name: str, section: Section) -> None:
        """Add a section to the state dump: what `section` returns, under `name`."""
        self._section_by_name[name] = section

    def metric(
        self, kind: Kind, name: str, help_text: str, read: Callable[[], float]
    ) -> None:
        """Add the metric `wagtailcleat_NAME`, with the value that `read` returns."""
        self.labelled(kind, name, help_text, "", lambda: {"": read()})

    def labelled(
        self,
        kind: Kind,
        name: str,
        help_text: str,
        label: str,
        read: Callable[[], Values],
    ) -> None:
        """Add a metric with one label; `read` returns its value by label value."""

        def collect() -> Metric:
            metric = Metric(f"{NAMESPACE}_{name}", help_text, kind.value)
            suffix = "_total" if kind is Kind.COUNTER else ""
            for labelled, value in read().items():
                labels = {label: labelled} if label else {}
                metric.add_sample(metric.name + suffix, labels, float(value))
            return metric

        self._registry.register(_CallbackCollector(collect))

    def latencies(
        self,
        name: str,
        help_text: str,
        label: str,
        read: Callable[[], Mapping[str, HdrHistogram]],
    ) -> None:
        """Add a summary of latencies in seconds from histograms in microseconds."""

        def collect() -> Metric:
            metric = Metric(f"{NAMESPACE}_{name}", help_text, "summary")
            for labelled, histogram in read().items():
                labels = {label: labelled} if label else {}
                _add_quantiles(metric, labels, histogram)
            return metric

        self._registry.register(_CallbackCollector(collect))

    def metrics(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self._registry)

    def state(self, sections: Iterable[str] = ()) -> dict[str, object]:
        """Return all sections of the state, or only those in `sections`."""
        selected = set(sections)
        return {
            name: section()
            for name, section in self._section_by_name.items()
            if not selected or name in selected
        }

    def text(self, sections: Iterable[str] = ()) -> str:
        """Return the state as JSON text of at most `MAX_DUMP_BYTES`.

        Where it is larger, limit all lists and objects to `MAX_ITEMS`, then to
        `REDUCED_MAX_ITEMS`, and at last return only the sections that are numbers.
        """
        state = self.state(sections)
        for max_items in (MAX_ITEMS, REDUCED_MAX_ITEMS):
            text = json.dumps(_truncated(state, max_items), default=str)
            if len(text) <= MAX_DUMP_BYTES:
                return text
        scalars = {n: v for n, v in state.items() if isinstance(v, int | float)}
        return json.dumps(scalars | {"cut": "the whole state is too large"})


class _CallbackCollector(Collector):
    """A collector of one metric, read at each scrape."""

    def __init__(self, collect: Callable[[], Metric]) -> None:
        self._collect = collect

    def collect(self) -> Iterator[Metric]:
        """Yield the metric."""
        yield self._collect()


def _add_quantiles(
    metric: Metric, labels: dict[str, str], histogram: HdrHistogram
) -> None:
    for quantile in QUANTILES:
        value = (
            histogram.get_value_at_percentile(quantile * 100) / MICROSECONDS_PER_SECOND
        )
        metric.add_sample(metric.name, labels | {"quantile": str(quantile)}, value)
    count = histogram.get_total_count()
    seconds = (
        histogram.get_mean_value() * count / MICROSECONDS_PER_SECOND if count else 0.0
    )
    metric.add_sample(f"{metric.name}_count", labels, count)
    metric.add_sample(f"{metric.name}_sum", labels, seconds)


def _truncated(value: object, max_items: int) -> object:
    if isinstance(value, dict):
        kept = list(value.items())[:max_items]
        truncated = {key: _truncated(inner, max_items) for key, inner in kept}
        left_out = len(value) - len(kept)
        return truncated | {"left_out": left_out} if left_out else truncated
    if isinstance(value, list | tuple):
        items = [_truncated(inner, max_items) for inner in value[:max_items]]
        left_out = len(value) - len(items)
        return [*items, f"{left_out} left out"] if left_out else items
    return value
