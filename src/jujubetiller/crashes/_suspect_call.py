"""A call of a request that may crash instances."""

import enum
from collections.abc import Callable

import attrs

from jujubetiller import calls, codes


class SuspectState(enum.Enum):
    """Whether a call waits, runs or is over."""

    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"


@attrs.define(eq=False)
class SuspectCall(calls.StartOrRefuse):
    """One call that may have to be run apart.

    Neither ``start`` nor ``refuse`` is called if the call is cancelled before.
    """

    fingerprint: int
    deadline: calls.Deadline

    waits_until: calls.Deadline
    """When the call is refused if it has not started."""

    start: Callable[[], None]
    refuse: Callable[[codes.ResultCode], None]
    state: SuspectState = SuspectState.WAITING

    waits_from_ms: float = 0.0
    """When the call began to wait for its trial."""
