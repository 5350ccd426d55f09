"""A clock that follows the test reactor, which only the test advances."""

from twisted.internet import task

from jujubetiller import clock


class ReactorClock(clock.Clock):
    """Returns the time of the test reactor in milliseconds."""

    def __init__(self, reactor: task.Clock) -> None:
        self.reactor = reactor

    def now_ms(self) -> float:
        return float(self.reactor.seconds()) * 1000.0
