"""Guards against responses of the target that are truncated, delivered to another
call, lost or awaited beyond the deadline."""

from typing import Any

import pytest
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python import failure

from jujubetiller import calls, clock, codes, settings, target

_Code = codes.ResultCode
OK = b"HTTP/1.1 200 OK\r\nX-Of: target\r\nContent-Length: 4\r\n\r\ndone"


class Transport(StringTransport):
    """A transport that records when it is aborted."""

    protocol: Any = None

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Accept the option."""

    def abortConnection(self) -> None:
        self.disconnected = True


class Harness:
    """A client of the target whose connections the test serves."""

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
        self.responses: list[target.TargetResponse] = []

    def send(
        self, path: str = "/a", left_ms: float = 500, method: str = "GET"
    ) -> target.TargetCall:
        deadline = calls.Deadline.after(self.clock, left_ms)
        request = target.TargetRequest(method, path, (("X-A", "b"),), b"in", deadline)
        return self.client.send(request, self.responses.append)

    def accept(self) -> Any:
        """Accept the newest connection and return its protocol."""
        factory = self.reactor.tcpClients[-1][2]
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(Transport())
        self.connections.append(protocol)
        return protocol

    def close_connection(self, protocol: Any) -> None:
        protocol.connectionLost(failure.Failure(error.ConnectionDone()))

    def advance(self, by_ms: float) -> None:
        self.clock.advance(by_ms)
        self.reactor.advance(by_ms / 1_000)

    def codes(self) -> list[codes.ResultCode]:
        return [response.code for response in self.responses]


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
@pytest.mark.parametrize("segment_size", [1, 1_000])
def test_a_whole_answer_is_delivered_once_and_its_connection_is_used_again(
    answer: bytes, status: int, body: bytes, segment_size: int
) -> None:
    harness = Harness()
    harness.send()
    connection = harness.accept()
    written = connection.transport.value()
    assert written == b"GET /a HTTP/1.1\r\nX-A: b\r\nContent-Length: 2\r\n\r\nin"
    for start in range(0, len(answer), segment_size):
        connection.dataReceived(answer[start : start + segment_size])
    (response,) = harness.responses
    assert (response.code, response.status, response.body) == (0, status, body)
    assert response.headers == (("X-Of", "target"),)
    harness.send("/b")
    assert b"GET /b " in connection.transport.value()
    assert len(harness.reactor.tcpClients) == 1
    assert harness.statistics.connections_opened == 1


def test_an_answer_to_head_has_no_body() -> None:
    harness = Harness()
    harness.send(method="HEAD")
    connection = harness.accept()
    connection.dataReceived(OK.removesuffix(b"done"))
    assert [(one.status, one.body) for one in harness.responses] == [(200, b"")]
    harness.send("/b")
    connection.dataReceived(OK)
    assert harness.responses[1].body == b"done"


def test_a_connection_that_the_target_asks_to_close_is_not_used_again() -> None:
    harness = Harness()
    harness.send()
    connection = harness.accept()
    connection.dataReceived(OK.replace(b"X-Of", b"Connection: close\r\nX-Of"))
    assert harness.codes() == [_Code.ANSWERED]
    assert connection.transport.disconnected
    harness.send()
    assert len(harness.reactor.tcpClients) == 2


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
def test_a_truncated_answer_is_never_delivered(received: bytes) -> None:
    harness = Harness()
    harness.send()
    connection = harness.accept()
    if received:
        connection.dataReceived(received)
    harness.close_connection(connection)
    assert harness.codes() == [_Code.TARGET_CLOSED_EARLY]
    assert codes.describe(harness.responses[0].code).outcome is codes.Outcome.UNKNOWN
    assert harness.statistics.closed_early == 1
    harness.advance(1_000)
    assert len(harness.responses) == 1


@pytest.mark.parametrize(
    "received", [b"garbage\r\n\r\n", b"HTTP/1.1 101 Up\r\nUpgrade: x\r\n\r\nx"]
)
def test_bytes_that_are_no_answer_end_the_call(received: bytes) -> None:
    harness = Harness()
    harness.send()
    connection = harness.accept()
    connection.dataReceived(received)
    assert harness.codes() == [_Code.ANSWER_INCOMPLETE]
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
    harness = Harness(max_answer_bytes=1_024)
    harness.send()
    connection = harness.accept()
    connection.dataReceived(received)
    assert harness.codes() == [_Code.ANSWER_TOO_LARGE]
    assert connection.transport.disconnected


def test_a_call_on_a_refused_connection_has_not_run() -> None:
    harness = Harness()
    harness.send()
    factory = harness.reactor.tcpClients[-1][2]
    factory.clientConnectionFailed(
        None, failure.Failure(error.ConnectionRefusedError())
    )
    assert harness.codes() == [_Code.TARGET_UNREACHABLE]
    assert codes.describe(harness.responses[0].code).outcome is codes.Outcome.NOT_RUN
    assert harness.statistics.connections_failed == 1


def test_a_deadline_before_the_connection_opens_leaves_it_for_the_next() -> None:
    harness = Harness()
    harness.send(left_ms=100)
    harness.advance(100)
    assert harness.codes() == [_Code.DEADLINE_SPENT]
    connection = harness.accept()
    assert connection.transport.value() == b""
    harness.send("/b")
    assert b"GET /b " in connection.transport.value()


def test_a_silent_connection_keeps_those_that_received_bytes_since() -> None:
    harness = Harness()
    for _ in range(3):
        harness.send()
        harness.accept()
    silent, older, younger = harness.connections
    older.dataReceived(OK)
    harness.advance(10)
    # ``older`` became idle before this call, which reuses it.
    harness.send("/late", left_ms=100)
    assert b"/late" in older.transport.value()
    silent.dataReceived(OK)
    harness.advance(10)
    harness.send("/silent", left_ms=50)
    assert b"/silent" in silent.transport.value()
    younger.dataReceived(OK)
    harness.advance(50)
    # ``younger`` received bytes after the silent call was sent.
    assert harness.codes()[-1] is _Code.DEADLINE_PASSED
    assert silent.transport.disconnected
    assert not younger.transport.disconnected
    assert harness.statistics.connections_silent == 1


def test_a_silent_connection_at_the_deadline_discards_idle_ones() -> None:
    harness = Harness()
    for _ in range(2):
        harness.send()
        harness.accept()
    idle, silent = harness.connections
    idle.dataReceived(OK)
    silent.dataReceived(OK)
    harness.advance(10)
    harness.send(left_ms=50)
    harness.advance(50)
    assert silent.transport.disconnected
    assert idle.transport.disconnected
    assert harness.statistics.idle_discarded == 1
    assert harness.client.idle == []


def test_a_connection_that_sent_a_byte_is_slow_and_not_silent() -> None:
    harness = Harness()
    for _ in range(2):
        harness.send()
        harness.accept()
    idle, slow = harness.connections
    idle.dataReceived(OK)
    slow.dataReceived(OK)
    harness.advance(10)
    harness.send(left_ms=50)
    slow.dataReceived(OK[:-1])
    harness.advance(50)
    assert harness.codes()[-1] is _Code.DEADLINE_PASSED
    assert harness.statistics.connections_silent == 0
    assert not idle.transport.disconnected


@pytest.mark.parametrize("open_first", [True, False])
def test_a_cancelled_call_reports_nothing(open_first: bool) -> None:
    harness = Harness()
    call = harness.send()
    if open_first:
        connection = harness.accept()
        call.cancel()
        assert connection.transport.disconnected
        harness.close_connection(connection)
    else:
        call.cancel()
        assert harness.accept().transport.value() == b""
    harness.advance(1_000)
    assert harness.responses == []


def test_an_idle_connection_that_the_target_closed_is_not_used() -> None:
    harness = Harness()
    harness.send()
    connection = harness.accept()
    connection.dataReceived(OK)
    harness.close_connection(connection)
    harness.send("/b")
    assert len(harness.reactor.tcpClients) == 2
    assert harness.codes() == [_Code.ANSWERED]


def test_an_idle_connection_that_is_old_is_not_used() -> None:
    harness = Harness()
    harness.send()
    connection = harness.accept()
    connection.dataReceived(OK)
    harness.advance(4_001)
    harness.send("/b")
    assert connection.transport.disconnected
    assert len(harness.reactor.tcpClients) == 2


def test_idle_connections_over_the_bound_are_closed() -> None:
    harness = Harness(idle_connections=1)
    for _ in range(2):
        harness.send()
        harness.accept()
    for connection in harness.connections:
        connection.dataReceived(OK)
    assert [one.transport.disconnected for one in harness.connections] == [False, True]
    assert harness.statistics.idle_discarded == 1


@pytest.mark.parametrize("late", [b"H", OK], ids=["byte", "answer"])
def test_an_early_byte_on_an_idle_connection_closes_it(late: bytes) -> None:
    harness = Harness()
    harness.send()
    connection = harness.accept()
    connection.dataReceived(OK)
    connection.dataReceived(late)
    assert connection.transport.disconnected
    harness.send("/b")
    assert len(harness.reactor.tcpClients) == 2
    assert harness.codes() == [_Code.ANSWERED]


@pytest.mark.parametrize("extra", [b"H", b"x", OK.replace(b"done", b"evil")])
@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_bytes_after_an_answer_never_reach_the_next_call(
    extra: bytes, method: str
) -> None:
    harness = Harness()

    def send_next(response: target.TargetResponse) -> None:
        harness.responses.append(response)
        harness.send("/next")

    deadline = calls.Deadline.after(harness.clock, 500)
    request = target.TargetRequest(method, "/a", (), b"", deadline)
    harness.client.send(request, send_next)
    connection = harness.accept()
    connection.dataReceived((OK if method == "GET" else OK[:-4]) + extra)
    assert len(harness.responses) == 1
    assert connection.transport.disconnected
    harness.accept().dataReceived(OK)
    assert [one.body for one in harness.responses[1:]] == [b"done"]
    assert harness.responses[1].headers == (("X-Of", "target"),)


RESPONSE_WITHOUT_LENGTH = (
    b"HTTP/1.1 200 OK\r\nX-Of: target\r\n\r\nwhole until the close"
)


def response_with_id(value: str, body: bytes = b"done") -> bytes:
    return (
        f"HTTP/1.1 200 OK\r\nX-Id: {value}\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def send_with_id(harness: Harness, value: str) -> None:
    deadline = calls.Deadline.after(harness.clock, 500)
    request = target.TargetRequest("GET", "/a", (), b"", deadline, ("x-id", value))
    harness.client.send(request, harness.responses.append)


def test_an_answer_without_a_length_ends_with_its_connection_if_allowed() -> None:
    harness = Harness()
    harness.client.close_ends_answer = True
    harness.send()
    protocol = harness.accept()
    protocol.dataReceived(RESPONSE_WITHOUT_LENGTH)
    harness.close_connection(protocol)
    assert (harness.codes(), harness.responses[0].body) == (
        [_Code.ANSWERED],
        b"whole until the close",
    )


def test_an_answer_without_a_length_that_is_reset_is_not_whole() -> None:
    """Guards against a truncated response that is delivered as complete."""
    harness = Harness()
    harness.client.close_ends_answer = True
    harness.send()
    protocol = harness.accept()
    protocol.dataReceived(RESPONSE_WITHOUT_LENGTH)
    protocol.connectionLost(failure.Failure(error.ConnectionLost()))
    assert harness.codes() == [_Code.TARGET_CLOSED_EARLY]


def test_a_truncated_answer_with_a_length_is_not_whole() -> None:
    harness = Harness()
    harness.client.close_ends_answer = True
    harness.send()
    protocol = harness.accept()
    protocol.dataReceived(OK[:-1])
    harness.close_connection(protocol)
    assert harness.codes() == [_Code.TARGET_CLOSED_EARLY]


def test_a_late_duplicate_answer_does_not_end_the_next_call() -> None:
    """Guards against a call that gets the response to another request."""
    harness = Harness()
    send_with_id(harness, "first")
    protocol = harness.accept()
    protocol.dataReceived(response_with_id("first"))
    send_with_id(harness, "second")
    protocol.dataReceived(
        response_with_id("first", b"again") + response_with_id("second", b"own")
    )
    assert [one.body for one in harness.responses] == [b"done", b"own"]
    assert harness.statistics.responses_of_others == 1


def test_the_answer_to_another_request_does_not_end_a_call() -> None:
    harness = Harness()
    harness.client.close_ends_answer = True
    send_with_id(harness, "second")
    protocol = harness.accept()
    protocol.dataReceived(response_with_id("first"))
    harness.close_connection(protocol)
    assert harness.codes() == [_Code.TARGET_CLOSED_EARLY]


def test_a_connection_is_not_reused_near_the_idle_timeout_of_the_target() -> None:
    harness = Harness()
    harness.send()
    protocol = harness.accept()
    protocol.dataReceived(OK.replace(b"X-Of", b"Keep-Alive: timeout=2\r\nX-Of"))
    harness.advance(1_500)
    harness.send()
    assert len(harness.reactor.tcpClients) == 2
