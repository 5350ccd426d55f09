"""An HTTP connection of a client or of the node's own target."""

from typing import Any

from twisted.internet import protocol
from twisted.python import failure
from twisted.web import http

from jujubetiller import codes
from jujubetiller.edge import _edge_request, _encode_reply


class EdgeChannel(http.HTTPChannel):
    """An HTTP/1.1 connection that its factory counts and closes when idle.

    The timer of the base class is not used: starting and stopping it for every
    request costs more than the factory's look at all connections now and then.
    """

    requestFactory = _edge_request.EdgeRequest
    timeOut = None

    def connectionMade(self) -> None:
        """Count the connection and send small answers at once."""
        super().connectionMade()  # type: ignore[no-untyped-call]
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self.last_active_ms = self.factory.clock.now_ms()
        self.factory.channels.add(self)

    def dataReceived(self, data: bytes) -> None:
        """Note that the connection is in use."""
        self.last_active_ms = self.factory.clock.now_ms()
        super().dataReceived(data)  # type: ignore[no-untyped-call]

    def _respondToBadRequestAndDisconnect(self) -> None:
        """Refuse bytes that are no request with a number and close.

        The base class answers without a body and without a number.
        """
        transport: Any = self.transport
        reply = self.factory.handler.refuse(
            codes.ResultCode.BAD_REQUEST,
            "request: allowed is HTTP/1.1 with printable characters",
        )
        transport.write(_encode_reply.encode_reply(reply, persistent=False))
        self.loseConnection()  # type: ignore[no-untyped-call]

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """Count the connection out."""
        self.factory.channels.discard(self)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]
