"""The choice among instances by how slow they are for one kind of call."""

import itertools
import math
import random

from jujubetiller import settings
from jujubetiller.routing import _instance_stats, _kind_times, _service_pool

_Stats = _instance_stats.InstanceStats

_SAMPLE_WEIGHT = 0.1

_FORGET_MS = 5_000.0
"""What was seen of an instance loses its effect in about this time."""

_STEEPNESS = 4.0
"""An instance that is twice as slow gets a sixteenth of the calls."""

_OTHER_ZONE_WEIGHT = 0.01
"""Traffic between zones costs, so an instance in another zone gets this share of
the calls of an equally fast one in the own zone."""

_REFUSAL_COST = 10.0

WEIGHTS_HOLD_MS = 10.0
"""Weights hardly change faster, and a busy node draws several times in this time."""

_FASTEST = 0.2
_MOST_CANDIDATES = 12


class LatencyWeightedPool(_service_pool.ServicePool):
    """Spreads calls by the time that instances take, relative to others.

    Answers the load in which an instance turns slow or refuses while others of
    its service have room: its share falls steeply with its slowness, and other
    zones help when the own one is slow as a whole.
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
        """Sums of the weights of the candidates up to each."""

        self.weighed_until_ms = 0.0

    def record(
        self, stats: _Stats, refused: bool, took_ms: float, kind: str, now_ms: float
    ) -> None:
        """Take in the end of a call."""
        decay = math.exp((stats.updated_at_ms - now_ms) / _FORGET_MS)
        stats.slowness = 1.0 + (stats.slowness - 1.0) * decay
        stats.refusals *= decay
        stats.updated_at_ms = now_ms
        stats.refusals += _SAMPLE_WEIGHT * (refused - stats.refusals)
        if not refused:
            ratio = min(self.times.record(kind, took_ms), 1 / _FASTEST**2)
            stats.slowness += _SAMPLE_WEIGHT * (ratio - stats.slowness)

    def average_ms(self, kind: str) -> float | None:
        """Return how long calls of ``kind`` took lately; None before the first."""
        return self.times.by_kind.get(kind)

    def choose(self, exclude: frozenset[str], now_ms: float) -> _Stats | None:
        """Return the instance for a call, or None if there is none.

        Instances that were found unreachable are tried only if there is no other.
        """
        if exclude:
            return self._draw(*self._weigh(exclude, now_ms))
        if now_ms >= self.weighed_until_ms:
            self.candidates, self.cumulative = self._weigh(exclude, now_ms)
            self.weighed_until_ms = now_ms + WEIGHTS_HOLD_MS
        return self._draw(self.candidates, self.cumulative)

    def sort_out(self) -> None:
        """Rebuild the lists after a change of an instance's state."""
        super().sort_out()
        self.weighed_until_ms = 0.0

    def _weigh(
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
        """Return the share of the calls that the instance may get."""
        decay = math.exp((stats.updated_at_ms - now_ms) / _FORGET_MS)
        slowness = max(_FASTEST, 1.0 + (stats.slowness - 1.0) * decay)
        cost = slowness * (1.0 + _REFUSAL_COST * stats.refusals * decay)
        weight = cost**-_STEEPNESS * stats.warm_share(now_ms)
        if stats.instance.zone != self.own_zone:
            weight *= _OTHER_ZONE_WEIGHT
        return weight

    def _candidates(self, exclude: frozenset[str]) -> list[_Stats]:
        candidates = [*self.own_zone_stats, *self.other_zone_stats]
        if exclude:
            candidates = [s for s in candidates if s.instance.instance not in exclude]
        if len(candidates) > _MOST_CANDIDATES:
            return self.random_source.sample(candidates, _MOST_CANDIDATES)
        return candidates
