"""The share of a route's requests that a node admits."""

import random

from jujubetiller import clock

WINDOW_MS = 400.0

LEAST_SAMPLES = 4
"""Windows with fewer ended requests are joined to the next one."""

DELAY_TARGET_MS = 30.0
"""Requests are refused only while calls meet longer queues than this: failures
without queues have other causes, which fewer requests would not mend."""

LOWEST_SHARE = 0.05

LARGEST_CUT = 0.3
RAISE_STEP = 0.08


class RouteThrottle:
    """Admits fewer requests while those admitted fail for want of room.

    Answers the load in which a service deep in the chain is full: each request
    that fails there has used the services above it, so it is refused where it
    enters instead. ``tolerance`` is the share of failures that is borne; with a
    larger one for more important routes, the least important are cut first.
    """

    def __init__(
        self, time_source: clock.Clock, random_source: random.Random, tolerance: float
    ) -> None:
        self.clock = time_source
        self.random = random_source
        self.tolerance = tolerance
        self.share = 1.0
        self.exempt = False
        """Whether the requests are calls of instances, on which others wait."""

        self.ended = 0
        self.failed = 0.0
        self.longest_delay_ms = 0.0
        self.window_ends_ms = time_source.now_ms() + WINDOW_MS

    def admits(self) -> bool:
        """Return whether the next request may be sent."""
        self._advance()
        if self.exempt:
            return True
        return self.share >= 1.0 or self.random.random() < self.share

    def record(self, failure: float, delay_ms: float) -> None:
        """Take in an ended request: 1 for a failure, a part of it for a late answer.

        ``delay_ms`` is the queueing delay that its answer told of.
        """
        self.ended += 1
        self.failed += failure
        self.longest_delay_ms = max(self.longest_delay_ms, delay_ms)
        self._advance()

    def _advance(self) -> None:
        now_ms = self.clock.now_ms()
        if now_ms < self.window_ends_ms:
            return
        self.window_ends_ms = now_ms + WINDOW_MS
        if self.ended < LEAST_SAMPLES and self.share >= 1.0:
            return
        self._adapt()
        self.ended, self.failed, self.longest_delay_ms = 0, 0.0, 0.0

    def _adapt(self) -> None:
        excess = self.failed / max(self.ended, 1) - self.tolerance
        if excess > 0.0 and self.longest_delay_ms > DELAY_TARGET_MS:
            cut = min(LARGEST_CUT, excess)
            self.share = max(LOWEST_SHARE, self.share * (1.0 - cut))
        else:
            self.share = min(1.0, self.share + RAISE_STEP)
