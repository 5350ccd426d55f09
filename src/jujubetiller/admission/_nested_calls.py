"""The nested calls of one kind."""

import collections

import attrs

from jujubetiller.admission import _call_event

MAX_EVENTS = 640
"""Calls of one kind that are kept with the kinds that ran when they left."""


@attrs.define
class NestedCalls:
    """The number of calls of one kind, the latest ones, and the fitted rates."""

    count: float = 0.0
    """Decayed number of calls."""

    events: collections.deque[_call_event.CallEvent] = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_EVENTS)
    )
    per_ms: dict[str, float] = attrs.Factory(dict)
    """Estimated calls per running millisecond, by kind of the request."""

    errors: dict[str, float] = attrs.Factory(dict)
    """Standard errors of ``per_ms``; infinite for kinds that cannot be
    distinguished. Kinds that were not fitted yet are missing."""
