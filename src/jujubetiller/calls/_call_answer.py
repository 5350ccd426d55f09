"""How a call ended."""

import attrs

from jujubetiller import codes, records

LOWEST_FAILURE_STATUS = 500
"""From this HTTP status on, an answer tells that the target failed."""


@attrs.define
class CallAnswer:
    """The end of one attempt of a call, always whole."""

    outcome: codes.Outcome
    code: codes.ResultCode

    status: int = 0
    """HTTP status of the target; 0 when the target did not answer."""

    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    tokens_returned: int = 0
    """Lent retry tokens that were not spent."""

    pressure: int | None = None
    """Rank above which the instance, or anything below it, refuses calls."""

    pressure_service: str = ""
    """The service that set ``pressure``."""

    hops: tuple[records.HopRecord, ...] = ()
    """What each node on the way recorded, the nearest one first."""

    key: str = ""
    """The execution key that the call ran under."""

    queue_delay_ms: float = 0.0
    """The longest queueing delay that the call and those below it meet at present."""

    is_nested: bool = False
    """Whether calls of this kind come from instances and not from clients."""
