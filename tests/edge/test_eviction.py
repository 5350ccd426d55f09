"""Guards against clients that keep others away from a listener without room."""

import pytest

from jujubetiller import codes, edge
from tests.edge import recording

CAPACITY = 3
BODY_BYTES = 1_000
HEAD = b"POST /booth/a HTTP/1.1\r\nHost: x\r\n"
LENGTH = f"Content-Length: {BODY_BYTES}\r\n"
EVICTED = f"Jujubetiller-Code: {codes.ResultCode.TOO_MANY_CONNECTIONS}"


@pytest.fixture
def listener() -> recording.Listener:
    return recording.Listener(
        max_body_bytes=BODY_BYTES,
        max_connections=CAPACITY,
        factory_class=edge.PipelinedFactory,
    )


def connect(listener: recording.Listener, sent: bytes = b"") -> recording.Connection:
    """Return a connection that is older than all later ones."""
    connection = listener.connect()
    listener.clock.advance(10)
    if sent:
        connection.receive(sent)
    return connection


def is_closed(connection: recording.Connection) -> bool:
    return connection.transport.disconnecting or connection.transport.aborted


def test_the_connection_that_has_waited_longest_is_closed(
    listener: recording.Listener,
) -> None:
    served, *others = [connect(listener) for _ in range(CAPACITY)]
    served.request()
    listener.handler.replies[0](edge.EdgeReply(200, [], b"done"))
    connect(listener)
    assert [is_closed(connection) for connection in (served, *others)] == [
        False,
        True,
        False,
    ]
    assert listener.factory.connections_evicted == 1  # type: ignore[attr-defined]
    assert len(listener.factory.channels) == CAPACITY


def test_sending_little_does_not_keep_a_connection(
    listener: recording.Listener,
) -> None:
    slow = connect(listener, HEAD)
    others = [connect(listener) for _ in range(CAPACITY - 1)]
    slow.receive(b"a: b\r\n")
    connect(listener)
    assert is_closed(slow) and not any(map(is_closed, others))


def test_connections_without_a_complete_head_are_closed_first(
    listener: recording.Listener,
) -> None:
    receiving = connect(listener)
    receiving.request(headers=LENGTH, body="x" * (BODY_BYTES // 2), method="POST")
    others = [connect(listener, HEAD) for _ in range(CAPACITY - 1)]
    connect(listener)
    assert [is_closed(connection) for connection in (receiving, *others)] == [
        False,
        True,
        False,
    ]


@pytest.mark.parametrize("sent", [HEAD, HEAD + LENGTH.encode() + b"\r\nx"])
def test_an_incomplete_request_is_refused_as_not_run(
    listener: recording.Listener, sent: bytes
) -> None:
    first, *_ = [connect(listener, sent) for _ in range(CAPACITY)]
    connect(listener)
    answer = first.read_output()
    assert answer.startswith("HTTP/1.1 503 ") and EVICTED in answer
    assert "Connection: close" in answer
    first.receive(b"x" * BODY_BYTES)
    assert listener.handler.messages == []


def test_an_idle_connection_is_closed_without_an_answer(
    listener: recording.Listener,
) -> None:
    first, *_ = [connect(listener) for _ in range(CAPACITY)]
    connect(listener)
    assert is_closed(first) and first.read_output() == ""


def test_busy_connections_are_kept(listener: recording.Listener) -> None:
    connections = [connect(listener) for _ in range(CAPACITY)]
    for connection in connections:
        connection.request()
    assert listener.factory.buildProtocol(None) is None
    assert listener.factory.connections_refused == 1
    assert not any(map(is_closed, connections))
    for reply in listener.handler.replies:
        reply(edge.EdgeReply(200, [], b"done"))
    assert all(connection.read_output() for connection in connections)
