"""The interface of queue orders."""

import abc

from jujubetiller.limits import _guard_entry


class QueueOrder(abc.ABC):
    """Decides which waiting entry starts next and which one is evicted."""

    @abc.abstractmethod
    def bucket(self, entry: _guard_entry.GuardEntry) -> int:
        """Return the bucket of ``entry``; lower buckets start first."""

    @abc.abstractmethod
    def starts_newest(self, congested: bool) -> bool:
        """Return whether the newest entry of a bucket starts first."""

    @abc.abstractmethod
    def evicts_equal(self) -> bool:
        """Return whether a new entry replaces an older one of the same bucket."""
