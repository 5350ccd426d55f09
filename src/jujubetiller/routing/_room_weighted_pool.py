"""The choice among instances by the room that their nodes report."""

import bisect
import itertools
import math
import random

import attrs

from jujubetiller import settings
from jujubetiller.routing import (
    _instance_stats,
    _latency_weighted_pool,
    _load_report,
    _other_zone_share,
    _zone_room,
)

_Stats = _instance_stats.InstanceStats

WEIGHTS_TTL_MS = 50.0
"""How long weights are reused: learned speeds change over seconds. Each 12 further
instances add as much, so that large services take no more processor time."""

_INSTANCES_PER_WEIGHTS_TTL = 12

REPORTING_MS = 5_000.0
"""An instance whose last report is older is placed by relative latency."""

_MIN_FAILURE_RATE = 0.001
"""Lower failure rates change the weight by at most 4%, and are left out."""

_MIN_RUN_SHARE = 0.3
"""Least part of the time of a call that counts as its run time: the reported wait is
that of the next call, and may exceed the wait of this one."""

_ROOM_GAIN = 2.0
"""Exponent of the correction by the room that an instance reports on average. It
corrects speeds and limits that are not what this node assumes."""

_SLOWED_RATIO = 1.6
"""An instance this much slower than its lasting speed is compared with another one."""

_WARM_FLOOR = 0.1
"""Lowest weight during a slow start: a newcomer gets some calls at once."""

_MIN_ROOM_FOR_REFUSED = -0.5
"""Refused calls go to other zones down to this room: they have lost time already."""

_RUN_WEIGHT = 0.05
"""Weight of a new sample in the average run time."""

_MAX_DRAWS_FOR_SECOND = 3
"""Draws for an instance other than the first one: an instance with most of the weight
is often drawn again."""


@attrs.frozen
class Choices:
    """Instances with their cumulative weights."""

    candidates: list[_Stats]
    weights: list[float]
    cumulative: list[float]

    def draw(self, random_value: float) -> _Stats:
        """Return the instance at ``random_value``, 0 to 1, of the summed weights."""
        cumulative = self.cumulative
        index = bisect.bisect(
            cumulative, random_value * cumulative[-1], 0, len(cumulative) - 1
        )
        return self.candidates[index]


