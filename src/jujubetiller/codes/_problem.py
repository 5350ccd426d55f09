"""The description of a rejected input."""

import attrs

from jujubetiller.codes import _result_code


@attrs.frozen
class Problem:
    """The reason why an input was rejected.

    ``field`` is the dotted path of the offending field, and ``message`` names
    the values that are allowed there.
    """

    code: _result_code.ResultCode
    field: str
    message: str

    def __str__(self) -> str:
        return f"[{self.code.value} {self.code.name}] {self.field}: {self.message}"
