"""Guards against large answers that are mixed up or stay counted."""

from typing import Any

import pytest
from twisted.internet import abstract

from jujubetiller import clock, edge, memory
from tests.edge import recording

LARGE_BYTES = 1_000_000
TAKEN_BYTES = 30_000


class Reactor:
    """Ignores requests to watch a descriptor; the test drives it."""

    def __getattr__(self, name: str) -> Any:
        return lambda *arguments: None


class SlowSocket(abstract.FileDescriptor):
    """A socket that takes some bytes at a time."""

    def __init__(self) -> None:
        super().__init__(Reactor())  # type: ignore[arg-type]
        self.connected = 1
        self.taken = bytearray()
        self.is_closed = False

    def writeSomeData(self, data: bytes) -> int:
        self.taken += bytes(data[:TAKEN_BYTES])
        return len(data[:TAKEN_BYTES])

    def take_all(self) -> None:
        while self.dataBuffer or self._tempDataBuffer or self.producer:
            if self.doWrite() is not None:
                self.is_closed = True
                return

    def abortConnection(self) -> None:
        """Record the abort, which a reactor reports in a later turn."""
        self.is_closed = True

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Accept the option."""


@pytest.mark.parametrize("keep_alive", [True, False])
def test_a_large_answer_is_sent_whole_and_before_later_ones(keep_alive: bool) -> None:
    account = memory.MemoryAccount(clock.ManualClock(1_000), 10_000_000)
    listener = recording.Listener(factory_class=edge.PipelinedFactory, account=account)
    channel = listener.factory.buildProtocol(None)
    transport = SlowSocket()
    channel.makeConnection(transport)
    channel.dataReceived(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
    close = b"" if keep_alive else b"Connection: close\r\n"
    channel.dataReceived(b"GET /b HTTP/1.1\r\nHost: x\r\n" + close + b"\r\n")
    body = bytes(range(250)) * (LARGE_BYTES // 250)
    listener.handler.replies[1](edge.EdgeReply(200, [], b"second"))
    listener.handler.replies[0](edge.EdgeReply(200, [], body))
    assert account.held[memory.Kind.ANSWERS] >= LARGE_BYTES
    # No second copy of the body waits in the transport.
    assert len(transport.dataBuffer) + transport._tempDataLen < LARGE_BYTES // 2
    transport.take_all()
    first, _, rest = bytes(transport.taken).partition(b"\r\n\r\n")
    assert f"Content-Length: {LARGE_BYTES}".encode() in first
    assert rest[:LARGE_BYTES] == body
    assert rest[LARGE_BYTES:].endswith(b"\r\n\r\nsecond")
    assert rest.count(b"HTTP/1.1 200 OK") == 1
    assert transport.disconnecting is not keep_alive
    channel.memory.measure()
    assert account.total_bytes() == 0


EXPECT = (
    b"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"
)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@pytest.mark.parametrize("body_is_early", [False, True])
@pytest.mark.parametrize("is_answered", [False, True])
def test_100_continue_is_sent_behind_the_earlier_answers(
    is_answered: bool, body_is_early: bool
) -> None:
    """Guards against an interim answer in the middle of another one."""
    listener = recording.Listener(factory_class=edge.PipelinedFactory)
    channel = listener.factory.buildProtocol(None)
    transport = SlowSocket()
    channel.makeConnection(transport)
    channel.dataReceived(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
    body = bytes(LARGE_BYTES)
    first = edge.EdgeReply(200, [], body)
    if is_answered:
        listener.handler.replies[0](first)
    channel.dataReceived(EXPECT)
    assert CONTINUE not in transport.taken
    if body_is_early:
        channel.dataReceived(b"done")
    if not is_answered:
        listener.handler.replies[0](first)
    transport.take_all()
    _, _, rest = bytes(transport.taken).partition(b"\r\n\r\n")
    # A client that has sent the body no longer waits for it (RFC 9110, 10.1.1).
    assert rest == body + (b"" if body_is_early else CONTINUE)
    if not body_is_early:
        channel.dataReceived(b"done")
    assert listener.handler.messages[1].body == b"done"
    listener.handler.replies[1](edge.EdgeReply(200, [], b""))
    transport.take_all()
    assert transport.taken.count(CONTINUE) == (not body_is_early)


def test_100_continue_is_sent_at_once_to_the_only_request() -> None:
    listener = recording.Listener(factory_class=edge.PipelinedFactory)
    connection = listener.connect()
    connection.receive(EXPECT)
    assert connection.read_output() == CONTINUE.decode()


def test_100_continue_is_not_sent_behind_the_last_answer_of_a_node_that_stops() -> None:
    listener = recording.Listener(factory_class=edge.PipelinedFactory)
    connection = listener.connect()
    connection.request()
    connection.receive(EXPECT)
    listener.handler.draining = True
    listener.handler.replies[0](edge.EdgeReply(200, [], b"last"))
    assert connection.read_output().endswith(
        "Connection: close\r\nContent-Length: 4\r\n\r\nlast"
    )


def test_no_more_readers_are_closed_than_have_to_be() -> None:
    """Guards against aborted connections whose memory is still counted."""
    time_source = clock.ManualClock(1_000)
    account = memory.MemoryAccount(time_source, 5 * LARGE_BYTES)
    listener = recording.Listener(
        factory_class=edge.PipelinedFactory, account=account, max_connections=10
    )
    transports = []
    for number in range(4):
        channel = listener.factory.buildProtocol(None)
        transports.append(SlowSocket())
        channel.makeConnection(transports[-1])
        channel.dataReceived(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
        reply = edge.EdgeReply(200, [], bytes(LARGE_BYTES))
        listener.handler.replies[number](reply)
        time_source.advance(1)
    time_source.advance(60_000)
    memory.Relief(account).check()
    closed = [transport.is_closed for transport in transports]
    assert closed == [True, True, False, False]
    assert account.closed == 2


def send_large_answer(account: memory.MemoryAccount) -> SlowSocket:
    """Return the transport of a client that takes a large answer step by step."""
    listener = recording.Listener(factory_class=edge.PipelinedFactory, account=account)
    channel = listener.factory.buildProtocol(None)
    transport = SlowSocket()
    channel.makeConnection(transport)
    channel.dataReceived(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
    listener.handler.replies[0](edge.EdgeReply(200, [], bytes(LARGE_BYTES)))
    return transport


def test_a_slow_reader_has_longer_than_one_that_sends_nothing() -> None:
    """Guards against slow readers that are closed between two steps of their system."""
    time_source = clock.ManualClock(1_000)
    account = memory.MemoryAccount(time_source, LARGE_BYTES)
    transport = send_large_answer(account)
    relief = memory.Relief(account)
    for _ in range(3):
        relief.check()
        transport.doWrite()
        relief.check()
        time_source.advance(9_900)
        relief.check()
        assert not transport.is_closed
    time_source.advance(200)
    relief.check()
    assert transport.is_closed


@pytest.mark.parametrize(("taken_bytes", "is_closed"), [(1_000, True), (5_000, False)])
def test_a_reader_that_takes_very_little_makes_no_progress(
    taken_bytes: int, is_closed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against clients that hold answers by taking some bytes now and then."""
    monkeypatch.setattr("tests.edge.test_large_answers.TAKEN_BYTES", taken_bytes)
    time_source = clock.ManualClock(1_000)
    account = memory.MemoryAccount(time_source, LARGE_BYTES)
    transport = send_large_answer(account)
    relief = memory.Relief(account)
    for _ in range(3):
        relief.check()
        assert not transport.is_closed
        transport.doWrite()
        time_source.advance(4_000)
    relief.check()
    assert transport.is_closed is is_closed


@pytest.mark.parametrize(
    ("method", "status"), [(b"GET", 204), (b"GET", 304), (b"HEAD", 200)]
)
def test_a_large_body_is_not_sent_with_an_answer_that_has_none(
    method: bytes, status: int
) -> None:
    """Guards against a body that the client takes for its next answer."""
    listener = recording.Listener(factory_class=edge.PipelinedFactory)
    channel = listener.factory.buildProtocol(None)
    transport = SlowSocket()
    channel.makeConnection(transport)
    channel.dataReceived(method + b" /a HTTP/1.1\r\nHost: x\r\n\r\n")
    listener.handler.replies[0](edge.EdgeReply(status, [], bytes(LARGE_BYTES)))
    transport.take_all()
    assert transport.taken.startswith(b"HTTP/1.1 %d " % status)
    assert transport.taken.endswith(b"\r\n\r\n")
    assert channel.sender is None and channel.answer_bytes == 0
