"""The queue order by priority class."""

from jujubetiller.limits import _guard_entry, _queue_order, _rank


class ClassQueueOrder(_queue_order.QueueOrder):
    """Starts entries by priority class, and within a class in the order of arrival."""

    def bucket(self, entry: _guard_entry.GuardEntry) -> int:
        """Return the priority class."""
        return entry.rank // _rank.RANKS_PER_CLASS

    def starts_newest(self, congested: bool) -> bool:
        """Return False: the oldest entry of a class starts first."""
        return False

    def evicts_equal(self) -> bool:
        """Return False: a full queue refuses the new one of two equal entries."""
        return False
