"""One reading for everything that one event causes."""

from jujubetiller.clock import _clock


class TurnClock(_clock.Clock):
    """Reads another clock once and repeats the reading until it expires.

    An event loop calls ``expire`` before it handles an event. A request asks for
    the time a dozen times while one event is handled, which takes microseconds.

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
        """Let the next reading be a new one."""
        self.reading_ms = None
