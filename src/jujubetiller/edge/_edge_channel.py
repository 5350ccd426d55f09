"""An HTTP connection of a client or of the node's own target."""

from typing import Any

from twisted.internet import protocol
from twisted.python import failure
from twisted.web import http

from jujubetiller import codes
from jujubetiller.edge import _edge_request, _encode_reply


class EdgeChannel(http.HTTPChannel):
    """Serves an HTTP/1.1 connection that its factory counts and closes when idle.

    The idle timer of the base class is not used: restarting it for every request
    costs more than the factory's periodic check of all connections.
    """

    requestFactory = _edge_request.EdgeRequest
    timeOut = None

    def connectionMade(self) -> None:
        """Count the connection, and set TCP_NODELAY to send small answers at once."""
        super().connectionMade()  # type: ignore[no-untyped-call]
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self.last_active_ms = self.factory.clock.now_ms()
        self.factory.channels.add(self)

    def dataReceived(self, data: bytes) -> None:
        """Record when data arrived, for the idle check."""
        self.last_active_ms = self.factory.clock.now_ms()
        super().dataReceived(data)  # type: ignore[no-untyped-call]

    def _respondToBadRequestAndDisconnect(self) -> None:
        """Reject invalid HTTP with a result code and close the connection.

        The base class answers without a body and without a result code.
        """
        transport: Any = self.transport
        reply = self.factory.handler.refuse(
            codes.ResultCode.BAD_REQUEST,
            "request: allowed is HTTP/1.1 with printable characters",
        )
        transport.write(_encode_reply.encode_reply(reply, persistent=False))
        self.loseConnection()  # type: ignore[no-untyped-call]

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """Remove the connection from those that the factory counts."""
        self.factory.channels.discard(self)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]
