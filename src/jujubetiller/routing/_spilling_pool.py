"""The choice among instances by their estimated load."""

import random

from jujubetiller import settings
from jujubetiller.routing import _instance_stats, _service_pool, _spill_share

_Stats = _instance_stats.InstanceStats

# The second of a pair is chosen below this share of the first one's score. Smaller
# differences are random; following them would send all calls of a small pool to one
# instance while the load is light.
_BETTER_SCORE_RATIO = 0.8

# Pairs drawn before an instance is chosen in spite of its slow start.
_PAIRS_DRAWN = 3


class SpillingPool(_service_pool.ServicePool):
    """Draws two random instances and chooses the one with the better score.

    Choosing the best of all would send the calls of every node to the same one.
    While calls in the own zone are refused, a share of them spills to other zones.
    """

    def __init__(
        self,
        random_source: random.Random,
        routing_settings: settings.RoutingSettings,
        own_zone: str,
    ) -> None:
        super().__init__(random_source, routing_settings, own_zone)
        self.spill = _spill_share.SpillShare(routing_settings)

    def record(
        self, stats: _Stats, failed: bool, took_ms: float, kind: str, now_ms: float
    ) -> None:
        """Update the statistics of an instance with a call of ``kind`` that ended."""
        stats.record(failed, took_ms, now_ms)
        self.spill.record(stats.instance.zone == self.own_zone, failed)

    def choose(self, exclude: frozenset[str], now_ms: float) -> _Stats | None:
        """Return the instance for a call, or None if none can be reached."""
        if self.unreachable:
            probed = self._next_probe(exclude, now_ms)
            if probed is not None:
                return probed
        own, others = self.own_zone_stats, self.other_zone_stats
        if exclude:
            own = [s for s in own if s.instance.instance not in exclude]
            others = [s for s in others if s.instance.instance not in exclude]
        share = self.spill.update(now_ms)
        if not own:
            return self._draw(others, now_ms)
        if others and share > 0.0 and self.random_source.random() < share:
            return self._draw(others, now_ms)
        return self._draw(own, now_ms)

    def _draw(self, pool: list[_Stats], now_ms: float) -> _Stats | None:
        size = len(pool)
        if size < 2:
            return pool[0] if pool else None
        draw = self.random_source.random
        better = pool[0]
        for _ in range(_PAIRS_DRAWN):
            first_index = int(draw() * size)
            second_index = first_index + 1 + int(draw() * (size - 1))
            first = pool[first_index]
            second = pool[second_index if second_index < size else second_index - size]
            worse = second
            better = first
            if second.score(now_ms) < first.score(now_ms) * _BETTER_SCORE_RATIO:
                better, worse = second, first
            if self._is_excluded_by_slow_start(better, now_ms):
                better, worse = worse, better
                if self._is_excluded_by_slow_start(better, now_ms):
                    continue
            return better
        return better

    def _is_excluded_by_slow_start(self, stats: _Stats, now_ms: float) -> bool:
        """Return whether slow start excludes the instance from this call."""
        if now_ms >= stats.warm_at_ms:
            return False
        return self.random_source.random() >= stats.warm_share(now_ms)

    def _next_probe(self, exclude: frozenset[str], now_ms: float) -> _Stats | None:
        """Return an unreachable instance that is due for a single probing call."""
        for stats in self.unreachable:
            due = now_ms >= stats.next_probe_ms
            if due and stats.instance.instance not in exclude:
                stats.next_probe_ms = now_ms + self.routing_settings.probe_ms
                return stats
        return None
