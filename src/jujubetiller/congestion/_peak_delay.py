"""The queueing delay that calls met lately."""

from jujubetiller import clock

HALF_LIFE_MS = 250.0


class PeakDelay:
    """A maximum that fades.

    The node beside an instance records how long calls waited in its own queue and
    the delays that answers to its instance's calls tell of, and tells the greatest
    with each of its own answers. So a queue deep in a call chain is known where
    requests enter, one hop for each answer.

    >>> manual_clock = clock.ManualClock()
    >>> memory = PeakDelay(manual_clock)
    >>> memory.record(80.0)
    >>> manual_clock.advance(HALF_LIFE_MS)
    >>> memory.record(10.0)
    >>> memory.read()
    40.0
    """

    def __init__(self, time_source: clock.Clock) -> None:
        self.clock = time_source
        self.delay_ms = 0.0
        self.recorded_at_ms = time_source.now_ms()

    def record(self, delay_ms: float) -> None:
        """Take in a delay."""
        if delay_ms > self.read():
            self.delay_ms = delay_ms
            self.recorded_at_ms = self.clock.now_ms()

    def read(self) -> float:
        """Return the greatest delay, less what has faded of it."""
        age_ms = self.clock.now_ms() - self.recorded_at_ms
        return float(self.delay_ms * 0.5 ** (age_ms / HALF_LIFE_MS))
