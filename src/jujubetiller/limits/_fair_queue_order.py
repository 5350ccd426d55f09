"""The queue order by priority class, with nested calls first."""

from jujubetiller.limits import _guard_entry, _queue_order, _rank


class FairQueueOrder(_queue_order.QueueOrder):
    """Orders by priority class; within a class, calls of running requests go first.

    A refused nested call wastes the work of the request that waits for it.
    """

    def bucket(self, entry: _guard_entry.GuardEntry) -> int:
        """Return a number made of priority class and whether the call is nested."""
        is_nested = entry.is_nested or entry.depth > 0
        return 2 * (entry.rank // _rank.RANKS_PER_CLASS) + (not is_nested)

    def starts_newest(self, congested: bool) -> bool:
        """Return False: the oldest entry of a team starts first."""
        return False

    def evicts_equal(self) -> bool:
        """Return False: entries of one team keep their order."""
        return False
