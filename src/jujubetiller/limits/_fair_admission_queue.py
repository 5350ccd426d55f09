"""A queue that serves the teams of a priority class in turn."""

import collections

from jujubetiller.limits import (
    _admission_queue,
    _fair_queue_order,
    _guard_entry,
    _queue_order,
)

_Entries = collections.OrderedDict[_guard_entry.GuardEntry, None]


STARTS_PER_FLOOR_START = 8
"""One of this many starts is of a bucket other than the first: without it, calls of
less important requests that entry nodes admitted would fail after using other
services. Fewer starts in between would take more from the most important requests."""

MAX_LATEST = 64
"""Buckets of which the latest start is known; others count as never served."""


class FairAdmissionQueue(_admission_queue.AdmissionQueue):
    """Starts the oldest entry of each team in turn, within the first bucket.

    Each ``STARTS_PER_FLOOR_START``-th start is of another bucket instead, the one whose
    latest start is longest ago: each of them would starve behind a full first bucket.
    For the same reason, entries of the others may take as large a part of the queue.
    Beyond it, a full queue evicts the newest entry of the team that has the most in the
    last bucket.
    """

    def __init__(self, capacity: int) -> None:
        super().__init__(_fair_queue_order.FairQueueOrder(), capacity)
        self.starts = 0
        self.latest: collections.OrderedDict[int, int] = collections.OrderedDict()
        """Number of the latest start by bucket, also of buckets that are empty."""

        # By bucket, the teams that have entries in it; the one whose turn it is first.
        self.teams: dict[int, collections.OrderedDict[str, _Entries]] = {}

    def push(self, entry: _guard_entry.GuardEntry) -> _guard_entry.GuardEntry | None:
        """Add ``entry`` and return the evicted entry, if any, which may be itself."""
        evicted = super().push(entry)
        if evicted is not entry:
            teams = self.teams.setdefault(entry.bucket, collections.OrderedDict())
            teams.setdefault(entry.team, collections.OrderedDict())[entry] = None
        return evicted

    def pop(self, congested: bool) -> _guard_entry.GuardEntry | None:
        """Remove and return the oldest entry of the team whose turn it is."""
        if not self.length:
            return None
        self.starts += 1
        bucket = self.sorted_buckets[0]
        if self.starts % STARTS_PER_FLOOR_START == 0 and len(self.sorted_buckets) > 1:
            bucket = self._choose_floor_bucket()
        self._record_start(bucket)
        teams = self.teams[bucket]
        team = next(iter(teams))
        teams.move_to_end(team)
        entry = next(iter(teams[team]))
        self.remove(entry)
        return entry

    def remove(self, entry: _guard_entry.GuardEntry) -> None:
        """Remove a queued entry and set its state to ended."""
        teams = self.teams[entry.bucket]
        del teams[entry.team][entry]
        if not teams[entry.team]:
            del teams[entry.team]
        if not teams:
            del self.teams[entry.bucket]
        super().remove(entry)

    def _choose_floor_bucket(self) -> int:
        """Return the bucket, without the first, whose latest start is longest ago."""
        return min(
            self.sorted_buckets[1:], key=lambda number: self.latest.get(number, 0)
        )

    def _record_start(self, bucket: int) -> None:
        self.latest[bucket] = self.starts
        self.latest.move_to_end(bucket)
        if len(self.latest) > MAX_LATEST:
            self.latest.popitem(last=False)

    def set_order(self, order: _queue_order.QueueOrder) -> None:
        """Keep the queue's own order, whatever ``order`` is.

        Settings, tickets and teams choose between orders that don't know nested calls
        of running requests; the buckets and teams of waiting entries stay valid.
        """

    def _choose_evicted(
        self, entry: _guard_entry.GuardEntry
    ) -> _guard_entry.GuardEntry:
        bucket = self._choose_bucket_to_evict(entry.bucket)
        teams = self.teams.get(bucket)
        if teams is None:
            return entry
        # Of equally long ones, the last: the first one starts next.
        longest = max(reversed(teams.values()), key=len)
        of_team = teams.get(entry.team, ())
        if entry.bucket == bucket and len(of_team) >= len(longest):
            return entry
        return next(reversed(longest))

    def _choose_bucket_to_evict(self, new_bucket: int) -> int:
        """Return the bucket that exceeds its part of the queue.

        ``new_bucket`` is the bucket of an entry that is to be added.
        """
        lengths = {number: len(self.buckets[number]) for number in self.sorted_buckets}
        lengths[new_bucket] = lengths.get(new_bucket, 0) + 1
        first, *others = sorted(lengths)
        reserved = self.capacity // STARTS_PER_FLOOR_START
        if sum(lengths[number] for number in others) <= reserved:
            return first
        part = reserved / len(others)
        return next(number for number in reversed(others) if lengths[number] > part)
