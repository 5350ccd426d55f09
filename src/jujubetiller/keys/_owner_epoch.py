"""An owner's epoch as estimated by a node that mints keys."""

import attrs

from jujubetiller import clock, settings


@attrs.frozen
class OwnerEpoch:
    """Estimates an owner's epoch from its last report and the local clock.

    It is used only to mint keys that the owner still accepts. The owner alone
    decides which epochs it accepts, so a wrong estimate leads to an expired key but
    never to a second run.

    >>> manual_clock = clock.ManualClock()
    >>> reported = OwnerEpoch(7, received_at_ms=0)
    >>> manual_clock.advance(130_000)
    >>> reported.estimate(manual_clock, settings.KeySettings(epoch_ms=60_000))
    9
    """

    epoch: int
    received_at_ms: float

    def estimate(
        self, time_source: clock.Clock, key_settings: settings.KeySettings
    ) -> int:
        """Return the epoch that the owner should have reached by now."""
        elapsed_ms = time_source.now_ms() - self.received_at_ms
        return self.epoch + int(elapsed_ms // key_settings.epoch_ms)
