"""The clock of a simulated process."""

from typing import TYPE_CHECKING

from jujubetiller import clock

if TYPE_CHECKING:
    from standins.fleet import _process


class ProcessClock(clock.Clock):
    """Reads the simulated time of a process for ``jujubetiller``."""

    def __init__(self, process: "_process.Process") -> None:
        self.process = process

    def now_ms(self) -> float:
        """Return the process's time in milliseconds."""
        return self.process.seconds() * 1000.0


class BootClock(clock.Clock):
    """The same with the time for which the process is frozen, as while it is woken."""

    def __init__(self, process: "_process.Process") -> None:
        self.process = process

    def now_ms(self) -> float:
        """Return the time since the VM of the process booted, in milliseconds."""
        return self.process.network.now_ms
