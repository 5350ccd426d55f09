"""Whether removals of published items may be applied."""

from jujubetiller import clock, published

STABLE_AFTER_MS = 2_500.0
"""Time after an outage of the store by which expired entries are published again."""

RESTORED_ENTRIES_EXPIRE_MS = 8_000.0
"""Time after a restore of the store by which it has removed the entries of instances
that no longer report: three heartbeats of 1,500 ms, and a margin."""


class StoreStability:
    """Determines whether the store has answered for long enough since its last outage.

    Right after an outage, removals may be entries that expired although their
    instances still run. A peer whose reads of the store are stable confirms the
    state that it sends, so its removals may be applied too. What was stable in an older
    history of the store is not so in a newer one.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        state: published.PublishedState,
        source: published.ItemSource,
        max_age_ms: float,
    ) -> None:
        self.clock = time_source
        self.state = state
        self.source = source
        self.max_age_ms = max_age_ms
        self.confirmed_at_ms: float | None = None
        self.confirmed_epoch = 0
        """The history of the store that the confirmation is about."""

    def is_own_stable(self) -> bool:
        """Return whether this node's own reads of the store are stable."""
        age_ms = self.source.age_ms()
        if not 0 <= age_ms <= self.max_age_ms:
            return False
        return self.clock.now_ms() - self.source.recovered_at_ms() >= STABLE_AFTER_MS

    def have_entries_expired(self) -> bool:
        """Return whether a restored store no longer holds instances that are gone."""
        since_ms = self.clock.now_ms() - self.source.recovered_at_ms()
        return self.is_own_stable() and since_ms >= RESTORED_ENTRIES_EXPIRE_MS

    def record_confirmation(self) -> None:
        """Record that a peer whose store is stable has sent its state."""
        self.confirmed_at_ms = self.clock.now_ms()
        self.confirmed_epoch = self.state.revision.epoch

    def is_stable(self) -> bool:
        """Return whether removals may be applied now."""
        if self.is_own_stable():
            return True
        return (
            self.confirmed_at_ms is not None
            and self.confirmed_epoch == self.state.revision.epoch
            and self.clock.now_ms() - self.confirmed_at_ms < STABLE_AFTER_MS
        )
