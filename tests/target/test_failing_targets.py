"""Guards against targets in trouble: bytes without end, and answers to others."""

import tracemalloc

import pytest

from jujubetiller import calls, codes, target
from tests.target import test_target_client

_Code = codes.ResultCode
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\nX-Early: 1\r\n\r\n"
OF_ANOTHER = b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1000\r\n\r\n"
SEGMENT_BYTES = 4_096
MAX_ANSWER_BYTES = 65_536
MAX_HELD_BYTES = 600_000
"""Most that one response may hold: its headers and its body."""

ENDLESS = {
    "one header": (b"HTTP/1.1 200 OK\r\nX-A: ", b"x"),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
    "status line": (b"HTTP/1.1 200 ", b"O"),
    "interim responses": (b"", INTERIM),
    "responses to others": (b"", OF_ANOTHER + b"x" * 1_000),
    "a body without a length": (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
    "a body in chunks": (CHUNKED, b"400\r\n" + b"x" * 1_024 + b"\r\n"),
    "a chunk extension": (CHUNKED + b"4;", b"e"),
    "trailers": (CHUNKED + b"4\r\ndone\r\n0\r\n", b"a: b\r\n"),
    "one trailer": (CHUNKED + b"4\r\ndone\r\n0\r\na: ", b"b"),
    "bytes that are no response": (b"\x00", b"\xff"),
}


def send(harness: test_target_client.Harness, value: str) -> target.TargetCall:
    deadline = calls.Deadline.after(harness.clock, 500.0)
    request = target.TargetRequest("GET", "/a", (), b"", deadline, ("x-id", value))
    return harness.client.send(request, harness.responses.append)


@pytest.mark.parametrize("name", ENDLESS)
def test_bytes_without_end_end_the_call_and_hold_little_memory(name: str) -> None:
    start, repeated = ENDLESS[name]
    harness = test_target_client.Harness(max_answer_bytes=MAX_ANSWER_BYTES)
    harness.client.close_ends_answer = True
    send(harness, "own")
    connection = harness.accept()
    connection.dataReceived(start)
    segment = repeated * (SEGMENT_BYTES // len(repeated) + 1)
    for _ in range(1_000):
        if harness.responses:
            break
        connection.dataReceived(segment)
        assert harness.client.memory.held_bytes <= MAX_HELD_BYTES
    (code,) = harness.codes()
    assert codes.describe(code).outcome is codes.Outcome.UNKNOWN
    assert codes.describe(code).http_status == 502, "what the caller gets"
    assert connection.transport.disconnected
    assert harness.client.memory.held_bytes == 0


def test_all_responses_together_hold_no_more_than_the_bound() -> None:
    """Guards against a node that is killed for its memory by many large responses."""
    harness = test_target_client.Harness(
        max_answer_bytes=MAX_ANSWER_BYTES, max_held_bytes=4 * MAX_ANSWER_BYTES
    )
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 65000\r\n\r\n"
    connections = []
    for number in range(20):
        send(harness, str(number))
        connections.append(harness.accept())
    for connection in connections:
        connection.dataReceived(head + b"x" * 60_000)
        assert harness.client.memory.held_bytes <= 4 * MAX_ANSWER_BYTES
    refused = len(harness.responses)
    assert set(harness.codes()) == {_Code.ANSWER_TOO_LARGE}
    assert harness.statistics.held_bytes_refused == refused >= 16
    for connection in connections:
        if not connection.transport.disconnected:
            connection.dataReceived(b"x" * 5_000)
    assert harness.codes()[refused:] == [_Code.ANSWERED] * (20 - refused)
    assert harness.client.memory.held_bytes == 0


def test_trailers_are_not_taken_for_headers() -> None:
    harness = test_target_client.Harness()
    send(harness, "own")
    trailer = b"4\r\ndone\r\n0\r\nX-Late: 1\r\n\r\n"
    harness.accept().dataReceived(CHUNKED + trailer)
    assert [name for name, _ in harness.responses[0].headers] == []


def test_a_request_that_is_sent_again_uses_another_connection() -> None:
    """Guards against a late second copy of the first answer, under the same id.

    A target refused the request, then runs it: the copy would tell that it did not run.
    """
    harness = test_target_client.Harness()
    send(harness, "same")
    first = harness.accept()
    refusal = test_target_client.response_with_id("same", b"full")
    first.dataReceived(refusal)
    send(harness, "same")
    second = harness.accept()
    first.dataReceived(refusal)
    second.dataReceived(test_target_client.response_with_id("same", b"own"))
    assert [one.body for one in harness.responses] == [b"full", b"own"]
    assert first.transport.disconnected
    send(harness, "next")
    assert len(harness.reactor.tcpClients) == 2


def test_a_response_with_too_many_headers_ends_the_call() -> None:
    """Guards against an answer that no frame can hold."""
    harness = test_target_client.Harness()
    send(harness, "own")
    connection = harness.accept()
    connection.dataReceived(b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 300 + b"\r\n")
    assert harness.codes() == [_Code.ANSWER_TOO_LARGE]
    assert connection.transport.disconnected


REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 4\r\n"
REPEATED_REFUSALS = {
    "with its id": b"X-Id: earlier\r\n\r\nfull",
    "without an id": b"\r\nfull",
}


@pytest.mark.parametrize("requires_echo", [True, False], ids=["mesh", "own interface"])
@pytest.mark.parametrize("moment", ["idle", "sent", "with the answer"])
@pytest.mark.parametrize("name", REPEATED_REFUSALS)
def test_a_refusal_that_is_written_again_ends_no_later_request(
    name: str, moment: str, requires_echo: bool
) -> None:
    """Guards against a request that runs, but is reported as not run."""
    harness = test_target_client.Harness()
    harness.client.requires_echo = requires_echo
    refusal = REFUSAL + REPEATED_REFUSALS[name]
    send(harness, "earlier")
    first = harness.accept()
    first.dataReceived(refusal)
    if moment == "idle" and not first.transport.disconnected:
        first.dataReceived(refusal)
    send(harness, "later")
    used = first
    if len(harness.reactor.tcpClients) == 2:
        assert first.transport.disconnected, "nothing more is read from it"
        used = harness.accept()
    elif moment == "sent":
        first.dataReceived(refusal)
    before = refusal if moment == "with the answer" and used is first else b""
    used.dataReceived(before + test_target_client.response_with_id("later", b"own"))
    assert [one.body for one in harness.responses] == [b"full", b"own"]


def test_a_repeated_refusal_without_an_id_is_not_taken_after_other_answers() -> None:
    """Guards against the copy of a refusal that was not the first on its connection."""
    harness = test_target_client.Harness()
    harness.client.requires_echo = True
    send(harness, "first")
    connection = harness.accept()
    connection.dataReceived(test_target_client.response_with_id("first", b"own"))
    send(harness, "second")
    connection.dataReceived(REFUSAL + b"\r\nfull")
    assert len(harness.responses) == 1
    connection.dataReceived(test_target_client.response_with_id("second", b"own"))
    assert [one.body for one in harness.responses] == [b"own", b"own"]


HEADS = {
    "with a length": b"HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 9\r\n\r\n",
    "in chunks": b"HTTP/1.1 200 OK\r\nX-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n",
    "after an interim one": INTERIM + b"HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\n",
}


@pytest.mark.parametrize("closes", [True, False], ids=["mesh", "own interface"])
@pytest.mark.parametrize("is_kept", [True, False], ids=["kept", "new"])
@pytest.mark.parametrize("name", HEADS)
def test_a_head_that_ends_early_is_no_response(
    name: str, is_kept: bool, closes: bool
) -> None:
    """Guards against an empty answer that looks whole."""
    head = HEADS[name]
    for length in range(1, len(head)):
        harness = test_target_client.Harness()
        harness.client.close_ends_answer = closes
        connection = None
        if is_kept:
            send(harness, "before")
            connection = harness.accept()
            connection.dataReceived(test_target_client.response_with_id("before"))
        send(harness, "own")
        connection = connection or harness.accept()
        connection.dataReceived(head[:length])
        harness.close_connection(connection)
        code = harness.codes()[-1]
        assert codes.describe(code).outcome is codes.Outcome.UNKNOWN, head[:length]


@pytest.mark.parametrize("chunk_bytes", [1, 2, 3, 8, 100])
def test_a_body_in_small_chunks_occupies_what_is_counted(chunk_bytes: int) -> None:
    """Guards against responses whose small chunks exceed the memory of the node.

    Each chunk was kept as an object, which takes over 30 bytes beside its content.
    """
    harness = test_target_client.Harness(max_answer_bytes=MAX_ANSWER_BYTES)
    send(harness, "own")
    connection = harness.accept()
    connection.dataReceived(CHUNKED)
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    segment = chunk * (SEGMENT_BYTES // len(chunk))
    body_bytes = SEGMENT_BYTES // len(chunk) * chunk_bytes
    tracemalloc.start()
    try:
        for _ in range(MAX_ANSWER_BYTES // body_bytes):
            connection.dataReceived(segment)
        occupied_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert not harness.responses
    assert occupied_bytes <= 2 * harness.client.memory.held_bytes
    connection.dataReceived(b"0\r\n\r\n")
    (response,) = harness.responses
    assert response.code is _Code.ANSWERED
    assert set(response.body) == {ord("x")}
