"""A clock that is read once per event of the event loop."""

from jujubetiller.clock import _clock


class TurnClock(_clock.Clock):
    """Reads another clock once and returns that reading until it expires.

    A turn is the handling of one event; the event loop calls ``expire`` before it.
    The code for a request reads the time a dozen times in a turn, which takes
    microseconds, so that one reading is precise enough for all of them.

    >>> from jujubetiller import clock
    >>> manual_clock = clock.ManualClock()
    >>> turn_clock = clock.TurnClock(manual_clock)
    >>> turn_clock.now_ms()
    0.0
    >>> manual_clock.advance(5)
    >>> turn_clock.now_ms()
    0.0
    >>> turn_clock.expire()
    >>> turn_clock.now_ms()
    5.0
    """

    def __init__(self, source: _clock.Clock) -> None:
        self.source = source
        self.reading_ms: float | None = None

    def now_ms(self) -> float:
        """Return the reading of this turn, in milliseconds."""
        reading_ms = self.reading_ms
        if reading_ms is None:
            reading_ms = self.reading_ms = self.source.now_ms()
        return reading_ms

    def expire(self) -> None:
        """Discard the reading, so that the next one reads the source clock."""
        self.reading_ms = None
