"""The queue order first in, first out."""

from jujubetiller.limits import _guard_entry, _queue_order


class ArrivalQueueOrder(_queue_order.QueueOrder):
    """Starts entries in the order of arrival, whatever their importance."""

    def bucket(self, entry: _guard_entry.GuardEntry) -> int:
        """Return one bucket for all entries."""
        return 0

    def starts_newest(self, congested: bool) -> bool:
        """Return False: the oldest entry starts first."""
        return False

    def evicts_equal(self) -> bool:
        """Return False: a full queue refuses the new entry."""
        return False
