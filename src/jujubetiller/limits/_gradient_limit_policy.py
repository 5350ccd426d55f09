"""A limit that follows the ratio of long-term to short-term run time."""

import math

from jujubetiller.limits import _latency_sample, _limit_policy


class GradientLimitPolicy(_limit_policy.LimitPolicy):
    """Lowers the limit when the recent run time exceeds its long-term average.

    Each sample moves the limit towards ``limit * gradient + allowance``. The gradient
    is ``tolerance * long_term_ms / short_term_ms``, clamped to between 0.5 and 1. The
    allowance is the square root of the limit; it permits a short queue at the target,
    which shows whether a higher limit is possible.

    If the run time is still high when the limit has fallen to half of its value before
    the congestion, concurrency is not the cause, and the run time becomes the long-term
    value at once.
    """

    def __init__(
        self,
        lowest: int,
        highest: int,
        tolerance: float = 1.5,
        initial: int | None = None,
    ) -> None:
        super().__init__(lowest, highest)
        self.tolerance = tolerance
        start = max(self.lowest, highest // 4) if initial is None else initial
        self.limit = float(min(start, highest))
        self.short_term_ms = 0.0
        self.long_term_ms = 0.0
        self.next_decrease_ms = 0.0
        self.limit_before_congestion = self.limit

    def current_limit(self) -> int:
        """Return the limit, from ``lowest`` to ``highest``."""
        return int(self.limit)

    def set_highest(self, highest: int) -> None:
        """Change the number of slots, which the limit never exceeds."""
        super().set_highest(highest)
        self.limit = min(self.limit, float(highest))

    def record(self, sample: _latency_sample.LatencySample) -> None:
        """Adjust the limit by one sample."""
        if not sample.succeeded:
            self._decrease(sample.at_ms)
            return
        self._update_averages(sample.run_ms)
        if 2 * sample.in_flight < self.limit:
            # A target with few calls does not show whether a higher limit is possible.
            return
        gradient = self.tolerance * self.long_term_ms / max(self.short_term_ms, 0.001)
        gradient = max(0.5, min(1.0, gradient))
        if gradient == 1.0:
            self.limit_before_congestion = self.limit
        elif 2 * self.limit <= self.limit_before_congestion:
            self.long_term_ms = max(self.long_term_ms, self.short_term_ms)
        wanted = self.limit * gradient + math.sqrt(self.limit)
        # A rise by a tenth per round of calls would take seconds to restore the limit.
        # A step of 1/limit of the distance per sample follows the wanted value within
        # one round.
        limit = self.limit + (wanted - self.limit) / max(self.limit, 5.0)
        self.limit = max(float(self.lowest), min(float(self.highest), limit))

    def _update_averages(self, run_ms: float) -> None:
        if self.long_term_ms == 0.0:
            self.short_term_ms = self.long_term_ms = run_ms
            return
        self.short_term_ms += 0.1 * (run_ms - self.short_term_ms)
        self.long_term_ms += 0.002 * (run_ms - self.long_term_ms)
        # After an overload the long-term value is too high and would hide the next
        # overload, so it falls faster than it rises.
        if self.long_term_ms > 1.5 * self.short_term_ms:
            self.long_term_ms *= 0.98

    def _decrease(self, now_ms: float) -> None:
        if now_ms < self.next_decrease_ms:
            return
        self.next_decrease_ms = now_ms + max(self.short_term_ms, 10.0)
        self.limit = max(float(self.lowest), self.limit * 0.9)
