"""Guards against answers that depend on how their bytes are cut, and against bytes
of an instance that end a call twice, never, or with a part of an answer."""

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
def test_an_answer_arrives_whole_however_its_bytes_are_cut(
    body: bytes, cuts: list[int]
) -> None:
    instance = test_target_client.Target()
    instance.send()
    connection = instance.accept()
    head = b"HTTP/1.1 200 OK\r\nX-Of: target\r\nContent-Length: %d\r\n\r\n"
    data = head % len(body) + body
    for piece in pieces.cut(data, cuts):
        assert not instance.ends
        connection.dataReceived(piece)
    (response,) = instance.ends
    assert response.code is _Code.ANSWERED
    assert (response.headers, response.body) == ((("X-Of", "target"),), body)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    kept=st.integers(0, len(test_target_client.OK) - 1),
    junk=st.lists(st.binary(max_size=40), max_size=5),
)
def test_a_call_ends_once_whatever_follows_a_part_of_an_answer(
    kept: int, junk: list[bytes]
) -> None:
    instance = test_target_client.Target()
    instance.send()
    connection = instance.accept()
    connection.dataReceived(test_target_client.OK[:kept])
    for piece in junk:
        connection.dataReceived(piece)
    instance.advance(LEFT_MS + 1)
    assert len(instance.ends) == 1
