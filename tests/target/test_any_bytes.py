"""Guards against responses that depend on how their bytes are split into segments,
and against bytes of a target that end a call twice, never, or with a partial
response."""

import hypothesis
import hypothesis.strategies as st

from jujubetiller import codes
from tests import pieces
from tests.target import test_target_client

_Code = codes.ResultCode
LEFT_MS = 500


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    body=st.binary(max_size=60), cuts=st.lists(st.integers(1, 130), max_size=10)
)
def test_an_answer_arrives_whole_however_its_bytes_are_split(
    body: bytes, cuts: list[int]
) -> None:
    harness = test_target_client.Harness()
    harness.send()
    connection = harness.accept()
    head = b"HTTP/1.1 200 OK\r\nX-Of: target\r\nContent-Length: %d\r\n\r\n"
    data = head % len(body) + body
    for segment in pieces.cut(data, cuts):
        assert not harness.responses
        connection.dataReceived(segment)
    (response,) = harness.responses
    assert response.code is _Code.ANSWERED
    assert (response.headers, response.body) == ((("X-Of", "target"),), body)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    prefix_bytes=st.integers(0, len(test_target_client.OK) - 1),
    extra_segments=st.lists(st.binary(max_size=40), max_size=5),
)
def test_a_call_ends_once_whatever_follows_a_partial_answer(
    prefix_bytes: int, extra_segments: list[bytes]
) -> None:
    harness = test_target_client.Harness()
    harness.send()
    connection = harness.accept()
    connection.dataReceived(test_target_client.OK[:prefix_bytes])
    for segment in extra_segments:
        connection.dataReceived(segment)
    harness.advance(LEFT_MS + 1)
    assert len(harness.responses) == 1
