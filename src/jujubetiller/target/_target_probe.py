"""A connection that only tells whether the target still listens."""

import enum
from collections.abc import Callable

from twisted.internet import error, interfaces, protocol
from twisted.python import failure


class ProbeResult(enum.Enum):
    """What an attempt to connect to the target showed."""

    LISTENS = "listens"
    REFUSED = "refused"
    """No process listens at the address."""

    UNCLEAR = "unclear"
    """The attempt timed out, as when the queue of new connections is full."""


class _ProbeProtocol(protocol.Protocol):
    """Closes the connection as soon as it is open."""

    def connectionMade(self) -> None:
        """Close the connection."""
        assert self.transport is not None
        self.transport.abortConnection()  # type: ignore[attr-defined]


class TargetProbe(protocol.ClientFactory):
    """Opens one connection and reports the result once."""

    noisy = False

    def __init__(self, on_end: Callable[[ProbeResult], None]) -> None:
        self.on_end = on_end

    def buildProtocol(self, address: interfaces.IAddress | None) -> _ProbeProtocol:
        """Report that the target listens."""
        self.on_end(ProbeResult.LISTENS)
        return _ProbeProtocol()

    def clientConnectionFailed(
        self, connector: interfaces.IConnector, reason: failure.Failure
    ) -> None:
        """Report that no connection could be opened."""
        is_refused = reason.check(error.ConnectionRefusedError) is not None
        self.on_end(ProbeResult.REFUSED if is_refused else ProbeResult.UNCLEAR)
