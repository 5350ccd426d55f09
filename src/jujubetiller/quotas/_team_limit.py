"""The rate and the depth that all nodes together have for one team."""

import math

import attrs

from jujubetiller import settings

TOKEN_LIFE_MS = 1_000.0
"""A granted token expires this long after the question for it was sent."""

KNOWLEDGE_MS = 3_500.0
"""A node generates tokens only while its knowledge of the store is younger. A longer
time bears longer outages of the store, and prolongs the wait after a total restart."""

LISTED_MS = 1.05 * KNOWLEDGE_MS
"""A node generates tokens only after it was listed this long. The factor covers clocks
that differ by 2% and the time that a delegation adds, see docs/design/quotas.md."""

DELEGATION_MS = 1_500.0
"""The longest time for which a share is delegated."""

ROUND_MS = 300.0
"""Mean pause between two questions of a node to its coordinator."""

CLOCK_MARGIN = 0.03
"""Part by which a node prolongs the time of a share that another one uses: two clocks
may differ by 2%."""

RATE_PART = 0.9
"""Part of a team's rate that is generated all the time. The pool gives the rest, and
bursts: in each window, it has what the bound leaves beside generation."""

DEPTH_AT_RATE_S = 0.2
"""Time of a team's rate that its buckets hold beside the slack of the bound, for
requests that come unevenly. The slack is most of what a small team has."""

_LIFE_S = 1.02
"""Tokens live ``TOKEN_LIFE_MS`` on a clock that is up to 1% slow, which is 1.0101 s;
rounded up."""

_FASTEST_CLOCK = 1.0125
"""Generating clocks may be 1% fast, and a token's life is counted in the same way, see
docs/design/quotas.md."""


def _find_covered_s(window_ms: int) -> float:
    """Return the seconds in which tokens may be granted that one window can use."""
    return (window_ms / 1000.0 + _LIFE_S) * _FASTEST_CLOCK


@attrs.frozen
class TeamLimit:
    """What all nodes together may generate for a team, hold, and grant from pools."""

    rate_per_ms: float
    """Tokens that are generated in each millisecond."""

    depth: float
    """Tokens that the buckets hold at most."""

    pool: float = 0.0
    """Tokens that can be granted in any ``covered_ms`` beside the generated ones."""

    covered_ms: float = round(
        _find_covered_s(settings.QuotaSettings().window_ms) * 1000.0, 6
    )
    """Time in which tokens may have been granted that are used in one window."""

    def is_lower(self, other: "TeamLimit") -> bool:
        """Return whether a part of the limit is below that of ``other``."""
        return (
            self.rate_per_ms < other.rate_per_ms
            or self.depth < other.depth
            or self.pool < other.pool
        )


def derive_limit(
    rate_per_s: float, burst: float, quota: settings.QuotaSettings
) -> TeamLimit:
    """Return the limit with which a team keeps the bound in each window.

    In a window, the stock at its start, what is generated in it, what was granted while
    tokens granted then can still be used, and the pool may be admitted. The pool is
    what the bound leaves; if that is nothing, the rate is lowered.

    >>> derive_limit(100.0, 40.0, settings.QuotaSettings())
    TeamLimit(rate_per_ms=0.09, depth=40.0, pool=106.4275, covered_ms=6095.25)
    """
    window_s = quota.window_ms / 1000.0
    bound = (rate_per_s * window_s + burst) * (1.0 + quota.overshoot) + quota.slack
    covered_s = _find_covered_s(quota.window_ms)
    depth = min(bound, max(1.0, DEPTH_AT_RATE_S * rate_per_s + quota.slack))
    generated_per_s = min(RATE_PART * rate_per_s, (bound - depth) / covered_s)
    pool = max(0.0, bound - depth - covered_s * generated_per_s)
    return TeamLimit(
        generated_per_s / 1000.0,
        round(depth, 6),
        math.floor(pool * 1e6) / 1e6,
        round(covered_s * 1000.0, 6),
    )
