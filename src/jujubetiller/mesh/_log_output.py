"""The log output of a running node."""

from typing import Any

from jujubetiller import logs, metrics

FLUSH_INTERVAL_MS = 500.0

MS_PER_SECOND = 1_000.0


class LogOutput:
    """Writes lines that wait for a slow reader, and counts those that are dropped."""

    def __init__(
        self,
        reactor: Any,
        handler: logs.JsonLinesHandler,
        node_metrics: metrics.NodeMetrics,
    ) -> None:
        self.reactor = reactor
        self.handler = handler
        node_metrics.export([self.make_group()])

    def start(self) -> None:
        """Write waiting lines now, and periodically from now on."""
        self.reactor.callLater(FLUSH_INTERVAL_MS / MS_PER_SECOND, self.start)
        self.handler.output.flush()

    def make_group(self) -> metrics.CounterGroup:
        """Return the counters of log messages that were left out."""
        return metrics.CounterGroup(
            "logs",
            "Log messages left out: repeated too often, or not taken by the reader.",
            lambda: {
                "suppressed": self.handler.rate_limiter.suppressed_total,
                "dropped": self.handler.dropped_total,
            },
        )
