"""Classifies answers by what they mean for the instance that was called."""

from jujubetiller import calls, codes

_Code = codes.ResultCode

# The other codes concern the caller, the key or downstream services: another
# instance would give the same answer.
_INSTANCE_FAILURE_CODES = frozenset(
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
        _Code.TARGET_CRASHED,
    }
)

_REFUSALS_OF_NODES = frozenset(
    {
        _Code.RATE_LIMITED,
        _Code.REQUEST_CRASHES_TARGETS,
        _Code.SUSPECT_NOT_TRIED,
        _Code.KEYS_NOT_CURRENT,
    }
)

# The sending node creates these answers itself, so they don't confirm that the
# instance's node is reachable.
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


def counts_as_failure(answer: calls.CallAnswer) -> bool:
    """Return whether another instance might have answered better.

    Failed calls count as well as refused ones: an instance that fails fast would
    otherwise have a low latency and attract calls.
    """
    if answer.code is _Code.ANSWERED:
        return answer.status >= calls.LOWEST_FAILURE_STATUS
    return answer.code in _INSTANCE_FAILURE_CODES


def is_sample(answer: calls.CallAnswer) -> bool:
    """Return whether the answer tells how well the instance serves.

    A node that keeps to the rate limit of its target, or that refuses a request for its
    earlier crashes, does so at once, however fast or slow the target is.
    """
    return answer.code not in _REFUSALS_OF_NODES


def is_from_peer(answer: calls.CallAnswer) -> bool:
    """Return whether the answer came from the instance's node."""
    return answer.code not in _LOCAL_CODES
