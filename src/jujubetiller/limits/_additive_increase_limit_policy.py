"""A limit with additive increase and multiplicative decrease."""

from jujubetiller.limits import _latency_sample, _limit_policy


class AdditiveIncreaseLimitPolicy(_limit_policy.LimitPolicy):
    """Grows by one per round of calls and shrinks by a factor under congestion.

    Congestion is a failed call, or a smoothed run time above ``tolerance`` times
    the baseline. The baseline follows lower run times quickly and higher ones slowly.
    If the run time is still high when the limit has fallen to half of its value before
    the congestion, concurrency is not the cause, and the run time becomes the baseline
    at once.

    Until the first congestion, the limit grows by one per call, so that it doubles in
    one round. When ``reopen_after_ms`` have passed without congestion, it grows by a
    tenth of itself per round, because one per round would take seconds to restore it.
    """

    def __init__(
        self,
        lowest: int,
        highest: int,
        tolerance: float = 2.0,
        decrease_factor: float = 0.8,
        initial: int | None = None,
        reopen_after_ms: float = 300.0,
    ) -> None:
        super().__init__(lowest, highest)
        self.tolerance = tolerance
        self.decrease_factor = decrease_factor
        start = max(self.lowest, highest // 4) if initial is None else initial
        self.limit = float(min(start, highest))
        self.reopen_after_ms = reopen_after_ms
        self.decreased_at_ms: float | None = None
        self.limit_before_congestion = self.limit
        self.short_term_ms = 0.0
        self.baseline_ms = 0.0
        self.next_decrease_ms = 0.0

    def current_limit(self) -> int:
        """Return the limit, from ``lowest`` to ``highest``."""
        return int(self.limit)

    def set_highest(self, highest: int) -> None:
        """Change the number of slots, which the limit never exceeds."""
        super().set_highest(highest)
        self.limit = min(self.limit, float(highest))

    def record(self, sample: _latency_sample.LatencySample) -> None:
        """Adjust the limit by one sample."""
        if sample.succeeded:
            self._update_averages(sample.run_ms)
        congested = (
            not sample.succeeded
            or self.short_term_ms > self.tolerance * self.baseline_ms
        )
        if congested:
            self._decrease(sample.at_ms)
        elif 2 * sample.in_flight >= self.limit:
            growth = self._growth(sample.at_ms)
            self.limit_before_congestion = self.limit
            self.limit = min(float(self.highest), self.limit + growth)

    def _growth(self, now_ms: float) -> float:
        if self.decreased_at_ms is None:
            return 1.0
        if now_ms - self.decreased_at_ms > self.reopen_after_ms:
            return max(0.1, 1.0 / self.limit)
        return 1.0 / self.limit

    def _update_averages(self, run_ms: float) -> None:
        if self.baseline_ms == 0.0:
            self.short_term_ms = self.baseline_ms = run_ms
            return
        self.short_term_ms += 0.1 * (run_ms - self.short_term_ms)
        # With a rise by 1/2,000 of the difference per call, a lasting slowdown becomes
        # the baseline within minutes, but a short overload does not.
        rate = 0.1 if self.short_term_ms < self.baseline_ms else 0.0005
        self.baseline_ms += rate * (self.short_term_ms - self.baseline_ms)

    def _decrease(self, now_ms: float) -> None:
        if now_ms < self.next_decrease_ms:
            return
        # Calls that started before the decrease end within one run time; their
        # samples must not count as a second congestion.
        self.next_decrease_ms = now_ms + max(self.short_term_ms, 10.0)
        self.decreased_at_ms = now_ms
        if 2 * self.limit <= self.limit_before_congestion:
            self.baseline_ms = max(self.baseline_ms, self.short_term_ms)
        self.limit = max(float(self.lowest), self.limit * self.decrease_factor)
