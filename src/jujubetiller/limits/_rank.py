"""The rank of a call."""

import xxhash

RANKS_PER_CLASS = 128


def compute_rank(priority_class: int, tree_id: str) -> int:
    """Return the rank of a call; a smaller rank is more important.

    All calls of one call tree get the same sub-rank, so that under overload all
    instances admit calls of the same trees instead of some calls of each tree.

    >>> compute_rank(2, "tree") // RANKS_PER_CLASS
    2
    """
    sub_rank = xxhash.xxh64_intdigest(tree_id.encode()) % RANKS_PER_CLASS
    return priority_class * RANKS_PER_CLASS + sub_rank
