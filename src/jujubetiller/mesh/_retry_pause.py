"""How long a refused client is told to wait."""

import random

import attrs

MIN_RETRY_AFTER_MS = 300.0
"""The shortest ``Retry-After`` time that a refused client is given."""

RETRY_AFTER_SPREAD_MS = 700.0
"""Retries of clients that were refused together are spread over this time."""

OVERLOADED_PAUSE_FACTOR = 4.0
"""What is added to the factor 1 of the pause when all requests of a route are refused
at their entry: the more are refused, the longer clients wait and spread out."""


@attrs.frozen
class RetryPause:
    """What is known about when a refused request may succeed."""

    shortest_ms: float | None = None
    """Time until tokens of the team's quota are expected; None for other refusals."""

    refused_share: float = 0.0
    """The part of such requests that is refused at the entry."""

    def draw_ms(self, random_source: random.Random) -> float:
        """Return the pause in milliseconds, which differs from client to client."""
        pause_ms = max(MIN_RETRY_AFTER_MS, self.shortest_ms or 0.0)
        pause_ms += RETRY_AFTER_SPREAD_MS * random_source.random()
        return pause_ms * (1.0 + OVERLOADED_PAUSE_FACTOR * self.refused_share)


DEFAULT = RetryPause()
