"""Guards against answers that are cut, mixed up, lost or waited for too long."""

from typing import Any

import pytest
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python import failure

from jujubetiller import calls, clock, codes, settings, target

_Code = codes.ResultCode
OK = b"HTTP/1.1 200 OK\r\nX-Of: target\r\nContent-Length: 4\r\n\r\ndone"


class Transport(StringTransport):
    """A socket that is closed at once when aborted."""

    protocol: Any = None

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Accept the option."""

    def abortConnection(self) -> None:
        self.disconnected = True


class Target:
    """The target's end of all connections of a client."""

    def __init__(self, **target_settings: Any) -> None:
        self.clock = clock.ManualClock(1_000)
        self.reactor = MemoryReactorClock()
        address = settings.Address("127.0.0.1", 80)
        self.client = target.TargetClient(
            self.reactor,
            self.clock,
            settings.TargetSettings(address=address, **target_settings),
        )
        self.statistics = self.client.statistics
        self.connections: list[Any] = []
        self.ends: list[target.TargetResponse] = []

    def send(
        self, path: str = "/a", left_ms: float = 500, method: str = "GET"
    ) -> target.TargetCall:
        deadline = calls.Deadline.after(self.clock, left_ms)
        request = target.TargetRequest(method, path, (("X-A", "b"),), b"in", deadline)
        return self.client.send(request, self.ends.append)

    def accept(self) -> Any:
        """Accept the newest connection and return its protocol."""
        factory = self.reactor.tcpClients[-1][2]
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(Transport())
        self.connections.append(protocol)
        return protocol

    def lose(self, protocol: Any) -> None:
        protocol.connectionLost(failure.Failure(error.ConnectionDone()))

    def advance(self, by_ms: float) -> None:
        self.clock.advance(by_ms)
        self.reactor.advance(by_ms / 1_000)

    def codes(self) -> list[codes.ResultCode]:
        return [response.code for response in self.ends]


@pytest.mark.parametrize(
    ("answer", "status", "body"),
    [
        (OK, 200, b"done"),
        (
            b"HTTP/1.1 200 OK\r\nX-Of: target\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\ndo\r\n2\r\nne\r\n0\r\n\r\n",
            200,
            b"done",
        ),
        (b"HTTP/1.1 100 Continue\r\nX-Early: 1\r\n\r\n" + OK, 200, b"done"),
        (b"HTTP/1.1 204 No Content\r\nX-Of: target\r\n\r\n", 204, b""),
    ],
    ids=["length", "chunks", "continue", "no-content"],
)
@pytest.mark.parametrize("piece", [1, 1_000])
def test_a_whole_answer_is_delivered_once_and_its_connection_is_used_again(
    answer: bytes, status: int, body: bytes, piece: int
) -> None:
    beside = Target()
    beside.send()
    connection = beside.accept()
    written = connection.transport.value()
    assert written == b"GET /a HTTP/1.1\r\nX-A: b\r\nContent-Length: 2\r\n\r\nin"
    for start in range(0, len(answer), piece):
        connection.dataReceived(answer[start : start + piece])
    (response,) = beside.ends
    assert (response.code, response.status, response.body) == (0, status, body)
    assert response.headers == (("X-Of", "target"),)
    beside.send("/b")
    assert b"GET /b " in connection.transport.value()
    assert len(beside.reactor.tcpClients) == 1
    assert beside.statistics.connections_opened == 1


def test_an_answer_to_head_has_no_body() -> None:
    beside = Target()
    beside.send(method="HEAD")
    connection = beside.accept()
    connection.dataReceived(OK.removesuffix(b"done"))
    assert [(one.status, one.body) for one in beside.ends] == [(200, b"")]
    beside.send("/b")
    connection.dataReceived(OK)
    assert beside.ends[1].body == b"done"


def test_a_connection_that_the_target_asks_to_close_is_not_used_again() -> None:
    beside = Target()
    beside.send()
    connection = beside.accept()
    connection.dataReceived(OK.replace(b"X-Of", b"Connection: close\r\nX-Of"))
    assert beside.codes() == [_Code.ANSWERED]
    assert connection.transport.disconnected
    beside.send()
    assert len(beside.reactor.tcpClients) == 2


@pytest.mark.parametrize(
    "received",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        OK[:-1],
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nno length, so that no end is certain",
    ],
)
def test_an_answer_that_is_cut_is_never_delivered(received: bytes) -> None:
    beside = Target()
    beside.send()
    connection = beside.accept()
    if received:
        connection.dataReceived(received)
    beside.lose(connection)
    assert beside.codes() == [_Code.TARGET_CLOSED_EARLY]
    assert codes.describe(beside.ends[0].code).outcome is codes.Outcome.UNKNOWN
    assert beside.statistics.closed_early == 1
    beside.advance(1_000)
    assert len(beside.ends) == 1


