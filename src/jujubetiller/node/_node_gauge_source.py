"""The values of a node that are exported as gauges."""

from jujubetiller import metrics
from jujubetiller.node import _node_parts


class NodeGaugeSource(metrics.GaugeSource):
    """Provides the current values of the node to the gauges."""

    def __init__(self, parts: _node_parts.NodeParts) -> None:
        self.parts = parts

    def platform_age_ms(self) -> float:
        """Return the age of the latest platform response, or -1 if there was none.

        The response may have been read by this node or by another one.
        """
        return self.parts.freshness.age_ms()

    def ticket_number(self) -> int:
        """Return the highest ticket number in force."""
        return self.parts.tickets.number

    def limit(self) -> int:
        """Return the concurrency limit in force."""
        return self.parts.guard.limit

    def in_flight(self) -> int:
        """Return the number of calls at the target."""
        return self.parts.guard.in_flight

    def queue_length(self) -> int:
        """Return the number of calls in the queue."""
        return self.parts.guard.queue_length
