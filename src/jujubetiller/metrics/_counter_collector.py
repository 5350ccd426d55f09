"""Exports the counters that the components of a node keep themselves."""

from collections.abc import Iterable, Iterator

from prometheus_client import core, registry

from jujubetiller.metrics import _child_cache, _counter_group

MAX_EVENTS = 200
"""Events of one group that are exported separately; the rest are summed."""


class CounterCollector(registry.Collector):
    """Reads the counter groups at each scrape, at no cost to a call."""

    def __init__(self) -> None:
        self.groups: dict[str, _counter_group.CounterGroup] = {}

    def add(self, groups: Iterable[_counter_group.CounterGroup]) -> None:
        """Export ``groups``; a group replaces an earlier one of the same name."""
        for group in groups:
            self.groups[group.name] = group

    def collect(self) -> Iterator[core.Metric]:
        """Return the current values."""
        for group in self.groups.values():
            family_class = (
                core.CounterMetricFamily if group.is_counter else core.GaugeMetricFamily
            )
            family = family_class(
                f"jujubetiller_{group.name}", group.meaning, labels=("event",)
            )
            others = 0.0
            for index, (event, value) in enumerate(group.read().items()):
                if index < MAX_EVENTS:
                    family.add_metric((event,), value)
                else:
                    others += value
            if others:
                family.add_metric((_child_cache.OTHER,), others)
            yield family
