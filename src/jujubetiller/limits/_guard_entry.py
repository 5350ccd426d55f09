"""A call that waits for, or holds, a slot of the target."""

import enum
from collections.abc import Callable

import attrs

from jujubetiller import calls, codes


class EntryState(enum.Enum):
    """State of an entry at the guard."""

    NEW = "new"
    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


@attrs.define(eq=False)
class GuardEntry(calls.StartOrRefuse):
    """A call at the guard, which starts or refuses it.

    It does neither for a cancelled entry, and may do either inside ``submit``.
    """

    rank: int
    """priority_class * 128 + sub-rank; a smaller rank is more important."""

    depth: int
    """Number of calls above this one in its call tree."""

    deadline: calls.Deadline
    start: Callable[[], None]
    refuse: Callable[[codes.ResultCode], None]

    kind: str = ""
    """Request kind; run times are estimated for each kind."""

    nested_ms: float = 0.0
    """Set by the node before ``finished``: time in which the call waited for nested
    calls. It is left out of the samples for limit policies, because fewer calls at this
    target would not make another service faster."""

    enqueued_at_ms: float = 0.0
    """Set by the guard: when the entry was submitted."""

    started_at_ms: float = 0.0
    """Set by the guard: when ``start`` was called."""

    wait_ms: float = 0.0
    """Set by the guard: time in the queue, until start, refusal or cancellation."""

    expires_at_ms: float = 0.0
    """Set by the guard: when the entry is refused if it is still queued."""

    team: str = ""
    """Name of the team that sent the request; empty for none."""

    is_nested: bool = False
    """Whether a running request waits for the call."""

    was_shed: bool = False
    """Set by the node before ``finished``: whether the target itself shed the call."""

    has_failed: bool = False
    """Set by the node before ``finished``: whether the target answered a failure."""

    bucket: int = 0
    """Set by the queue: the bucket number that the queue order returned."""

    state: EntryState = EntryState.NEW
