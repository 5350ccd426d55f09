"""A limit that does not adapt."""

from jujubetiller.limits import _latency_sample, _limit_policy


class FixedLimitPolicy(_limit_policy.LimitPolicy):
    """Allows as many calls as the target has slots."""

    def __init__(self, slots: int) -> None:
        super().__init__(lowest=slots, highest=slots)

    def current_limit(self) -> int:
        """Return the number of slots."""
        return self.highest

    def record(self, sample: _latency_sample.LatencySample) -> None:
        """Ignore the sample."""
