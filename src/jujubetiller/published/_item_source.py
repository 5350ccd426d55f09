"""The interface of sources of published items."""

import abc
from collections.abc import Mapping


class ItemSource(abc.ABC):
    """Reads published items into a ``PublishedState`` until it is stopped."""

    @abc.abstractmethod
    def start(self) -> None:
        """Start reading."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stop reading."""

    @abc.abstractmethod
    def age_ms(self) -> float:
        """Return the time since the last successful read, or -1 before the first."""

    def read_counters(self) -> Mapping[str, float]:
        """Return the numbers of answers that the source rejected, by reason."""
        return {}

    @abc.abstractmethod
    def recovered_at_ms(self) -> float:
        """Return when the source last answered after an outage.

        The first answer after the start counts as such.
        """
