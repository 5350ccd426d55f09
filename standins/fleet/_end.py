"""One end of an in-memory connection."""

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

import zope.interface
from twisted.internet import address, error, interfaces
from twisted.python import failure

from standins.fleet import _port

if TYPE_CHECKING:
    from standins.fleet import _process

PAUSE_ABOVE_BYTES = 65_536


@zope.interface.implementer(interfaces.IPushProducer, interfaces.ITransport)
class End:
    """The Twisted transport of one end of a connection.

    ``outbox`` holds the bytes that were written here and not delivered yet.
    """

    def __init__(self, process: "_process.Process", factory: Any, port: int) -> None:
        self.process = process
        self.factory = factory
        self.port = port
        self.protocol: Any = None
        self.peer: End
        self.outbox = bytearray()
        self.producer: Any = None
        self.close_reason: type[Exception] | None = None
        self.is_close_delivered = False
        self.is_closed = False
        self.is_lost = False
        self.is_opener = False
        self.is_silent = False
        self.ready_ms = 0.0

    @property
    def disconnecting(self) -> bool:
        """Return whether this end was closed; Twisted's transports have this field."""
        return self.is_closed

    def open(self) -> None:
        """Build the protocol and connect it to this transport."""
        built = self.factory.buildProtocol(self.getPeer())
        if built is None:
            self.is_lost = True
            self.close(error.ConnectionLost)
            return
        self.protocol = built
        built.makeConnection(self)

    def getPeer(self) -> address.IPv4Address:
        """Return the address of the listener."""
        return address.IPv4Address("TCP", _port.HOST, self.port)

    getHost = getPeer

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing: there is no TCP."""

    setTcpKeepAlive = setTcpNoDelay

    def pauseProducing(self) -> None:
        """Do nothing: delivery to this end is never paused."""

    resumeProducing = stopProducing = pauseProducing

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """Register the producer, which ``write`` pauses."""
        self.producer = producer

    def unregisterProducer(self) -> None:
        """Unregister the producer."""
        self.producer = None

    def write(self, data: bytes) -> None:
        """Queue bytes; pause the producer above ``PAUSE_ABOVE_BYTES``."""
        if self.is_lost or self.is_closed:
            return
        if not self.outbox:
            zones = (self.process.zone, self.peer.process.zone)
            network = self.process.network
            self.ready_ms = network.now_ms + network.delays_ms.get(zones, 0.0)
        self.outbox += data
        if self.producer is not None and len(self.outbox) > PAUSE_ABOVE_BYTES:
            self.producer.pauseProducing()

    def writeSequence(self, parts: Iterable[bytes]) -> None:
        """Queue the parts as one write."""
        self.write(b"".join(parts))

    def loseConnection(self) -> None:
        """Close; the queued bytes are still delivered."""
        self.close(error.ConnectionDone)

    def abortConnection(self) -> None:
        """Discard the queued bytes and close."""
        self.outbox.clear()
        self.close(error.ConnectionLost)

    def close(self, close_reason: type[Exception]) -> None:
        """Close this end; ``deliver`` notifies the other one once it is reachable."""
        if not self.is_closed:
            self.is_closed = True
            self.close_reason = close_reason
            if not self.process.is_dead:
                self.process.callLater(0, self.lose, close_reason())

    def lose(self, reason: Exception) -> None:
        """Notify the protocol that the connection was lost."""
        if self.is_lost:
            return
        self.is_lost = self.is_closed = True
        producer, self.producer = self.producer, None
        if producer is not None:
            producer.stopProducing()
        if self.protocol is not None:
            self.protocol.connectionLost(failure.Failure(reason))

    def deliver(self) -> bool:
        """Deliver the next event to the other end; return whether anything changed."""
        peer, network = self.peer, self.process.network
        has_no_pending_close = self.close_reason is None or self.is_close_delivered
        if has_no_pending_close and not self.outbox and peer.protocol is not None:
            return False
        if network.now_ms < self.ready_ms:
            return False
        if self.is_silent or network.is_cut(self.process, peer.process):
            return False
        if peer.process.is_frozen:
            return False
        if peer.is_closed and self.outbox:
            # The bytes arrive at a closed connection, which answers with a reset.
            self.outbox.clear()
            peer.close_reason, peer.is_close_delivered = error.ConnectionLost, False
            return True
        if peer.protocol is None and not peer.is_lost and not peer.process.is_dead:
            peer.open()
            return True
        if self.outbox:
            data = bytes(self.outbox)
            self.outbox.clear()
            peer.protocol.dataReceived(data)
            if self.producer is not None and not self.is_closed:
                self.producer.resumeProducing()
            return True
        if self.close_reason is not None and not self.is_close_delivered:
            self.is_close_delivered = True
            peer.lose(self.close_reason())
            return True
        return False
