"""A gauge source with fixed values, for tests of the gauges."""

from jujubetiller import metrics


class FixedSource(metrics.GaugeSource):
    """Returns fixed values."""

    def platform_age_ms(self) -> float:
        return 1_500.0

    def ticket_number(self) -> int:
        return 42

    def limit(self) -> int:
        return 7

    def in_flight(self) -> int:
        return 6

    def queue_length(self) -> int:
        return 5
