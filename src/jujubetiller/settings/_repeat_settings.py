"""Settings of the budget for second attempts."""

import attrs

from jujubetiller.settings import _fields


@attrs.frozen
class RepeatSettings:
    """How many second attempts one node may send to each service."""

    ratio: float = _fields.real_number(0.04, 0.0, 1.0)
    """Second attempts for each request of this node. A repeated request repeats the
    calls below it, so each of five layers may take a fifth of what the fleet may."""

    slack: float = _fields.real_number(3.0, 0.0, 10_000.0)
    """Second attempts in a window beyond the ratio, for this node alone."""

    window_ms: int = _fields.whole_number(10_000, 100, 600_000)
