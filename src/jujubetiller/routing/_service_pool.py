"""The instances of one service as one node sees them."""

import abc
import random
from collections.abc import Iterable

import xxhash

from jujubetiller import settings
from jujubetiller.routing import _instance_stats, _routable_instance

_Stats = _instance_stats.InstanceStats


class ServicePool(abc.ABC):
    """Knows the instances of one service and chooses among them."""

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
        self.stats: dict[str, _Stats] = {}
        self.own_zone_stats: list[_Stats] = []
        self.other_zone_stats: list[_Stats] = []
        self.unreachable: list[_Stats] = []

    @abc.abstractmethod
    def choose(self, exclude: frozenset[str], now_ms: float) -> _Stats | None:
        """Return the instance for a call, or None if there is none."""

    @abc.abstractmethod
    def record(
        self, stats: _Stats, refused: bool, took_ms: float, kind: str, now_ms: float
    ) -> None:
        """Take in the end of a call of ``kind``."""

    def average_ms(self, kind: str) -> float | None:
        """Return how long calls of ``kind`` take on the whole, if that is known."""
        return None

    def update(
        self,
        instances: Iterable[_routable_instance.RoutableInstance],
        now_ms: float,
    ) -> None:
        """Replace the list of instances; what is known of an incarnation stays.

        Instances that don't tell how long they are slow get the slow start of the
        settings. Those of a service that was unknown until now count as warm then,
        because this node cannot tell which of them are new.
        """
        slow_start_ms = self.routing_settings.slow_start_ms if self.stats else 0
        stats: dict[str, _Stats] = {}
        for instance in sorted(instances, key=lambda each: each.instance):
            known = self.stats.get(instance.instance)
            if known is None or not known.instance.may_be_process_of(instance):
                warm_in_ms = instance.slow_start_ms
                if warm_in_ms is None:
                    warm_in_ms = slow_start_ms
                warm_at_ms = now_ms + warm_in_ms
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
        self.own_zone_stats = [s for s in reachable if s.instance.zone == self.own_zone]
        self.other_zone_stats = self.choose_others(
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
