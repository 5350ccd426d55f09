"""The recent peak of the queueing delay."""

from jujubetiller import clock

HALF_LIFE_MS = 250.0


class PeakDelay:
    """Keeps the greatest recent queueing delay, which decays with time.

    A node records how long calls waited in its own queue and the delays reported
    by answers to its instance's calls, and reports the peak in each of its own
    answers. So the delay of a queue deep in a call chain reaches the entry node,
    one hop with each answer.

    >>> manual_clock = clock.ManualClock()
    >>> peak = PeakDelay(manual_clock)
    >>> peak.record(80.0)
    >>> manual_clock.advance(HALF_LIFE_MS)
    >>> peak.record(10.0)
    >>> peak.read()
    40.0
    """

    def __init__(self, time_source: clock.Clock) -> None:
        self.clock = time_source
        self.delay_ms = 0.0
        self.recorded_at_ms = time_source.now_ms()

    def record(self, delay_ms: float) -> None:
        """Record a delay."""
        if delay_ms > self.read():
            self.delay_ms = delay_ms
            self.recorded_at_ms = self.clock.now_ms()

    def read(self) -> float:
        """Return the greatest delay, reduced by its decay."""
        age_ms = self.clock.now_ms() - self.recorded_at_ms
        return float(self.delay_ms * 0.5 ** (age_ms / HALF_LIFE_MS))
