"""A limit that follows the gradient of the run time."""

import math

from jujubetiller.limits import _latency_sample, _limit_policy


class GradientLimitPolicy(_limit_policy.LimitPolicy):
    """Scales the limit by long-term over short-term run time.

    Each sample moves the limit towards ``limit * gradient + allowance``, where the
    gradient is ``tolerance * long / short`` between 0.5 and 1 and the allowance is
    the square root of the limit, which keeps a short queue that probes for room.

    A run time that stays high at half the limit is not caused by concurrency, so it
    becomes the long-term value at once.
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
        """Move the limit by one sample."""
        if not sample.succeeded:
            self._decrease(sample.at_ms)
            return
        self._update_averages(sample.run_ms)
        if 2 * sample.in_flight < self.limit:
            # An idle target says nothing about a higher limit.
            return
        gradient = self.tolerance * self.long_term_ms / max(self.short_term_ms, 0.001)
        gradient = max(0.5, min(1.0, gradient))
        if gradient == 1.0:
            self.limit_before_congestion = self.limit
        elif 2 * self.limit <= self.limit_before_congestion:
            self.long_term_ms = max(self.long_term_ms, self.short_term_ms)
        wanted = self.limit * gradient + math.sqrt(self.limit)
        # A tenth per round of calls would need seconds to reopen; one change of
        # 1/limit of the distance per sample follows the wanted value in one round.
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
