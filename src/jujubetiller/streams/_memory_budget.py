"""A memory limit shared by all streams of a pool."""

from collections.abc import Callable


class MemoryBudget:
    """Limits the memory for bodies that are received in several parts.

    The whole announced length is reserved before the first part, so that many
    partially received bodies together cannot exceed the limit.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0
        self.kept_bytes = 0
        """Bodies of received calls that have not ended. They have no limit of their
        own."""

        self.has_room: Callable[[int], bool] = lambda count: True
        """Whether the node may hold ``count`` bytes more."""

    def reserve(self, count: int) -> bool:
        """Reserve ``count`` bytes; False if that would exceed the limit."""
        if self.reserved_bytes + count > self.limit_bytes or not self.has_room(count):
            return False
        self.reserved_bytes += count
        return True

    def release(self, count: int) -> None:
        """Release ``count`` reserved bytes."""
        self.reserved_bytes -= count

    def held_bytes(self) -> int:
        """Return the memory of the bodies that arrive and of those that are kept."""
        return self.reserved_bytes + self.kept_bytes
