"""An epoll reactor with less overhead per event."""

import errno
import heapq
from typing import Any

from twisted.internet import epollreactor, main

from jujubetiller import clock


class DirectEpollReactor(epollreactor.EPollReactor):
    """Calls the transports directly and reads the time once per event.

    The base class enters a logging context for each event, which takes a tenth of
    a node's time and which the node's logs don't use. It still logs an exception
    in a transport's protocol and closes the connection.

    ``turn_clock`` also drives the timers, so steps of the system time don't shift
    them.
    """

    def __init__(self, turn_clock: clock.TurnClock) -> None:
        self.turn_clock = turn_clock
        super().__init__()  # type: ignore[no-untyped-call]

    def seconds(self) -> float:
        """Return the reading of the clock in seconds."""
        return self.turn_clock.now_ms() / 1000.0

    def runUntilCurrent(self) -> None:
        """Run the timers that are due."""
        self.turn_clock.expire()
        super().runUntilCurrent()

    def timeout(self) -> float | None:
        """Return the seconds until the next timer that is not cancelled.

        Most timers of calls are cancelled before they are due; the base class would
        still wake up for them.
        """
        self.turn_clock.expire()
        self._insertNewDelayedCalls()
        pending = self._pendingTimedCalls
        while pending and pending[0].cancelled:
            heapq.heappop(pending)
            self._cancellations -= 1
        return super().timeout()

    def doPoll(self, timeout: float | None) -> None:
        """Wait for events and handle them."""
        wait: Any = -1 if timeout is None else timeout
        try:
            events = self._poller.poll(wait, len(self._selectables))
        except OSError as error:
            if error.errno == errno.EINTR:
                return
            raise
        selectables = self._selectables
        handle = self._doReadOrWrite
        expire = self.turn_clock.expire
        for descriptor, event in events:
            selectable = selectables.get(descriptor)
            if selectable is not None:
                expire()
                handle(selectable, descriptor, event)  # type: ignore[no-untyped-call]

    doIteration = doPoll


def install(turn_clock: clock.TurnClock) -> None:
    """Install this reactor in the process; no other may be installed before."""
    main.installReactor(DirectEpollReactor(turn_clock))
