"""Guards against links that do not apply the faults of the soak."""

from twisted.internet import testing

from soak import _link

NEAR, FAR = 0, 1


class LocalLink:
    """A link with one connection between transports that record what is written."""

    def __init__(self) -> None:
        self.reactor = testing.MemoryReactorClock()
        self.link = _link.Link(self.reactor, "127.0.0.1", 80)
        self.halves: list[_link._Half] = []
        self.transports = [
            testing.StringTransportWithDisconnection() for _ in (NEAR, FAR)
        ]
        near = self.link.buildProtocol(None)
        assert near is not None
        self.connect(near, NEAR)
        factory = self.reactor.tcpClients[-1][2]
        self.connect(factory.buildProtocol(None), FAR)

    def connect(self, half: _link._Half, end: int) -> None:
        transport = self.transports[end]
        transport.setTcpNoDelay = lambda enabled: None  # type: ignore[attr-defined]
        transport.abortConnection = transport.loseConnection  # type: ignore[method-assign]
        transport.protocol = half
        half.makeConnection(transport)
        self.halves.append(half)

    def written(self, end: int) -> bytes:
        return self.transports[end].value()


def test_a_link_passes_bytes_both_ways_and_the_end() -> None:
    link = LocalLink()
    link.halves[NEAR].dataReceived(b"ask")
    link.halves[FAR].dataReceived(b"answer")
    assert (link.written(FAR), link.written(NEAR)) == (b"ask", b"answer")
    link.transports[FAR].loseConnection()
    assert not link.transports[NEAR].connected


def test_a_delayed_link_keeps_the_order() -> None:
    link = LocalLink()
    link.link.delay_s = 0.1
    for part in (b"a", b"b"):
        link.halves[NEAR].dataReceived(part)
    assert link.written(FAR) == b""
    link.reactor.advance(0.11)
    assert link.written(FAR) == b"ab"


def test_a_cut_holds_one_direction_until_it_ends() -> None:
    link = LocalLink()
    link.link.hold(_link.Way.FORTH)
    link.halves[NEAR].dataReceived(b"ask")
    link.halves[FAR].dataReceived(b"answer")
    assert (link.written(FAR), link.written(NEAR)) == (b"", b"answer")
    link.link.hold()
    assert link.written(FAR) == b"ask"


def test_a_silenced_connection_passes_nothing_more() -> None:
    link = LocalLink()
    link.link.silence()
    link.halves[NEAR].dataReceived(b"ask")
    link.link.hold()
    assert link.written(FAR) == b""
    assert link.transports[NEAR].connected


def test_a_reset_ends_both_ends_and_new_connections_can_be_refused() -> None:
    link = LocalLink()
    link.link.refuses = True
    link.link.reset()
    assert [transport.connected for transport in link.transports] == [False, False]
    assert link.link.buildProtocol(None) is None
