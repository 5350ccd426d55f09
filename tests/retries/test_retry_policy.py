"""Guards against retries that must not happen or that spend no retry token."""

import random

import pytest

from jujubetiller import calls, clock, codes, retries, settings

Code = codes.ResultCode
Reason = retries.RetryReason


@pytest.mark.parametrize(
    ("code", "idempotent", "tokens", "left_ms", "reason"),
    [
        (Code.ANSWERED, True, 3, 1000, Reason.ANSWERED),
        (Code.QUEUE_FULL, False, 3, 1000, Reason.NOT_RUN),
        (Code.QUEUE_FULL, True, 0, 1000, Reason.NO_TOKEN),
        (Code.QUEUE_FULL, True, 3, 0, Reason.NO_TIME),
        (Code.RETRY_TOKENS_SPENT, True, 3, 1000, Reason.NOT_RETRYABLE),
        (Code.STREAM_LOST, True, 3, 1000, Reason.IDEMPOTENT),
        (Code.STREAM_LOST, False, 3, 1000, Reason.MAY_HAVE_RUN),
        (Code.DEADLINE_PASSED, True, 3, 1000, Reason.NOT_RETRYABLE),
    ],
)
def test_decision(
    code: Code, idempotent: bool, tokens: int, left_ms: float, reason: Reason
) -> None:
    manual_clock = clock.ManualClock()
    policy = retries.RetryPolicy(
        manual_clock, random.Random(1), settings.RetrySettings()
    )
    ledger = retries.RetryLedger(tokens)
    deadline = calls.Deadline.after(manual_clock, left_ms)
    decision = policy.decide(calls.make_refusal(code), idempotent, ledger, deadline, 1)
    assert decision.reason is reason
    is_retry = decision.action is retries.RetryAction.RETRY
    assert is_retry == (reason in (Reason.NOT_RUN, Reason.IDEMPOTENT))
    assert ledger.remaining == tokens - is_retry


def test_backoff_has_full_jitter_under_a_bounded_ceiling() -> None:
    policy = retries.RetryPolicy(
        clock.ManualClock(), random.Random(1), settings.RetrySettings()
    )
    for attempt, ceiling_ms in ((1, 10), (2, 20), (5, 160), (6, 250), (10**6, 250)):
        delays = [policy.choose_delay_ms(attempt) for _ in range(400)]
        assert min(delays) < ceiling_ms * 0.1
        assert ceiling_ms * 0.9 < max(delays) <= ceiling_ms


def test_a_request_with_an_unknown_attempt_never_ends_as_not_run() -> None:
    outcome = retries.RequestOutcome()
    full = calls.make_refusal(Code.QUEUE_FULL)
    assert outcome.add(full) is full
    assert outcome.add(calls.make_refusal(Code.STREAM_LOST)).code == Code.STREAM_LOST
    last = outcome.add(full)
    assert (last.outcome, last.code) == (codes.Outcome.UNKNOWN, Code.STREAM_LOST)
    answered = calls.CallAnswer(codes.Outcome.ANSWERED, Code.ANSWERED)
    assert outcome.add(answered) is answered
