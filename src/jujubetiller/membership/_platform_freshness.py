"""The age of the newest word from the platform."""

from jujubetiller import clock

HOP_AGE_MS = 50.0
"""Added to an age heard from a peer. It is above the usual transit time, so an
age that travels in a circle grows and never looks younger than it is."""


class PlatformFreshness:
    """Keeps when the platform last answered a reader of the own zone.

    Nodes tell each other the age within their zone only. If the word of other
    zones counted, nobody would notice that the readers of this zone are gone
    and that its list of instances is read no more. What nodes of other zones
    say directly is kept aside and only shown.
    """

    def __init__(self, time_source: clock.Clock) -> None:
        self.clock = time_source
        self.newest_at_ms: float | None = None
        self.other_zones_at_ms: float | None = None
        self.advanced_at_ms = time_source.now_ms()
        """When a newer word was last heard or read."""
        self.other_reader_at_ms: float | None = None
        """When a word newer than the own last read was last heard."""

    def record_read(self) -> None:
        """Note a good answer of the platform to this node."""
        self.newest_at_ms = self.advanced_at_ms = self.clock.now_ms()

    def record_peer_age(self, age_ms: float) -> None:
        """Note the age that a peer of the own zone reports.

        It is negative when the peer knows none.
        """
        if not age_ms >= 0:  # Also true for NaN, which would stay for ever.
            return
        now_ms = self.clock.now_ms()
        at_ms = now_ms - age_ms - HOP_AGE_MS
        if self.newest_at_ms is None or at_ms > self.newest_at_ms:
            # An echo of the own last read is always older than that read.
            self.newest_at_ms = at_ms
            self.advanced_at_ms = self.other_reader_at_ms = now_ms

    def record_other_zone_age(self, age_ms: float) -> None:
        """Note the age that a peer of another zone reports for its zone."""
        if not age_ms >= 0:  # Also true for NaN, which would stay for ever.
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
        """Return the age of the newest word from the platform by any way.

        The result is -1 when there was none.
        """
        times = [
            at_ms
            for at_ms in (self.newest_at_ms, self.other_zones_at_ms)
            if at_ms is not None
        ]
        return self.clock.now_ms() - max(times) if times else -1.0
