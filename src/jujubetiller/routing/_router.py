"""The choice of an instance for every call that a node sends."""

import random
from collections.abc import Iterable

import logbook
import result

from jujubetiller import calls, clock, codes, settings
from jujubetiller.routing import (
    _answer_classes,
    _instance_stats,
    _routable_instance,
    _service_pool,
    _spilling_pool,
)

_LOG = logbook.Logger("jujubetiller.routing")

_NO_INSTANCE: result.Err[codes.ResultCode] = result.Err(codes.ResultCode.NO_INSTANCE)
_RATE_LIMITED: result.Err[codes.ResultCode] = result.Err(codes.ResultCode.RATE_LIMITED)
MAX_LEAVING = 4_096
"""Incarnations that are remembered as leaving after they are no longer listed."""

_NOTHING_EXCLUDED: frozenset[str] = frozenset()


class Router:
    """Chooses instances by their earlier answers, the own zone first."""

    pool_class: type[_service_pool.ServicePool] = _spilling_pool.SpillingPool

    def __init__(
        self,
        time_source: clock.Clock,
        random_source: random.Random,
        routing_settings: settings.RoutingSettings,
        own_zone: str,
    ) -> None:
        self.time_source = time_source
        self.random_source = random_source
        self.routing_settings = routing_settings
        self.own_zone = own_zone
        self.pools: dict[str, _service_pool.ServicePool] = {}
        self.probes_sent = 0
        self.no_instance_refusals = 0
        self.leaving_incarnations: dict[tuple[str, int, str], None] = {}
        """Incarnations that stated that they leave, the earliest first."""

        self.rate_limited_refusals = 0
        self.rate_limited: dict[str, _instance_stats.InstanceStats] = {}
        """The instances that name a rate limit or recover from one, by name."""

    def update_instances(
        self, instances: Iterable[_routable_instance.RoutableInstance]
    ) -> None:
        """Replace the list of the fleet's instances."""
        now_ms = self.time_source.now_ms()
        by_service: dict[str, list[_routable_instance.RoutableInstance]] = {}
        for instance in instances:
            by_service.setdefault(instance.service, []).append(instance)
        for service in self.pools.keys() - by_service.keys():
            del self.pools[service]
        for service, members in by_service.items():
            pool = self.pools.get(service)
            if pool is None:
                pool = self.pool_class(
                    self.random_source, self.routing_settings, self.own_zone
                )
                self.pools[service] = pool
            if members == pool.members:
                continue
            pool.update(members, now_ms)
            self._keep_leaving(pool)
        for name, stats in tuple(self.rate_limited.items()):
            if self._find(stats.instance) is not stats:
                del self.rate_limited[name]

    def choose(
        self,
        service: str,
        exclude: frozenset[str] = _NOTHING_EXCLUDED,
        urgent: bool = False,
    ) -> result.Result[_routable_instance.RoutableInstance, codes.ResultCode]:
        """Return an instance for a call whose name is not among ``exclude``.

        An instance with a rate limit gets only its share of the calls, and the others
        get the rest. If all have limits, what is beyond their shares is refused, unless
        it is ``urgent``.
        """
        now_ms = self.time_source.now_ms()
        pool = self.pools.get(service)
        stats = None if pool is None else pool.choose(exclude, now_ms)
        if pool is None or stats is None:
            self.no_instance_refusals += 1
            return _NO_INSTANCE
        if stats.rate.share < 1.0:
            admitted = self._choose_within_shares(pool, stats, exclude, now_ms)
            if admitted is None and not urgent:
                self.rate_limited_refusals += 1
                return _RATE_LIMITED
            stats = admitted or stats
        self.probes_sent += not stats.reachable
        return stats.ok_result

    def _choose_within_shares(
        self,
        pool: _service_pool.ServicePool,
        first: _instance_stats.InstanceStats,
        exclude: frozenset[str],
        now_ms: float,
    ) -> _instance_stats.InstanceStats | None:
        """Return ``first`` or another instance whose rate share admits the call."""
        stats: _instance_stats.InstanceStats | None = first
        while stats is not None and stats.reachable:
            if self.random_source.random() < stats.rate.read(now_ms):
                return stats
            exclude |= {stats.instance.instance}
            stats = pool.choose(exclude, now_ms)
        return None

    def known_rate_limit(
        self, instance: _routable_instance.RoutableInstance
    ) -> float | None:
        """Return the rate limit that the instance last named, or None."""
        stats = self.rate_limited.get(instance.instance)
        if stats is None or not stats.rate.limit_per_s:
            return None
        return stats.rate.limit_per_s

    def has_alternative(self, service: str, exclude: frozenset[str]) -> bool:
        """Return whether a reachable instance is not among ``exclude``."""
        pool = self.pools.get(service)
        if pool is None:
            return False
        return any(
            stats.instance.instance not in exclude
            for stats in (*pool.own_zone_stats, *pool.other_zone_stats)
        )

    def average_ms(self, service: str, kind: str) -> float | None:
        """Return the average time of calls of ``kind``, if that is known."""
        pool = self.pools.get(service)
        return None if pool is None else pool.average_ms(kind)

    def record_sent(self, instance: _routable_instance.RoutableInstance) -> None:
        """Count a call as outstanding; exactly one ``record_answer`` must follow."""
        stats = self._find(instance)
        if stats is not None:
            stats.outstanding += 1
            stats.sent += 1

    def record_answer(
        self,
        instance: _routable_instance.RoutableInstance,
        answer: calls.CallAnswer,
        took_ms: float,
        kind: str = "",
    ) -> None:
        """Record the answer to an outstanding call, whichever node created it."""
        if answer.target_leaving:
            self._record_leaving(instance)
        stats = self._find(instance)
        if stats is None:
            return
        if stats.outstanding > 0:
            stats.outstanding -= 1
        now_ms = self.time_source.now_ms()
        if _answer_classes.is_sample(answer):
            failed = _answer_classes.counts_as_failure(answer)
            pool = self.pools[instance.service]
            pool.record(stats, failed, took_ms, kind, now_ms)
        if answer.rate_limit_per_s or stats.rate.is_limited():
            self._record_rate(stats, answer, now_ms)
        if not stats.reachable and _answer_classes.is_from_peer(answer):
            self.mark_reachable(instance)
        if answer.code is codes.ResultCode.DRAINING:
            self.mark_leaving(instance)

    def _record_rate(
        self,
        stats: _instance_stats.InstanceStats,
        answer: calls.CallAnswer,
        now_ms: float,
    ) -> None:
        """Update the share of an instance from what its node states."""
        if answer.rate_limit_per_s is None:
            return
        stats.rate.record(answer.rate_limit_per_s, answer.admitted_share, now_ms)
        if stats.rate.is_limited():
            self.rate_limited[stats.instance.instance] = stats
        else:
            self.rate_limited.pop(stats.instance.instance, None)

    def mark_unreachable(self, instance: _routable_instance.RoutableInstance) -> None:
        """Send the instance only single probing calls until one is answered."""
        stats = self._find(instance)
        if stats is not None and stats.reachable:
            stats.reachable = False
            stats.next_probe_ms = (
                self.time_source.now_ms() + self.routing_settings.probe_ms
            )
            self.pools[instance.service].rebuild_lists()

    def mark_reachable(self, instance: _routable_instance.RoutableInstance) -> None:
        """Send the instance calls again, as after a HELLO of its node."""
        stats = self._find(instance)
        if stats is not None and not stats.reachable:
            stats.reachable = True
            # The recorded failures were failures to connect, which don't depend on
            # the load of the instance.
            stats.failure_rate = 0.0
            self.pools[instance.service].rebuild_lists()

    def is_routable(self, instance: _routable_instance.RoutableInstance) -> bool:
        """Return whether the incarnation may still get calls."""
        stats = self._find(instance)
        return stats is not None and not stats.leaving

    def mark_leaving(self, instance: _routable_instance.RoutableInstance) -> None:
        """Send this incarnation no more calls, even if a later list has it as live."""
        stats = self._find(instance)
        if stats is not None and not stats.leaving:
            stats.leaving = True
            self.pools[instance.service].rebuild_lists()

    def _record_leaving(self, instance: _routable_instance.RoutableInstance) -> None:
        """Mark an instance as leaving that has stated so itself.

        That holds for its incarnation whatever lists say, also if they drop it and list
        it again.
        """
        key = instance.incarnation_key
        if key in self.leaving_incarnations:
            return
        self.leaving_incarnations[key] = None
        if len(self.leaving_incarnations) > MAX_LEAVING:
            del self.leaving_incarnations[next(iter(self.leaving_incarnations))]
        self.mark_leaving(instance)
        _LOG.info(
            "instance says that it leaves",
            extra={"instance": instance.instance, "service": instance.service},
        )

    def _keep_leaving(self, pool: _service_pool.ServicePool) -> None:
        """Mark the listed incarnations that stated that they leave."""
        if not self.leaving_incarnations:
            return
        for stats in tuple(pool.stats.values()):
            if stats.instance.incarnation_key in self.leaving_incarnations:
                self.mark_leaving(stats.instance)

    def _find(
        self, instance: _routable_instance.RoutableInstance
    ) -> _instance_stats.InstanceStats | None:
        """Return the statistics, or None if another incarnation replaced this one."""
        pool = self.pools.get(instance.service)
        stats = None if pool is None else pool.stats.get(instance.instance)
        if stats is None or not (stats.instance.may_be_same_process(instance)):
            return None
        return stats
