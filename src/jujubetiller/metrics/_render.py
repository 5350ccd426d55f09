"""Rendering of a node's metrics in the text format of Prometheus.

It is imported at the first scrape: prometheus_client takes a tenth of a node's start
time, mostly for a server of its own.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

import prometheus_client
from prometheus_client import core, exposition, registry, utils

from jujubetiller.metrics import (
    _counter_group,
    _gauge,
    _histogram,
    _labelled_counter,
)

PREFIX = "jujubetiller_"

MAX_EVENTS = 200
"""Events of one group that are exported separately; the rest are summed."""

Source = (
    _labelled_counter.LabelledCounter
    | _histogram.Histogram
    | _gauge.Gauge
    | _counter_group.CounterGroup
)


class MetricsCollector(registry.Collector):
    """Reads the metrics at each scrape, at no cost to a call."""

    def __init__(self, sources: Iterable[Source]) -> None:
        self.sources = sources

    def collect(self) -> Iterator[core.Metric]:
        """Return the current values."""
        for source in self.sources:
            yield _CONVERSIONS[type(source)](source)


def render(sources: Iterable[Source]) -> bytes:
    """Return ``sources`` and the figures of the process in the text format."""
    collectors = prometheus_client.CollectorRegistry()
    prometheus_client.ProcessCollector(registry=collectors)
    collectors.register(MetricsCollector(sources))
    return exposition.generate_latest(collectors)


def _convert_counter(counter: _labelled_counter.LabelledCounter) -> core.Metric:
    family = core.CounterMetricFamily(
        PREFIX + counter.name, counter.meaning, labels=counter.labels
    )
    for labels, value in counter.values.items():
        family.add_metric(labels, value)
    return family


def _convert_histogram(histogram: _histogram.Histogram) -> core.Metric:
    buckets: list[tuple[str, float]] = []
    count = 0
    for bound, number in zip(
        (*histogram.bounds, float("inf")), histogram.counts, strict=True
    ):
        count += number
        buckets.append((_format_bound(bound), count))
    family = core.HistogramMetricFamily(PREFIX + histogram.name, histogram.meaning)
    family.add_metric((), buckets, histogram.total)
    return family


def _format_bound(bound: float) -> str:
    text: str = utils.floatToGoString(bound)  # type: ignore[no-untyped-call]
    return text


def _convert_gauge(gauge: _gauge.Gauge) -> core.Metric:
    return core.GaugeMetricFamily(
        PREFIX + gauge.name, gauge.meaning, value=gauge.read()
    )


def _convert_group(group: _counter_group.CounterGroup) -> core.Metric:
    family_class = (
        core.CounterMetricFamily if group.is_counter else core.GaugeMetricFamily
    )
    family = family_class(PREFIX + group.name, group.meaning, labels=("event",))
    others = 0.0
    for index, (event, value) in enumerate(group.read().items()):
        if index < MAX_EVENTS:
            family.add_metric((event,), value)
        else:
            others += value
    if others:
        family.add_metric((_labelled_counter.OTHER,), others)
    return family


_CONVERSIONS: dict[type, Callable[[Any], core.Metric]] = {
    _labelled_counter.LabelledCounter: _convert_counter,
    _histogram.Histogram: _convert_histogram,
    _gauge.Gauge: _convert_gauge,
    _counter_group.CounterGroup: _convert_group,
}
