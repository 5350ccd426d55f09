"""The answer that ends a call."""

import attrs

from jujubetiller import codes, records

LOWEST_FAILURE_STATUS = 500

FINAL_STATUSES = range(200, 600)
"""The statuses of answers; others are never passed on."""
"""Answers with this HTTP status or a higher one mean that the target failed."""


@attrs.define
class CallAnswer:
    """The complete result of one attempt of a call, including the whole body."""

    outcome: codes.Outcome
    code: codes.ResultCode

    status: int = 0
    """HTTP status of the target; 0 when the target did not answer."""

    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    tokens_returned: int = 0
    """Retry tokens lent with the call that were not spent."""

    pressure: int | None = None
    """Rank above which the instance, or any below it in the tree, refuses calls."""

    pressure_service: str = ""
    """The service whose instance set ``pressure``."""

    hops: tuple[records.HopRecord, ...] = ()
    """Hop records of the nodes that handled the call, the nearest one first."""

    key: str = ""
    """Execution key of the call; empty if it had none."""

    queue_delay_ms: float = 0.0
    """The longest queueing delay at present for this call and its nested calls."""

    is_nested: bool = False
    """Whether calls of this kind are sent by instances rather than by clients."""

    rate_limit_per_s: float | None = None
    """Requests a second that the target takes from all nodes together, 0 if it names no
    limit. None if the answer doesn't come from the node beside the target."""

    admitted_share: float = 1.0
    """While there is a limit: the factor by which callers should change what they
    offer to the target."""

    room: int | None = None
    """Calls that the target takes beyond those that it has; negative if calls wait.
    None if the answer doesn't come from the node beside the target."""

    wait_ms: float = 0.0
    """The expected wait of a call that arrives at the target's node now."""

    costs: tuple[tuple[str, float], ...] = ()
    """Services with the slot-milliseconds that one request of the call's kind takes
    there. Empty if they have not changed since an earlier answer."""

    loads: tuple[tuple[str, float], ...] = ()
    """Services with the factor by which callers should change what they offer to them.
    Services that are not overloaded are left out."""

    target_leaving: bool = False
    """Whether the target says that it is about to stop."""
