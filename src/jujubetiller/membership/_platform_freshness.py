"""The age of the newest answer from the platform."""

from jujubetiller import clock

HOP_AGE_MS = 50.0
"""Added to an age that a peer reports. It is above the usual transit time, so that
an age that peers forward in a cycle never appears younger than it is."""


class PlatformFreshness:
    """Tracks when the platform last answered a reader of the own zone.

    Only ages from the own zone count. Otherwise no node would notice that the
    readers of this zone have failed and that its list of instances is no longer
    read. Ages that nodes of other zones report are stored separately and only
    displayed.
    """

    def __init__(self, time_source: clock.Clock) -> None:
        self.clock = time_source
        self.newest_at_ms: float | None = None
        self.other_zones_at_ms: float | None = None
        self.advanced_at_ms = time_source.now_ms()
        """When this node last read, or a peer last reported, a newer answer."""
        self.other_reader_at_ms: float | None = None
        """When a peer last reported an answer newer than any known before."""

    def record_read(self) -> None:
        """Record that the platform has just answered this node."""
        self.newest_at_ms = self.advanced_at_ms = self.clock.now_ms()

    def record_peer_age(self, age_ms: float) -> None:
        """Record the age that a peer of the own zone reports.

        It is negative when the peer knows of no answer.
        """
        if not age_ms >= 0:  # Also true for NaN, which would never be replaced.
            return
        now_ms = self.clock.now_ms()
        at_ms = now_ms - age_ms - HOP_AGE_MS
        if self.newest_at_ms is None or at_ms > self.newest_at_ms:
            # A report that stems from this node's last read is always older than it.
            self.newest_at_ms = at_ms
            self.advanced_at_ms = self.other_reader_at_ms = now_ms

    def record_other_zone_age(self, age_ms: float) -> None:
        """Record the age that a peer of another zone reports for its zone."""
        if not age_ms >= 0:  # Also true for NaN, which would never be replaced.
            return
        at_ms = self.clock.now_ms() - age_ms - HOP_AGE_MS
        if self.other_zones_at_ms is None or at_ms > self.other_zones_at_ms:
            self.other_zones_at_ms = at_ms

    def zone_age_ms(self) -> float:
        """Return the age of the newest answer to a reader of the own zone.

        The result is -1 when there was none.
        """
        if self.newest_at_ms is None:
            return -1.0
        return self.clock.now_ms() - self.newest_at_ms

    def age_ms(self) -> float:
        """Return the age of the newest answer from the platform to any zone.

        The result is -1 when there was none.
        """
        times = [
            at_ms
            for at_ms in (self.newest_at_ms, self.other_zones_at_ms)
            if at_ms is not None
        ]
        return self.clock.now_ms() - max(times) if times else -1.0
