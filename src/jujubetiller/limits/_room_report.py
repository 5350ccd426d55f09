"""What a target's node reports to callers about its load."""

import math

from jujubetiller.limits import _target_guard


def read_room(guard: _target_guard.TargetGuard) -> tuple[int, int]:
    """Return the room and the expected wait of a call that arrives now.

    Room is the number of calls that the target takes beyond those it has, negative for
    calls that wait. The wait is in milliseconds, rounded up, so that it is above zero
    whenever there is one. Whole numbers take few bytes in an answer.
    """
    queued = guard.queue_length
    limit = guard.reported_limit
    room = limit - guard.in_flight - queued
    if room > 0:
        return room, 0
    ahead = 1 - room
    return room, math.ceil(ahead * guard.mean_run_ms / max(1, limit))
