"""The metrics of one node."""

import importlib
from collections.abc import Iterable, Iterator
from typing import Any

from jujubetiller import codes
from jujubetiller.metrics import (
    _counter_group,
    _gauge,
    _gauge_source,
    _histogram,
    _labelled_counter,
)

MS_PER_SECOND = 1_000.0

# The node must add at most 0.55 ms to 99 % of calls, so the buckets are dense
# around that value.
ADDED_BUCKETS_SECONDS = (
    *(0.0001, 0.0002, 0.0003, 0.0004, 0.00055, 0.00075, 0.001, 0.0015, 0.002),
    *(0.005, 0.01, 0.025, 0.05, 0.1, 0.25),
)

# The longest deadline that a ticket may set is 25 s.
CALL_BUCKETS_SECONDS = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0),
    *(10.0, 25.0),
)

MAX_OUTCOME_LABELS = 3_000
MAX_RETRY_REASONS = 50
MAX_TABLES = 100

_NO_LABELS = ()


class NodeMetrics:
    """Counts the events of one node.

    Times are given in milliseconds and exported in seconds, the base unit of
    Prometheus.
    """

    def __init__(self) -> None:
        # Exported for all codes, so that a code that never occurred appears as 0.
        self.refusal_labels = {
            code.value: (str(code.value), code.name)
            for code, entry in codes.CODE_TABLE.items()
            if entry.outcome is not codes.Outcome.ANSWERED
        }
        self.refused = _labelled_counter.LabelledCounter(
            "refused",
            "Calls that ended not-run or unknown, by result code.",
            ("code", "name"),
            len(self.refusal_labels),
            self.refusal_labels.values(),
        )
        self.retries = _labelled_counter.LabelledCounter(
            "retries",
            "Sends beyond the first of a call, by reason.",
            ("reason",),
            MAX_RETRY_REASONS,
        )
        self.outcomes = _labelled_counter.LabelledCounter(
            "outcomes",
            "Ended calls by request kind, priority class and outcome.",
            ("kind", "priority_class", "outcome"),
            MAX_OUTCOME_LABELS,
        )
        self.bounds = _labelled_counter.LabelledCounter(
            "bound_refused",
            "Entries that a bounded table, queue, buffer or cache refused.",
            ("table",),
            MAX_TABLES,
        )
        self.drain_leftovers = _labelled_counter.LabelledCounter(
            "drain_leftovers",
            "Calls that had not ended when the drain time was over.",
            _NO_LABELS,
            1,
            (_NO_LABELS,),
        )
        self.added = _histogram.Histogram(
            "added_seconds",
            "Time that the node added to a call.",
            ADDED_BUCKETS_SECONDS,
        )
        self.call = _histogram.Histogram(
            "call_seconds",
            "Time from the arrival of a call to its end.",
            CALL_BUCKETS_SECONDS,
        )
        self.gauges: tuple[_gauge.Gauge, ...] = ()
        self.groups: dict[str, _counter_group.CounterGroup] = {}

    def count_refusal(self, code: int) -> None:
        """Count a call that ended with ``code``, unless it is the code of an answer."""
        labels = self.refusal_labels.get(code)
        if labels is not None:
            self.refused.add(labels)

    def count_retry(self, reason: str) -> None:
        """Count an attempt after the first of a call."""
        self.retries.add((reason,))

    def count_outcome(
        self, kind: str, priority_class: int, outcome: codes.Outcome
    ) -> None:
        """Count the end of a call."""
        self.outcomes.add((kind, str(priority_class), outcome.value))

    def count_bound(self, table: str, number: int = 1) -> None:
        """Count entries that were refused beyond the bound of ``table``."""
        self.bounds.add((table,), number)

    def count_drain_leftovers(self, number: int) -> None:
        """Count calls that had not ended when the drain time was over."""
        self.drain_leftovers.add(_NO_LABELS, number)

    def observe_added(self, added_ms: float) -> None:
        """Record the time that the node added to a call."""
        self.added.observe(added_ms / MS_PER_SECOND)

    def observe_call(self, took_ms: float) -> None:
        """Record the time from the arrival of a call to its end."""
        self.call.observe(took_ms / MS_PER_SECOND)

    def create_gauges(self, source: _gauge_source.GaugeSource) -> None:
        """Create the gauges, which read their values from ``source`` at each scrape."""
        self.gauges = (
            _gauge.Gauge("limit", "Concurrency limit in force.", source.limit),
            _gauge.Gauge("in_flight", "Calls at the target.", source.in_flight),
            _gauge.Gauge("queue_length", "Calls in the queue.", source.queue_length),
            _gauge.Gauge(
                "ticket_number",
                "Highest ticket number in force.",
                source.ticket_number,
            ),
            _gauge.Gauge(
                "platform_age_seconds",
                "Age of the newest word from the platform; negative if none.",
                lambda: source.platform_age_ms() / MS_PER_SECOND,
            ),
        )

    def export(self, groups: Iterable[_counter_group.CounterGroup]) -> None:
        """Export counters that the components of the node keep themselves.

        A group replaces an earlier one of the same name.
        """
        for group in groups:
            self.groups[group.name] = group

    def sources(self) -> Iterator[Any]:
        """Return everything that is exported."""
        yield from (self.refused, self.retries, self.outcomes, self.bounds)
        yield from (self.drain_leftovers, self.added, self.call)
        yield from self.gauges
        yield from self.groups.values()

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        # See the module for why it is imported this late.
        module = importlib.import_module("jujubetiller.metrics._render")
        text: bytes = module.render(tuple(self.sources()))
        return text