@pytest.mark.parametrize(
    "received", [b"garbage\r\n\r\n", b"HTTP/1.1 101 Up\r\nUpgrade: x\r\n\r\nx"]
)
def test_bytes_that_are_no_answer_end_the_call(received: bytes) -> None:
    beside = Target()
    beside.send()
    connection = beside.accept()
    connection.dataReceived(received)
    assert beside.codes() == [_Code.ANSWER_INCOMPLETE]
    assert connection.transport.disconnected


@pytest.mark.parametrize(
    "received",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 1025\r\n\r\n" + b"x" * 1_025,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + b"x" * 1_025,
        b"HTTP/1.1 200 OK\r\nX-A: " + b"x" * 300_000,
    ],
    ids=["length", "before-the-end", "headers"],
)
def test_an_answer_over_the_bound_ends_the_call_at_once(received: bytes) -> None:
    beside = Target(max_answer_bytes=1_024)
    beside.send()
    connection = beside.accept()
    connection.dataReceived(received)
    assert beside.codes() == [_Code.ANSWER_TOO_LARGE]
    assert connection.transport.disconnected


def test_a_refused_connection_is_certain_not_to_have_run() -> None:
    beside = Target()
    beside.send()
    factory = beside.reactor.tcpClients[-1][2]
    factory.clientConnectionFailed(
        None, failure.Failure(error.ConnectionRefusedError())
    )
    assert beside.codes() == [_Code.TARGET_UNREACHABLE]
    assert codes.describe(beside.ends[0].code).outcome is codes.Outcome.NOT_RUN
    assert beside.statistics.connections_failed == 1


def test_a_deadline_before_the_connection_opens_leaves_it_for_the_next() -> None:
    beside = Target()
    beside.send(left_ms=100)
    beside.advance(100)
    assert beside.codes() == [_Code.DEADLINE_SPENT]
    connection = beside.accept()
    assert connection.transport.value() == b""
    beside.send("/b")
    assert b"GET /b " in connection.transport.value()


def test_a_silent_connection_keeps_those_that_showed_life_since() -> None:
    beside = Target()
    for _ in range(3):
        beside.send()
        beside.accept()
    silent, older, younger = beside.connections
    older.dataReceived(OK)
    beside.advance(10)
    # ``older`` was idle before this call and is taken by it.
    beside.send("/late", left_ms=100)
    assert b"/late" in older.transport.value()
    silent.dataReceived(OK)
    beside.advance(10)
    beside.send("/silent", left_ms=50)
    assert b"/silent" in silent.transport.value()
    younger.dataReceived(OK)
    beside.advance(50)
    # ``younger`` showed life after the silent call was sent.
    assert beside.codes()[-1] is _Code.DEADLINE_PASSED
    assert silent.transport.disconnected
    assert not younger.transport.disconnected
    assert beside.statistics.connections_silent == 1


def test_a_silent_connection_at_the_deadline_discards_idle_ones() -> None:
    beside = Target()
    for _ in range(2):
        beside.send()
        beside.accept()
    idle, silent = beside.connections
    idle.dataReceived(OK)
    silent.dataReceived(OK)
    beside.advance(10)
    beside.send(left_ms=50)
    beside.advance(50)
    assert silent.transport.disconnected
    assert idle.transport.disconnected
    assert beside.statistics.idle_discarded == 1
    assert beside.client.idle == []


def test_a_connection_that_sent_a_byte_is_slow_and_not_silent() -> None:
    beside = Target()
    for _ in range(2):
        beside.send()
        beside.accept()
    idle, slow = beside.connections
    idle.dataReceived(OK)
    slow.dataReceived(OK)
    beside.advance(10)
    beside.send(left_ms=50)
    slow.dataReceived(OK[:-1])
    beside.advance(50)
    assert beside.codes()[-1] is _Code.DEADLINE_PASSED
    assert beside.statistics.connections_silent == 0
    assert not idle.transport.disconnected


@pytest.mark.parametrize("open_first", [True, False])
def test_a_cancelled_call_reports_nothing(open_first: bool) -> None:
    beside = Target()
    call = beside.send()
    if open_first:
        connection = beside.accept()
        call.cancel()
        assert connection.transport.disconnected
        beside.lose(connection)
    else:
        call.cancel()
        assert beside.accept().transport.value() == b""
    beside.advance(1_000)
    assert beside.ends == []


def test_an_idle_connection_that_the_target_closed_is_not_used() -> None:
    beside = Target()
    beside.send()
    connection = beside.accept()
    connection.dataReceived(OK)
    beside.lose(connection)
    beside.send("/b")
    assert len(beside.reactor.tcpClients) == 2
    assert beside.codes() == [_Code.ANSWERED]


