"""The instances of one service as one node sees them."""

import random
from collections.abc import Iterable

import xxhash

from jujubetiller import settings
from jujubetiller.routing import _instance_stats, _routable_instance, _spill_share

_Stats = _instance_stats.InstanceStats

# Smaller differences of the score are chance. Following them would send all calls
# of a small pool to one instance while the load is light.
_CLEARLY_BETTER = 0.8

# Pairs drawn before a warming instance is taken against its slow start.
_PAIRS_DRAWN = 3


class ServicePool:
    """Chooses among the instances of one service.

    Two random instances are drawn and the one with the better score is taken:
    always taking the best of all would send every node's calls to the same one.
    """

    def __init__(
        self,
        random_source: random.Random,
        routing_settings: settings.RoutingSettings,
        own_zone: str,
    ) -> None:
        self.random_source = random_source
        self.routing_settings = routing_settings
        self.own_zone = own_zone
        self.salt = random_source.getrandbits(64)
        self.spill = _spill_share.SpillShare(routing_settings)
        self.stats: dict[str, _Stats] = {}
        self.own: list[_Stats] = []
        self.others: list[_Stats] = []
        self.unreachable: list[_Stats] = []

    def update(
        self,
        instances: Iterable[_routable_instance.RoutableInstance],
        now_ms: float,
    ) -> None:
        """Replace the list of instances; what is known of an incarnation stays.

        Instances of a service that was unknown until now count as warm, because
        this node cannot tell which of them are new.
        """
        warm_at_ms = now_ms
        if self.stats:
            warm_at_ms += self.routing_settings.slow_start_ms
        stats: dict[str, _Stats] = {}
        for instance in sorted(instances, key=lambda each: each.instance):
            known = self.stats.get(instance.instance)
            if known is None or not known.instance.may_be_process_of(instance):
                stats[instance.instance] = _Stats(instance, now_ms, warm_at_ms)
                continue
            # Within one process, leaving is final: a list that is behind must not
            # bring the instance back. The first word of the process itself goes
            # before the list.
            is_first_word = not known.instance.boot_id and bool(instance.boot_id)
            known.leaving = instance.leaving or (known.leaving and not is_first_word)
            known.replace_instance(instance)
            stats[instance.instance] = known
        self.stats = stats
        self.sort_out()

    def sort_out(self) -> None:
        """Rebuild the lists after a change of an instance's state."""
        eligible = [stats for stats in self.stats.values() if self.is_eligible(stats)]
        reachable = [stats for stats in eligible if stats.reachable]
        self.own = [s for s in reachable if s.instance.zone == self.own_zone]
        self.others = self.choose_others(
            [s for s in reachable if s.instance.zone != self.own_zone]
        )
        self.unreachable = [stats for stats in eligible if not stats.reachable]

    def choose_others(self, reachable: list[_Stats]) -> list[_Stats]:
        """Return the instances in other zones that this node may call.

        Each node takes a few by rendezvous hash. If all nodes could call all of
        them, a spill would open thousands of streams to one instance.
        """
        highest = self.routing_settings.other_zone_instances
        if len(reachable) <= highest:
            return reachable
        return sorted(reachable, key=self._other_zone_weight)[:highest]

    def _other_zone_weight(self, stats: _Stats) -> int:
        name = stats.instance.instance.encode()
        return int(xxhash.xxh3_64_intdigest(name, seed=self.salt))

    def is_eligible(self, stats: _Stats) -> bool:
        """Return whether the instance may get calls at all."""
        return not stats.leaving

    def record(
        self, stats: _Stats, refused: bool, took_ms: float, kind: str, now_ms: float
    ) -> None:
        """Take in the end of a call of ``kind``."""
        stats.record(refused, took_ms, now_ms)
        self.spill.record(stats.instance.zone == self.own_zone, refused)

    def usual_ms(self, kind: str) -> float | None:
        """Return how long calls of ``kind`` take; this pool does not know."""
        return None

    def choose(self, exclude: frozenset[str], now_ms: float) -> _Stats | None:
        """Return the instance for a call, or None if none can be reached."""
        if self.unreachable:
            probed = self._take_probe(exclude, now_ms)
            if probed is not None:
                return probed
        own, others = self.own, self.others
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
