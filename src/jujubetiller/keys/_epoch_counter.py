"""The epoch counter of the process that owns keys."""

from jujubetiller import clock, settings


class EpochCounter:
    """Counts the epochs since this process started, from 1.

    >>> manual_clock = clock.ManualClock(500)
    >>> counter = EpochCounter(manual_clock, settings.KeySettings(epoch_ms=1000))
    >>> manual_clock.advance(2500)
    >>> counter.current()
    3
    """

    def __init__(
        self, time_source: clock.Clock, key_settings: settings.KeySettings
    ) -> None:
        self.time_source = time_source
        self.epoch_ms = key_settings.epoch_ms
        self.started_at_ms = time_source.now_ms()

    def current(self) -> int:
        """Return the number of the current epoch; it never decreases."""
        elapsed_ms = self.time_source.now_ms() - self.started_at_ms
        return int(elapsed_ms // self.epoch_ms) + 1
