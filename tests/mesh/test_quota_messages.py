"""Guards against messages about tokens that are misread or taken although malformed."""

import hypothesis
import hypothesis.strategies as st
import msgpack
import pytest

from jujubetiller import quotas
from jujubetiller.mesh import _quota_message

QUESTION = quotas.Question(
    sender="10.0.0.1",
    boot=7,
    number=3,
    version=12,
    is_from_zone=False,
    delegation=quotas.Delegation(0.25, 1_000.0, 9, 1_700.0),
    demands=(quotas.Demand("a", 1.0, 2.0), quotas.Demand("b", 0.333, 0.0)),
)
ANSWER = quotas.Answer(3, 9, 1_300.0, 12, (quotas.Grant("a", 1.5, 900.0, 20.0),))


def test_messages_are_read_as_they_were_written() -> None:
    body = _quota_message.encode_question(QUESTION)
    assert _quota_message.decode_question(body).unwrap() == QUESTION
    body = _quota_message.encode_answer(ANSWER)
    assert _quota_message.decode_answer(body).unwrap() == ANSWER


def test_rounding_never_adds_tokens_or_time() -> None:
    grant = quotas.Grant("a", 0.9999, 999.9, 0.1)
    body = _quota_message.encode_answer(quotas.Answer(1, 1, 5.9, 1, (grant,)))
    answer = _quota_message.decode_answer(body).unwrap()
    assert answer.stamp_ms == 5.0
    assert answer.grants == (quotas.Grant("a", 0.999, 999.0, 1.0),)


@pytest.mark.parametrize(
    ("place", "value"),
    [
        (0, ""),
        (0, 5),
        (1, -1),
        (2, 1.5),
        (3, None),
        (4, 1),
        (5, [0.0, 1, 1, 1]),
        (5, [1.5, 1, 1, 1]),
        (5, [float("nan"), 1, 1, 1]),
        (5, [0.5, 1, 1, -1]),
        (6, [["a", -1, 0]]),
        (6, [["a", True, 0]]),
        (6, [["a", 1]]),
        (6, [["a", 1, 0]] * 1_025),
        (6, {}),
    ],
)
def test_a_malformed_question_is_rejected(place: int, value: object) -> None:
    fields = msgpack.unpackb(_quota_message.encode_question(QUESTION))
    fields[place] = value
    assert _quota_message.decode_question(msgpack.packb(fields)).is_err()


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(st.binary(max_size=60))
def test_any_bytes_are_an_error_or_a_message(body: bytes) -> None:
    for decode in (_quota_message.decode_question, _quota_message.decode_answer):
        assert decode(body) is not None
