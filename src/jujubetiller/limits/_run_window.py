"""The calls that ran while the limit had one value."""

import attrs

MIN_SAMPLES = 24
"""With fewer calls, random run times hide the effect of a fourth of the limit."""

_MAX_EXTENSION = 3.0
"""A window without enough samples ends after this many times its length."""

_FEWEST_SAMPLES = 6


@attrs.define
class RunWindow:
    """Sums over the calls that started and ended within the window."""

    started_at_ms: float
    length_ms: float
    samples: int = 0
    failed: int = 0
    ratio_sum: float = 0.0
    in_flight_sum: float = 0.0

    def add(self, ratio: float, in_flight: int, succeeded: bool) -> None:
        """Add a call; ``ratio`` is its run time relative to the baseline."""
        self.samples += 1
        self.in_flight_sum += in_flight
        if succeeded:
            self.ratio_sum += ratio
        else:
            self.failed += 1

    def is_over(self, now_ms: float) -> bool:
        """Return whether the window has lasted long enough for its samples."""
        elapsed_ms = now_ms - self.started_at_ms
        if elapsed_ms < self.length_ms:
            return False
        return (
            self.samples >= MIN_SAMPLES or elapsed_ms >= _MAX_EXTENSION * self.length_ms
        )

    def is_meaningful(self) -> bool:
        """Return whether there are enough samples for any decision."""
        return self.samples - self.failed >= _FEWEST_SAMPLES

    def ratio(self) -> float:
        """Return the relative run time for each call that succeeded.

        Failed calls use slots without a result, so they count as longer run time.
        """
        succeeded = self.samples - self.failed
        return self.ratio_sum / succeeded * (self.samples / succeeded)

    def in_flight(self) -> float:
        """Return the average number of calls in progress."""
        return self.in_flight_sum / self.samples
