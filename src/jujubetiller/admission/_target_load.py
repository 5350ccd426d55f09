"""The factor by which the load offered to a target should change."""

import math

from jujubetiller import clock

WINDOW_MS = 150.0

WINDOW_WEIGHT = 0.6

GOAL = 0.92
"""Part of the target's slot time that offered calls are to fill. Fuller targets queue
calls for longer than they run."""

DRAINED_PART = 0.25
"""Part of the queue's work that is to be drained in one window."""

TOLERATED_WAIT_MS = 15.0
"""A queue up to this wait is usual at a target that is filled well."""

MIN_FACTOR = 0.5
MAX_FACTOR = 1.3

MIN_SHED_SHARE = 0.02
"""Fewer calls that the target sheds do not show that it is overloaded."""

MIN_LOAD_OF_SHEDDING = 0.4
"""Below this load, a target that sheds calls does so for another reason, and would
shed as many of fewer calls."""

REPORT_MS = 10_000.0
"""Factors are reported until the target was not overloaded for this long, so that
callers offer more again as soon as there is room."""


class TargetLoad:
    """Compares offered slot time with what the target takes, in short windows."""

    def __init__(self, time_source: clock.Clock) -> None:
        self.clock = time_source
        self.window_started_ms = time_source.now_ms()
        self.offered_ms = 0.0
        """Slot time of the calls offered in the current window."""

        self.ended = 0
        self.shed = 0
        self.load = 0.0
        """Moving average of offered slot time by available slot time."""

        self.shed_share = 0.0
        self.factor = 1.0
        self.overloaded_at_ms = -math.inf

    def record_offer(self, run_ms: float) -> None:
        """Count a call that takes a slot for ``run_ms``."""
        self.offered_ms += run_ms

    def record_end(self, was_taken: bool) -> None:
        """Count a call that ended; ``was_taken`` is False if the target shed it."""
        self.ended += 1
        self.shed += not was_taken

    def is_due(self) -> bool:
        """Return whether the current window is over."""
        return self.clock.now_ms() - self.window_started_ms >= WINDOW_MS

    def close_window(
        self,
        slots: int,
        queue_length: int,
        mean_run_ms: float,
        highest_factor: float = MAX_FACTOR,
    ) -> None:
        """Compute the factor from the window, and start the next one.

        ``slots`` is the present limit of the guard, ``mean_run_ms`` the mean slot time
        of its calls, ``highest_factor`` a bound on the factor for another reason than
        slot time.
        """
        now_ms = self.clock.now_ms()
        elapsed_ms = max(now_ms - self.window_started_ms, 1.0)
        tolerated_ms = max(slots, 1) * TOLERATED_WAIT_MS
        excess_ms = max(0.0, queue_length * mean_run_ms - tolerated_ms)
        load = (self.offered_ms + DRAINED_PART * excess_ms) / (
            max(slots, 1) * elapsed_ms
        )
        weight = 1.0 - (1.0 - WINDOW_WEIGHT) ** (elapsed_ms / WINDOW_MS)
        self.load += weight * (load - self.load)
        if self.ended:
            self.shed_share += weight * (self.shed / self.ended - self.shed_share)
        else:
            self.shed_share *= 1.0 - weight
        factor = min(GOAL / max(self.load, 1e-6), highest_factor)
        if self.shed_share > MIN_SHED_SHARE and self.load > MIN_LOAD_OF_SHEDDING:
            factor = min(factor, 1.0 - self.shed_share)
        self.factor = min(max(factor, MIN_FACTOR), MAX_FACTOR)
        if self.factor < 1.0:
            self.overloaded_at_ms = now_ms
        self.offered_ms, self.ended, self.shed = 0.0, 0, 0
        self.window_started_ms = now_ms

    def read(self) -> float | None:
        """Return the factor, or None if the target was not overloaded recently."""
        if self.clock.now_ms() - self.overloaded_at_ms > REPORT_MS:
            return None
        return self.factor
