"""Limits on the messages that differing digests can cause."""

from jujubetiller import clock, settings

PULLS_PER_INTERVAL = 2
"""While an update spreads, the digests of several neighbours differ at once; one or
two replies contain all of it."""

REPLY_BYTES_PER_INTERVAL = 4_194_304
"""About six times the complete state of 4,000 instances and 1,000 objects."""


class PullBudget:
    """Limits pulls, digest replies and reply bytes in each digest interval."""

    def __init__(
        self, time_source: clock.Clock, control_settings: settings.ControlSettings
    ) -> None:
        self.clock = time_source
        self.interval_ms = float(control_settings.digest_ms)
        self.interval_started_ms = time_source.now_ms()
        self.pulled: set[str] = set()
        self.answered: set[str] = set()
        self.reply_bytes = 0
        self.pulls_over_budget_count = 0
        self.replies_over_budget_count = 0

    def may_pull(self, peer: str) -> bool:
        """Return whether a pull from ``peer`` may be sent, and count it."""
        self._start_interval()
        if peer in self.pulled or len(self.pulled) >= PULLS_PER_INTERVAL:
            self.pulls_over_budget_count += 1
            return False
        self.pulled.add(peer)
        return True

    def may_answer(self, peer: str) -> bool:
        """Return whether a digest may answer one of ``peer``, and count it.

        Without this bound two nodes could answer each other without end.
        """
        self._start_interval()
        if peer in self.answered:
            return False
        self.answered.add(peer)
        return True

    def may_reply(self, size: int) -> bool:
        """Return whether ``size`` bytes may be sent, and count them."""
        self._start_interval()
        if self.reply_bytes + size > REPLY_BYTES_PER_INTERVAL:
            self.replies_over_budget_count += 1
            return False
        self.reply_bytes += size
        return True

    def _start_interval(self) -> None:
        now_ms = self.clock.now_ms()
        if now_ms - self.interval_started_ms >= self.interval_ms:
            self.interval_started_ms = now_ms
            self.pulled.clear()
            self.answered.clear()
            self.reply_bytes = 0
