"""The choice among instances by how busy they seem."""

import random

from jujubetiller import settings
from jujubetiller.routing import _instance_stats, _service_pool, _spill_share

_Stats = _instance_stats.InstanceStats

# Smaller differences of the score are chance. Following them would send all calls
# of a small pool to one instance while the load is light.
_CLEARLY_BETTER = 0.8

# Pairs drawn before a warming instance is taken against its slow start.
_PAIRS_DRAWN = 3


class SpillingPool(_service_pool.ServicePool):
    """Draws two random instances and takes the one with the better score.

    Always taking the best of all would send every node's calls to the same one.
    A share of the calls spills to other zones while the own zone refuses.
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
        self, stats: _Stats, refused: bool, took_ms: float, kind: str, now_ms: float
    ) -> None:
        """Take in the end of a call of ``kind``."""
        stats.record(refused, took_ms, now_ms)
        self.spill.record(stats.instance.zone == self.own_zone, refused)

    def choose(self, exclude: frozenset[str], now_ms: float) -> _Stats | None:
        """Return the instance for a call, or None if none can be reached."""
        if self.unreachable:
            probed = self._take_probe(exclude, now_ms)
            if probed is not None:
                return probed
        own, others = self.own_zone_stats, self.other_zone_stats
        if exclude:
            own = [s for s in own if s.instance.instance not in exclude]
            others = [s for s in others if s.instance.instance not in exclude]
        share = self.spill.move(now_ms)
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
            if second.score(now_ms) < first.score(now_ms) * _CLEARLY_BETTER:
                better, worse = second, first
            if self._is_held_back(better, now_ms):
                better, worse = worse, better
                if self._is_held_back(better, now_ms):
                    continue
            return better
        return better

    def _is_held_back(self, stats: _Stats, now_ms: float) -> bool:
        """Return whether slow start keeps the instance from this call."""
        if now_ms >= stats.warm_at_ms:
            return False
        return self.random_source.random() >= stats.warm_share(now_ms)

    def _take_probe(self, exclude: frozenset[str], now_ms: float) -> _Stats | None:
        """Return an unreachable instance that is due for a single call."""
        for stats in self.unreachable:
            due = now_ms >= stats.next_probe_ms
            if due and stats.instance.instance not in exclude:
                stats.next_probe_ms = now_ms + self.routing_settings.probe_ms
                return stats
        return None
