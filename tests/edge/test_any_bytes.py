"""Guards against requests that are parsed differently when their bytes arrive in other
pieces, and against exceptions in the parser caused by arbitrary bytes of a client."""

import hypothesis
import hypothesis.strategies as st

from jujubetiller import edge
from tests import pieces
from tests.edge import recording

METHODS = st.sampled_from(("GET", "POST", "PUT", "DELETE"))
PATHS = st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=20).map(
    "/".__add__
)
BODIES = st.binary(max_size=40)
CHUNK_BYTES = 7


def encode(method: str, path: str, body: bytes, is_chunked: bool) -> bytes:
    head = f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n".encode()
    if not is_chunked:
        return head + f"Content-Length: {len(body)}\r\n\r\n".encode() + body
    parts = [
        body[start : start + CHUNK_BYTES] for start in range(0, len(body), CHUNK_BYTES)
    ]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def connect() -> tuple[recording.Listener, recording.Connection]:
    listener = recording.Listener(
        max_body_bytes=64, factory_class=edge.PipelinedFactory
    )
    return listener, listener.connect()


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    requests=st.lists(
        st.tuples(METHODS, PATHS, BODIES, st.booleans()), min_size=1, max_size=6
    ),
    cuts=st.lists(st.integers(0, 900), max_size=12),
)
def test_requests_are_parsed_completely_however_their_bytes_are_split(
    requests: list[tuple[str, str, bytes, bool]], cuts: list[int]
) -> None:
    listener, connection = connect()
    data = b"".join(encode(*request) for request in requests)
    for piece in pieces.cut(data, cuts):
        connection.receive(piece)
    arrived = [(m.method, m.path, m.body) for m in listener.handler.messages]
    assert arrived == [request[:3] for request in requests]


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(junk=st.lists(st.binary(max_size=60), max_size=6))
def test_bytes_after_a_request_cause_no_exception_and_no_second_answer(
    junk: list[bytes],
) -> None:
    listener, connection = connect()
    connection.request("/first")
    for piece in junk:
        connection.receive(piece)
    listener.handler.replies[0](edge.EdgeReply(200, [], b"done"))
    answers = connection.read_output()
    assert answers.startswith("HTTP/1.1 200 ")
    assert answers.count("HTTP/1.1 200 ") == 1
    if connection.transport.disconnecting:
        assert answers.count("HTTP/1.1 400 ") == 1
