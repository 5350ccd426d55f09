"""Pauses between failed attempts."""

import random

BASE_MS = 100.0

HIGHEST_MS = 10_000.0
"""With this pause, 8,000 failing watches of 4,000 nodes make about 1,070 attempts a
second, below the platform's rate limit of 2,000."""


class Backoff:
    """Doubles the pause with each failure; jitter shortens each pause by up to half."""

    def __init__(
        self, random_source: random.Random, highest_ms: float = HIGHEST_MS
    ) -> None:
        self.highest_ms = highest_ms
        self.random = random_source
        self.failures = 0

    def next_ms(self) -> float:
        """Count a failure and return the pause before the next attempt."""
        longest_ms = min(self.highest_ms, BASE_MS * 2.0 ** min(self.failures, 20))
        self.failures += 1
        return longest_ms * (0.5 + 0.5 * self.random.random())

    def reset(self) -> None:
        """Return to the shortest pause after a success."""
        self.failures = 0
