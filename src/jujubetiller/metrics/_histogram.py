"""A histogram with fixed buckets."""

import bisect


class Histogram:
    """Counts observations by bucket; ``bounds`` are the upper bounds in seconds."""

    def __init__(self, name: str, meaning: str, bounds: tuple[float, ...]) -> None:
        self.name = name
        self.meaning = meaning
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        """Observations by bucket; the last bucket has no upper bound."""

        self.total = 0.0

    def observe(self, seconds: float) -> None:
        """Count one observation; one that equals a bound is in the bucket below it."""
        self.counts[bisect.bisect_left(self.bounds, seconds)] += 1
        self.total += seconds
