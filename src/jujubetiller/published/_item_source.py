"""The contract for what reads published items."""

import abc


class ItemSource(abc.ABC):
    """Reads published items into a ``PublishedState`` until it is stopped."""

    @abc.abstractmethod
    def start(self) -> None:
        """Start to read."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stop to read."""

    @abc.abstractmethod
    def age_ms(self) -> float:
        """Return the time since the last good answer, or -1 before the first."""

    @abc.abstractmethod
    def recovered_at_ms(self) -> float:
        """Return when the source last answered after an outage.

        The first answer after the start counts as such.
        """
