"""Admission of calls under the rate limit of the target."""

from jujubetiller import clock
from jujubetiller.limits import _rate_limit, _rate_meter

BURST_MS = 500.0
"""Calls of this time at the limited rate may start at once after a pause."""

MIN_BURST = 5.0
"""Calls that may start at once however low the limit is. Calls arrive unevenly, so that
without a burst about half of what the target takes would be refused."""

RESERVED_SHARE_PER_CLASS = 0.1
"""Part of the burst that a priority class leaves to the next more important one."""

HIGHEST_RESERVING_CLASS = 2
"""Less important classes leave as much as this one."""

TARGET_LOAD = 1.2
"""Callers are to offer this many times the limit: with less, part of it stays unused
when their estimates are too low."""

MIN_ADMITTED_SHARE = 0.1
MAX_ADMITTED_SHARE = 2.0


class RateLimiter:
    """Spends one token for each call that starts; tokens are added at the limited rate.

    All requests to a target pass through the node beside it, so that its limit holds
    for all nodes together without a word between them. A few tokens are reserved for
    the more important classes, so that the least important calls are refused first.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        rate_limit: _rate_limit.RateLimit,
        offers: _rate_meter.RateMeter,
    ) -> None:
        self.clock = time_source
        self.rate_limit = rate_limit
        self.offers = offers
        self.tokens = 0.0
        """Starts at 0: the target names its first limit because it got too much."""

        self.refilled_at_ms = time_source.now_ms()

    def may_start(self, priority_class: int) -> bool:
        """Return whether a call of the class may start now.

        ``priority_class`` is 0 for the most important class.
        """
        if self.rate_limit.per_s is None:
            self.tokens = 0.0
            self.refilled_at_ms = self.clock.now_ms()
            return True
        self._refill(self.rate_limit.per_s)
        reserving = min(priority_class, HIGHEST_RESERVING_CLASS)
        reserved = reserving * RESERVED_SHARE_PER_CLASS * self._burst()
        return self.tokens >= 1.0 + reserved

    def record_start(self) -> None:
        """Spend the token of a call that starts."""
        if self.rate_limit.per_s is not None:
            self.tokens -= 1.0

    def admitted_share(self) -> float:
        """Return the factor by which callers should change what they offer.

        It is above 1 while the limit leaves room.
        """
        if self.rate_limit.per_s is None:
            return 1.0
        offered_per_s = self.offers.per_s()
        wanted_per_s = TARGET_LOAD * self.rate_limit.per_s
        if wanted_per_s >= MAX_ADMITTED_SHARE * offered_per_s:
            return MAX_ADMITTED_SHARE
        return max(MIN_ADMITTED_SHARE, wanted_per_s / offered_per_s)

    def _burst(self) -> float:
        per_s = self.rate_limit.per_s or 0.0
        return max(MIN_BURST, per_s * BURST_MS / _rate_meter.MS_PER_SECOND)

    def _refill(self, per_s: float) -> None:
        now_ms = self.clock.now_ms()
        elapsed_s = (now_ms - self.refilled_at_ms) / _rate_meter.MS_PER_SECOND
        self.refilled_at_ms = now_ms
        self.tokens = min(self._burst(), self.tokens + elapsed_s * per_s)
