"""The queue order by priority class, depth and sub-rank."""

from jujubetiller.limits import _guard_entry, _queue_order, _rank

_MAX_DEPTH = 1023


class PriorityQueueOrder(_queue_order.QueueOrder):
    """Orders by priority class, then by depth (deeper first), then by sub-rank.

    Deeper calls come first inside a class because their refusal wastes more work, that
    of all calls above them. Under congestion the newest entry of a bucket starts first:
    it has the most time left, whereas the caller of the oldest one is about to time
    out.
    """

    def bucket(self, entry: _guard_entry.GuardEntry) -> int:
        """Return a number made of priority class, inverted depth and sub-rank."""
        inverted_depth = _MAX_DEPTH - min(entry.depth, _MAX_DEPTH)
        rank_class, sub_rank = divmod(entry.rank, _rank.RANKS_PER_CLASS)
        return (rank_class << 20) | (inverted_depth << 8) | sub_rank

    def starts_newest(self, congested: bool) -> bool:
        """Return True under congestion."""
        return congested

    def evicts_equal(self) -> bool:
        """Return True: a full queue prefers the newer of two equal entries."""
        return True
