"""A timer wheel for the deadlines of calls."""

import math
from typing import Generic, TypeVar

Item = TypeVar("Item")


class DeadlineWheel(Generic[Item]):
    """Keeps items by deadline in buckets of one tick each.

    Adding and removing an item takes constant time however many items there are,
    unlike one reactor timer for each call.
    """

    def __init__(self, tick_ms: float, now_ms: float) -> None:
        self.tick_ms = tick_ms
        self.current = math.floor(now_ms / tick_ms)
        """Number of the last bucket that expired."""

        self._buckets: dict[int, dict[Item, None]] = {}
        self._first: float = math.inf
        """Lower bound of the bucket numbers; that bucket may have been removed."""

    def __len__(self) -> int:
        return sum(map(len, self._buckets.values()))

    def add(self, item: Item, at_ms: float) -> int:
        """Add ``item`` with the deadline ``at_ms`` and return its bucket number."""
        number = max(math.ceil(at_ms / self.tick_ms), self.current + 1)
        bucket = self._buckets.get(number)
        if bucket is None:
            bucket = self._buckets[number] = {}
            self._first = min(self._first, number)
        bucket[item] = None
        return number

    def remove(self, item: Item, number: int) -> None:
        """Remove ``item``; an item that has expired is ignored."""
        bucket = self._buckets.get(number)
        if bucket is not None:
            bucket.pop(item, None)
            if not bucket:
                del self._buckets[number]

    def next_ms(self) -> float:
        """Return a time before which no item expires; infinity without items."""
        return self._first * self.tick_ms

    def expire(self, now_ms: float) -> list[Item]:
        """Remove and return the items whose deadline has passed, the earliest first."""
        first, self.current = self.current + 1, math.floor(now_ms / self.tick_ms)
        due: list[Item] = []
        buckets = self._buckets
        # After a long pause, there are fewer buckets than numbers to visit.
        numbers = (
            range(first, self.current + 1)
            if self.current - first < len(buckets)
            else sorted(number for number in buckets if number <= self.current)
        )
        for number in numbers:
            bucket = buckets.pop(number, None)
            if bucket:
                due += bucket
        self._first = min(buckets, default=math.inf)
        return due
