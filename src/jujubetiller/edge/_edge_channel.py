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

    def allContentReceived(self) -> None:
        """Hand on a whole request, then read the next one if there is room."""
        super().allContentReceived()  # type: ignore[no-untyped-call]
        if (
            self._handlingRequest
            and self.persistent
            and len(self.requests) < self.factory.pipeline_depth
        ):
            self.read_on()

    def read_on(self) -> None:
        """Parse the request that follows, of which a part may have arrived."""
        self._handlingRequest = False
        data = b"".join(self._dataBuffer)
        self._dataBuffer = []
        self.setLineMode(data)  # type: ignore[no-untyped-call]

    def is_last(self) -> bool:
        """Return whether nothing is read or awaited behind the first request."""
        return len(self.requests) == 1

    def requestDone(self, request: Any) -> None:
        """Forget an answered request and send what is ready behind it.

        The base class would end the body of a request that is still arriving.
        """
        del self.requests[0]
        if not self._waitingForTransport:
            self._networkProducer.resumeProducing()
        if self._handlingRequest and self.persistent:
            self.read_on()
        if self.requests:
            self.requests[0].send_held()
        elif not self.persistent:
            self.loseConnection()  # type: ignore[no-untyped-call]

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
