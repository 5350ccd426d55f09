"""A router that places calls by the room that targets' nodes report."""

from jujubetiller import calls, codes
from jujubetiller.routing import _room_weighted_pool, _routable_instance, _router

_Code = codes.ResultCode

_REFUSED_FOR_ROOM = frozenset(
    (_Code.QUEUE_FULL, _Code.QUEUE_EVICTED, _Code.QUEUE_DEADLINE)
)
"""The report tells that the instance is full. If these refusals counted as failures
too, a full instance would lose nearly all calls, and the others would become full."""


class RoomWeightedRouter(_router.Router):
    """Chooses instances by learned throughput, reported room and expected wait."""

    pool_class = _room_weighted_pool.RoomWeightedPool

    def record_sent(self, instance: _routable_instance.RoutableInstance) -> None:
        """Count a call as outstanding, and as sent since the last report."""
        super().record_sent(instance)
        stats = self._find(instance)
        if stats is not None:
            stats.load.record_sent(self.time_source.now_ms())

    def record_answer(
        self,
        instance: _routable_instance.RoutableInstance,
        answer: calls.CallAnswer,
        took_ms: float,
        kind: str = "",
    ) -> None:
        """Record the answer to an outstanding call and the report inside it."""
        stats = self._find(instance)
        if stats is not None and answer.code is _Code.ANSWER_OVERDUE:
            stats.load.record_overdue(self.time_source.now_ms())
        if answer.room is None or stats is None:
            super().record_answer(instance, answer, took_ms, kind)
            return
        load, now_ms = stats.load, self.time_source.now_ms()
        load.record_report(answer.room, answer.wait_ms, stats.instance.slots, now_ms)
        load.is_refusal = answer.code in _REFUSED_FOR_ROOM
        super().record_answer(instance, answer, took_ms, kind)
        load.is_new = False

    def read_counters(self) -> dict[str, float]:
        """Return counters of the choices by room, summed over all services."""
        pools = [
            pool
            for pool in self.pools.values()
            if isinstance(pool, _room_weighted_pool.RoomWeightedPool)
        ]
        return {
            "sent_to_other_zones": sum(pool.sent_to_other_zones for pool in pools),
            "other_zone_starts": sum(pool.other_zones.starts for pool in pools),
            "compared": sum(pool.compared for pool in pools),
        }
