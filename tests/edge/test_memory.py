"""Guards against clients whose requests and answers exhaust a node."""

import weakref
from collections.abc import Callable

import pytest

from jujubetiller import clock, codes, edge, memory
from tests.edge import recording
from tests.memory import test_memory_account

LIMIT_BYTES = 2_000_000
BODY_BYTES = 1_000_000
PART = b"x" * 50_000
LENGTH = f"Content-Length: {BODY_BYTES}\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
HEAD_COSTS = 2 * 200 + len("/booth/a") + len("Host: x\r\n" + LENGTH)
"""The target and the headers of such a request."""

FULL = f"Jujubetiller-Code: {codes.ResultCode.NODE_MEMORY_FULL}"


def make_listener() -> recording.Listener:
    account = memory.MemoryAccount(clock.ManualClock(1_000), LIMIT_BYTES)
    return recording.Listener(
        max_body_bytes=BODY_BYTES,
        max_connections=100,
        factory_class=edge.PipelinedFactory,
        account=account,
    )


def fill(listener: recording.Listener, share: float) -> memory.Holder:
    """Hold a share of the limit for another client."""
    owner = test_memory_account.Owner(listener.factory.account)  # type: ignore[attr-defined]
    owner.waits = False
    holder = owner.holder
    holder.set(memory.Kind.READING, int(share * LIMIT_BYTES))
    return holder


