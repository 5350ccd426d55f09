"""The decision after each attempt of a request."""

import enum

import attrs

from jujubetiller import calls, codes

_Code = codes.ResultCode

MAX_PLACEMENTS = 3
"""Nodes that may refuse one request before its instance got it."""

LEAST_LEFT_MS = 20.0
"""A request with less time left is not sent again."""


# The instance itself refused the request, so it counts as sent there.
_REFUSED_BY_INSTANCE = frozenset((_Code.TARGET_SHED, _Code.WRONG_SERVICE))

# No other instance would do better.
_FINAL = frozenset((_Code.DEADLINE_SPENT, _Code.CALLER_CANCELLED, _Code.NO_INSTANCE))


class NextStep(enum.Enum):
    """What follows an attempt."""

    FINISH = "finish"
    PLACE = "place"
    """Send the request to another node; no instance has got it yet."""

    REPEAT = "repeat"
    """Send it to another instance, at the cost of the budget."""


@attrs.define
class Attempts:
    """The attempts of one request so far."""

    idempotent: bool
    max_attempts: int
    placements: int = 0
    """Nodes that refused the request before their instance got it."""

    arrivals: int = 0
    """Instances that got the request."""

    def decide(self, answer: calls.CallAnswer, left_ms: float) -> NextStep:
        """Take in the end of an attempt and return what follows."""
        arrived = did_arrive(answer)
        self.arrivals += arrived
        self.placements += not arrived
        if left_ms < LEAST_LEFT_MS or answer.code in _FINAL:
            return NextStep.FINISH
        if not arrived:
            return NextStep.PLACE if self.may_place() else NextStep.FINISH
        if self.arrivals >= self.max_attempts or not self.may_repeat(answer):
            return NextStep.FINISH
        return NextStep.REPEAT

    def may_follow_up(self) -> bool:
        """Return whether an attempt without an answer could be given up."""
        return self.idempotent and self.arrivals + 1 < self.max_attempts

    def may_place(self) -> bool:
        """Return whether another node may be asked."""
        return self.placements < MAX_PLACEMENTS

    def may_repeat(self, answer: calls.CallAnswer) -> bool:
        """Return whether the request may be sent to a second instance."""
        if answer.outcome is codes.Outcome.NOT_RUN:
            return True
        if not self.idempotent:
            return False
        if answer.outcome is codes.Outcome.UNKNOWN:
            return True
        return answer.status >= calls.LOWEST_FAILURE_STATUS


def did_arrive(answer: calls.CallAnswer) -> bool:
    """Return whether an instance may have got the request."""
    if answer.outcome is codes.Outcome.NOT_RUN:
        return answer.code in _REFUSED_BY_INSTANCE
    return True
