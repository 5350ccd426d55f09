"""The part of each team's rate that this node may generate."""

import collections
import math

import attrs

from jujubetiller import clock
from jujubetiller.quotas import _team_limit

FORMER_MS = 2.1 * _team_limit.LISTED_MS
"""Time for which the size of a list counts after it was replaced. A node whose entry
was removed and published again within a gap of its own knowledge has not noticed that;
such a gap is shorter than ``LISTED_MS``."""

MAX_SIZES = 1_024
"""Sizes of lists that are kept; when there are more, the largest are kept."""


@attrs.frozen
class ShareLease:
    """A share of all rates, and the time up to which it holds."""

    share: float
    ends_ms: float
    """On the boot clock."""


class FleetShare:
    """Derives ``1 / n`` from the lists of nodes that this node knew recently.

    ``n`` is the largest number of nodes in a list known within ``FORMER_MS``. The share
    is 0 for a node that has not been listed for ``LISTED_MS``, counted from when it
    first saw itself in a list to the time as of which it knows the list, and for one
    whose knowledge has been older than ``KNOWLEDGE_MS`` since then: in a longer gap,
    other nodes may have been listed and removed again without this one knowing.

    ``boot_clock`` must count suspensions of the VM and must not be cached.
    """

    def __init__(self, boot_clock: clock.Clock) -> None:
        self.clock = boot_clock
        self.hosts: frozenset[str] = frozenset()
        self.former: collections.deque[tuple[float, int]] = collections.deque()
        """Sizes of former lists, with the time at which they were replaced."""

        self.listed_from_ms = math.inf
        self.as_of_ms = -math.inf
        self.lapses = 0
        """How often the knowledge was too old since the node was listed."""

    def update(
        self, hosts: frozenset[str], is_listed: bool, as_of_ms: float
    ) -> ShareLease:
        """Record the present list; return the share, 0 if the node has none.

        ``hosts`` are the nodes in the list, ``is_listed`` whether this one is among
        them, and ``as_of_ms`` the reading of the clock as of which the list is known.
        This must be called for each list and at least every ``ROUND_MS``: the largest
        age between two calls is only known by its bound.
        """
        now_ms = self.clock.now_ms()
        has_lapsed = now_ms - self.as_of_ms >= _team_limit.LISTED_MS
        self.as_of_ms = max(self.as_of_ms, as_of_ms)
        if hosts is not self.hosts and hosts != self.hosts:
            # Additions count before removals: their order within an update is unknown.
            largest = len(self.hosts | hosts)
            self._add_former(now_ms, largest)
            self.hosts = hosts
        if not is_listed:
            self.listed_from_ms = math.inf
        elif has_lapsed or self.listed_from_ms == math.inf:
            self.lapses += has_lapsed and self.listed_from_ms != math.inf
            self.listed_from_ms = now_ms
        return self._share(now_ms)

    def _add_former(self, now_ms: float, size: int) -> None:
        while self.former and self.former[-1][1] <= size:
            self.former.pop()
        self.former.append((now_ms, size))
        if len(self.former) > MAX_SIZES:
            self.former.pop()

    def _share(self, now_ms: float) -> ShareLease:
        while self.former and now_ms - self.former[0][0] > FORMER_MS:
            self.former.popleft()
        ends_ms = self.as_of_ms + _team_limit.KNOWLEDGE_MS
        listed_ms = self.as_of_ms - self.listed_from_ms
        if now_ms >= ends_ms or not listed_ms >= _team_limit.LISTED_MS:
            return ShareLease(0.0, now_ms)
        largest = max(len(self.hosts), self.former[0][1] if self.former else 0)
        return ShareLease(1.0 / max(1, largest), ends_ms)
