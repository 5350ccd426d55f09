"""The interface of limit policies."""

import abc

from jujubetiller.limits import _latency_sample


class LimitPolicy(abc.ABC):
    """Chooses how many calls may run at the target at once."""

    def __init__(self, lowest: int, highest: int) -> None:
        self.lowest = min(lowest, highest)
        self.configured_lowest = lowest
        self.highest = highest

    @abc.abstractmethod
    def current_limit(self) -> int:
        """Return the limit, from ``lowest`` to ``highest``."""

    def reported_limit(self) -> int:
        """Return the limit that callers are told, without short trials of others."""
        return self.current_limit()

    @abc.abstractmethod
    def record(self, sample: _latency_sample.LatencySample) -> None:
        """Adjust the limit by one sample, whose object the guard reuses."""

    def set_highest(self, highest: int) -> None:
        """Change the number of slots, which the limit never exceeds."""
        self.highest = highest
        self.lowest = min(self.configured_lowest, highest)
