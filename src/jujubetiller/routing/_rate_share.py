"""The share of its calls that a node sends to an instance with a rate limit."""

import math

import attrs

UPDATE_INTERVAL_MS = 500.0
"""About the time after which an instance's node measures the effect of a change."""

GAIN = 0.5
"""Exponent of a correction; with 1, the delay of the measurement causes oscillation."""

MIN_SHARE = 0.01

RECOVERY_FACTOR = 1.5
"""Growth in each interval once the instance names no limit any more."""

SILENCE_MS = 2_000.0
"""Without an answer for this long, the share grows with time, so that an instance that
gets no call is tried again."""

SILENCE_FACTOR_PER_S = 1.25


@attrs.define
class RateShare:
    """Follows what the node beside the instance admits of the offered calls.

    That node alone counts the calls of all nodes. Each of its answers tells the factor
    by which callers should change what they offer, which no caller could derive from
    its own calls. The limit itself holds at that node, however wrong this share is.
    """

    limit_per_s: float = 0.0
    """Requests a second that the instance takes from all nodes; 0 for no limit."""

    share: float = 1.0
    updated_at_ms: float = -math.inf
    stated_at_ms: float = -math.inf
    """When an answer last stated the limit."""

    def record(self, limit_per_s: float, admitted_share: float, now_ms: float) -> None:
        """Record what an answer of the instance's node states."""
        self.limit_per_s = limit_per_s
        self.stated_at_ms = now_ms
        if now_ms - self.updated_at_ms < UPDATE_INTERVAL_MS:
            return
        factor = RECOVERY_FACTOR
        if limit_per_s > 0.0:
            factor = admitted_share**GAIN
        self.share = min(1.0, max(MIN_SHARE, self.read(now_ms) * factor))
        self.updated_at_ms = now_ms

    def read(self, now_ms: float) -> float:
        """Return the share, 1 for all calls."""
        silent_s = (now_ms - self.updated_at_ms - SILENCE_MS) / 1_000.0
        if self.share >= 1.0 or silent_s <= 0.0:
            return self.share
        return min(1.0, self.share * SILENCE_FACTOR_PER_S ** min(silent_s, 60.0))

    def is_limited(self) -> bool:
        """Return whether the instance names a limit or still recovers from one."""
        return self.limit_per_s > 0.0 or self.share < 1.0
