"""The interface of all clocks."""

import abc


class Clock(abc.ABC):
    """A monotonic time source in milliseconds.

    Only differences between two readings of the same clock have a meaning.
    Readings of two processes must never be compared.
    """

    @abc.abstractmethod
    def now_ms(self) -> float:
        """Return the current reading in milliseconds; it never decreases."""
