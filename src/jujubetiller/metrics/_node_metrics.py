"""The metrics of one node."""

from collections.abc import Iterable

import prometheus_client
from prometheus_client import exposition

from jujubetiller import codes
from jujubetiller.metrics import (
    _child_cache,
    _counter_collector,
    _counter_group,
    _gauge_source,
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


class NodeMetrics:
    """Counts the events of one node, in a registry of its own.

    Times are given in milliseconds and exported in seconds, the base unit of
    Prometheus.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        prometheus_client.ProcessCollector(registry=self.registry)
        refused = prometheus_client.Counter(
            "jujubetiller_refused",
            "Calls that ended not-run or unknown, by result code.",
            ("code", "name"),
            registry=self.registry,
        )
        # Children are created for all codes, so that a code that never occurred is
        # exported as 0.
        self.refused = {
            int(code): refused.labels(str(code.value), code.name)
            for code, entry in codes.CODE_TABLE.items()
            if entry.outcome is not codes.Outcome.ANSWERED
        }
        self.retries = _child_cache.ChildCache(
            prometheus_client.Counter(
                "jujubetiller_retries",
                "Sends beyond the first of a call, by reason.",
                ("reason",),
                registry=self.registry,
            ),
            label_count=1,
            highest=MAX_RETRY_REASONS,
        )
        self.outcomes = _child_cache.ChildCache(
            prometheus_client.Counter(
                "jujubetiller_outcomes",
                "Ended calls by request kind, priority class and outcome.",
                ("kind", "priority_class", "outcome"),
                registry=self.registry,
            ),
            label_count=3,
            highest=MAX_OUTCOME_LABELS,
        )
        self.bounds = _child_cache.ChildCache(
            prometheus_client.Counter(
                "jujubetiller_bound_refused",
                "Entries that a bounded table, queue, buffer or cache refused.",
                ("table",),
                registry=self.registry,
            ),
            label_count=1,
            highest=MAX_TABLES,
        )
        self.drain_leftovers = prometheus_client.Counter(
            "jujubetiller_drain_leftovers",
            "Calls that had not ended when the drain time was over.",
            registry=self.registry,
        )
        self.added = prometheus_client.Histogram(
            "jujubetiller_added_seconds",
            "Time that the node added to a call.",
            buckets=ADDED_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.call = prometheus_client.Histogram(
            "jujubetiller_call_seconds",
            "Time from the arrival of a call to its end.",
            buckets=CALL_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.collector = _counter_collector.CounterCollector()
        self.registry.register(self.collector)

    def count_refusal(self, code: int) -> None:
        """Count a call that ended with ``code``, unless it is the code of an answer."""
        counter = self.refused.get(code)
        if counter is not None:
            counter.inc()

    def count_retry(self, reason: str) -> None:
        """Count an attempt after the first of a call."""
        self.retries.get(reason).inc()

    def count_outcome(
        self, kind: str, priority_class: int, outcome: codes.Outcome
    ) -> None:
        """Count the end of a call."""
        self.outcomes.get(kind, str(priority_class), outcome.value).inc()

    def count_bound(self, table: str, number: int = 1) -> None:
        """Count entries that were refused beyond the bound of ``table``."""
        self.bounds.get(table).inc(number)

    def count_drain_leftovers(self, number: int) -> None:
        """Count calls that had not ended when the drain time was over."""
        self.drain_leftovers.inc(number)

    def observe_added(self, added_ms: float) -> None:
        """Record the time that the node added to a call."""
        self.added.observe(added_ms / MS_PER_SECOND)

    def observe_call(self, took_ms: float) -> None:
        """Record the time from the arrival of a call to its end."""
        self.call.observe(took_ms / MS_PER_SECOND)

    def create_gauges(self, source: _gauge_source.GaugeSource) -> None:
        """Create the gauges, which read their values from ``source`` at each scrape."""
        gauges = {
            "limit": ("Concurrency limit in force.", source.limit),
            "in_flight": ("Calls at the target.", source.in_flight),
            "queue_length": ("Calls in the queue.", source.queue_length),
            "ticket_number": (
                "Highest ticket number in force.",
                source.ticket_number,
            ),
            "platform_age_seconds": (
                "Age of the newest word from the platform; negative if none.",
                lambda: source.platform_age_ms() / MS_PER_SECOND,
            ),
        }
        for name, (meaning, function) in gauges.items():
            prometheus_client.Gauge(
                f"jujubetiller_{name}", meaning, registry=self.registry
            ).set_function(function)

    def export(self, groups: Iterable[_counter_group.CounterGroup]) -> None:
        """Export counters that the components of the node keep themselves."""
        self.collector.add(groups)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return exposition.generate_latest(self.registry)
