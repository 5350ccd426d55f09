"""The timer of a stream pool."""

from collections.abc import Callable
from typing import Any

from jujubetiller import clock


class PoolTimer:
    """Calls ``tick`` when the next deadline passes.

    A periodic tick, 100 times a second, used 1.6% of a core in a pool without streams.
    """

    def __init__(
        self, reactor: Any, time_source: clock.Clock, tick: Callable[[], None]
    ) -> None:
        self.reactor = reactor
        self.clock = time_source
        self.tick = tick
        self.at_ms = 0.0
        """Time of the next tick."""

        self.delayed_call: Any = None

    def _run(self) -> None:
        self.delayed_call = None
        self.tick()

    def schedule(self, at_ms: float) -> None:
        """Schedule the next tick; ``tick`` must call this each time."""
        self.at_ms = at_ms
        self.delayed_call = self.reactor.callLater(self._delay_s(), self._run)

    def bring_forward(self, at_ms: float) -> None:
        """Move the next tick to ``at_ms`` if it is scheduled later."""
        if at_ms < self.at_ms and self.delayed_call is not None:
            self.at_ms = at_ms
            self.delayed_call.reset(self._delay_s())

    def _delay_s(self) -> float:
        return max(0.0, self.at_ms - self.clock.now_ms()) / 1000.0

    def stop(self) -> None:
        """Cancel the next tick."""
        if self.delayed_call is not None:
            self.delayed_call.cancel()
            self.delayed_call = None
