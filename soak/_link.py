"""A TCP proxy that can delay, hold, silence and reset connections."""

import enum
from typing import Any

from twisted.internet import interfaces, protocol
from twisted.python import failure

CONNECT_TIMEOUT_S = 2.0


class Way(enum.Enum):
    """A direction on a link."""

    FORTH = "forth"
    """From the side that connected."""

    BACK = "back"


class _Half(protocol.Protocol):
    """One end of a proxied connection."""

    def __init__(self, link: "Link", way: Way) -> None:
        self.link = link
        self.way = way
        """The direction of the bytes that arrive here."""

        self.other: _Half | None = None
        self.unsent: list[bytes] = []
        """Bytes from the other end, held until this end is open and no cut applies."""

        self.is_silenced = False
        self.is_open = False
        self.ends_after_unsent = False

    def connectionMade(self) -> None:
        """Register with the link, so that faults apply, and send the waiting bytes."""
        self.is_open = True
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self.link.halves.add(self)
        self.flush()

    def dataReceived(self, data: bytes) -> None:
        """Forward bytes after the delay of the link."""
        other = self.other
        if other is None or self.is_silenced:
            return
        if self.link.delay_s:
            self.link.reactor.callLater(self.link.delay_s, other.enqueue, data)
        else:
            other.enqueue(data)

    def enqueue(self, data: bytes) -> None:
        """Store bytes and send them unless the direction is held."""
        self.unsent.append(data)
        self.flush()

    def flush(self) -> None:
        """Send the waiting bytes unless the direction is held."""
        way = Way.BACK if self.way is Way.FORTH else Way.FORTH
        if not self.is_open or self.is_silenced or way in self.link.held:
            return
        assert self.transport is not None
        for data in self.unsent:
            self.transport.write(data)
        self.unsent = []
        if self.ends_after_unsent:
            self.transport.loseConnection()

    def reset(self) -> None:
        """Reset the connection."""
        transport: Any = self.transport
        if self.is_open:
            transport.abortConnection()

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """Close the other end once its waiting bytes are sent."""
        self.is_open = False
        self.link.halves.discard(self)
        if self.other is not None and not self.is_silenced:
            self.other.ends_after_unsent = True
            self.other.flush()


class _BackFactory(protocol.ClientFactory):
    """Connects the far end of a proxied connection."""

    noisy = False

    def __init__(self, link: "Link", near: _Half) -> None:
        self.link = link
        self.near = near

    def buildProtocol(self, addr: interfaces.IAddress | None) -> _Half:
        """Return the far end, which sends the bytes that the near end has received."""
        far = _Half(self.link, Way.BACK)
        far.other = self.near
        assert self.near.other is not None
        far.unsent = self.near.other.unsent
        far.ends_after_unsent = self.near.other.ends_after_unsent
        self.near.other = far
        return far

    def clientConnectionFailed(
        self, connector: interfaces.IConnector, reason: failure.Failure
    ) -> None:
        """Reset the near end because the connection behind the link failed."""
        self.near.reset()


class Link(protocol.Factory):
    """Listens at one address and connects to another for each connection."""

    noisy = False

    def __init__(self, reactor: Any, host: str, port: int) -> None:
        self.reactor = reactor
        self.host = host
        self.port = port
        self.halves: set[_Half] = set()
        self.delay_s = 0.0
        self.held: frozenset[Way] = frozenset()
        """Directions in which bytes wait until the cut ends."""

        self.refuses = False

    def listen(self, host: str, port: int) -> interfaces.IListeningPort:
        """Start accepting connections."""
        listening: interfaces.IListeningPort = self.reactor.listenTCP(
            port, self, interface=host
        )
        return listening

    def buildProtocol(self, addr: interfaces.IAddress | None) -> _Half | None:
        """Return the near end of a new connection, or refuse it."""
        if self.refuses:
            return None
        near = _Half(self, Way.FORTH)
        near.other = _Half(self, Way.BACK)
        self.reactor.connectTCP(
            self.host, self.port, _BackFactory(self, near), timeout=CONNECT_TIMEOUT_S
        )
        return near

    def reset(self) -> None:
        """Reset all connections that are open."""
        for half in tuple(self.halves):
            half.reset()

    def silence(self) -> None:
        """Drop all further bytes on the open connections; new connections work."""
        for half in tuple(self.halves):
            half.is_silenced = True

    def hold(self, *ways: Way) -> None:
        """Hold bytes in these directions and release those in the other directions."""
        self.held = frozenset(ways)
        for half in tuple(self.halves):
            half.flush()
