"""The decision whether a call is sent again."""

import random

from jujubetiller import calls, clock, codes, settings
from jujubetiller.retries import _retry_decision, _retry_ledger

_Reason = _retry_decision.RetryReason

_STOP = {
    reason: _retry_decision.RetryDecision(_retry_decision.RetryAction.STOP, reason)
    for reason in _Reason
}

# (outcome of the attempt, idempotent) -> (may be retried, reason)
_BY_OUTCOME = {
    (codes.Outcome.ANSWERED, True): (False, _Reason.ANSWERED),
    (codes.Outcome.ANSWERED, False): (False, _Reason.ANSWERED),
    (codes.Outcome.NOT_RUN, True): (True, _Reason.NOT_RUN),
    (codes.Outcome.NOT_RUN, False): (True, _Reason.NOT_RUN),
    (codes.Outcome.UNKNOWN, True): (True, _Reason.IDEMPOTENT),
    (codes.Outcome.UNKNOWN, False): (False, _Reason.MAY_HAVE_RUN),
}

# Doubling stops here; 2 ** 20 times any base is above the highest backoff.
_MAX_DOUBLINGS = 20


class RetryPolicy:
    """Decides on retries by outcome, code, deadline and retry tokens."""

    def __init__(
        self,
        time_source: clock.Clock,
        random_source: random.Random,
        retry_settings: settings.RetrySettings,
    ) -> None:
        self.time_source = time_source
        self.random_source = random_source
        self.retry_settings = retry_settings

    def decide(
        self,
        answer: calls.CallAnswer,
        idempotent: bool,
        ledger: _retry_ledger.RetryLedger,
        deadline: calls.Deadline,
        attempt: int,
    ) -> _retry_decision.RetryDecision:
        """Return the decision after ``attempt`` (1 for the first) ended in ``answer``.

        A decision to retry has already spent its token. The tokens lent to the
        attempt must be reclaimed or forfeited before this call.
        """
        may_retry, reason = _BY_OUTCOME[answer.outcome, idempotent]
        if not may_retry:
            return _STOP[reason]
        if not codes.CODE_TABLE[answer.code].retryable:
            return _STOP[_Reason.NOT_RETRYABLE]
        delay_ms = self.choose_delay_ms(attempt)
        if delay_ms >= deadline.left_ms(self.time_source):
            return _STOP[_Reason.NO_TIME]
        if not ledger.spend():
            return _STOP[_Reason.NO_TOKEN]
        return _retry_decision.RetryDecision(
            _retry_decision.RetryAction.RETRY, reason, delay_ms
        )

    def choose_delay_ms(self, attempt: int) -> float:
        """Return a backoff with full jitter, so that retries do not synchronise."""
        doublings = min(max(0, attempt - 1), _MAX_DOUBLINGS)
        ceiling_ms = min(
            self.retry_settings.backoff_highest_ms,
            self.retry_settings.backoff_base_ms << doublings,
        )
        return self.random_source.random() * ceiling_ms
