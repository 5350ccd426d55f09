"""The result of a request to the target."""

import attrs

from jujubetiller import codes


@attrs.define
class TargetResponse:
    """A complete response of the target, or the reason why there is none.

    ``code`` is ANSWERED for a complete response. The outcome of every other code
    states whether the request may have run.
    """

    code: codes.ResultCode
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
