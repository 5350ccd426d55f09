"""The answers after which the same call is distinct work, not a duplicate."""

from jujubetiller import calls, codes

_RETRY_STATUSES = frozenset({408, 425, 429})


def is_successful(answer: calls.CallAnswer) -> bool:
    """Return whether a caller has no reason to send the call again.

    Statuses that HTTP clients commonly retry on do not count as successful.
    """
    return (
        answer.outcome is codes.Outcome.ANSWERED
        and answer.status < calls.LOWEST_FAILURE_STATUS
        and answer.status not in _RETRY_STATUSES
    )
