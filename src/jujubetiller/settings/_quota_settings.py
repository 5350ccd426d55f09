"""Settings of the quotas of teams."""

import attrs

from jujubetiller.settings import _fields


@attrs.frozen
class QuotaSettings:
    """The bound that all nodes together keep for each team.

    In any window, a team has at most ``(rate * window + burst) * (1 + overshoot) +
    slack`` requests run. The window counts in seconds there, as rates are per second.
    """

    window_ms: int = _fields.whole_number(5_000, 500, 600_000)
    """The length of the window in milliseconds."""

    overshoot: float = _fields.real_number(0.25, 0.0, 10.0)
    """Part by which the bound exceeds rate and burst."""

    slack: float = _fields.real_number(20.0, 0.0, 1_000_000.0)
    """The requests that the bound allows beside that, at any rate."""
