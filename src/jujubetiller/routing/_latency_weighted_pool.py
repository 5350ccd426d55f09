"""The choice among instances by their latency relative to others."""

import itertools
import math
import random

from jujubetiller import settings
from jujubetiller.routing import _instance_stats, _kind_times, _service_pool

_Stats = _instance_stats.InstanceStats

_SAMPLE_WEIGHT = 0.1

_DECAY_MS = 5_000.0
"""Time constant of the decay of old samples."""

LATENCY_EXPONENT = 4.0
"""An instance that is twice as slow gets a sixteenth of the calls."""

_OTHER_ZONE_WEIGHT = 0.01
"""Traffic between zones costs, so an instance in another zone gets this share of
the calls of an equally fast one in the own zone."""

_FAILURE_COST = 10.0
"""Relative increase of the cost of an instance whose calls all fail."""

WEIGHTS_TTL_MS = 10.0
"""How long computed weights are reused. They change little in this time, and a busy
node chooses several instances in it."""

_MIN_RELATIVE_LATENCY = 0.2
_MAX_CANDIDATES = 12


class LatencyWeightedPool(_service_pool.ServicePool):
    """Spreads calls by the latency of instances, relative to the average of each kind.

    Limits the effect of an instance that becomes slow or refuses calls while others
    of its service have free capacity: its share falls steeply with its latency, and
    other zones get more calls when the own one is slow as a whole.
    """

    def __init__(
        self,
        random_source: random.Random,
        routing_settings: settings.RoutingSettings,
        own_zone: str,
    ) -> None:
        super().__init__(random_source, routing_settings, own_zone)
        self.times = _kind_times.KindTimes()
        self.candidates: list[_Stats] = []
        self.cumulative: list[float] = []
        """Cumulative weights of the candidates."""

        self.weights_valid_until_ms = 0.0

    def record(
        self, stats: _Stats, failed: bool, took_ms: float, kind: str, now_ms: float
    ) -> None:
        """Update the statistics of an instance with a call that ended."""
        decay = decay_of_samples(stats, now_ms)
        stats.relative_latency = 1.0 + (stats.relative_latency - 1.0) * decay
        stats.failure_rate *= decay
        stats.updated_at_ms = now_ms
        stats.failure_rate += _SAMPLE_WEIGHT * (failed - stats.failure_rate)
        if not failed:
            ratio = min(self.times.record(kind, took_ms), 1 / _MIN_RELATIVE_LATENCY**2)
            stats.relative_latency += _SAMPLE_WEIGHT * (ratio - stats.relative_latency)

    def average_ms(self, kind: str) -> float | None:
        """Return the average time of calls of ``kind``, or None before the first."""
        return self.times.by_kind.get(kind)

    def choose(self, exclude: frozenset[str], now_ms: float) -> _Stats | None:
        """Return the instance for a call, or None if there is none.

        Instances that were found unreachable are tried only if there is no other.
        """
        if exclude:
            return self._draw(*self._compute_weights(exclude, now_ms))
        if now_ms >= self.weights_valid_until_ms:
            self.candidates, self.cumulative = self._compute_weights(exclude, now_ms)
            self.weights_valid_until_ms = now_ms + WEIGHTS_TTL_MS
        return self._draw(self.candidates, self.cumulative)

    def rebuild_lists(self) -> None:
        """Rebuild the lists after a change of an instance's state."""
        super().rebuild_lists()
        self.weights_valid_until_ms = 0.0

    def _compute_weights(
        self, exclude: frozenset[str], now_ms: float
    ) -> tuple[list[_Stats], list[float]]:
        """Return the instances that may get a call, and their cumulative weights."""
        candidates = self._candidates(exclude) or self.unreachable
        weights = [self.weight(stats, now_ms) for stats in candidates]
        return candidates, list(itertools.accumulate(weights))

    def _draw(self, candidates: list[_Stats], cumulative: list[float]) -> _Stats | None:
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        return self.random_source.choices(candidates, cum_weights=cumulative)[0]

    def weight(self, stats: _Stats, now_ms: float) -> float:
        """Return the weight of the instance in the random choice."""
        weight = self.weight_in_own_zone(stats, now_ms)
        if stats.instance.zone != self.own_zone:
            weight *= _OTHER_ZONE_WEIGHT
        return weight

    def weight_in_own_zone(self, stats: _Stats, now_ms: float) -> float:
        """Return the weight that the instance has, or would have, in the own zone."""
        decay = decay_of_samples(stats, now_ms)
        relative_latency = max(
            _MIN_RELATIVE_LATENCY, 1.0 + (stats.relative_latency - 1.0) * decay
        )
        cost = relative_latency * failure_cost(stats, decay)
        return cost**-LATENCY_EXPONENT * stats.warm_share(now_ms)

    def _candidates(self, exclude: frozenset[str]) -> list[_Stats]:
        candidates = [*self.own_zone_stats, *self.other_zone_stats]
        if exclude:
            candidates = [s for s in candidates if s.instance.instance not in exclude]
        if len(candidates) > _MAX_CANDIDATES:
            return self.random_source.sample(candidates, _MAX_CANDIDATES)
        return candidates


def decay_of_samples(stats: _Stats, now_ms: float) -> float:
    """Return the part of their effect that the samples of an instance still have."""
    return math.exp((stats.updated_at_ms - now_ms) / _DECAY_MS)


def failure_cost(stats: _Stats, decay: float) -> float:
    """Return the factor of the cost for failures, 1 without any.

    ``decay`` is what ``decay_of_samples`` returns.
    """
    return 1.0 + _FAILURE_COST * stats.failure_rate * decay
