"""The lowest sum of shares within a time."""

import collections


class LowestShare:
    """Keeps the lowest value of a sum of shares in the last ``covered_ms``.

    A share that another process used until lately counts only after that time: tokens
    that were granted with it may still belong to the same window.

    >>> lowest = LowestShare(covered_ms=6_000.0, now_ms=0.0)
    >>> lowest.record(0.25, now_ms=100.0)
    >>> lowest.read(now_ms=6_000.0)
    0.0
    >>> lowest.read(now_ms=6_100.0)
    0.25
    """

    __slots__ = ("covered_ms", "values")

    def __init__(self, covered_ms: float, now_ms: float) -> None:
        self.covered_ms = covered_ms
        self.values: collections.deque[tuple[float, float]] = collections.deque(
            [(now_ms, 0.0)]
        )
        """Times and values from then on. Values that a later, lower one makes needless
        are dropped, so that they rise from the first to the last."""

    def record(self, value: float, now_ms: float) -> None:
        """Record that the sum is ``value`` from now on."""
        start_ms = now_ms
        while self.values and self.values[-1][1] >= value:
            start_ms = self.values.pop()[0]
        # The value was not lower since then, which counts as this value.
        self.values.append((start_ms, value))

    def read(self, now_ms: float) -> float:
        """Return the lowest value in the last ``covered_ms``."""
        oldest_ms = now_ms - self.covered_ms
        while len(self.values) > 1 and self.values[1][0] <= oldest_ms:
            self.values.popleft()
        return self.values[0][1]
