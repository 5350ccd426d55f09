"""The instances of one service."""

import abc
import random

import xxhash

from jujubetiller import settings
from jujubetiller.routing import _instance_stats, _routable_instance

_Stats = _instance_stats.InstanceStats


class ServicePool(abc.ABC):
    """Holds the instances of one service and chooses among them."""

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
        self.members: list[_routable_instance.RoutableInstance] = []
        """The instances of the last update."""

        self.other_zone_stats: list[_Stats] = []
        self.unreachable: list[_Stats] = []

    @abc.abstractmethod
    def choose(self, exclude: frozenset[str], now_ms: float) -> _Stats | None:
        """Return the instance for a call, or None if there is none."""

    @abc.abstractmethod
    def record(
        self, stats: _Stats, failed: bool, took_ms: float, kind: str, now_ms: float
    ) -> None:
        """Update the statistics of an instance with a call of ``kind`` that ended."""

    def average_ms(self, kind: str) -> float | None:
        """Return the average time of calls of ``kind``, if that is known."""
        return None

    def update(
        self,
        instances: list[_routable_instance.RoutableInstance],
        now_ms: float,
    ) -> None:
        """Replace the list of instances, keeping the statistics of incarnations.

        Instances that don't report the remaining time of their slow start get that
        of the settings. If the service was unknown until now, they count as warm
        instead, because this node can't know which of them are new.
        """
        self.members = instances
        slow_start_ms = self.routing_settings.slow_start_ms if self.stats else 0
        stats: dict[str, _Stats] = {}
        for instance in sorted(instances, key=lambda each: each.instance):
            known = self.stats.get(instance.instance)
            if known is None or not known.instance.may_be_same_process(instance):
                warm_in_ms = instance.slow_start_ms
                if warm_in_ms is None:
                    warm_in_ms = slow_start_ms
                warm_at_ms = now_ms + warm_in_ms
                stats[instance.instance] = _Stats(instance, now_ms, warm_at_ms)
                continue
            # A process that is leaving never returns, so an outdated list must not
            # clear the flag. The first record with a boot id comes from the process
            # itself and overrides the list.
            is_first_record = not known.instance.boot_id and bool(instance.boot_id)
            known.leaving = instance.leaving or (known.leaving and not is_first_record)
            known.replace_instance(instance)
            stats[instance.instance] = known
        self.stats = stats
        self.rebuild_lists()

    def rebuild_lists(self) -> None:
        """Rebuild the lists after a change of an instance's state."""
        eligible = [stats for stats in self.stats.values() if self.is_eligible(stats)]
        reachable = [stats for stats in eligible if stats.reachable]
        self.own_zone_stats = [s for s in reachable if s.instance.zone == self.own_zone]
        self.other_zone_stats = self.select_other_zones(
            [s for s in reachable if s.instance.zone != self.own_zone]
        )
        self.unreachable = [stats for stats in eligible if not stats.reachable]

    def select_other_zones(self, reachable: list[_Stats]) -> list[_Stats]:
        """Return the instances in other zones that this node may call.

        Each node selects a few by rendezvous hashing. If all nodes could call all of
        them, a spill would open thousands of streams to one instance.
        """
        highest = self.routing_settings.other_zone_instances
        if len(reachable) <= highest:
            return reachable
        return sorted(reachable, key=self._rendezvous_weight)[:highest]

    def _rendezvous_weight(self, stats: _Stats) -> int:
        name = stats.instance.instance.encode()
        return int(xxhash.xxh3_64_intdigest(name, seed=self.salt))

    def is_eligible(self, stats: _Stats) -> bool:
        """Return whether the instance may get calls at all."""
        return not stats.leaving
