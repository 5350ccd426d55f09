"""What the reads of a node prove about the age of its knowledge of the store."""

import math

from jujubetiller.published import _state_age

PROOF_INTERVAL_MS = 770
"""Longest time between two proofs of a zone's primary reader, which costs 1.3 reads a
second. With the time between two questions of a node, its knowledge stays younger than
2 s."""

CLOCK_RATE_MARGIN = 0.98
"""Durations agreed with the store are multiplied by this, because its clock may run up
to 2% faster."""

RETRY_PAUSE_MS = 400.0
"""Longest pause after a failed read while the own proof is young: an outage of 3 s must
refuse no request with a key, which leaves 0.75 s after it."""

MAX_AGE_FOR_FAST_RETRY_MS = 5_000.0
"""Age of the own proof from which the usual pauses apply, as failed reads cost too."""

LONGEST_WAY_MS = 150.0
"""An answer that comes later than this after a watch's wait does not prove the wait."""


class StoreProofs:
    """Records until when the reads of this node prove the state of the store.

    A proof is a read of the store whose answer was applied. It shows the state as of
    the start of the read, or of the end of a whole wait for a watch that found
    nothing. With an interval, the primary reader of a zone is to have a younger proof
    at any time.
    """

    def __init__(
        self, state_age: _state_age.StateAge, interval_ms: int | None = None
    ) -> None:
        self.state_age = state_age
        self.interval_ms = interval_ms
        """The longest time between two proofs; None if they are not asked for."""

        self.own_as_of_ms = -math.inf

    def now_ms(self) -> float:
        """Return the time from which a read that starts now is to be counted."""
        return self.state_age.now_ms()

    def record_read(self, started_ms: float, empty_wait_ms: float = 0.0) -> None:
        """Record a read that started at ``started_ms`` and was applied.

        ``empty_wait_ms`` is the time for which the store was asked to wait, if it found
        nothing. An answer that came earlier shows that it has not waited as long.
        """
        waited_ms = CLOCK_RATE_MARGIN * empty_wait_ms
        took_ms = self.now_ms() - started_ms
        # An answer that comes much later may have been made early and held up.
        is_whole_wait = waited_ms <= took_ms <= empty_wait_ms + LONGEST_WAY_MS
        as_of_ms = started_ms + waited_ms if is_whole_wait else started_ms
        self.own_as_of_ms = max(self.own_as_of_ms, as_of_ms)
        self.state_age.record_read(as_of_ms)

    def own_age_ms(self) -> float:
        """Return the age of the own reads' latest proof, infinite if there is none."""
        return self.now_ms() - self.own_as_of_ms

    def limit_retry_ms(self, pause_ms: float) -> float:
        """Return the pause after a failed read, for which ``pause_ms`` is the usual."""
        if self.interval_ms is None or self.own_age_ms() > MAX_AGE_FOR_FAST_RETRY_MS:
            return pause_ms
        return min(pause_ms, RETRY_PAUSE_MS)

    def left_ms(self, share: float = 1.0) -> float:
        """Return the time until a new proof is due, 0 if it is overdue.

        ``share`` shortens the interval. The result is infinite without an interval.
        """
        if self.interval_ms is None:
            return math.inf
        return max(0.0, share * self.interval_ms - self.own_age_ms())
