"""The timer that refuses expired entries of the queue."""

from typing import Any

from jujubetiller import clock
from jujubetiller.limits import _target_guard

MIN_DELAY_MS = 5.0
"""The shortest time between two checks of the queue."""


class GuardTimer:
    """Calls ``expire`` of a guard when the next entry expires.

    Nothing is scheduled while the queue is empty.
    """

    def __init__(
        self, reactor: Any, time_source: clock.Clock, guard: _target_guard.TargetGuard
    ) -> None:
        self.reactor = reactor
        self.clock = time_source
        self.guard = guard
        self.is_armed = False

    def arm(self) -> None:
        """Schedule the next check unless one is scheduled or the queue is empty."""
        if self.is_armed:
            return
        next_ms = self.guard.next_expiry_ms()
        if next_ms is None:
            return
        self.is_armed = True
        delay_ms = max(MIN_DELAY_MS, next_ms - self.clock.now_ms())
        self.reactor.callLater(delay_ms / 1000.0, self.expire)

    def expire(self) -> None:
        """Refuse expired entries and schedule the next check."""
        self.is_armed = False
        try:
            self.guard.expire()
        finally:
            self.arm()
