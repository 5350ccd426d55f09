"""A clock that a test advances."""

from jujubetiller.clock import _clock


class ManualClock(_clock.Clock):
    """A clock whose reading changes only when a test advances it.

    >>> manual_clock = ManualClock()
    >>> manual_clock.advance(250)
    >>> manual_clock.now_ms()
    250.0
    """

    def __init__(self, start_ms: float = 0.0) -> None:
        self.reading_ms = float(start_ms)

    def now_ms(self) -> float:
        """Return the reading set by the last ``advance``."""
        return self.reading_ms

    def advance(self, duration_ms: float) -> None:
        """Move the clock forward by ``duration_ms``.

        Raises ``ValueError`` for a negative duration, because the clock is
        monotonic.
        """
        if duration_ms < 0:
            raise ValueError(f"duration_ms must not be negative, got {duration_ms}")
        self.reading_ms += duration_ms
