"""A request that has crashed instances."""

import attrs

from jujubetiller import settings

REFUSAL_GROWTH = 8.0
"""Each failed trial makes the refusal this many times longer. A request that comes for
hours is tried a few times in all, one that was blamed wrongly waits half a minute."""

CRASHES_BEFORE_VERDICT = 2
"""One that makes suspects, and one that shows which of them it is."""


@attrs.frozen
class Verdict:
    """The crashes that one request is blamed for."""

    crashes: int

    last_at_ms: float
    """When the last of them happened, on the local clock."""

    refused_until_ms: float
    """When the request may be tried again."""


def weigh_crash(
    verdict: Verdict | None,
    at_ms: float,
    crashes: int,
    crash_settings: settings.CrashSettings,
) -> Verdict:
    """Return the verdict with one of its ``crashes`` added, which was at ``at_ms``."""
    last_at_ms = at_ms if verdict is None else max(at_ms, verdict.last_at_ms)
    failed_trials = max(0, crashes - CRASHES_BEFORE_VERDICT)
    refusal_ms = min(
        crash_settings.first_refusal_ms * REFUSAL_GROWTH**failed_trials,
        crash_settings.highest_refusal_ms,
    )
    return Verdict(crashes, last_at_ms, last_at_ms + refusal_ms)
