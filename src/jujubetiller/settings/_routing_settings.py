"""Settings of the choice among instances."""

import attrs

from jujubetiller.settings import _fields


@attrs.frozen
class RoutingSettings:
    """Timing and bounds of the choice among instances."""

    slow_start_ms: int = _fields.whole_number(10_000, 0, 600_000)

    spill_step: float = _fields.real_number(0.05, 0.001, 1.0)
    """Change per second of the share that goes to other zones."""

    spill_highest: float = _fields.real_number(0.8, 0.0, 1.0)

    other_zone_instances: int = _fields.whole_number(3, 1, 1_000)
    """Instances of a service in other zones that this node may call."""

    probe_ms: int = _fields.whole_number(500, 10, 60_000)
    """Pause between two probes of an unreachable instance."""
