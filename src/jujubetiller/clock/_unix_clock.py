"""Unix time for times that several processes compare."""

import time

from jujubetiller.clock import _clock


class UnixClock(_clock.Clock):
    """Unix time as read at the start, advanced by the monotonic clock.

    Unlike readings of other clocks, those of two processes can be compared, as
    precisely as the clocks of their VMs agree. Later steps of the system time are
    ignored, because a clock must never decrease.
    """

    def __init__(self) -> None:
        self.offset_ms = (time.time() - time.monotonic()) * 1000.0

    def now_ms(self) -> float:
        """Return the milliseconds since the Unix epoch."""
        return self.offset_ms + time.monotonic() * 1000.0
