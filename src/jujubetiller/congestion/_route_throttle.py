"""The share of a route's requests that a node admits."""

import math
import random

from jujubetiller import clock

WINDOW_MS = 250.0

LEAST_SAMPLES = 3
"""Windows with fewer answers go on, up to ``LONGEST_WINDOW_MS``."""

LONGEST_WINDOW_MS = 1_000.0

FAILURE_MEMORY_MS = 8_000.0
"""How long a failure marks its route as one that full queues harm."""

HARMED_SHARE = 0.08
"""Routes that fail by no more than this more often while queues are long admit all:
their answers tell of queues that they do not wait in."""

SAMPLE_WEIGHT = 0.03

LOWEST_SHARE = 0.03

LARGEST_CUT = 0.25

CUT_GAIN = 0.08
"""The cut when the delay is twice the target."""

RAISE_STEP = 0.04


class RouteThrottle:
    """Admits fewer requests while those admitted meet long queues and fail.

    Answers the load in which a service deep in the chain is full: each request
    that fails there has used the services above it, so it is refused where it
    enters instead. The queueing delay is the same for all nodes and all routes to
    the full service; a longer ``target_delay_ms`` for a more important route lets
    the less important ones make room first.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        random_source: random.Random,
        target_delay_ms: float,
    ) -> None:
        self.clock = time_source
        self.random = random_source
        self.target_delay_ms = target_delay_ms
        self.share = 1.0
        self.exempt = False
        """Whether the requests are calls of instances, on which others wait."""

        self.failing_full = 0.0
        """Moving average of the share of failures while queues were long."""

        self.failing_free = 0.0
        """The same while they were short."""

        self.samples = 0
        self.delay_sum_ms = 0.0
        self.window_started_ms = time_source.now_ms()

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
        self.samples += 1
        self.delay_sum_ms += delay_ms
        if delay_ms > self.target_delay_ms:
            self.failing_full += SAMPLE_WEIGHT * (failure - self.failing_full)
        else:
            self.failing_free += SAMPLE_WEIGHT * (failure - self.failing_free)
        self._advance()

    def is_harmed(self) -> bool:
        """Return whether long queues make the route's requests fail."""
        return self.failing_full - self.failing_free > HARMED_SHARE

    def _advance(self) -> None:
        elapsed_ms = self.clock.now_ms() - self.window_started_ms
        if elapsed_ms < WINDOW_MS:
            return
        if self.samples < LEAST_SAMPLES and elapsed_ms < LONGEST_WINDOW_MS:
            return
        self._adapt()
        self.failing_full *= math.exp(-elapsed_ms / FAILURE_MEMORY_MS)
        self.samples, self.delay_sum_ms = 0, 0.0
        self.window_started_ms += elapsed_ms

    def _adapt(self) -> None:
        delay_ms = self.delay_sum_ms / max(self.samples, 1)
        excess = delay_ms / self.target_delay_ms - 1.0
        if excess > 0.0 and self.is_harmed():
            cut = min(LARGEST_CUT, CUT_GAIN * excess)
            self.share = max(LOWEST_SHARE, self.share * (1.0 - cut))
        elif excess < -0.3:
            self.share = min(1.0, self.share + RAISE_STEP)
