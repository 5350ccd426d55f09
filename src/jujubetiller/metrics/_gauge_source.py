"""The interface from which the gauges read their values."""

import abc


class GaugeSource(abc.ABC):
    """The current values of a node.

    They are read at each scrape, at no cost to a call.
    """

    @abc.abstractmethod
    def platform_age_ms(self) -> float:
        """Return the age of the newest known platform answer, or -1 if none."""

    @abc.abstractmethod
    def ticket_number(self) -> int:
        """Return the highest ticket number in force."""

    @abc.abstractmethod
    def limit(self) -> int:
        """Return the concurrency limit in force."""

    @abc.abstractmethod
    def in_flight(self) -> int:
        """Return the calls at the target."""

    @abc.abstractmethod
    def queue_length(self) -> int:
        """Return the calls in the queue."""
