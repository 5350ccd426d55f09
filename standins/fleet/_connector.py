"""A Twisted connector of the in-memory network."""

from typing import TYPE_CHECKING, Any

from twisted.internet import address, error
from twisted.python import failure

from standins.fleet import _port

if TYPE_CHECKING:
    from standins.fleet import _end, _process


class Connector:
    """One attempt to connect to a port of the in-memory network."""

    def __init__(self, process: "_process.Process", port: int, factory: Any) -> None:
        self.process = process
        self.port = port
        self.factory = factory
        self.timer: Any = None
        self.is_over = False
        self.end: _end.End | None = None

    def getDestination(self) -> address.IPv4Address:
        """Return the address of the other side."""
        return address.IPv4Address("TCP", _port.HOST, self.port)

    def fail(self, reason: Exception) -> None:
        """End the attempt and report ``reason`` to the factory."""
        if not self.is_over:
            self.finish()
            self.factory.clientConnectionFailed(self, failure.Failure(reason))

    def finish(self) -> None:
        """Mark the attempt as over and cancel its timeout."""
        self.is_over = True
        if self.timer.active():
            self.timer.cancel()

    def stopConnecting(self) -> None:
        """Cancel the attempt."""
        self.fail(error.UserError())

    def disconnect(self) -> None:
        """Cancel the attempt, or close its connection."""
        if self.end is not None:
            self.end.loseConnection()
        else:
            self.stopConnecting()
