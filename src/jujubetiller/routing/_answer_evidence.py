"""What the code of an answer says about the instance that it came from."""

from jujubetiller import calls, codes

_Code = codes.ResultCode

# Other codes are about the caller, the key or services further down: another
# instance would give the same answer.
_BLAMING_CODES = frozenset(
    {
        _Code.QUEUE_FULL,
        _Code.QUEUE_EVICTED,
        _Code.QUEUE_DEADLINE,
        _Code.TARGET_SHED,
        _Code.TOO_MANY_CALLS,
        _Code.TOO_MANY_STREAMS,
        _Code.DRAINING,
        _Code.PEER_UNREACHABLE,
        _Code.TARGET_UNREACHABLE,
        _Code.NOT_READY,
        _Code.WRONG_SERVICE,
        _Code.UNDELIVERED,
        _Code.STREAM_LOST,
        _Code.DEADLINE_PASSED,
        _Code.ANSWER_INCOMPLETE,
        _Code.TARGET_CLOSED_EARLY,
    }
)

# The sending node gives these itself, so they do not show that the instance lives.
_LOCAL_CODES = frozenset(
    {
        _Code.TOO_MANY_STREAMS,
        _Code.DEADLINE_SPENT,
        _Code.CALLER_CANCELLED,
        _Code.PEER_UNREACHABLE,
        _Code.UNDELIVERED,
        _Code.STREAM_LOST,
        _Code.DEADLINE_PASSED,
        _Code.CANCELLED_WHILE_RUNNING,
    }
)


def is_refusal(answer: calls.CallAnswer) -> bool:
    """Return whether another instance might have done better.

    Failures count as well as refusals: an instance that fails fast would
    otherwise look quick and attract calls.
    """
    if answer.code is _Code.ANSWERED:
        return answer.status >= calls.LOWEST_FAILURE_STATUS
    return answer.code in _BLAMING_CODES


def shows_life(answer: calls.CallAnswer) -> bool:
    """Return whether the answer came from the instance's node."""
    return answer.code not in _LOCAL_CODES
