"""The periodic checks of streams."""

import abc
from collections.abc import Callable, Iterable

from jujubetiller import clock

BUSY_CHECKS_PER_HEARTBEAT = 4
"""Checks of a busy stream per heartbeat interval; heartbeats and the detection of
silence are late by at most one interval between checks."""

MIN_INTERVAL_MS = 10.0


class Checked(abc.ABC):
    """What is checked for timeouts and heartbeats."""

    @abc.abstractmethod
    def tick(self, now_ms: float) -> None:
        """Check timeouts and heartbeats."""

    @abc.abstractmethod
    def is_busy(self) -> bool:
        """Return whether calls, a heartbeat or a connection attempt are pending."""


class StreamChecks:
    """Decides when streams are checked.

    Busy ones are checked several times in a heartbeat interval, all others once in it,
    so that the cost of idle streams stays low.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        heartbeat_ms: int,
        on_first_busy: Callable[[float], None],
    ) -> None:
        self.clock = time_source
        self.busy_interval_ms = max(
            MIN_INTERVAL_MS, heartbeat_ms / BUSY_CHECKS_PER_HEARTBEAT
        )
        self.idle_interval_ms = max(MIN_INTERVAL_MS, float(heartbeat_ms))
        self.on_first_busy = on_first_busy
        self.busy: dict[Checked, None] = {}
        self.next_busy_ms = 0.0
        self.next_idle_ms = 0.0

    def add_busy(self, checked: Checked) -> None:
        """Check ``checked`` often until it is no longer busy."""
        if not self.busy:
            self.next_busy_ms = self.clock.now_ms() + self.busy_interval_ms
            self.on_first_busy(self.next_busy_ms)
        self.busy[checked] = None

    def next_ms(self) -> float:
        """Return the time of the next check."""
        if not self.busy:
            return self.next_idle_ms
        return min(self.next_busy_ms, self.next_idle_ms)

    def run(self, now_ms: float, list_all: Callable[[], Iterable[Checked]]) -> None:
        """Run the checks that are due; ``list_all`` returns everything to check."""
        if now_ms >= self.next_idle_ms:
            self.next_idle_ms = now_ms + self.idle_interval_ms
            self.next_busy_ms = now_ms + self.busy_interval_ms
            for checked in list_all():
                checked.tick(now_ms)
                if checked.is_busy():
                    self.busy[checked] = None
        elif now_ms >= self.next_busy_ms:
            self.next_busy_ms = now_ms + self.busy_interval_ms
            for checked in tuple(self.busy):
                checked.tick(now_ms)
                if not checked.is_busy():
                    self.busy.pop(checked, None)
