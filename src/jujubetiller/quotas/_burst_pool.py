"""Tokens of one team that can be granted again once a window has passed."""

import collections
import math

SLOT_MS = 50.0
"""Grants within one slot of this length are kept as one, as of the end of the slot."""


class BurstPool:
    """Grants up to its capacity in any time of ``covered_ms``.

    Unlike a bucket it does not fill slowly: what was granted returns as a whole. So a
    team gets its burst at once, and keeps to the bound in each window.

    >>> pool = BurstPool(covered_ms=6_000.0)
    >>> pool.take(8.0, now_ms=0.0, capacity=10.0)
    8.0
    >>> pool.room(now_ms=6_000.0, capacity=10.0)
    2.0
    >>> pool.room(now_ms=6_050.0, capacity=10.0)
    10.0
    """

    __slots__ = ("covered_ms", "granted", "used")

    def __init__(self, covered_ms: float) -> None:
        self.covered_ms = covered_ms
        self.granted: collections.deque[tuple[float, float]] = collections.deque()
        """Ends of slots and the amounts granted in them, the earliest first."""

        self.used = 0.0

    def room(self, now_ms: float, capacity: float) -> float:
        """Return how many tokens can be granted now."""
        while self.granted and self.granted[0][0] <= now_ms - self.covered_ms:
            self.used -= self.granted.popleft()[1]
        if not self.granted:
            self.used = 0.0
        return max(0.0, capacity - self.used)

    def is_unused(self, now_ms: float) -> bool:
        """Return whether nothing of what it granted can belong to a window any more."""
        self.room(now_ms, 0.0)
        return not self.granted

    def take(self, amount: float, now_ms: float, capacity: float) -> float:
        """Grant ``amount`` tokens, or as many as there are, and return how many."""
        taken = min(amount, self.room(now_ms, capacity))
        if taken <= 0.0:
            return 0.0
        self.used += taken
        slot_end_ms = (math.floor(now_ms / SLOT_MS) + 1) * SLOT_MS
        if self.granted and self.granted[-1][0] == slot_end_ms:
            taken_before = self.granted.pop()[1]
            self.granted.append((slot_end_ms, taken_before + taken))
        else:
            self.granted.append((slot_end_ms, taken))
        return taken
