"""The decision after each attempt of a request."""

import enum

import attrs

from jujubetiller import calls, codes

_Code = codes.ResultCode

MAX_UNDELIVERED = 3
"""Attempts of one request that may end before an instance receives it."""

MAX_RATE_LIMITED = 6
"""Attempts of one request that may end at the rate limits of instances, each at another
one, besides the undelivered ones."""

MIN_TIME_LEFT_MS = 20.0
"""Below this remaining time, a request is neither rerouted nor retried."""


# The target itself refused the request, so the instance has received it.
_REFUSED_BY_INSTANCE = frozenset((_Code.TARGET_SHED, _Code.WRONG_SERVICE))

# Another instance would give the same result.
_FINAL = frozenset(
    (
        _Code.DEADLINE_SPENT,
        _Code.CALLER_CANCELLED,
        _Code.NO_INSTANCE,
        _Code.REQUEST_CRASHES_TARGETS,
        _Code.SUSPECT_NOT_TRIED,
    )
)


class NextStep(enum.Enum):
    """The step after an attempt; the values are part of metric labels."""

    FINISH = "finish"
    REROUTE = "place"
    """Send the request to another node, as no instance has received it yet."""

    RETRY = "repeat"
    """Send the request again to another instance, within the retry budget."""


@attrs.define
class Attempts:
    """The attempts of one request so far."""

    idempotent: bool
    max_attempts: int
    undelivered: int = 0
    """Attempts that ended before an instance received the request."""

    rate_limited: int = 0
    """Attempts that a node refused to keep to the rate limit of its target."""

    arrivals: int = 0
    """Attempts in which an instance may have received the request."""

    def decide(self, answer: calls.CallAnswer, left_ms: float) -> NextStep:
        """Count the attempt that ended with ``answer`` and return the next step."""
        arrived = did_arrive(answer)
        is_rate_limited = answer.code is _Code.RATE_LIMITED
        self.arrivals += arrived
        self.rate_limited += is_rate_limited
        self.undelivered += not arrived and not is_rate_limited
        if left_ms < MIN_TIME_LEFT_MS or answer.code in _FINAL:
            return NextStep.FINISH
        if not arrived:
            return NextStep.REROUTE if self.may_reroute() else NextStep.FINISH
        if self.arrivals >= self.max_attempts or not self.may_retry(answer):
            return NextStep.FINISH
        return NextStep.RETRY

    def may_retry_unanswered(self) -> bool:
        """Return whether a retry may follow if the current attempt gets no answer."""
        return self.idempotent and self.arrivals + 1 < self.max_attempts

    def may_reroute(self) -> bool:
        """Return whether the request may be sent to another node."""
        return (
            self.undelivered < MAX_UNDELIVERED and self.rate_limited < MAX_RATE_LIMITED
        )

    def may_retry(self, answer: calls.CallAnswer) -> bool:
        """Return whether the request may be sent again to another instance."""
        if answer.outcome is codes.Outcome.NOT_RUN:
            return True
        if not self.idempotent:
            return False
        if answer.outcome is codes.Outcome.UNKNOWN:
            return True
        return answer.status >= calls.LOWEST_FAILURE_STATUS


def did_arrive(answer: calls.CallAnswer) -> bool:
    """Return whether an instance may have received the request."""
    if answer.outcome is codes.Outcome.NOT_RUN:
        return answer.code in _REFUSED_BY_INSTANCE
    return True
