"""Settings of load shedding at the entry node."""

import attrs

from jujubetiller.settings import _fields


@attrs.frozen
class PressureSettings:
    """How an entry node stores reported pressure and when it admits calls again."""

    most_keys: int = _fields.whole_number(1_024, 1, 100_000)
    """Pairs of service and request kind under pressure that are remembered."""

    reopen_ms: int = _fields.whole_number(1_500, 100, 60_000)
    """Time in which a level rises through all ranks in use if no report arrives."""

    report_weight: float = _fields.real_number(0.25, 0.01, 1.0)
    """Share of the distance to a reported level that one report covers."""

    probe_share: float = _fields.real_number(0.02, 0.0, 0.5)
    """Share of the calls due to be refused that are admitted as probes."""

    probe_interval_ms: int = _fields.whole_number(50, 1, 60_000)
    """The shortest time between two probes of one service and request kind."""
