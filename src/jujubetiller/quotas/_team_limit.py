"""The rate and the depth that all nodes together have for one team."""

import attrs

from jujubetiller import settings

TOKEN_LIFE_MS = 1_000.0
"""A granted token expires this long after the question for it was sent."""

KNOWLEDGE_MS = 2_500.0
"""A node generates tokens only while its knowledge of the store is younger."""

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

_LIFE_S = 1.02
_FASTEST_CLOCK = 1.0125


@attrs.frozen
class TeamLimit:
    """What all nodes together may generate for a team, and hold in their buckets."""

    rate_per_ms: float
    depth: float

    def is_lower(self, other: "TeamLimit") -> bool:
        """Return whether the rate or the depth is below that of ``other``."""
        return self.rate_per_ms < other.rate_per_ms or self.depth < other.depth


def derive_limit(
    rate_per_s: float, burst: float, quota: settings.QuotaSettings
) -> TeamLimit:
    """Return the limit with which a team keeps the bound in each window.

    In a window, the stock at its start, what is generated in it, and what was granted
    while tokens granted then can still be used may be admitted. The depth is what the
    bound leaves beside generation; the rate is lowered if that is less than a token.

    >>> derive_limit(100.0, 40.0, settings.QuotaSettings())
    TeamLimit(rate_per_ms=0.1, depth=85.475)
    """
    window_s = quota.window_ms / 1000.0
    bound = (rate_per_s * window_s + burst) * (1.0 + quota.overshoot) + quota.slack
    covered_s = (window_s + _LIFE_S) * _FASTEST_CLOCK
    depth = bound - covered_s * rate_per_s
    if depth < 1.0:
        depth = min(1.0, bound)
        rate_per_s = (bound - depth) / covered_s
    return TeamLimit(rate_per_s / 1000.0, round(depth, 6))
