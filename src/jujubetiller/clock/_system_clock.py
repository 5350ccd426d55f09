"""The clock of the running process."""

import time

from jujubetiller.clock import _clock


class SystemClock(_clock.Clock):
    """The monotonic clock of the operating system."""

    def now_ms(self) -> float:
        """Return the operating system's monotonic time in milliseconds."""
        return time.monotonic() * 1000.0
