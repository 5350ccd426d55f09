"""Guards against a reactor that loses events or stops on an error in a protocol."""

from typing import Any

from twisted.internet import protocol

from jujubetiller import clock, reactors


class Echo(protocol.Protocol):
    """Sends received data back; raises an exception for the data ``fail``."""

    def dataReceived(self, data: bytes) -> None:
        if data == b"fail":
            raise ValueError("told to fail")
        assert self.transport is not None
        self.transport.write(data)


class Client(protocol.Protocol):
    """Sends one message and records the data and the end of its connection."""

    factory: Any

    def connectionMade(self) -> None:
        assert self.transport is not None
        self.transport.write(self.factory.message)

    def dataReceived(self, data: bytes) -> None:
        self.factory.ended.append(data)
        assert self.transport is not None
        self.transport.loseConnection()

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:
        self.factory.ended.append(b"lost")
        if len(self.factory.ended) == 3:
            self.factory.reactor.stop()


def test_events_arrive_and_an_error_ends_only_its_connection() -> None:
    reactor: Any = reactors.DirectEpollReactor(clock.TurnClock(clock.SystemClock()))
    server = protocol.Factory.forProtocol(Echo)
    port = reactor.listenTCP(0, server, interface="127.0.0.1")
    ended: list[bytes] = []
    for message in (b"fail", b"word"):
        factory: Any = protocol.ClientFactory()
        factory.protocol = Client
        factory.message, factory.ended, factory.reactor = message, ended, reactor
        reactor.connectTCP("127.0.0.1", port.getHost().port, factory)
    reactor.callLater(10, reactor.stop)
    reactor.run(installSignalHandlers=False)
    assert sorted(ended) == [b"lost", b"lost", b"word"]


def test_timers_and_events_get_new_readings() -> None:
    turn_clock = clock.TurnClock(clock.SystemClock())
    reactor: Any = reactors.DirectEpollReactor(turn_clock)
    readings: list[float] = []

    def read() -> None:
        readings.append(turn_clock.now_ms())
        readings.append(turn_clock.now_ms())
        if len(readings) == 6:
            reactor.stop()

    for delay_s in (0.001, 0.01, 0.02):
        reactor.callLater(delay_s, read)
    reactor.run(installSignalHandlers=False)
    assert readings[::2] == readings[1::2]
    assert readings[0] < readings[2] < readings[4]


def test_the_reactor_does_not_wake_up_for_cancelled_timers() -> None:
    reactor: Any = reactors.DirectEpollReactor(clock.TurnClock(clock.SystemClock()))
    turns: list[float | None] = []
    poll = reactor.doIteration

    def count_and_poll(timeout: float | None) -> None:
        turns.append(timeout)
        poll(timeout)

    reactor.doIteration = count_and_poll
    for number in range(20):
        reactor.callLater(0.001 * number, lambda: None).cancel()
    reactor.callLater(0.05, reactor.stop)
    reactor.run(installSignalHandlers=False)
    assert len(turns) < 10
