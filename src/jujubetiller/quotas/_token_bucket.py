"""The tokens of one team that a node has generated and not granted."""

from jujubetiller.quotas import _team_limit


class TokenBucket:
    """A bucket that fills by a share of a team's rate, up to that share of its depth.

    It starts empty, so that a restarted process has nothing of what its predecessor
    may have used. ``share_ms`` is the integral of the node's share over time; it must
    be settled before the share grows and after it shrinks.
    """

    __slots__ = ("limit", "settled_share_ms", "tokens")

    def __init__(self, limit: _team_limit.TeamLimit, share_ms: float) -> None:
        self.limit = limit
        self.settled_share_ms = share_ms
        self.tokens = 0.0

    def settle(self, share_ms: float, share: float) -> None:
        """Add what was generated, and truncate to the part of the depth."""
        added = self.limit.rate_per_ms * (share_ms - self.settled_share_ms)
        self.settled_share_ms = share_ms
        self.tokens = min(self.tokens + added, self.limit.depth * share)

    def set_limit(
        self, limit: _team_limit.TeamLimit, share_ms: float, share: float
    ) -> None:
        """Change rate and depth; what was generated before counts at the old rate."""
        self.settle(share_ms, share)
        self.limit = limit
        self.settle(share_ms, share)

    def take(self, amount: float) -> float:
        """Remove ``amount`` tokens or as many as there are, and return how many."""
        taken = min(amount, self.tokens)
        self.tokens -= taken
        return taken
