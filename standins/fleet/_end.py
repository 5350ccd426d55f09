"""One end of a connection in memory."""

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
    """One end of a connection; its outbox is what the other end has not read."""

    def __init__(self, process: "_process.Process", factory: Any, port: int) -> None:
        self.process = process
        self.factory = factory
        self.port = port
        self.protocol: Any = None
        self.peer: End
        self.outbox = bytearray()
        self.producer: Any = None
        self.ending: type[Exception] | None = None
        self.is_ending_told = False
        self.is_closed = False
        self.is_lost = False
        self.is_opener = False
        self.is_silent = False
        self.ready_ms = 0.0

    @property
    def disconnecting(self) -> bool:
        """Return whether this end was closed, as Twisted's transports tell."""
        return self.is_closed

    def open(self) -> None:
        """Build the protocol."""
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
        """Do nothing: readers here are never slow."""

    resumeProducing = stopProducing = pauseProducing

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """Keep the producer to pause it."""
        self.producer = producer

    def unregisterProducer(self) -> None:
        """Forget the producer."""
        self.producer = None

    def write(self, data: bytes) -> None:
        """Queue bytes and pause the producer as Twisted does."""
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
        """Queue the parts."""
        self.write(b"".join(parts))

    def loseConnection(self) -> None:
        """Close after the queued bytes."""
        self.close(error.ConnectionDone)

    def abortConnection(self) -> None:
        """Close at once."""
        self.outbox.clear()
        self.close(error.ConnectionLost)

    def close(self, ending: type[Exception]) -> None:
        """Close this end and let the other one know when a packet can reach it."""
        if not self.is_closed:
            self.is_closed = True
            self.ending = ending
            if not self.process.is_dead:
                self.process.callLater(0, self.lose, ending())

    def lose(self, reason: Exception) -> None:
        """Tell the protocol that the connection ended."""
        if self.is_lost:
            return
        self.is_lost = self.is_closed = True
        producer, self.producer = self.producer, None
        if producer is not None:
            producer.stopProducing()
        if self.protocol is not None:
            self.protocol.connectionLost(failure.Failure(reason))

    def deliver(self) -> bool:
        """Move what can be moved to the other end; return whether anything was."""
        peer, network = self.peer, self.process.network
        is_quiet = self.ending is None or self.is_ending_told
        if is_quiet and not self.outbox and peer.protocol is not None:
            return False
        if network.now_ms < self.ready_ms:
            return False
        if self.is_silent or network.is_cut(self.process, peer.process):
            return False
        if peer.process.is_frozen:
            return False
        if peer.is_closed and self.outbox:
            # The bytes meet a closed port: a reset comes back.
            self.outbox.clear()
            peer.ending, peer.is_ending_told = error.ConnectionLost, False
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
        if self.ending is not None and not self.is_ending_told:
            self.is_ending_told = True
            peer.lose(self.ending())
            return True
        return False
