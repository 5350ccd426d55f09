"""Guards against a malformed message of one peer that ends a stream and its calls."""

from collections.abc import Callable
from typing import Any

import msgpack
import pytest

from jujubetiller import codes, published, settings
from jujubetiller.mesh import _state_message

ADDRESS = settings.Address("127.0.0.1", 7620)
REVISION = [2, 1]
BAD_REVISIONS: list[Any] = [
    1,
    None,
    True,
    "1",
    [],
    [1],
    [1, 2, 3],
    *(
        revision
        for bad in (float("inf"), float("nan"), 2**63, -1, True, "1", None)
        for revision in ([2, bad], [bad, 2])
    ),
]
REQUESTS: list[Any] = [
    1,
    [],
    {},
    *([revision, "127.0.0.1", 1] for revision in BAD_REVISIONS),
    [REVISION, 5, 1],
    [REVISION, "a host", 1],
    [REVISION, "127.0.0.1", 1.5],
    [REVISION, "127.0.0.1", 10**6],
]
ANSWERS: list[Any] = [
    1,
    [REVISION, True, True],
    [REVISION, True, True, 5],
    [REVISION, True, True, {"a": 1}],
    *([revision, True, True, []] for revision in BAD_REVISIONS),
    [REVISION, 1, True, []],
    [REVISION, True, "yes", []],
    [REVISION, True, True, [[1, REVISION, b""]]],
    *([REVISION, True, True, [["k", bad, b""]]] for bad in BAD_REVISIONS),
    [REVISION, True, True, [["k", REVISION, "text"]]],
]
CASES = [
    *((_state_message.decode_request, document) for document in REQUESTS),
    *((_state_message.decode_answer, document) for document in ANSWERS),
]


@pytest.mark.parametrize(("decode", "document"), CASES)
def test_a_malformed_message_is_a_problem(
    decode: Callable[[bytes], Any], document: Any
) -> None:
    problem = decode(bytes(msgpack.packb(document))).unwrap_err()
    assert problem.code is codes.ResultCode.BAD_FRAME
    assert len(problem.message) < 200


@pytest.mark.parametrize("body", [b"", b"\xc1", b"\x91" * 100_000, b"\xdc\xff\xff"])
def test_bytes_that_are_no_message_are_a_problem(body: bytes) -> None:
    for decode in (_state_message.decode_request, _state_message.decode_answer):
        assert decode(body).is_err()


def test_valid_messages_arrive_unchanged() -> None:
    request = _state_message.StateRequest(published.Revision(2, 7), ADDRESS)
    assert _state_message.decode_request(request.encode()).unwrap() == request
    items = (
        published.PublishedItem("k", published.Revision(1, 6), b"v"),
        published.PublishedItem("gone", published.Revision(2, 7), None),
    )
    answer = _state_message.StateAnswer(
        published.Changes(published.Revision(2, 7), items, True), False
    )
    assert _state_message.decode_answer(answer.encode()).unwrap() == answer
