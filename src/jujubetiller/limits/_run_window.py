"""The calls that ran while the limit had one value."""

import attrs

MIN_SAMPLES = 24
"""With fewer calls, random run times hide the effect of a fourth of the limit."""

_MAX_EXTENSION = 3.0
"""A window with fewer samples ends after this many times its length, if they are the
fewest that any decision takes."""

_LONGEST_EXTENSION = 12.0
"""A window ends after this many times its length whatever its samples. Two calls in
progress end every half of their run time, so that 12 windows of 1.5 run times have
more samples than the fewest."""

_FEWEST_SAMPLES = 6

_WINDOW_RUNS = 3.0
_MIN_WINDOW_MS = 50.0
_MAX_WINDOW_MS = 400.0
_MIN_WINDOW_RUNS = 1.5
"""Windows are longer than 400 ms if calls are: only those that start and end inside
count."""


@attrs.define
class RunWindow:
    """Sums over the calls that started and ended within the window."""

    started_at_ms: float
    length_ms: float
    samples: int = 0
    failed: int = 0
    ratio_sum: float = 0.0
    in_flight_sum: float = 0.0
    ended: int = 0
    """Calls that ended within the window, whenever they started."""

    ended_in_flight_sum: float = 0.0

    def add(self, ratio: float, in_flight: int, succeeded: bool) -> None:
        """Add a call; ``ratio`` is its run time relative to the baseline."""
        self.samples += 1
        self.in_flight_sum += in_flight
        if succeeded:
            self.ratio_sum += ratio
        else:
            self.failed += 1

    def add_ended(self, in_flight: int) -> None:
        """Count a call that ended, including one that started before the window."""
        self.ended += 1
        self.ended_in_flight_sum += in_flight

    def ended_in_flight(self) -> float:
        """Return the average number of calls in progress when calls ended."""
        return self.ended_in_flight_sum / self.ended if self.ended else 0.0

    def is_over(self, now_ms: float) -> bool:
        """Return whether the window has lasted long enough for its samples."""
        elapsed_ms = now_ms - self.started_at_ms
        if elapsed_ms < self.length_ms:
            return False
        if self.samples >= MIN_SAMPLES:
            return True
        extension = _MAX_EXTENSION if self.is_meaningful() else _LONGEST_EXTENSION
        return elapsed_ms >= extension * self.length_ms

    def lacks_calls(self, now_ms: float, in_flight: float) -> bool:
        """Return whether the window is late and had fewer calls in progress."""
        return (
            now_ms - self.started_at_ms >= _MAX_EXTENSION * self.length_ms
            and self.ended_in_flight() < in_flight
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


def start_window(now_ms: float, run_ms: float) -> RunWindow:
    """Return a window of a length for calls with the average run time ``run_ms``."""
    longest_ms = max(_MAX_WINDOW_MS, _MIN_WINDOW_RUNS * run_ms)
    length_ms = max(_MIN_WINDOW_MS, min(longest_ms, _WINDOW_RUNS * run_ms))
    return RunWindow(now_ms, length_ms)
