"""The time of a process in memory."""

from typing import TYPE_CHECKING

from jujubetiller import clock

if TYPE_CHECKING:
    from standins.fleet import _process


class ProcessClock(clock.Clock):
    """The time of a process as the product reads it."""

    def __init__(self, process: "_process.Process") -> None:
        self.process = process

    def now_ms(self) -> float:
        """Return the milliseconds of the process's clock."""
        return self.process.seconds() * 1000.0
