"""The result codes of invalid input, which is rejected without running."""

from jujubetiller.codes import _code_entry, _outcome, _result_code

_NOT_RUN = _outcome.Outcome.NOT_RUN
_Code = _result_code.ResultCode

ROWS: tuple[_code_entry.CodeRow, ...] = (
    (_Code.BAD_SETTINGS, _NOT_RUN, 400, False, "The settings are not valid."),
    (_Code.BAD_TICKET, _NOT_RUN, 400, False, "The change ticket is not valid."),
    (_Code.BAD_REQUEST, _NOT_RUN, 400, False, "The HTTP request is not valid."),
    (
        _Code.UNKNOWN_SERVICE,
        _NOT_RUN,
        404,
        False,
        "No ticket in force describes the service.",
    ),
    (
        _Code.UNKNOWN_REQUEST_KIND,
        _NOT_RUN,
        404,
        False,
        "No ticket in force describes a request kind for the method and path.",
    ),
    (
        _Code.BODY_TOO_LARGE,
        _NOT_RUN,
        413,
        False,
        "The body is larger than the settings allow.",
    ),
    (_Code.BAD_KEY, _NOT_RUN, 400, False, "The execution key is not valid."),
    (_Code.BAD_RETRY_TOKEN, _NOT_RUN, 400, False, "The retry token is not valid."),
    (_Code.BAD_DEADLINE, _NOT_RUN, 400, False, "The deadline is not valid."),
    (_Code.BAD_FRAME, _NOT_RUN, 400, False, "A frame between nodes is not valid."),
    (
        _Code.BAD_VERSION,
        _NOT_RUN,
        400,
        False,
        "The nodes share no version of the stream protocol.",
    ),
    (_Code.BAD_COMMAND, _NOT_RUN, 400, False, "The command line is not valid."),
    (_Code.BAD_RECORD, _NOT_RUN, 400, False, "The record is not valid."),
    (
        _Code.BAD_CONTEXT,
        _NOT_RUN,
        400,
        False,
        "The call context does not belong to a running call.",
    ),
    (
        _Code.KEY_REQUIRED,
        _NOT_RUN,
        409,
        True,
        "The request kind is non-idempotent, and the call carries no key.",
    ),
    (
        _Code.NO_ROUTE,
        _NOT_RUN,
        404,
        False,
        "No route of the configuration in force has this host and path.",
    ),
    (
        _Code.BAD_ITEM,
        _NOT_RUN,
        400,
        False,
        "A published item has a wrong field; the last good state holds.",
    ),
    (
        _Code.BAD_NOTICE,
        _NOT_RUN,
        400,
        False,
        "A target's response states its own limit or its leaving wrongly; the last "
        "good state holds.",
    ),
    (
        _Code.UNKNOWN_API_KEY,
        _NOT_RUN,
        401,
        False,
        "The request carries no API key that a team of the configuration holds.",
    ),
)
