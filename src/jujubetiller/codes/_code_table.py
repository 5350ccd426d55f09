"""The table of all result codes."""

from jujubetiller.codes import (
    _bad_input_rows,
    _code_entry,
    _outcome,
    _result_code,
    _unknown_outcome_rows,
)

_ANSWERED = _outcome.Outcome.ANSWERED
_NOT_RUN = _outcome.Outcome.NOT_RUN
_Code = _result_code.ResultCode

_ROWS: tuple[_code_entry.CodeRow, ...] = (
    (_Code.ANSWERED, _ANSWERED, 0, False, "The target answered."),
    (_Code.QUEUE_FULL, _NOT_RUN, 503, True, "The instance's queue was full."),
    (
        _Code.QUEUE_EVICTED,
        _NOT_RUN,
        503,
        True,
        "A more important call took the place in the queue.",
    ),
    (
        _Code.QUEUE_DEADLINE,
        _NOT_RUN,
        503,
        False,
        "The deadline passed, or could no longer be met, in the queue.",
    ),
    (
        _Code.OVERLOADED_DOWNSTREAM,
        _NOT_RUN,
        503,
        False,
        "A service that the call needs is refusing calls of this importance.",
    ),
    (
        _Code.TARGET_SHED,
        _NOT_RUN,
        503,
        True,
        "The target refused the call before running it.",
    ),
    (
        _Code.TOO_MANY_CALLS,
        _NOT_RUN,
        503,
        True,
        "The node holds as many calls as its settings allow.",
    ),
    (
        _Code.TOO_MANY_STREAMS,
        _NOT_RUN,
        503,
        True,
        "The node holds as many peer streams as its settings allow.",
    ),
    (
        _Code.RATE_LIMITED,
        _NOT_RUN,
        503,
        True,
        "The target takes no more requests a second from all nodes together.",
    ),
    (
        _Code.QUOTA_EXCEEDED,
        _NOT_RUN,
        429,
        False,
        "The team has used up its quota through all nodes.",
    ),
    (
        _Code.NODE_MEMORY_FULL,
        _NOT_RUN,
        503,
        True,
        "The node holds as many bytes for requests as its settings allow.",
    ),
    (
        _Code.TOO_MANY_CONNECTIONS,
        _NOT_RUN,
        503,
        True,
        "The node holds as many connections as its settings allow.",
    ),
    (
        _Code.NO_INSTANCE,
        _NOT_RUN,
        503,
        False,
        "No instance of the service can be reached.",
    ),
    (
        _Code.DEADLINE_SPENT,
        _NOT_RUN,
        504,
        False,
        "The deadline passed before the call was sent.",
    ),
    (_Code.DRAINING, _NOT_RUN, 503, True, "The node is shutting down."),
    (
        _Code.RETRY_TOKENS_SPENT,
        _NOT_RUN,
        503,
        False,
        "The call tree has no retry token left.",
    ),
    (
        _Code.CALLER_CANCELLED,
        _NOT_RUN,
        499,
        False,
        "The caller went away before the call ran.",
    ),
    (
        _Code.PEER_UNREACHABLE,
        _NOT_RUN,
        503,
        True,
        "No stream to the instance's node could be opened.",
    ),
    (
        _Code.TARGET_UNREACHABLE,
        _NOT_RUN,
        503,
        True,
        "No connection to the target could be opened.",
    ),
    (
        _Code.KEY_SEALED,
        _NOT_RUN,
        409,
        False,
        "The execution key was sealed before it ran; use a new key.",
    ),
    (
        _Code.NOT_READY,
        _NOT_RUN,
        503,
        True,
        "The node has not yet compared its state with a neighbour.",
    ),
    (
        _Code.NESTED_CALL_LIMIT,
        _NOT_RUN,
        503,
        False,
        "The running call made as many nested calls as its settings allow.",
    ),
    (
        _Code.WRONG_SERVICE,
        _NOT_RUN,
        503,
        True,
        "The instance does not run this service.",
    ),
    (
        _Code.UNDELIVERED,
        _NOT_RUN,
        503,
        True,
        "The stream closed before the peer received the call.",
    ),
    (
        _Code.REQUEST_CRASHES_TARGETS,
        _NOT_RUN,
        503,
        False,
        "Earlier copies of the request crashed the targets that ran them.",
    ),
    (
        _Code.SUSPECT_NOT_TRIED,
        _NOT_RUN,
        503,
        False,
        "A copy of the request ran at a target when it crashed, and this one could "
        "not be run apart from others in time.",
    ),
    (
        _Code.KEYS_NOT_CURRENT,
        _NOT_RUN,
        503,
        True,
        "What the node knows of the API keys is too old to accept one.",
    ),
    *_unknown_outcome_rows.ROWS,
    *_bad_input_rows.ROWS,
)

CODE_TABLE: dict[_result_code.ResultCode, _code_entry.CodeEntry] = {
    row[0]: _code_entry.CodeEntry(*row) for row in _ROWS
}


def describe(code: int) -> _code_entry.CodeEntry:
    """Return the entry of ``code``.

    Raises ``ValueError`` for a number that is no result code.

    >>> describe(203).outcome.value
    'not-run'
    """
    return CODE_TABLE[_result_code.ResultCode(code)]


def render_markdown() -> str:
    """Return the table of ``docs/result-codes.md``."""
    lines = [
        "| code | name | outcome | HTTP status | retryable | meaning |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for entry in CODE_TABLE.values():
        status = str(entry.http_status) if entry.http_status else "target's own"
        lines.append(
            f"| {entry.code.value} | {entry.code.name} | {entry.outcome.value} | "
            f"{status} | {'yes' if entry.retryable else 'no'} | {entry.meaning} |"
        )
    return "\n".join(lines) + "\n"
