"""Deadlines of calls and requests."""

import attrs

from jujubetiller import clock


@attrs.frozen
class Deadline:
    """The time on the local clock after which the caller has no use for an answer.

    Between processes a deadline is sent as the time left, because the clocks of
    two processes cannot be compared.

    >>> manual_clock = clock.ManualClock()
    >>> deadline = Deadline.after(manual_clock, 300)
    >>> manual_clock.advance(100)
    >>> deadline.left_ms(manual_clock)
    200.0
    """

    at_ms: float

    @classmethod
    def after(cls, time_source: clock.Clock, left_ms: float) -> "Deadline":
        """Return the deadline that is ``left_ms`` milliseconds from now."""
        return cls(time_source.now_ms() + left_ms)

    def left_ms(self, time_source: clock.Clock) -> float:
        """Return the milliseconds left, or zero after the deadline."""
        return max(0.0, self.at_ms - time_source.now_ms())

    def has_passed(self, time_source: clock.Clock) -> bool:
        """Return whether no time is left."""
        return time_source.now_ms() >= self.at_ms
