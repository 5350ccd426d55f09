"""The timer that detects attempts whose answer may be lost."""

from collections.abc import Callable
from typing import Any

from jujubetiller import calls
from jujubetiller.mesh import _mesh_parts

OVERDUE_FACTOR = 6.0
"""After this many times the usual duration, an attempt's answer may be lost."""

MIN_OVERDUE_MS = 150.0

MAX_OVERDUE_QUEUE_DELAY_MS = 20.0
"""With longer queueing delays, a slow answer does not indicate a lost one."""


class OverdueTimer:
    """Calls a callback if an attempt takes far longer than usual for no known reason.

    Queues explain a late answer, and a planned stop must not cancel a request that a
    target may be running.
    """

    __slots__ = ("overdue", "parts", "timer")

    def __init__(self, parts: _mesh_parts.MeshParts) -> None:
        self.parts = parts
        self.overdue: Callable[[], None] | None = None
        """Set while the timer runs: it mostly refers to the owner of the timer."""

        self.timer: Any = None

    def start(
        self,
        service: str,
        kind: str,
        deadline: calls.Deadline,
        overdue: Callable[[], None],
    ) -> None:
        """Start the timer, if a retry would end before the deadline."""
        usual_ms = self.parts.router.average_ms(service, kind)
        if usual_ms is None:
            return
        overdue_ms = max(MIN_OVERDUE_MS, OVERDUE_FACTOR * usual_ms)
        if overdue_ms + usual_ms < deadline.left_ms(self.parts.clock):
            self.overdue = overdue
            self.timer = self.parts.reactor.callLater(overdue_ms / 1000.0, self._expire)

    def cancel(self) -> None:
        """Cancel the timer of an attempt that has ended."""
        timer, self.timer = self.timer, None
        self.overdue = None
        if timer is not None:
            timer.cancel()

    def _expire(self) -> None:
        overdue = self.overdue
        self.timer = self.overdue = None
        if self.parts.delays.read() > MAX_OVERDUE_QUEUE_DELAY_MS:
            return
        if overdue is not None and not self.parts.state.draining:
            overdue()
