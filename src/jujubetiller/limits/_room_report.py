"""What a target's node reports to callers about its load."""

import math

import attrs

from jujubetiller.limits import _target_guard


@attrs.frozen
class RoomReport:
    """The room and the expected wait of a call that arrives now.

    Whole numbers take few bytes in an answer.
    """

    room: int
    """Calls that the target takes beyond those it has; negative if calls wait."""

    wait_ms: int
    """Expected wait in milliseconds, rounded up, so that it is above zero whenever
    there is one."""


def read_room(guard: _target_guard.TargetGuard) -> RoomReport:
    """Return the room and the expected wait at the target at present."""
    queued = guard.queue_length
    limit = guard.reported_limit
    room = limit - guard.in_flight - queued
    if room > 0:
        return RoomReport(room, 0)
    ahead = 1 - room
    wait_ms = math.ceil(ahead * guard.mean_run_ms / max(1, limit))
    return RoomReport(room, wait_ms)
