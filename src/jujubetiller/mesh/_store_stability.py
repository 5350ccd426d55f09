"""Which removals of published items may be applied."""

from jujubetiller import clock, published

STABLE_AFTER_MS = 2_500.0
"""Time after an outage of the store by which expired entries are published again."""

RESTORED_ENTRIES_EXPIRE_MS = 8_000.0
"""Time after a restore of the store by which it has removed the entries of instances
that no longer report: three heartbeats of 1,500 ms, and a margin."""


class StoreStability:
    """Determines up to which revision removals are final.

    Right after an outage of the store, removals may be entries that expired although
    their instances still run. They are final up to the revision that a reader has
    reached once the store has answered it for long enough. Readers state that revision
    in their messages, so that nodes which don't read apply the same removals.
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
        self.settled = published.Revision()
        """Removals up to this revision are final, as far as readers have stated."""

    def is_own_stable(self) -> bool:
        """Return whether this node's own reads of the store are stable."""
        age_ms = self.source.age_ms()
        if not self.source.is_current() or not 0 <= age_ms <= self.max_age_ms:
            return False
        return self.clock.now_ms() - self.source.recovered_at_ms() >= STABLE_AFTER_MS

    def have_entries_expired(self) -> bool:
        """Return whether a restored store no longer holds instances that are gone."""
        since_ms = self.clock.now_ms() - self.source.recovered_at_ms()
        return self.is_own_stable() and since_ms >= RESTORED_ENTRIES_EXPIRE_MS

    def find_settled(self) -> published.Revision:
        """Return the revision up to which removals are final.

        This node settles only what it has read itself: it may not have noticed yet that
        the store was down when a peer tells it of a removal.
        """
        if self.is_own_stable():
            own = min(self.source.read_revision(), self.state.revision)
            self.settled = max(self.settled, own)
        return self.settled

    def record_settled(self, revision: published.Revision) -> None:
        """Record the revision up to which a peer states that removals are final.

        A statement about another history than the state's is ignored: what was final
        in it may have been restored.
        """
        if revision.epoch == self.state.revision.epoch:
            self.settled = max(self.settled, revision)

    def is_settled(self, revision: published.Revision) -> bool:
        """Return whether a removal of ``revision`` is final."""
        settled = self.find_settled()
        return settled.epoch == self.state.revision.epoch and revision <= settled
