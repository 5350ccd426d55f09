"""Election of the nodes that read the platform."""

import random

from jujubetiller import clock, readers, settings
from jujubetiller.membership import _instance_record, _platform_freshness

RANK_STEP_MS = 500.0
"""Difference between the takeover delays of consecutive ranks."""

RANKED_TAKEOVERS = 8
"""Number of nodes that take over in order of rank. The delays of all others are
random, so that a small partition of a zone in which all ranks are high gets a reader
soon."""

SPREAD_PER_INSTANCE_MS = 25.0
"""Width of the random delay of the nodes without a ranked takeover, per instance."""

INDEX_READS_PER_SECOND = 1_333.0
"""Share of the platform's 2,000 reads per second for watches of the ticket index
while every node reads the platform itself."""

LIST_READS_PER_SECOND = 133.0
"""Minimum share for watches of the lists, which also use what index watches leave."""

TICKET_READS_PER_SECOND = 500.0
"""Share for fetching tickets."""


class ReaderElection:
    """Decides whether this node reads the platform, and how often.

    The nodes with the highest rendezvous hashes of a zone read. If no newer answer
    of the platform is reported for ``reader_takeover_ms`` and a delay by rank with
    jitter, another node becomes an acting reader. Neither decision needs a message.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        random_source: random.Random,
        control_settings: settings.ControlSettings,
        own_instance: str,
        zone: str,
        freshness: _platform_freshness.PlatformFreshness,
    ) -> None:
        self.clock = time_source
        self.random = random_source
        self.settings = control_settings
        self.own_instance = own_instance
        self.zone = zone
        self.freshness = freshness
        self.may_take_over_from_ms = (
            time_source.now_ms() + control_settings.join_wait_ms
        )
        """The end of the join, until which a zone that starts as a whole sends no
        digests."""
        self.acting = False
        """Whether the node is an acting reader: one that its rank does not select."""
        self.takeover_count = 0
        self.partition_size = 1
        self.peer_reachable_at_ms = time_source.now_ms()
        self.fleet_size = 1
        self._ranked: tuple[_instance_record.InstanceRecord, ...] | None = None
        self._rank = (0, 1)
        self._jitter = random_source.random()
        self._jitter_drawn_at_ms = -1.0
        self._other_reader_since_ms: float | None = None

    def update_reachability(
        self, partition_size: int, any_peer_reachable: bool, fleet_size: int
    ) -> None:
        """Record which nodes the control exchange reaches; called with each tick.

        ``partition_size`` is the number of nodes of the own zone, this one included,
        that appear reachable, and ``fleet_size`` the number of known instances.
        """
        self.partition_size = max(1, partition_size)
        self.fleet_size = max(1, fleet_size)
        if any_peer_reachable:
            self.peer_reachable_at_ms = self.clock.now_ms()

    def rank(
        self, zone_instances: tuple[_instance_record.InstanceRecord, ...]
    ) -> tuple[int, int]:
        """Return the rank of this node, from 0, and the number of ranked instances.

        Draining and leaving instances have no rank. The result is cached while the
        same tuple is passed, which ``MembershipTable.instances_in`` returns until
        the zone changes.
        """
        if zone_instances is not self._ranked:
            own = readers.weigh(self.zone, self.own_instance)
            others = [
                readers.weigh(self.zone, record.instance)
                for record in zone_instances
                if record.accepts_new_work and record.instance != self.own_instance
            ]
            self._rank = (sum(other > own for other in others), len(others) + 1)
            self._ranked = zone_instances
        return self._rank

    def is_reader(
        self, zone_instances: tuple[_instance_record.InstanceRecord, ...]
    ) -> bool:
        """Return whether the node reads, given the instances of its zone."""
        rank, size = self.rank(zone_instances)
        if rank < self.settings.readers_per_zone:
            self.acting = False
            return True
        if self.acting:
            self.acting = not self._may_stop_acting()
        elif self._silence_ms() >= self._takeover_delay_ms(rank, size):
            self.acting = True
            self.takeover_count += 1
            self._other_reader_since_ms = None
        return self.acting

    def fleet_readers(self) -> float:
        """Return the number of readers of the fleet if every zone is like this one.

        A node does not know how the rest of the fleet is partitioned, so it assumes
        that all partitions are as small as its own.
        """
        if self.acting:
            return float(self.fleet_size)
        readers = min(self.settings.readers_per_zone, self.partition_size)
        return self.fleet_size * readers / self.partition_size

    def index_period_ms(self, watch_wait_ms: float) -> float:
        """Return the interval between this node's watches of the ticket index."""
        return max(
            watch_wait_ms, self.fleet_readers() * 1_000.0 / INDEX_READS_PER_SECOND
        )

    def list_period_ms(self, watch_wait_ms: float) -> float:
        """Return the interval between this node's watches of its zone's list."""
        readers = self.fleet_readers()
        index_reads = readers * 1_000.0 / self.index_period_ms(watch_wait_ms)
        left = INDEX_READS_PER_SECOND + LIST_READS_PER_SECOND - index_reads
        share = max(LIST_READS_PER_SECOND, left)
        return max(watch_wait_ms, readers * 1_000.0 / share)

    def fetch_delay_ms(self) -> float:
        """Return a random delay before a ticket is fetched.

        It is 0 unless so many nodes read that their fetches after one ticket
        would exceed the platform's rate.
        """
        readers = self.fleet_readers()
        if readers <= TICKET_READS_PER_SECOND:
            return 0.0
        return self.random.random() * readers * 1_000.0 / TICKET_READS_PER_SECOND

    def _silence_ms(self) -> float:
        silent_from_ms = max(self.freshness.advanced_at_ms, self.may_take_over_from_ms)
        return self.clock.now_ms() - silent_from_ms

    def _takeover_delay_ms(self, rank: int, size: int) -> float:
        # The jitter is drawn once for each period without a newer answer.
        if self._jitter_drawn_at_ms != self.freshness.advanced_at_ms:
            self._jitter_drawn_at_ms = self.freshness.advanced_at_ms
            self._jitter = self.random.random()
        takeover_ms = float(self.settings.reader_takeover_ms)
        if self.clock.now_ms() - self.peer_reachable_at_ms >= takeover_ms:
            # No peer is reachable, so none can forward the platform's data.
            return takeover_ms + self._jitter * RANK_STEP_MS
        takeover_rank = rank - self.settings.readers_per_zone + 1
        ranked_ms = min(takeover_rank, RANKED_TAKEOVERS) * RANK_STEP_MS
        spread_ms = RANK_STEP_MS / 2
        if takeover_rank > RANKED_TAKEOVERS:
            spread_ms = size * SPREAD_PER_INSTANCE_MS
        return takeover_ms + ranked_ms + self._jitter * spread_ms

    def _may_stop_acting(self) -> bool:
        """Return whether other readers have been active for long enough to stop.

        The required time is long and random, so that two acting readers seldom stop
        at the same time and leave the zone without a reader.
        """
        now_ms = self.clock.now_ms()
        takeover_ms = float(self.settings.reader_takeover_ms)
        other_at_ms = self.freshness.other_reader_at_ms
        if other_at_ms is None or now_ms - other_at_ms > 2 * takeover_ms:
            self._other_reader_since_ms = None
            return False
        if self._other_reader_since_ms is None:
            self._other_reader_since_ms = now_ms
            self._jitter = self.random.random()
        return now_ms - self._other_reader_since_ms >= takeover_ms * (
            3 + 27 * self._jitter
        )