def test_what_a_connection_holds_is_counted_until_its_answer_is_written() -> None:
    listener = make_listener()
    account = listener.factory.account  # type: ignore[attr-defined]
    connection = listener.connect()
    connection.request(headers=LENGTH, method="POST")
    for number in range(BODY_BYTES // len(PART)):
        connection.receive(PART)
        kind = memory.Kind.READING
        if number + 1 < BODY_BYTES // len(PART):
            assert account.held[kind] == (number + 1) * len(PART) + HEAD_COSTS
    assert account.held[memory.Kind.READING] == 0
    listener.handler.replies[0](edge.EdgeReply(200, [], b"done"))
    assert account.total_bytes() == 0 and account.holders == {}


def test_heads_are_counted_until_their_requests_are_answered() -> None:
    """Guards against pipelined heads whose memory is not counted."""
    listener = make_listener()
    account = listener.factory.account  # type: ignore[attr-defined]
    connection = listener.connect()
    headers = f"A: {'a' * 30_000}\r\nB: {'b' * 30_000}\r\n"
    connection.request(headers=headers + LENGTH, method="POST")
    assert account.held[memory.Kind.READING] > len(headers)
    connection.receive(b"x" * BODY_BYTES)
    assert account.held[memory.Kind.REQUESTS] > len(headers) + BODY_BYTES
    count = 1
    while connection.transport.producerState == "producing":
        connection.request(headers=headers)
        count += 1
        held_bytes = count * len(headers) + BODY_BYTES
        held = account.held[memory.Kind.REQUESTS] + account.held[memory.Kind.WAITING]
        assert held > held_bytes
    # Two more requests than run at the same time.
    assert count == listener.factory.pipeline_depth + 2  # type: ignore[attr-defined]
    for number in range(count):
        listener.handler.replies[number](edge.EdgeReply(200, [], b"done"))
    assert account.total_bytes() == 0 and account.holders == {}
    assert connection.transport.producerState == "producing"


def test_requests_that_wait_are_refused_above_their_part_of_the_limit() -> None:
    """Guards against one read that brings thousands of small requests."""
    listener = make_listener()
    connection = listener.connect()
    request = b"GET /booth/a HTTP/1.1\r\nHost: x\r\n\r\n"
    connection.receive(request * 1_700)
    account = listener.factory.account  # type: ignore[attr-defined]
    assert account.total_bytes() < 0.15 * LIMIT_BYTES
    answered = 0
    while answered < len(listener.handler.replies):
        listener.handler.replies[answered](edge.EdgeReply(200, [], b"done"))
        answered += 1
    output = connection.read_output()
    assert output.count("HTTP/1.1 200 ") == answered == len(listener.handler.messages)
    assert output.count("HTTP/1.1 503 ") == 1 and FULL in output
    assert connection.transport.disconnecting


def test_requests_that_wait_are_kept_while_little_is_held() -> None:
    listener = make_listener()
    connection = listener.connect()
    connection.receive(b"GET /booth/a HTTP/1.1\r\nHost: x\r\n\r\n" * 200)
    for number in range(200):
        listener.handler.replies[number](edge.EdgeReply(200, [], b"done"))
    assert connection.read_output().count("HTTP/1.1 200 ") == 200


@pytest.mark.parametrize(("share", "status"), [(0.4, 200), (0.6, 503)])
def test_a_request_with_many_headers_is_refused_above_the_first_threshold(
    share: float, status: int
) -> None:
    listener = make_listener()
    fill(listener, share)
    connection = listener.connect()
    connection.request(headers="a: b\r\n" * 1_000)
    for reply in listener.handler.replies:
        reply(edge.EdgeReply(200, [], b"done"))
    assert connection.read_output().startswith(f"HTTP/1.1 {status} ")
    assert len(listener.handler.messages) == (status == 200)


@pytest.mark.parametrize("headers", [LENGTH, CHUNKED])
def test_a_large_request_is_refused_above_the_second_threshold(headers: str) -> None:
    listener = make_listener()
    fill(listener, 0.7)
    connection = listener.connect()
    connection.request(headers=headers, method="POST")
    chunk = b"%x\r\n%b\r\n" % (len(PART), PART)
    for _ in range(BODY_BYTES // len(PART)):
        connection.receive(chunk)
    connection.receive(b"0\r\n\r\n")
    output = connection.read_output()
    assert output.startswith("HTTP/1.1 503 ") and FULL in output
    assert "Connection: close" in output
    assert connection.transport.disconnecting
    assert listener.handler.messages == []


def test_small_requests_of_others_go_on() -> None:
    listener = make_listener()
    fill(listener, 0.99)
    connection = listener.connect()
    length = "Content-Length: 1000\r\n"
    connection.request(headers=length, body="x" * 1_000, method="POST")
    assert len(listener.handler.messages) == 1


def test_a_connection_that_holds_most_is_not_read_until_others_hold_less() -> None:
    listener = make_listener()
    account = listener.factory.account  # type: ignore[attr-defined]
    relief = memory.Relief(account)
    holder = fill(listener, 0.55)
    connection = listener.connect()
    connection.request(headers=LENGTH, method="POST")
    while connection.transport.producerState == "producing":
        connection.receive(PART)
    assert account.total_bytes() < 0.8 * LIMIT_BYTES
    holder.set(memory.Kind.READING, 0)
    relief.check()
    assert connection.transport.producerState == "producing"
    while not listener.handler.messages:
        connection.receive(PART)
    assert len(listener.handler.messages[0].body) == BODY_BYTES


def test_bytes_that_wait_for_a_connection_that_is_not_read_are_counted() -> None:
    listener = make_listener()
    account = listener.factory.account  # type: ignore[attr-defined]
    holder = fill(listener, 0.55)
    connection = listener.connect()
    connection.request(headers=LENGTH, method="POST")
    while connection.transport.producerState == "producing":
        assert account.held[memory.Kind.UNREAD] == 0
        connection.receive(PART)
    assert account.held[memory.Kind.UNREAD] == 65_536
    holder.set(memory.Kind.READING, 0)
    memory.Relief(account).check()
    assert connection.transport.producerState == "producing"
    assert account.held[memory.Kind.UNREAD] == 0


@pytest.mark.parametrize("running", [0, 8])
def test_a_client_that_stops_short_is_refused_and_its_memory_is_freed(
    running: int,
) -> None:
    listener = make_listener()
    account = listener.factory.account  # type: ignore[attr-defined]
    fill(listener, 0.5)
    connection = listener.connect()
    for _ in range(running):
        connection.request()
    connection.request(headers=LENGTH, method="POST")
    connection.receive(PART)
    account.clock.advance(2_100)
    memory.Relief(account).check()
    assert account.held[memory.Kind.READING] == LIMIT_BYTES // 2
    for reply in listener.handler.replies:
        reply(edge.EdgeReply(200, [], b"done"))
    assert FULL in connection.read_output()
    assert account.total_bytes() == LIMIT_BYTES // 2


def test_a_head_over_the_configured_limit_is_refused() -> None:
    listener = make_listener()
    listener.factory.max_header_bytes = 1_000  # type: ignore[attr-defined]
    connection = listener.connect()
    connection.request(headers="a: b\r\n" * 300)
    assert connection.read_output().startswith("HTTP/1.1 400 ")
    assert listener.handler.messages == []
    listener.connect().request(headers="a: b\r\n" * 100)
    assert len(listener.handler.messages) == 1


def test_a_closed_connection_is_freed_without_a_collection() -> None:
    """Guards against the heads of closed connections, which stayed in memory."""
    listener = make_listener()
    connection = listener.connect()
    connection.receive(b"GET / HTTP/1.1\r\na: " + b"b" * 70_000)
    connection.disconnect()
    reference = weakref.ref(connection.channel)
    del connection.channel, connection
    assert reference() is None


def make_pressed_connection(
    share: float,
) -> tuple[recording.Listener, memory.Relief, memory.Holder, recording.Connection]:
    """Return a connection whose request of 40 KB runs, beside another client."""
    listener = make_listener()
    relief = memory.Relief(listener.factory.account)  # type: ignore[attr-defined]
    holder = fill(listener, share)
    connection = listener.connect()
    length = "Content-Length: 40000\r\n"
    connection.request(headers=length, body="x" * 40_000, method="POST")
    assert len(listener.handler.messages) == 1
    return listener, relief, holder, connection


@pytest.mark.parametrize("next_request", [b"", b"GET / HTTP/1.1\r\n"])
def test_a_connection_is_read_again_after_its_request_is_answered(
    next_request: bytes,
) -> None:
    """Guards against a client that waits on a connection which is never read."""
    listener, relief, holder, connection = make_pressed_connection(0.74)
    connection.receive(next_request)
    paused = "paused" if next_request else "producing"
    assert connection.transport.producerState == paused
    listener.handler.replies[0](edge.EdgeReply(200, [], b"done"))
    assert connection.transport.producerState == "producing"
    holder.set(memory.Kind.READING, 0)
    relief.check()
    connection.receive(b"Host: x\r\n\r\n" if next_request else b"")
    if not next_request:
        connection.request()
    assert len(listener.handler.messages) == 2


@pytest.mark.parametrize("share", [0.74, 0.99])
@pytest.mark.parametrize("stray", [b"", b"\r\n"])
def test_a_request_that_runs_at_the_limit_gets_one_answer(
    share: float, stray: bytes
) -> None:
    """Guards against an answer that the client takes for that to its next request."""
    listener, relief, _, connection = make_pressed_connection(share)
    connection.receive(stray)
    fill(listener, 0.3)
    for _ in range(6):
        listener.factory.account.clock.advance(1_000)  # type: ignore[attr-defined]
        relief.check()
        connection.receive(stray)
    listener.handler.replies[0](edge.EdgeReply(200, [], b"done"))
    assert connection.read_output().count("HTTP/1.1 ") == 1
    assert not connection.transport.disconnecting
    connection.request()
    assert len(listener.handler.messages) == 2


def test_a_client_that_waits_for_100_continue_is_not_refused() -> None:
    """Guards against a refusal for a pause of which the node is the cause."""
    listener, relief, _, connection = make_pressed_connection(0.74)
    connection.request(
        headers="Content-Length: 9\r\nExpect: 100-continue\r\n", method="POST"
    )
    # The other client leaves it less than it holds, and it is held back.
    relief.check()
    for _ in range(3):
        listener.factory.account.clock.advance(1_000)  # type: ignore[attr-defined]
        relief.check()
    listener.handler.replies[0](edge.EdgeReply(200, [], b"done"))
    output = connection.read_output()
    assert output.endswith("doneHTTP/1.1 100 Continue\r\n\r\n")
    connection.receive(b"x" * 9)
    assert len(listener.handler.messages) == 2


class RefusingHandler(recording.RecordingHandler):
    """Answers requests with a body at once, but returns what cancels them."""

    def handle(
        self,
        message: edge.EdgeMessage,
        reply: Callable[[edge.EdgeReply], None],
    ) -> Callable[[], None]:
        cancel = super().handle(message, reply)
        if message.body:
            reply(edge.EdgeReply(503, [], b"no"))
        return cancel


def test_a_request_that_is_refused_at_once_is_freed_before_earlier_ones_end() -> None:
    """Guards against bodies that are held but not counted."""
    listener = make_listener()
    handler = listener.factory.handler = RefusingHandler()
    connection = listener.connect()
    connection.request()
    connection.request(headers="Content-Length: 1\r\n", body="x", method="POST")
    reference = weakref.ref(handler.messages.pop())
    handler.replies.clear()
    assert reference() is None
    connection.disconnect()
    assert handler.cancelled == ["/booth/a"]
