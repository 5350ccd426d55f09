"""Statistics of the answers that a node received from an instance."""

import math
from typing import Any

import attrs
import result

from jujubetiller.routing import _load_report, _rate_share, _routable_instance

# Weight of a new sample in the moving averages.
_SAMPLE_WEIGHT = 0.2

# Time constant of the decay of old samples, which lets an instance get calls again
# some time after its last failure.
_DECAY_MS = 5_000.0

# Keeps the score of an instance without a sample above zero.
_LATENCY_FLOOR_MS = 1.0

# An instance whose calls all fail scores like one with this many times more calls.
_FAILURE_WEIGHT = 20.0

# Lowest share of the calls that an instance gets during its slow start.
_SLOW_START_FLOOR = 0.05


@attrs.define
class InstanceStats:
    """Outstanding calls, latency and failure rate of one incarnation."""

    instance: _routable_instance.RoutableInstance

    started_at_ms: float
    """When the slow start began."""

    warm_at_ms: float
    """When the slow start ends."""

    leaving: bool = False
    reachable: bool = True

    next_probe_ms: float = 0.0
    """When an unreachable instance gets its next call."""

    outstanding: int = 0
    sent: int = 0
    """Calls sent since the incarnation is known."""

    latency_ms: float = 0.0
    failure_rate: float = 0.0
    """Moving average of 1 for each failed or refused call and 0 for each other."""

    relative_latency: float = 1.0
    """Time of calls divided by the average of their kinds; 1 is average."""

    updated_at_ms: float = 0.0

    rate: _rate_share.RateShare = attrs.field(factory=_rate_share.RateShare)
    """The share of calls while the instance has a rate limit."""

    load: _load_report.LoadReport = attrs.field(factory=_load_report.LoadReport)
    """What the instance's node reported last, used when placing by room."""

    ok_result: Any = attrs.field(init=False, eq=False)
    """``instance`` as a result, made once because each choice returns it."""

    def __attrs_post_init__(self) -> None:
        self.leaving = self.instance.leaving
        self.ok_result = result.Ok(self.instance)

    def replace_instance(self, instance: _routable_instance.RoutableInstance) -> None:
        """Store a newer record of the same incarnation."""
        self.instance = instance
        self.ok_result = result.Ok(instance)

    def score(self, now_ms: float) -> float:
        """Return the estimated load of the instance; a lower score is better."""
        decay = math.exp((self.updated_at_ms - now_ms) / _DECAY_MS)
        return (
            (self.outstanding + 1)
            * (self.latency_ms * decay + _LATENCY_FLOOR_MS)
            * (self.failure_rate * decay * _FAILURE_WEIGHT + 1.0)
        )

    def warm_share(self, now_ms: float) -> float:
        """Return the share of a warm instance's calls that this one may get."""
        if now_ms >= self.warm_at_ms:
            return 1.0
        elapsed = (now_ms - self.started_at_ms) / (self.warm_at_ms - self.started_at_ms)
        return max(_SLOW_START_FLOOR, elapsed)

    def record(self, failed: bool, took_ms: float, now_ms: float) -> None:
        """Update the averages with a call that ended.

        The time of a failed call doesn't count as latency, because refusals are fast.
        """
        # The longer the pause since the last sample, the higher the weight of this one.
        decay = math.exp((self.updated_at_ms - now_ms) / _DECAY_MS)
        weight = 1.0 - (1.0 - _SAMPLE_WEIGHT) * decay
        self.updated_at_ms = now_ms
        if failed:
            self.failure_rate += weight * (1.0 - self.failure_rate)
            return
        self.failure_rate -= weight * self.failure_rate
        if self.latency_ms:
            self.latency_ms += weight * (took_ms - self.latency_ms)
        else:
            self.latency_ms = took_ms
