"""An attempt to connect in memory."""

from typing import TYPE_CHECKING, Any

from twisted.internet import address, error
from twisted.python import failure

from standins.fleet import _port

if TYPE_CHECKING:
    from standins.fleet import _end, _process


class Connector:
    """An attempt to connect."""

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
        """End the attempt."""
        if not self.is_over:
            self.finish()
            self.factory.clientConnectionFailed(self, failure.Failure(reason))

    def finish(self) -> None:
        """Take the attempt off the network."""
        self.is_over = True
        if self.timer.active():
            self.timer.cancel()

    def stopConnecting(self) -> None:
        """Give up."""
        self.fail(error.UserError())

    def disconnect(self) -> None:
        """Give up, or close what was connected."""
        if self.end is not None:
            self.end.loseConnection()
        else:
            self.stopConnecting()
