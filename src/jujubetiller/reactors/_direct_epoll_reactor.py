"""An epoll reactor without a logging context for each event."""

import errno
from typing import Any

from twisted.internet import epollreactor, main


class DirectEpollReactor(epollreactor.EPollReactor):
    """Hands events straight to the transports.

    The base class enters a logging context for each event, which takes a tenth of
    a node's time and which the node's logs don't use. Faults of a transport's
    protocol are logged, and end its connection, by the base class as before.
    """

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
        for descriptor, event in events:
            selectable = selectables.get(descriptor)
            if selectable is not None:
                handle(selectable, descriptor, event)  # type: ignore[no-untyped-call]

    doIteration = doPoll


def install() -> None:
    """Make this the reactor of the process, before any other is installed."""
    reactor = DirectEpollReactor()  # type: ignore[no-untyped-call]
    main.installReactor(reactor)
