"""A memory limit shared by all streams of a pool."""


class MemoryBudget:
    """Limits the memory for bodies that are received in several parts.

    The whole announced length is reserved before the first part, so that many
    partially received bodies together cannot exceed the limit.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0

    def reserve(self, count: int) -> bool:
        """Reserve ``count`` bytes; False if that would exceed the limit."""
        if self.reserved_bytes + count > self.limit_bytes:
            return False
        self.reserved_bytes += count
        return True

    def release(self, count: int) -> None:
        """Release ``count`` reserved bytes."""
        self.reserved_bytes -= count
