"""The bounded queue in front of the target."""

import bisect
import collections
import heapq
import itertools
from collections.abc import Iterator

from jujubetiller.limits import _guard_entry, _queue_order

_QUEUED = _guard_entry.EntryState.QUEUED
_Bucket = collections.OrderedDict[_guard_entry.GuardEntry, None]


class AdmissionQueue:
    """Holds at most ``capacity`` waiting entries in the buckets of its order.

    Bucket numbers are kept in a sorted list, so that the first and the last bucket are
    found without a search. Expiry times are kept in a heap; items of entries that have
    left the queue stay in it and are skipped.
    """

    def __init__(self, order: _queue_order.QueueOrder, capacity: int) -> None:
        self.order = order
        self.capacity = capacity
        self.length = 0
        self.buckets: dict[int, _Bucket] = {}
        self.sorted_buckets: list[int] = []
        self.expiries: list[tuple[float, int, _guard_entry.GuardEntry]] = []
        self.sequence = itertools.count()

    def __len__(self) -> int:
        return self.length

    def push(self, entry: _guard_entry.GuardEntry) -> _guard_entry.GuardEntry | None:
        """Add ``entry`` and return the evicted entry, if any.

        A full queue evicts the least important entry, which may be ``entry`` itself.
        ``entry.expires_at_ms`` must be set.
        """
        entry.bucket = self.order.bucket(entry)
        evicted = None
        if self.length >= self.capacity:
            evicted = self._choose_evicted(entry)
            if evicted is entry:
                return entry
            self.remove(evicted)
        self._bucket(entry.bucket)[entry] = None
        entry.state = _QUEUED
        self.length += 1
        self._add_expiry(entry)
        return evicted

    def _bucket(self, number: int) -> _Bucket:
        bucket = self.buckets.get(number)
        if bucket is None:
            bucket = self.buckets[number] = collections.OrderedDict()
            bisect.insort(self.sorted_buckets, number)
        return bucket

    def _choose_evicted(
        self, entry: _guard_entry.GuardEntry
    ) -> _guard_entry.GuardEntry:
        if not self._may_evict_for(entry.bucket):
            return entry
        return next(iter(self.buckets[self.sorted_buckets[-1]]))

    def _may_evict_for(self, bucket: int) -> bool:
        if not self.sorted_buckets:
            return False
        worst = self.sorted_buckets[-1]
        return bucket < worst or (bucket == worst and self.order.evicts_equal())

    def pop(self, congested: bool) -> _guard_entry.GuardEntry | None:
        """Remove and return the entry that starts next."""
        if not self.length:
            return None
        bucket = self.buckets[self.sorted_buckets[0]]
        if self.order.starts_newest(congested):
            entry = next(reversed(bucket))
        else:
            entry = next(iter(bucket))
        self.remove(entry)
        return entry

    def remove(self, entry: _guard_entry.GuardEntry) -> None:
        """Remove a queued entry and set its state to ended."""
        bucket = self.buckets[entry.bucket]
        del bucket[entry]
        if not bucket:
            del self.buckets[entry.bucket]
            del self.sorted_buckets[
                bisect.bisect_left(self.sorted_buckets, entry.bucket)
            ]
        entry.state = _guard_entry.EntryState.ENDED
        self.length -= 1

    def set_order(self, order: _queue_order.QueueOrder) -> None:
        """Sort the waiting entries, in order of arrival, into buckets of ``order``."""
        self.order = order
        self.buckets = {}
        self.sorted_buckets = []
        # The second item is the sequence number of the arrival.
        for _, _, entry in sorted(self.expiries, key=lambda item: item[1]):
            if entry.state is _QUEUED:
                entry.bucket = order.bucket(entry)
                self._bucket(entry.bucket)[entry] = None

    def pop_expired(self, now_ms: float) -> Iterator[_guard_entry.GuardEntry]:
        """Yield the expired entries; each is removed just before it is yielded.

        So an exception in the caller's loop leaves the others in the queue.
        """
        while (expiry := self.next_expiry_ms()) is not None and expiry <= now_ms:
            entry = self.expiries[0][2]
            self.remove(entry)
            yield entry

    def next_expiry_ms(self) -> float | None:
        """Return the earliest expiry time of a waiting entry."""
        while self.expiries and self.expiries[0][2].state is not _QUEUED:
            heapq.heappop(self.expiries)
        return self.expiries[0][0] if self.expiries else None

    def _add_expiry(self, entry: _guard_entry.GuardEntry) -> None:
        if len(self.expiries) > 2 * self.length + 64:
            # Items of entries that left early would otherwise stay until they expire.
            self.expiries = [item for item in self.expiries if item[2].state is _QUEUED]
            heapq.heapify(self.expiries)
        heapq.heappush(self.expiries, (entry.expires_at_ms, next(self.sequence), entry))
