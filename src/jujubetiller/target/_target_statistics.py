"""Counters of the connections to the target."""

import attrs


@attrs.define
class TargetStatistics:
    """What happened on the connections to the target since the start."""

    connections_opened: int = 0
    connections_failed: int = 0
    connections_silent: int = 0
    """Connections closed because a deadline passed without a byte."""

    idle_discarded: int = 0
    """Idle connections closed by the bound or after a silent connection."""

    closed_early: int = 0
    responses_of_others: int = 0
    """Responses dropped because they belong to an earlier request."""
