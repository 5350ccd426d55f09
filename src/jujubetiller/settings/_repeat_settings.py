"""Settings of the retry budget of a node."""

import attrs

from jujubetiller.settings import _fields


@attrs.frozen
class RepeatSettings:
    """How many retries one node may send to each service."""

    ratio: float = _fields.real_number(0.04, 0.0, 1.0)
    """Retries for each request of this node."""

    slack: float = _fields.real_number(3.0, 0.0, 10_000.0)
    """Retries in a window that each node may send to a service beyond the ratio. It
    bounds a node that knows only a few of the others."""

    fleet_slack: float = _fields.real_number(36.0, 0.0, 1_000_000.0)
    """Retries in a window that all nodes together may send to a service beyond the
    ratio. Each node takes an equal part, which may be far below one."""

    window_ms: int = _fields.whole_number(10_000, 100, 600_000)