class RoomWeightedPool(_latency_weighted_pool.LatencyWeightedPool):
    """Draws instances by learned throughput and avoids those that lack room.

    The first instance drawn is taken if by its report it has room, or if that report
    is too old to tell and no call was sent since. Otherwise a second one is drawn, and
    the one with the smaller expected completion is taken. Drawing by throughput before
    comparing keeps many callers that know the same report from choosing the same
    instance.
    """

    def __init__(
        self,
        random_source: random.Random,
        routing_settings: settings.RoutingSettings,
        own_zone: str,
    ) -> None:
        super().__init__(random_source, routing_settings, own_zone)
        self.own = Choices([], [], [])
        self.others = Choices([], [], [])
        self.own_room = _zone_room.ZoneRoom(None, 0.0, math.inf)
        self.other_room = self.own_room
        self.other_zones = _other_zone_share.OtherZoneShare()
        self.run_ms = 0.0
        """Average run time of calls of all kinds, without their wait."""

        self.sent_to_other_zones = 0
        self.compared = 0
        """Choices that compared two instances."""

    def select_other_zones(self, reachable: list[_Stats]) -> list[_Stats]:
        """Return the instances in other zones that this node may call.

        They come from as many zones as possible, because the loads of zones differ.
        """
        highest = self.routing_settings.other_zone_instances
        if len(reachable) <= highest:
            return reachable
        by_zone: dict[str, list[_Stats]] = {}
        for stats in sorted(reachable, key=self._rendezvous_weight):
            by_zone.setdefault(stats.instance.zone, []).append(stats)
        rounds = itertools.zip_longest(*by_zone.values())
        return [s for each in rounds for s in each if s is not None][:highest]

    def record(
        self, stats: _Stats, failed: bool, took_ms: float, kind: str, now_ms: float
    ) -> None:
        """Update the statistics of an instance with a call that ended.

        The report that came with the answer must have been recorded before.
        """
        load = stats.load
        if failed and load.is_refusal and load.is_new:
            return
        if stats.instance.zone == self.own_zone:
            self.other_zones.record_own(failed)
        if failed:
            # Weights of instances that fail must not be reused for long.
            self.weights_valid_until_ms = min(
                self.weights_valid_until_ms,
                now_ms + _latency_weighted_pool.WEIGHTS_TTL_MS,
            )
        elif load.is_new:
            took_ms = max(took_ms - load.wait_ms, _MIN_RUN_SHARE * took_ms)
            self.run_ms += _RUN_WEIGHT * (took_ms - self.run_ms)
            average_ms = self.times.by_kind.get(kind)
            if average_ms is not None:
                load.record_ratio(took_ms / average_ms, now_ms)
        super().record(stats, failed, took_ms, kind, now_ms)

    def choose(self, exclude: frozenset[str], now_ms: float) -> _Stats | None:
        """Return the instance for a call, or None if there is none.

        Instances that were found unreachable are tried only if there is no other.
        """
        if now_ms >= self.weights_valid_until_ms:
            self._refresh(now_ms)
        own, others = self.own, self.others
        if exclude:
            own, others = _exclude(own, exclude), _exclude(others, exclude)
        if not own.candidates:
            if others.candidates:
                self.sent_to_other_zones += 1
                return self._draw_better(others, now_ms)
            return self._draw_unreachable(exclude)
        if (self.other_zones.share > 0.0 or exclude) and others.candidates:
            # A call that the own zone refused for lack of room goes on at once.
            is_short = bool(exclude) and self._may_leave_after_refusal()
            if is_short or self.other_zones.take_call():
                chosen = self._draw_better(others, now_ms)
                if not _is_full(chosen, now_ms):
                    self.sent_to_other_zones += 1
                    return chosen
        return self._draw_better(own, now_ms)

    def _may_leave_after_refusal(self) -> bool:
        """Return whether the own zone has no room, and other zones may have some."""
        own, others = self.own_room.share, self.other_room.share
        return (
            own is not None
            and own < _other_zone_share.SHORT_ROOM
            and (others is None or others > _MIN_ROOM_FOR_REFUSED)
        )

    def _draw_better(self, choices: Choices, now_ms: float) -> _Stats:
        draw = self.random_source.random
        first = choices.draw(draw())
        load = first.load
        age_ms = now_ms - load.at_ms
        if age_ms >= REPORTING_MS:
            return first
        if age_ms > _load_report.MAX_REPORT_AGE_MS:
            if not load.sent_since:
                return first
        elif (
            load.room > load.sent_since
            and load.recent_ratio < _SLOWED_RATIO * load.run_ratio
        ):
            return first
        for _ in range(_MAX_DRAWS_FOR_SECOND):
            second = choices.draw(draw())
            if second is not first:
                self.compared += 1
                if self._expect_ms(second, now_ms) < self._expect_ms(first, now_ms):
                    return second
                return first
        return first

    def _expect_ms(self, stats: _Stats, now_ms: float) -> float:
        room = self.own_room
        if stats.instance.zone != self.own_zone:
            room = self.other_room
        return stats.load.expect_completion_ms(
            self.run_ms, room.wait_ms, stats.instance.slots, now_ms
        )

    def _draw_unreachable(self, exclude: frozenset[str]) -> _Stats | None:
        candidates = self.unreachable
        if exclude:
            candidates = [s for s in candidates if s.instance.instance not in exclude]
        if not candidates:
            return None
        return candidates[int(self.random_source.random() * len(candidates))]

    def _refresh(self, now_ms: float) -> None:
        """Compute the weights and the rooms of the zones again."""
        self.own = self._make_choices(self.own_zone_stats, now_ms)
        self.others = self._make_choices(self.other_zone_stats, now_ms)
        self.own_room = _zone_room.average_room(
            self.own.candidates, self.own.weights, now_ms
        )
        self.other_room = _zone_room.average_room(
            self.others.candidates, self.others.weights, now_ms
        )
        if self.own.candidates and self.others.candidates:
            service = self.own.candidates[0].instance.service
            self.other_zones.update(service, self.own_room, self.other_room, now_ms)
        groups = 1 + len(self.own.candidates) // _INSTANCES_PER_WEIGHTS_TTL
        self.weights_valid_until_ms = now_ms + WEIGHTS_TTL_MS * groups

    def _make_choices(self, candidates: list[_Stats], now_ms: float) -> Choices:
        """Return the candidates with their weights."""
        reporting = [s for s in candidates if now_ms - s.load.at_ms < REPORTING_MS]
        mean_room = mean_slots = 0.0
        if reporting:
            mean_room = sum(s.load.mean_room_share for s in reporting) / len(reporting)
        if candidates:
            mean_slots = sum(s.instance.slots for s in candidates) / len(candidates)
        weights = [self._weigh(s, mean_room, mean_slots, now_ms) for s in candidates]
        return Choices(candidates, weights, list(itertools.accumulate(weights)))

    def _weigh(
        self, stats: _Stats, mean_room: float, mean_slots: float, now_ms: float
    ) -> float:
        """Return the learned throughput, 1 for an average instance."""
        load = stats.load
        if now_ms - load.at_ms >= REPORTING_MS:
            weight = self.weight_in_own_zone(stats, now_ms)
            return weight * load.overdue_weight(now_ms)
        weight = math.exp(_ROOM_GAIN * (load.mean_room_share - mean_room))
        weight *= load.overdue_weight(now_ms) / load.read_run_ratio(now_ms)
        if mean_slots and stats.instance.slots:
            weight *= stats.instance.slots / mean_slots
        if stats.failure_rate > _MIN_FAILURE_RATE:
            decay = _latency_weighted_pool.decay_of_samples(stats, now_ms)
            cost = _latency_weighted_pool.failure_cost(stats, decay)
            weight *= cost**-_latency_weighted_pool.LATENCY_EXPONENT
        if now_ms < stats.warm_at_ms:
            weight *= max(_WARM_FLOOR, stats.warm_share(now_ms))
        return weight


def _exclude(choices: Choices, exclude: frozenset[str]) -> Choices:
    """Return the choices without the instances named in ``exclude``."""
    kept = [
        (stats, weight)
        for stats, weight in zip(choices.candidates, choices.weights, strict=True)
        if stats.instance.instance not in exclude
    ]
    weights = [weight for _, weight in kept]
    return Choices(
        [stats for stats, _ in kept], weights, list(itertools.accumulate(weights))
    )


def _is_full(stats: _Stats, now_ms: float) -> bool:
    """Return whether a young report leaves the instance no room."""
    load = stats.load
    is_young = now_ms - load.at_ms < _load_report.REPORT_DECAY_MS
    return is_young and load.room <= load.sent_since
