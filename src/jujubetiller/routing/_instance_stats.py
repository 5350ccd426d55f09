"""What a node has seen of an instance in answers."""

import math
from typing import Any

import attrs
import result

from jujubetiller.routing import _routable_instance

# Weight of a new sample in the moving averages.
_SAMPLE_WEIGHT = 0.2

# What was seen loses its effect after some of this time without an answer, so
# that an instance that did badly once is tried again.
_FORGET_MS = 5_000.0

# Keeps the score of an instance without a sample above zero.
_LATENCY_FLOOR_MS = 1.0

# An instance that refuses everything scores like one with this many times more
# calls.
_REFUSAL_WEIGHT = 20.0

# Share of the calls that an instance gets at the start of its slow start.
_SLOW_START_FLOOR = 0.05


@attrs.define
class InstanceStats:
    """Outstanding calls, latency and refusals of one incarnation."""

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
    latency_ms: float = 0.0
    refusals: float = 0.0
    """Moving average of 1 for each refusal and 0 for each answer."""

    slowness: float = 1.0
    """Time of calls relative to all calls of their kinds; 1 is as all others."""

    updated_at_ms: float = 0.0

    ok_result: Any = attrs.field(init=False, eq=False)
    """The result of every choice of this instance."""

    def __attrs_post_init__(self) -> None:
        self.leaving = self.instance.leaving
        self.ok_result = result.Ok(self.instance)

    def replace_instance(self, instance: _routable_instance.RoutableInstance) -> None:
        """Take in a newer record of the same incarnation."""
        self.instance = instance
        self.ok_result = result.Ok(instance)

    def score(self, now_ms: float) -> float:
        """Return how busy the instance seems; a smaller score is better."""
        decay = math.exp((self.updated_at_ms - now_ms) / _FORGET_MS)
        return (
            (self.outstanding + 1)
            * (self.latency_ms * decay + _LATENCY_FLOOR_MS)
            * (self.refusals * decay * _REFUSAL_WEIGHT + 1.0)
        )

    def warm_share(self, now_ms: float) -> float:
        """Return the share of a warm instance's calls that this one may get."""
        if now_ms >= self.warm_at_ms:
            return 1.0
        elapsed = (now_ms - self.started_at_ms) / (self.warm_at_ms - self.started_at_ms)
        return max(_SLOW_START_FLOOR, elapsed)

    def record(self, refused: bool, took_ms: float, now_ms: float) -> None:
        """Take in the end of a call.

        The time of a refusal is no latency: refusals are quick.
        """
        # The longer the pause since the last sample, the more this one counts.
        decay = math.exp((self.updated_at_ms - now_ms) / _FORGET_MS)
        weight = 1.0 - (1.0 - _SAMPLE_WEIGHT) * decay
        self.updated_at_ms = now_ms
        if refused:
            self.refusals += weight * (1.0 - self.refusals)
            return
        self.refusals -= weight * self.refusals
        if self.latency_ms:
            self.latency_ms += weight * (took_ms - self.latency_ms)
        else:
            self.latency_ms = took_ms
