"""The share of calls that is sent to other zones."""

from jujubetiller import settings

# Weight of a new answer in the failure rates.
_SAMPLE_WEIGHT = 0.05

# Failure rate of the own zone up to which the share doesn't rise.
_TOLERATED_FAILURE_RATE = 0.05

# Limits the change of the share after a pause without calls.
_MAX_STEP_MS = 1_000.0


class SpillShare:
    """Changes the share by a fixed amount per second, up or down.

    All nodes of a zone detect a surge at the same moment. If each reacted in full,
    together they would overload the other zones; with a small additive step, the
    nodes receive the other zones' refusals in time.
    """

    __slots__ = (
        "updated_at_ms",
        "other_failure_rate",
        "own_failure_rate",
        "routing_settings",
        "share",
    )

    def __init__(self, routing_settings: settings.RoutingSettings) -> None:
        self.routing_settings = routing_settings
        self.share = 0.0
        self.own_failure_rate = 0.0
        self.other_failure_rate = 0.0
        self.updated_at_ms = 0.0

    def record(self, in_own_zone: bool, failed: bool) -> None:
        """Record an answer from the own zone or from another one."""
        if in_own_zone:
            self.own_failure_rate += _SAMPLE_WEIGHT * (failed - self.own_failure_rate)
        else:
            self.other_failure_rate += _SAMPLE_WEIGHT * (
                failed - self.other_failure_rate
            )

    def update(self, now_ms: float) -> float:
        """Update the share to the time ``now_ms`` and return it."""
        elapsed_ms = min(now_ms - self.updated_at_ms, _MAX_STEP_MS)
        self.updated_at_ms = now_ms
        rises = self.own_failure_rate > max(
            _TOLERATED_FAILURE_RATE, self.other_failure_rate
        )
        if rises or self.share > 0.0:
            step = self.routing_settings.spill_step * elapsed_ms / 1_000.0
            moved = self.share + step if rises else self.share - step
            self.share = min(self.routing_settings.spill_highest, max(0.0, moved))
        return self.share
