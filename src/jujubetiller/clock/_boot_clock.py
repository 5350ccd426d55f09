"""A clock that counts the time during which the VM is suspended."""

import time

from jujubetiller.clock import _clock


class BootClock(_clock.Clock):
    """The time since the VM booted, suspensions included.

    ``SystemClock`` stands still while the VM is suspended, so that what a node knew
    before would not seem to have aged.
    """

    def now_ms(self) -> float:
        """Return the milliseconds since the VM booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
