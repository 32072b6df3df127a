"""What a process shows of itself: the state dump and the metrics, both bounded.

A dump shows the state in full up to a size. A metric is named once, in the code; ids
of attempts and requests never become names or labels, or each would be a time series
of its own that no monitoring could keep.
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
FEW_ITEMS = 10
NAMESPACE = "wagtailcleat"
QUANTILES = (0.5, 0.9, 0.99, 0.999)
MICROSECONDS = 1_000_000

Section = Callable[[], object]
Values = Mapping[str, float]
"""A metric's value by label; the label names are fixed and few."""


class Kind(Enum):
    """How a metric moves."""

    GAUGE = "gauge"
    COUNTER = "counter"


class Introspection:
    """The state dump, section by section, and the metrics of one process."""

    def __init__(self) -> None:
        """Start without sections and metrics."""
        self._registry = CollectorRegistry()
        self._section_by_name: dict[str, Section] = {}

    def __repr__(self) -> str:
        """Show the names of the sections."""
        return f"<Introspection {', '.join(self._section_by_name)}>"

    def add(self, name: str, section: Section) -> None:
        """Show what `section` returns under `name` in the state dump."""
        self._section_by_name[name] = section

    def metric(
        self, kind: Kind, name: str, help_text: str, read: Callable[[], float]
    ) -> None:
        """Show what `read` returns as the metric `wagtailcleat_NAME`."""
        self.labelled(kind, name, help_text, "", lambda: {"": read()})

    def labelled(
        self,
        kind: Kind,
        name: str,
        help_text: str,
        label: str,
        read: Callable[[], Values],
    ) -> None:
        """Show what `read` returns as one metric with a value for each `label`."""

        def collect() -> Metric:
            metric = Metric(f"{NAMESPACE}_{name}", help_text, kind.value)
            suffix = "_total" if kind is Kind.COUNTER else ""
            for labelled, value in read().items():
                labels = {label: labelled} if label else {}
                metric.add_sample(metric.name + suffix, labels, float(value))
            return metric

        self._registry.register(_Reader(collect))

    def latencies(
        self,
        name: str,
        help_text: str,
        label: str,
        read: Callable[[], Mapping[str, HdrHistogram]],
    ) -> None:
        """Show histograms of microseconds as quantiles in seconds."""

        def collect() -> Metric:
            metric = Metric(f"{NAMESPACE}_{name}", help_text, "summary")
            for labelled, histogram in read().items():
                labels = {label: labelled} if label else {}
                _add_quantiles(metric, labels, histogram)
            return metric

        self._registry.register(_Reader(collect))

    def metrics(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self._registry)

    def state(self, sections: Iterable[str] = ()) -> dict[str, object]:
        """Return the whole state, or only the `sections` named."""
        wanted = set(sections)
        return {
            name: section()
            for name, section in self._section_by_name.items()
            if not wanted or name in wanted
        }

    def text(self, sections: Iterable[str] = ()) -> str:
        """Return the state as JSON text of at most `MAX_DUMP_BYTES`."""
        state = self.state(sections)
        for max_items in (MAX_ITEMS, FEW_ITEMS):
            text = json.dumps(_shortened(state, max_items), default=str)
            if len(text) <= MAX_DUMP_BYTES:
                return text
        flat = {n: v for n, v in state.items() if isinstance(v, int | float)}
        return json.dumps(flat | {"cut": "the whole state is too large"})


class _Reader(Collector):
    """One metric, read whenever the metrics are."""

    def __init__(self, collect: Callable[[], Metric]) -> None:
        self._collect = collect

    def collect(self) -> Iterator[Metric]:
        """Yield the metric."""
        yield self._collect()


def _add_quantiles(
    metric: Metric, labels: dict[str, str], histogram: HdrHistogram
) -> None:
    for quantile in QUANTILES:
        value = histogram.get_value_at_percentile(quantile * 100) / MICROSECONDS
        metric.add_sample(metric.name, labels | {"quantile": str(quantile)}, value)
    count = histogram.get_total_count()
    seconds = histogram.get_mean_value() * count / MICROSECONDS if count else 0.0
    metric.add_sample(f"{metric.name}_count", labels, count)
    metric.add_sample(f"{metric.name}_sum", labels, seconds)


def _shortened(value: object, max_items: int) -> object:
    if isinstance(value, dict):
        kept = list(value.items())[:max_items]
        short = {key: _shortened(inner, max_items) for key, inner in kept}
        left_out = len(value) - len(kept)
        return short | {"left_out": left_out} if left_out else short
    if isinstance(value, list | tuple):
        items = [_shortened(inner, max_items) for inner in value[:max_items]]
        left_out = len(value) - len(items)
        return [*items, f"{left_out} left out"] if left_out else items
    return value