def test_an_idle_connection_that_is_old_is_not_used() -> None:
    beside = Target()
    beside.send()
    connection = beside.accept()
    connection.dataReceived(OK)
    beside.advance(4_001)
    beside.send("/b")
    assert connection.transport.disconnected
    assert len(beside.reactor.tcpClients) == 2


def test_idle_connections_over_the_bound_are_closed() -> None:
    beside = Target(idle_connections=1)
    for _ in range(2):
        beside.send()
        beside.accept()
    for connection in beside.connections:
        connection.dataReceived(OK)
    assert [one.transport.disconnected for one in beside.connections] == [False, True]
    assert beside.statistics.idle_discarded == 1


@pytest.mark.parametrize("late", [b"H", OK], ids=["byte", "answer"])
def test_an_early_byte_on_an_idle_connection_closes_it(late: bytes) -> None:
    beside = Target()
    beside.send()
    connection = beside.accept()
    connection.dataReceived(OK)
    connection.dataReceived(late)
    assert connection.transport.disconnected
    beside.send("/b")
    assert len(beside.reactor.tcpClients) == 2
    assert beside.codes() == [_Code.ANSWERED]


@pytest.mark.parametrize("extra", [b"H", b"x", OK.replace(b"done", b"evil")])
@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_bytes_after_an_answer_never_reach_the_next_call(
    extra: bytes, method: str
) -> None:
    beside = Target()

    def send_next(response: target.TargetResponse) -> None:
        beside.ends.append(response)
        beside.send("/next")

    deadline = calls.Deadline.after(beside.clock, 500)
    request = target.TargetRequest(method, "/a", (), b"", deadline)
    beside.client.send(request, send_next)
    connection = beside.accept()
    connection.dataReceived((OK if method == "GET" else OK[:-4]) + extra)
    assert len(beside.ends) == 1
    assert connection.transport.disconnected
    beside.accept().dataReceived(OK)
    assert [one.body for one in beside.ends[1:]] == [b"done"]
    assert beside.ends[1].headers == (("X-Of", "target"),)


UNFRAMED = b"HTTP/1.1 200 OK\r\nX-Of: target\r\n\r\nwhole until the close"


def echoing(value: str, body: bytes = b"done") -> bytes:
    return (
        f"HTTP/1.1 200 OK\r\nX-Id: {value}\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def send_with_id(node: Target, value: str) -> None:
    deadline = calls.Deadline.after(node.clock, 500)
    request = target.TargetRequest("GET", "/a", (), b"", deadline, ("x-id", value))
    node.client.send(request, node.ends.append)


def test_an_answer_without_a_length_ends_with_its_connection_where_it_may() -> None:
    node = Target()
    node.client.close_ends_answer = True
    node.send()
    protocol = node.accept()
    protocol.dataReceived(UNFRAMED)
    node.lose(protocol)
    assert (node.codes(), node.ends[0].body) == (
        [_Code.ANSWERED],
        b"whole until the close",
    )


def test_an_answer_without_a_length_that_is_reset_is_not_whole() -> None:
    """Guards against a part of an answer that looks complete (MIXED)."""
    node = Target()
    node.client.close_ends_answer = True
    node.send()
    protocol = node.accept()
    protocol.dataReceived(UNFRAMED)
    protocol.connectionLost(failure.Failure(error.ConnectionLost()))
    assert node.codes() == [_Code.TARGET_CLOSED_EARLY]


def test_a_cut_answer_with_a_length_is_not_whole() -> None:
    node = Target()
    node.client.close_ends_answer = True
    node.send()
    protocol = node.accept()
    protocol.dataReceived(OK[:-1])
    node.lose(protocol)
    assert node.codes() == [_Code.TARGET_CLOSED_EARLY]


def test_a_late_extra_answer_is_not_taken_for_the_next_one() -> None:
    """Guards against the answer to another request (MIXED)."""
    node = Target()
    send_with_id(node, "first")
    protocol = node.accept()
    protocol.dataReceived(echoing("first"))
    send_with_id(node, "second")
    protocol.dataReceived(echoing("first", b"again") + echoing("second", b"own"))
    assert [end.body for end in node.ends] == [b"done", b"own"]
    assert node.statistics.responses_of_others == 1


def test_only_an_extra_answer_is_no_answer() -> None:
    node = Target()
    node.client.close_ends_answer = True
    send_with_id(node, "second")
    protocol = node.accept()
    protocol.dataReceived(echoing("first"))
    node.lose(protocol)
    assert node.codes() == [_Code.TARGET_CLOSED_EARLY]


def test_a_connection_is_not_reused_near_the_end_that_the_target_tells() -> None:
    node = Target()
    node.send()
    protocol = node.accept()
    protocol.dataReceived(OK.replace(b"X-Of", b"Keep-Alive: timeout=2\r\nX-Of"))
    node.advance(1_500)
    node.send()
    assert len(node.reactor.tcpClients) == 2
