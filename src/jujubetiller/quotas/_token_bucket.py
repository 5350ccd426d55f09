"""The tokens of one team that a node may grant."""

from jujubetiller.quotas import _burst_pool, _team_limit


class TokenBucket:
    """A bucket that fills by a share of a team's rate, and a pool for bursts beside it.

    The bucket holds up to the share of its depth. It starts empty, so that a restarted
    process has nothing of what its predecessor may have used. ``share_ms`` is the
    integral of the node's share over time; it must be settled before the share grows
    and after it shrinks. The pool has the part of its size that belongs to the lowest
    share in the time that one window covers.
    """

    __slots__ = ("limit", "pool", "settled_share_ms", "tokens")

    def __init__(self, limit: _team_limit.TeamLimit, share_ms: float) -> None:
        self.limit = limit
        self.settled_share_ms = share_ms
        self.tokens = 0.0
        self.pool = _burst_pool.BurstPool(limit.covered_ms)

    def settle(self, share_ms: float, share: float) -> None:
        """Add what was generated, and truncate to the part of the depth."""
        added = self.limit.rate_per_ms * (share_ms - self.settled_share_ms)
        self.settled_share_ms = share_ms
        self.tokens = min(self.tokens + added, self.limit.depth * share)

    def set_limit(
        self, limit: _team_limit.TeamLimit, share_ms: float, share: float
    ) -> None:
        """Change the limit; what was generated before counts at the old rate."""
        self.settle(share_ms, share)
        self.limit = limit
        self.pool.covered_ms = limit.covered_ms
        self.settle(share_ms, share)

    def available(self, lowest_share: float, now_ms: float) -> float:
        """Return the tokens that can be taken."""
        return self.tokens + self.pool.room(now_ms, self.limit.pool * lowest_share)

    def take(
        self, amount: float, lowest_share: float = 0.0, now_ms: float = 0.0
    ) -> float:
        """Remove ``amount`` tokens or as many as there are, and return how many.

        The pool is used for what the bucket does not have.
        """
        taken = min(amount, self.tokens)
        self.tokens -= taken
        rest = amount - taken
        if rest > 0.0 and lowest_share > 0.0:
            capacity = self.limit.pool * lowest_share
            taken += self.pool.take(rest, now_ms, capacity)
        return taken
