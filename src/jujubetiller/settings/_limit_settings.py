"""Settings of the concurrency limit in front of the target."""

import attrs

from jujubetiller.settings import _fields


@attrs.frozen
class LimitSettings:
    """The limit policy, the queue order and their bounds."""

    policy: str = _fields.choice("gradient", "fixed", "additive", "gradient")

    queue_order: str = _fields.choice("priority", "arrival", "priority")

    slots: int = _fields.whole_number(100, 1, 100_000)
    """Calls that the target can run at once; the limit never exceeds this."""

    lowest_limit: int = _fields.whole_number(2, 1, 10_000)

    queue_length: int = _fields.whole_number(64, 0, 100_000)

    queue_wait_ms: int = _fields.whole_number(100, 1, 60_000)
    """The longest wait in the queue."""

    congested_wait_ms: int = _fields.whole_number(20, 1, 60_000)
    """The longest wait of calls that join a congested queue."""

    congestion_interval_ms: int = _fields.whole_number(100, 1, 60_000)
    """A queue that was not empty for this long is congested."""

    max_connections: int = _fields.whole_number(2_000, 1, 100_000)
    """HTTP connections that each listener accepts."""

    max_calls: int = _fields.whole_number(10_000, 1, 1_000_000)
    """Calls under way at once that entered at this node."""
