"""In-memory connections with fault injection, on a clock that the test advances."""

from typing import Any

from twisted.internet import error, task
from twisted.python import failure

PAUSE_ABOVE_BYTES = 65_536


class MemoryTransport:
    """One end of a connection; bytes move only when ``deliver`` is called."""

    def __init__(self) -> None:
        self.outbox = bytearray()
        self.written = bytearray()
        self.write_count = 0
        self.protocol: Any = None
        self.peer: MemoryTransport | None = None
        self.producer: Any = None
        self.is_held = False  # the bytes stay in the outbox, as with a silent peer
        self.is_closing = False
        self.is_lost = False
        self.is_dropped = False  # lost at this end alone

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing: there is no TCP."""

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """Store the producer, which is paused when the outbox is full."""
        self.producer = producer

    def unregisterProducer(self) -> None:
        """Remove the producer."""
        self.producer = None

    def write(self, data: bytes) -> None:
        """Queue bytes and pause the producer as Twisted does."""
        if self.is_lost or self.is_closing or self.is_dropped:
            return
        self.outbox += data
        self.written += data
        self.write_count += 1
        if self.producer is not None and len(self.outbox) > PAUSE_ABOVE_BYTES:
            self.producer.pauseProducing()

    def deliver(self) -> bool:
        """Move the queued bytes to the peer; return whether anything moved."""
        if self.is_lost or self.is_held or self.peer is None:
            return False
        if self.outbox:
            data = bytes(self.outbox)
            self.outbox.clear()
            if not self.peer.is_dropped:
                self.peer.protocol.dataReceived(data)
            if self.producer is not None and not self.is_lost:
                self.producer.resumeProducing()
            return True
        if self.is_closing:
            self.cut(error.ConnectionDone())
            return True
        return False

    def loseConnection(self) -> None:
        """Close after the queued bytes were delivered."""
        self.is_closing = True

    def abortConnection(self) -> None:
        """Close at once."""
        self.cut(error.ConnectionAborted())

    def drop(self) -> None:
        """End the connection at this end alone; the other one gets what was written."""
        if not self.is_lost and not self.is_dropped:
            self.is_dropped = True
            reason = failure.Failure(error.ConnectionAborted())
            self.protocol.connectionLost(reason)

    def cut(self, reason: Exception) -> None:
        """End the connection at both ends."""
        for end in (self, self.peer):
            if end is not None and not end.is_lost:
                end.is_lost = True
                end.outbox.clear()
                if not end.is_dropped:
                    end.protocol.connectionLost(failure.Failure(reason))


class _Connector:
    def disconnect(self) -> None:
        """Do nothing: a failed attempt ignores later events."""


class _Port:
    def __init__(self, reactor: "MemoryReactor", key: tuple[str, int]) -> None:
        self.reactor = reactor
        self.key = key

    def stopListening(self) -> None:
        """Refuse further connections."""
        self.reactor.listeners.pop(self.key, None)


class MemoryReactor(task.Clock):
    """A reactor whose connections are pairs of transports in memory."""

    def __init__(self) -> None:
        super().__init__()
        self.listeners: dict[tuple[str, int], Any] = {}
        self.links: list[tuple[MemoryTransport, MemoryTransport]] = []
        self.black_holes: set[tuple[str, int]] = set()
        self.connects: list[tuple[str, int]] = []

    def listenTCP(self, port: int, factory: Any, interface: str = "") -> _Port:
        """Accept connections at an in-memory address."""
        self.listeners[interface, port] = factory
        return _Port(self, (interface, port))

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30
    ) -> _Connector:
        """Connect in a later turn, or fail if there is no listener."""
        self.connects.append((host, port))
        connector = _Connector()
        if (host, port) not in self.black_holes:
            self.callLater(0, self._connect, (host, port), factory, connector)
        return connector

    def _connect(self, key: tuple[str, int], factory: Any, connector: Any) -> None:
        listener = self.listeners.get(key)
        if listener is None:
            refused = failure.Failure(error.ConnectionRefusedError())
            factory.clientConnectionFailed(connector, refused)
            return
        near, far = MemoryTransport(), MemoryTransport()
        near.peer, far.peer = far, near
        near.protocol = factory.buildProtocol(None)
        far.protocol = listener.buildProtocol(None)
        if near.protocol is None:
            return
        near.protocol.makeConnection(near)
        if far.protocol is None:
            near.protocol.connectionLost(failure.Failure(error.ConnectionDone()))
            return
        far.protocol.makeConnection(far)
        self.links.append((near, far))

    def run_until_idle(self) -> None:
        """Run the calls that are due and deliver bytes until none are left."""
        moved = True
        while moved:
            self.advance(0)
            moved = False
            for link in list(self.links):
                for end in link:
                    moved = end.deliver() or moved

    def pass_time(self, duration_ms: float, step_ms: float = 10.0) -> None:
        """Advance the clock in steps and deliver bytes after each."""
        for _ in range(round(duration_ms / step_ms)):
            self.advance(step_ms / 1000)
            self.run_until_idle()
