"""How long watches of the store wait, and what their ends show about it."""

import random

import logbook

from jujubetiller import clock, settings
from jujubetiller.published import _state_age, _store_proofs

_LOG = logbook.Logger("jujubetiller.published")

WAIT_JITTER = 0.2
"""Keeps the watches of the nodes from ending at the same time."""

PROOF_JITTER = 0.06
"""Keeps the proofs of readers in different zones from being due at the same time."""

MIN_WAIT_MS = 200.0
"""A shorter wait is left out, as it would cost a read for little."""

LONGEST_CHANGES_PAUSE_MS = 1_000.0
"""Pause after a watch that returned changes. Changes often come in series, and several
are received in one answer."""

SHORTEST_CHANGES_PAUSE_MS = 200.0
"""The pauses of the readers differ, so that one of them mostly has its watch open."""

SHORTEST_OUTAGE_MS = 3_000.0
"""In a shorter outage of the store, no entry of a running instance expires: that takes
three heartbeats of 1,500 ms, the first of which may have been due when it began."""


class StoreFreshness:
    """Tracks whether the node has read the store recently, and times its watches.

    A connection to the store can stop answering while new ones work. Only the end of
    a watch without an answer shows it, so that a reader may be unaware of changes for
    the whole wait. The primary reader of a zone waits so little that all nodes have the
    changes in time. A watch without an answer is followed by a read that does not wait,
    over a new connection; the store counts as down only if that fails too.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        random_source: random.Random,
        store_settings: settings.StoreSettings,
    ) -> None:
        self.clock = time_source
        self.random = random_source
        self.settings = store_settings
        self.proofs = _store_proofs.StoreProofs(
            _state_age.StateAge(time_source), store_settings.proof_interval_ms
        )
        self.is_primary = False
        self.is_down = True
        self.is_silent = False
        """Whether the last watch got no answer; the store may be up nevertheless."""

        self.succeeded_at_ms: float | None = None
        self.recovered_at_ms = 0.0
        self.watch_ends_at_ms = 0.0
        """When the wait of the latest watch ends."""

        self.silent_watches = 0
        """Watches that got no answer."""

    def start(self) -> None:
        """Record that the node starts to read; the store may have been down."""
        self.is_down = True
        self.is_silent = False
        self.succeeded_at_ms = None

    def age_ms(self) -> float:
        """Return the time since the last successful read, or -1 before the first."""
        if self.succeeded_at_ms is None:
            return -1.0
        return self.clock.now_ms() - self.succeeded_at_ms

    def is_overdue(self) -> bool:
        """Return whether a read should have succeeded since the last one that did."""
        longest_ms = self._longest_wait_ms() + self.settings.answer_timeout_ms
        return not 0 <= self.age_ms() <= longest_ms

    def start_watch(self, is_history_known: bool) -> int:
        """Return how many milliseconds the next watch waits.

        It does not wait after an outage, after a watch without an answer, nor in a
        history not read before, so that the node soon knows whether it is up to date.
        A primary reader counts the time since its last read as a part of the wait: the
        connection may have gone silent in it. Nor does it wait beyond the time at which
        a new proof of what the node knows is due.
        """
        if self.is_down or self.is_silent or not is_history_known:
            return 0
        drawn = self.random.random()
        wait_ms = self._longest_wait_ms() * (1.0 - WAIT_JITTER * drawn)
        if self.is_primary:
            wait_ms -= self.age_ms()
        if self._is_proving():
            wait_ms = self.proofs.left_ms(1.0 - PROOF_JITTER * drawn)
        if wait_ms < MIN_WAIT_MS:
            return 0
        self.watch_ends_at_ms = self.clock.now_ms() + wait_ms
        return int(wait_ms)

    def draw_pause_ms(self, brings_no_proof: bool) -> float:
        """Return the pause after a watch that returned changes, or is to be repeated.

        It ends when a new proof is due, unless the next read is unlikely to bring one.
        """
        pause_ms = self.random.uniform(
            SHORTEST_CHANGES_PAUSE_MS, LONGEST_CHANGES_PAUSE_MS
        )
        return pause_ms if brings_no_proof else self.limit_pause_ms(pause_ms)

    def limit_pause_ms(self, pause_ms: float) -> float:
        """Return the pause after a read, which ends when a new proof is due."""
        if self._is_proving():
            return min(pause_ms, self.proofs.left_ms())
        return pause_ms

    def timeout_ms(self, wait_ms: int) -> float:
        """Return when the answer to a watch counts as lost, from its start."""
        if wait_ms:
            return wait_ms + self.settings.watch_answer_ms
        return self.settings.answer_timeout_ms

    def waits_too_long(self) -> bool:
        """Return whether the watch under way waits too long for a primary reader.

        What counts is its end, from the last successful read on.
        """
        left_ms = self.watch_ends_at_ms - self.clock.now_ms()
        age_at_end_ms = self.age_ms() + left_ms
        return self.is_primary and age_at_end_ms > self._longest_wait_ms()

    def record_silence(self, wait_ms: int) -> None:
        """Record a watch that got no answer within its timeout."""
        self.is_silent = True
        self.silent_watches += 1
        _LOG.warning(
            "store connection silent",
            extra={"wait_ms": wait_ms, "age_ms": round(self.age_ms())},
        )

    def record_success(self, is_new_history: bool) -> bool:
        """Record an answer; return whether the store may have been down before it.

        A watch without an answer may have been an outage as well, if it took long
        enough for entries to expire.
        """
        was_out = self.is_silent and self.age_ms() >= SHORTEST_OUTAGE_MS
        has_recovered = self.is_down or was_out or is_new_history
        self.is_down = False
        self.is_silent = False
        self.succeeded_at_ms = self.clock.now_ms()
        if has_recovered:
            self.recovered_at_ms = self.succeeded_at_ms
        return has_recovered

    def record_failure(self, reason: str) -> None:
        """Record that a read failed."""
        self.is_silent = False
        if not self.is_down:
            self.is_down = True
            _LOG.warning("store lost", extra={"reason": reason})

    def _longest_wait_ms(self) -> int:
        if not self.is_primary:
            return self.settings.watch_wait_ms
        longest_ms = self.settings.primary_wait_ms
        return min(longest_ms, self.proofs.interval_ms or longest_ms)

    def _is_proving(self) -> bool:
        """Return whether the other nodes of the zone rely on proofs of this one."""
        return self.is_primary and self.proofs.interval_ms is not None
