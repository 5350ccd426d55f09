"""The share of a route's requests that a node admits."""

import math
import random

from jujubetiller import clock

WINDOW_MS = 250.0

MIN_SAMPLES = 3
"""A window with fewer answers is extended, up to ``MAX_WINDOW_MS``."""

MAX_WINDOW_MS = 1_000.0

FAILURE_DECAY_MS = 8_000.0
"""Time constant with which ``failure_rate_long_queue`` decays: how long a failure
marks its route as degraded by long queues."""

DEGRADED_FAILURE_EXCESS = 0.08
"""Routes whose failure rate rises by no more than this while queues are long are not
throttled: their answers report queues that they do not wait in."""

SAMPLE_WEIGHT = 0.03

MIN_SHARE = 0.03

MAX_CUT = 0.25

CUT_GAIN = 0.08
"""The part of the share that is cut when the delay is twice ``target_delay_ms``."""

RAISE_STEP = 0.04


class RouteThrottle:
    """Admits a lower share of requests while admitted ones meet long queues and fail.

    Sheds requests at the entry node when a service deep in the call chain is full,
    because each request that fails there has already used the services above it. The
    queueing delay is the same for all nodes and all routes to the full service, so a
    longer ``target_delay_ms`` for more important routes makes the nodes shed requests
    of less important routes first.
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
        """Whether the requests are calls of instances, whose callers wait for them."""

        self.failure_rate_long_queue = 0.0
        """Moving average of the share of failures while queues were long."""

        self.failure_rate_short_queue = 0.0
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
        """Record an ended request: 1 for a failure, a fraction for a late answer.

        ``delay_ms`` is the queueing delay that its answer reported.
        """
        self.samples += 1
        self.delay_sum_ms += delay_ms
        if delay_ms > self.target_delay_ms:
            self.failure_rate_long_queue += SAMPLE_WEIGHT * (
                failure - self.failure_rate_long_queue
            )
        else:
            self.failure_rate_short_queue += SAMPLE_WEIGHT * (
                failure - self.failure_rate_short_queue
            )
        self._advance()

    def is_degraded(self) -> bool:
        """Return whether long queues raise the route's failure rate."""
        return (
            self.failure_rate_long_queue - self.failure_rate_short_queue
            > DEGRADED_FAILURE_EXCESS
        )

    def _advance(self) -> None:
        elapsed_ms = self.clock.now_ms() - self.window_started_ms
        if elapsed_ms < WINDOW_MS:
            return
        if self.samples < MIN_SAMPLES and elapsed_ms < MAX_WINDOW_MS:
            return
        self._adapt()
        self.failure_rate_long_queue *= math.exp(-elapsed_ms / FAILURE_DECAY_MS)
        self.samples, self.delay_sum_ms = 0, 0.0
        self.window_started_ms += elapsed_ms

    def _adapt(self) -> None:
        delay_ms = self.delay_sum_ms / max(self.samples, 1)
        excess = delay_ms / self.target_delay_ms - 1.0
        if excess > 0.0 and self.is_degraded():
            cut = min(MAX_CUT, CUT_GAIN * excess)
            self.share = max(MIN_SHARE, self.share * (1.0 - cut))
        elif excess < -0.3:
            self.share = min(1.0, self.share + RAISE_STEP)
