"""Guards against clients that send ahead and exhaust a node, or wait for nothing."""

import tracemalloc

import pytest

from jujubetiller import codes, edge
from tests.edge import recording

BODY_BYTES = 200_000
CHUNKED = "Transfer-Encoding: chunked\r\n"
SEGMENT_BYTES = 16_384
MAX_HEAD_BYTES = 65_536
DEPTH = 3


def make_listener() -> recording.Listener:
    return recording.Listener(
        max_body_bytes=BODY_BYTES,
        factory_class=edge.PipelinedFactory,
        pipeline_depth=DEPTH,
    )


def ok() -> edge.EdgeReply:
    return edge.EdgeReply(200, [], b"done")


@pytest.mark.parametrize("chunk_bytes", [1, 2, 3, 50])
def test_a_body_in_small_chunks_occupies_little_more_than_its_bytes(
    chunk_bytes: int,
) -> None:
    """Guards against one client that makes a node exceed its memory."""
    listener = make_listener()
    connection = listener.connect()
    connection.request(headers=CHUNKED, method="POST")
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    segment = chunk * (SEGMENT_BYTES // len(chunk))
    segments = BODY_BYTES // (segment.count(b"\r\n") // 2 * chunk_bytes)
    tracemalloc.start()
    try:
        for _ in range(segments):
            connection.receive(segment)
        occupied_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert occupied_bytes <= 2 * BODY_BYTES
    connection.receive(b"0\r\n\r\n")
    (message,) = listener.handler.messages
    assert message.body == b"x" * (segments * segment.count(b"x"))


@pytest.mark.parametrize(
    ("name", "start", "repeated"),
    [
        ("trailers", b"4\r\ndone\r\n0\r\n", b"a: b\r\n"),
        ("one trailer", b"4\r\ndone\r\n0\r\na: ", b"b"),
        ("the name of a trailer", b"4\r\ndone\r\n0\r\na", b"b"),
        ("a chunk extension", b"4;", b"e"),
    ],
)
def test_what_goes_on_without_end_behind_a_head_is_refused(
    name: str, start: bytes, repeated: bytes
) -> None:
    """Guards against fields that are kept without a limit."""
    listener = make_listener()
    connection = listener.connect()
    connection.request(headers=CHUNKED, method="POST")
    connection.receive(start)
    segment = repeated * (SEGMENT_BYTES // len(repeated))
    for _ in range(MAX_HEAD_BYTES // SEGMENT_BYTES + 2):
        connection.receive(segment)
    assert connection.read_output().startswith("HTTP/1.1 400 "), name
    assert connection.transport.disconnecting
    assert listener.handler.messages == []


def test_a_trailer_changes_no_header_and_is_not_forwarded() -> None:
    """Guards against a deadline or an id that a trailer replaces (RFC 9110, 6.5.1)."""
    listener = make_listener()
    connection = listener.connect()
    headers = f"Jujubetiller-Deadline-Ms: 5000\r\nX-A: b\r\n{CHUNKED}"
    connection.request(headers=headers, method="POST")
    connection.receive(
        b"4\r\ndone\r\n0\r\nJujubetiller-Deadline-Ms: 1\r\nX-A: c\r\nX-B: d\r\n\r\n"
    )
    (message,) = listener.handler.messages
    assert message.control["jujubetiller-deadline-ms"] == "5000"
    forwarded = [header for header in message.headers if header[0].startswith("x-")]
    assert forwarded == [("x-a", "b")]


def test_many_requests_that_are_refused_at_once_are_all_answered() -> None:
    """Guards against a call depth that grows with the refusals in a row."""
    listener = make_listener()
    connection = listener.connect()
    for _ in range(DEPTH):
        connection.request()
    for _ in range(2_000):
        connection.request("*", method="OPTIONS")
    connection.request("/last")
    for reply in listener.handler.replies[:DEPTH]:
        reply(ok())
    listener.handler.replies[DEPTH](ok())
    output = connection.read_output()
    assert output.count("HTTP/1.1 200 ") == DEPTH + 1
    assert output.count("HTTP/1.1 400 ") == 2_000
    assert output.count(f"Jujubetiller-Code: {codes.ResultCode.BAD_REQUEST}") == 2_000


def test_a_client_that_leaves_is_noticed_while_its_requests_wait() -> None:
    """Guards against work for clients that have left: a paused reader sees no close."""
    listener = make_listener()
    connection = listener.connect()
    for _ in range(50):
        connection.request()
    assert connection.transport.producerState == "producing"
    connection.disconnect()
    assert len(listener.handler.cancelled) == DEPTH


def test_reading_pauses_while_many_bytes_wait() -> None:
    listener = make_listener()
    connection = listener.connect()
    for _ in range(DEPTH):
        connection.request()
    length = "Content-Length: 100000\r\n"
    connection.request("/large", length, "x" * 100_000, method="POST")
    assert connection.transport.producerState == "paused"
    listener.handler.replies[0](ok())
    assert connection.transport.producerState == "producing"
    assert listener.handler.messages[-1].path == "/large"


def test_the_time_in_which_reading_is_paused_is_not_the_clients() -> None:
    """Guards against a proper head that is refused because the node did not read it."""
    listener = make_listener()
    connection = listener.connect()
    for _ in range(DEPTH):
        connection.request()
    length = "Content-Length: 100000\r\n"
    connection.request("/large", length, "x" * 100_000, method="POST")
    connection.receive(b"GET /last HTTP/1.1\r\nHost:")
    listener.clock.advance(61_000)
    listener.reactor.advance(1)
    for reply in listener.handler.replies[:DEPTH]:
        reply(ok())
    listener.reactor.advance(1)
    connection.receive(b" x\r\n\r\n")
    assert "HTTP/1.1 400 " not in connection.read_output()
    assert listener.handler.messages[-1].path == "/last"
    connection.receive(b"GET /slow HTTP/1.1\r\nHost:")
    listener.clock.advance(61_000)
    listener.reactor.advance(1)
    for reply in listener.handler.replies[DEPTH:]:
        reply(ok())
    assert "HTTP/1.1 400 " in connection.read_output()
