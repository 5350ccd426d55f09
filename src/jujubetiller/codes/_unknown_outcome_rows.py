"""The result codes of requests that may have run."""

from jujubetiller.codes import _code_entry, _outcome, _result_code

_UNKNOWN = _outcome.Outcome.UNKNOWN
_Code = _result_code.ResultCode

ROWS: tuple[_code_entry.CodeRow, ...] = (
    (
        _Code.STREAM_LOST,
        _UNKNOWN,
        502,
        True,
        "The stream to the instance closed while the call was under way.",
    ),
    (
        _Code.DEADLINE_PASSED,
        _UNKNOWN,
        504,
        False,
        "The deadline passed while the call was under way.",
    ),
    (
        _Code.ANSWER_INCOMPLETE,
        _UNKNOWN,
        502,
        True,
        "The answer's length or checksum did not match.",
    ),
    (
        _Code.TARGET_CLOSED_EARLY,
        _UNKNOWN,
        502,
        True,
        "The target closed the connection before its whole answer was read.",
    ),
    (
        _Code.KEY_NOT_MINE,
        _UNKNOWN,
        409,
        False,
        "The process that the execution key names is gone.",
    ),
    (
        _Code.KEY_EXPIRED,
        _UNKNOWN,
        409,
        False,
        "The execution key is older than its owner's memory.",
    ),
    (
        _Code.KEY_ANSWER_DROPPED,
        _UNKNOWN,
        409,
        False,
        "The key ran before, and its answer is no longer held.",
    ),
    (
        _Code.KEY_TABLE_FULL,
        _UNKNOWN,
        503,
        True,
        "The owner can hold no more execution keys at present.",
    ),
    (
        _Code.KEY_NOT_SEALED,
        _UNKNOWN,
        503,
        True,
        "The call was refused, but the key's owner did not confirm that no "
        "other copy ran.",
    ),
    (
        _Code.CANCELLED_WHILE_RUNNING,
        _UNKNOWN,
        499,
        False,
        "The caller went away while the call was under way.",
    ),
    (
        _Code.ANSWER_TOO_LARGE,
        _UNKNOWN,
        502,
        False,
        "The target's answer is larger than the settings allow.",
    ),
    (
        _Code.RETRY_TOKEN_USED,
        _UNKNOWN,
        409,
        False,
        "The retry token was already presented to this node; the attempt that it "
        "was presented with may have run.",
    ),
    (
        _Code.ANSWER_OVERDUE,
        _UNKNOWN,
        504,
        True,
        "The answer took many times as long as usual and was given up.",
    ),
    (
        _Code.TARGET_CRASHED,
        _UNKNOWN,
        502,
        True,
        "The target ended while it ran the call.",
    ),
)
