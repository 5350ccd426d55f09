"""The description of one result code."""

import attrs

from jujubetiller.codes import _outcome, _result_code

CodeRow = tuple[_result_code.ResultCode, _outcome.Outcome, int, bool, str]
"""The fields of a ``CodeEntry`` in their order."""


@attrs.frozen
class CodeEntry:
    """A result code with its consequences for the caller."""

    code: _result_code.ResultCode

    outcome: _outcome.Outcome

    http_status: int
    """The HTTP status that the edge answers with; 0 keeps the target's own."""

    retryable: bool
    """Whether another attempt without delay may succeed."""

    meaning: str
