"""Counters of the connections to the target."""

import attrs


@attrs.define
class TargetStatistics:
    """Counts of events on the connections to the target since the node started."""

    connections_opened: int = 0
    connections_failed: int = 0
    connections_silent: int = 0
    """Connections closed because a deadline passed before any byte was received."""

    idle_discarded: int = 0
    """Idle connections closed because the pool was full or another one was silent."""

    held_bytes_refused: int = 0
    """Responses dropped because all responses together occupied too much memory."""

    responses_invalid: int = 0
    """Responses that are not HTTP/1.1 or whose status is none of a final answer."""

    closed_early: int = 0
    responses_of_others: int = 0
    """Responses dropped because they belong to an earlier request."""
