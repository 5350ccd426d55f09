"""Guards against requests that fail although an instance has room for them."""

import pytest

from jujubetiller import calls, codes
from jujubetiller.mesh import _attempt_policy

_Code = codes.ResultCode
LEFT_MS = 1_000.0


def test_refusals_for_the_rate_do_not_use_up_the_attempts_of_a_request() -> None:
    attempts = _attempt_policy.Attempts(idempotent=False, max_attempts=2)
    limited = calls.make_refusal(_Code.RATE_LIMITED)
    full = calls.make_refusal(_Code.QUEUE_FULL)
    answers = [limited] * 3 + [full] * 2
    steps = [attempts.decide(answer, LEFT_MS) for answer in answers]
    assert steps == [_attempt_policy.NextStep.REROUTE] * 5
    assert attempts.decide(full, LEFT_MS) is _attempt_policy.NextStep.FINISH


def test_a_request_does_not_ask_every_limited_instance_of_a_large_service() -> None:
    attempts = _attempt_policy.Attempts(idempotent=True, max_attempts=2)
    limited = calls.make_refusal(_Code.RATE_LIMITED)
    steps = [attempts.decide(limited, LEFT_MS) for _ in range(6)]
    assert steps[:-1] == [_attempt_policy.NextStep.REROUTE] * 5
    assert steps[-1] is _attempt_policy.NextStep.FINISH


@pytest.mark.parametrize(
    "code", [_Code.REQUEST_CRASHES_TARGETS, _Code.SUSPECT_NOT_TRIED]
)
def test_a_request_refused_for_crashes_is_not_sent_to_the_next_instance(
    code: codes.ResultCode,
) -> None:
    attempts = _attempt_policy.Attempts(idempotent=True, max_attempts=3)
    step = attempts.decide(calls.make_refusal(code), LEFT_MS)
    assert step is _attempt_policy.NextStep.FINISH
