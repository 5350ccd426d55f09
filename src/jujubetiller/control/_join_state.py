"""The initial synchronisation of a node, before it may serve."""

from collections.abc import Collection

from jujubetiller import clock, settings

FIRST_PULLS = 2
"""Number of neighbours that the first full state is pulled from."""

LONGEST_WAIT_FACTOR = 10
"""Multiple of ``join_wait_ms`` after which a node serves even if it still receives
state."""


class JoinState:
    """Determines when a starting node may serve.

    It may serve once it has the complete state of each reachable neighbour, or if
    it received no state for ``join_wait_ms``. So it never serves an older state
    than a neighbour that it can reach. A neighbour that is itself starting does not
    count, because its state may be incomplete.
    """

    def __init__(
        self, time_source: clock.Clock, control_settings: settings.ControlSettings
    ) -> None:
        self.clock = time_source
        self.wait_ms = float(control_settings.join_wait_ms)
        self.silence_timeout_ms = float(control_settings.digest_ms)
        """A neighbour that sends no state for this long counts as unreachable."""
        self.started_at_ms = time_source.now_ms()
        self.progress_at_ms = self.started_at_ms
        self.knows_neighbours = False
        self.activity_at_ms: dict[str, float] = {}
        """When state was first pulled from a neighbour, or last received from it."""
        self.pulled_at_ms: dict[str, float] = {}
        self.compared: set[str] = set()
        self.is_ready = False

    def choose_pull_sources(self, neighbours: Collection[str]) -> list[str]:
        """Return the neighbours to pull from now, and record the pulls.

        The first ones send their complete state. The others are pulled from once a
        first one has been compared or none responds, and send only what differs.
        """
        now_ms = self.clock.now_ms()
        if not self.compared and any(
            now_ms - activity_at_ms < self.silence_timeout_ms
            for activity_at_ms in self.activity_at_ms.values()
        ):
            return []
        chosen = [name for name in neighbours if self._is_pull_due(name, now_ms)]
        if not self.activity_at_ms:
            chosen = chosen[:FIRST_PULLS]
        for name in chosen:
            self.pulled_at_ms[name] = now_ms
            self.activity_at_ms.setdefault(name, now_ms)
        return chosen

    def note_progress(self, peer: str) -> None:
        """Note that state of ``peer`` arrived; the wait starts anew."""
        self.progress_at_ms = self.activity_at_ms[peer] = self.clock.now_ms()

    def note_compared(self, peer: str) -> None:
        """Note that all of the state of ``peer`` was received."""
        if not self.is_ready:
            self.compared.add(peer)

    def update(self, neighbours: Collection[str]) -> None:
        """Update whether the node may serve; once it may, that does not change."""
        if self.is_ready:
            return
        now_ms = self.clock.now_ms()
        if neighbours and not self.knows_neighbours:
            self.knows_neighbours = True
            self.progress_at_ms = now_ms
        is_pending = any(self._is_pending(name, now_ms) for name in neighbours)
        self.is_ready = (
            (bool(self.compared) and not is_pending)
            or now_ms - self.progress_at_ms >= self.wait_ms
            or now_ms - self.started_at_ms >= self.wait_ms * LONGEST_WAIT_FACTOR
        )
        if self.is_ready:
            self.activity_at_ms.clear()
            self.pulled_at_ms.clear()

    def _is_pull_due(self, name: str, now_ms: float) -> bool:
        pulled_at_ms = self.pulled_at_ms.get(name)
        return name not in self.compared and (
            pulled_at_ms is None or now_ms - pulled_at_ms >= self.silence_timeout_ms
        )

    def _is_pending(self, name: str, now_ms: float) -> bool:
        """Return whether the state of neighbour ``name`` may still arrive."""
        if name in self.compared:
            return False
        activity_at_ms = self.activity_at_ms.get(name)
        return (
            activity_at_ms is None or now_ms - activity_at_ms < self.silence_timeout_ms
        )
