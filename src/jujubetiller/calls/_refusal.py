"""Answers to calls that a node ends without a response of a target."""

from jujubetiller import codes, records
from jujubetiller.calls import _call_answer


def make_refusal(
    code: codes.ResultCode,
    hops: tuple[records.HopRecord, ...] = (),
    tokens_returned: int = 0,
) -> _call_answer.CallAnswer:
    """Return an answer with ``code`` and its outcome from the code table."""
    return _call_answer.CallAnswer(
        outcome=codes.describe(code).outcome,
        code=code,
        hops=hops,
        tokens_returned=tokens_returned,
    )
