"""A source of published items that a test controls."""

from jujubetiller import clock, published


class GivenSource(published.ItemSource):
    """Passes on the changes that it is given while the store is reachable."""

    def __init__(
        self, time_source: clock.Clock, state: published.PublishedState
    ) -> None:
        self.clock = time_source
        self.state = state
        self.is_reachable = True
        self.read_at_ms = time_source.now_ms()
        self.first_read_at_ms = self.read_at_ms

    def start(self) -> None:
        """Do nothing: changes are given."""

    def stop(self) -> None:
        """Do nothing: changes are given."""

    def give(self, changes: published.Changes) -> None:
        """Apply ``changes``, unless the store is out of reach."""
        if self.is_reachable:
            self.read_at_ms = self.clock.now_ms()
            self.state.apply(changes)

    def age_ms(self) -> float:
        """Return 0 while the store is reachable, else the time since the last read."""
        return 0.0 if self.is_reachable else self.clock.now_ms() - self.read_at_ms

    def recovered_at_ms(self) -> float:
        """Return when the source first read: later outages are not simulated."""
        return self.first_read_at_ms
