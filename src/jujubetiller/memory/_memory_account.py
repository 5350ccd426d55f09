"""The sum of the memory that a node holds for others, and its limits."""

from collections.abc import Callable, Mapping

from jujubetiller import clock
from jujubetiller.memory import _holder

MB = 1_048_576

OWN_BYTES = 56 * MB
"""Memory that a node needs by itself: a bare one has 43 MB resident. The rest is for
what the allocator keeps of memory that was freed."""

MIN_LIMIT_BYTES = 16 * MB

PAUSE_SHARE = 0.5
"""Above this part of the limit, connections that hold most are not read."""

REFUSE_SHARE = 0.65
"""Above this part of the limit, new large requests are refused."""

GROWTH_SHARE = 0.75
"""Connections that are read divide this part of the limit. The rest is for the one
that is read to its end although it holds much."""

FULL_WAITING_SHARE = 0.125
"""If requests that wait for earlier ones of their connection hold more than this part
of the limit, none is added to a connection that is not read because of them."""

WAITING_SHARE = 0.25
"""If they hold more than this part, none is added to any connection. They consist of
small objects, whose memory is not available for bodies afterwards."""

SMALL_BYTES = 16_384
"""A connection that holds less is always read: most requests are smaller."""

LARGE_BYTES = 65_536
"""A request with a larger body is large."""


def find_limit_bytes(limit_mb: int) -> int:
    """Return the memory for others in a process that may use ``limit_mb`` MB."""
    return max(MIN_LIMIT_BYTES, limit_mb * MB - OWN_BYTES)


class MemoryAccount:
    """Counts the memory held for others, and decides who may hold more.

    ``sources`` are counters that other components keep, read whenever the sum is
    needed. ``sampled`` are figures that cost more to find, set at each check.
    """

    def __init__(self, time_source: clock.Clock, limit_bytes: int) -> None:
        self.clock = time_source
        self.limit_bytes = limit_bytes
        self.held: dict[_holder.Kind, int] = dict.fromkeys(_holder.Kind, 0)
        self.held_bytes = 0
        self.holders: dict[_holder.Holder, None] = {}
        self.sources: dict[str, Callable[[], int]] = {}
        self.sampled: dict[str, int] = {}
        self.refused = 0
        """Requests refused because the node held too much."""

        self.closed = 0
        """Connections closed because they held memory without progress."""

        self.paused = 0
        """Times that reading from a connection was paused."""

    def add(self, kind: _holder.Kind, change: int) -> None:
        """Count ``change`` bytes of ``kind``."""
        self.held[kind] += change
        self.held_bytes += change

    def total_bytes(self) -> int:
        """Return the memory that is held for others."""
        total = self.held_bytes
        for read in self.sources.values():
            total += read()
        for number in self.sampled.values():
            total += number
        return total

    def is_under_pressure(self) -> bool:
        """Return whether more than the first threshold is held."""
        return self.total_bytes() > PAUSE_SHARE * self.limit_bytes

    def refuses_large(self) -> bool:
        """Return whether new large requests are refused."""
        return self.total_bytes() > REFUSE_SHARE * self.limit_bytes

    def may_wait(self, is_full: bool) -> bool:
        """Return whether a request may be kept that waits for earlier ones.

        ``is_full`` tells that reading its connection is paused, as many wait already.
        """
        share = FULL_WAITING_SHARE if is_full else WAITING_SHARE
        return self.held[_holder.Kind.WAITING] <= share * self.limit_bytes

    def is_exhausted(self) -> bool:
        """Return whether nobody may hold more."""
        return self.total_bytes() >= self.limit_bytes

    def may_grow(self, holder: _holder.Holder) -> bool:
        """Return whether the connection of ``holder`` is to be read.

        Above the first threshold it may hold as much as is left for all, so that
        those which hold most stop first, and the sum stays below the limit.
        """
        if holder.held_bytes <= SMALL_BYTES or holder.is_privileged:
            return True
        total = self.total_bytes()
        if total <= PAUSE_SHARE * self.limit_bytes:
            return True
        return holder.held_bytes <= GROWTH_SHARE * self.limit_bytes - total

    def has_room(self, number: int) -> bool:
        """Return whether ``number`` bytes more fit into the limit."""
        return number <= SMALL_BYTES or self.total_bytes() + number <= self.limit_bytes

    def oldest_age_ms(self) -> float:
        """Return for how long the oldest holder has held memory; 0 without one."""
        if not self.holders:
            return 0.0
        # Holders are in the order in which they began to hold memory.
        return self.clock.now_ms() - next(iter(self.holders)).since_ms

    def read_bytes(self) -> Mapping[str, float]:
        """Return the limit, and what is held by kind."""
        return {
            "limit": float(self.limit_bytes),
            **{kind.value: float(number) for kind, number in self.held.items()},
            **{name: float(read()) for name, read in self.sources.items()},
            **{name: float(number) for name, number in self.sampled.items()},
        }

    def read_events(self) -> Mapping[str, float]:
        """Return the numbers of refusals, closed connections and pauses."""
        return {
            "refused": float(self.refused),
            "closed": float(self.closed),
            "paused": float(self.paused),
        }
