"""The rate of an event."""

import math

from jujubetiller import clock

MS_PER_SECOND = 1_000.0


class RateMeter:
    """Estimates the events per second, with weights that decay with their age.

    >>> manual_clock = clock.ManualClock()
    >>> meter = RateMeter(manual_clock, 1_000.0)
    >>> for _ in range(300):
    ...     manual_clock.advance(20.0)
    ...     meter.record()
    >>> round(meter.per_s())
    50
    """

    def __init__(self, time_source: clock.Clock, time_constant_ms: float) -> None:
        self.clock = time_source
        self.time_constant_ms = time_constant_ms
        self.total = 0
        """All events since the start."""

        self.weight = 0.0
        self.updated_at_ms = time_source.now_ms()

    def record(self) -> None:
        """Count one event."""
        self.total += 1
        self._decay()
        self.weight += 1.0

    def per_s(self) -> float:
        """Return the estimated number of events per second."""
        self._decay()
        return self.weight * MS_PER_SECOND / self.time_constant_ms

    def _decay(self) -> None:
        now_ms = self.clock.now_ms()
        elapsed_ms = now_ms - self.updated_at_ms
        self.weight *= math.exp(-elapsed_ms / self.time_constant_ms)
        self.updated_at_ms = now_ms
