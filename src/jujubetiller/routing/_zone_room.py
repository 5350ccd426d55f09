"""The room of several instances by their reports."""

import math
from collections.abc import Iterable

import attrs

from jujubetiller.routing import (
    _instance_stats,
    _latency_weighted_pool,
    _load_report,
)

_Stats = _instance_stats.InstanceStats

_FADE_MS = 500.0
"""Longer than for a single instance: the load of a zone changes over seconds."""

_FAILURE_ROOM = 4.0
"""An idle instance at which a fourth of the calls fail counts as one without room."""

_NOTED_FAILURE_RATE = 0.05


@attrs.frozen
class ZoneRoom:
    """The average room of instances, by reports that are young enough."""

    share: float | None
    """Room as a share of the slots, negative while calls wait. None without a young
    report or failure."""

    wait_ms: float
    """The average of the reported waits."""

    age_ms: float
    """Age of the youngest report; infinite without one."""


def average_room(
    candidates: Iterable[_Stats], weights: Iterable[float], now_ms: float
) -> ZoneRoom:
    """Return the room of the candidates, weighted by weight and age of the reports."""
    total = share_sum = wait_sum = 0.0
    youngest_ms = -math.inf
    for stats, weight in zip(candidates, weights, strict=True):
        load = stats.load
        failure_rate = stats.failure_rate
        if failure_rate > 0.0:
            failure_rate *= _latency_weighted_pool.decay_of_samples(stats, now_ms)
        is_young = now_ms - load.at_ms < _load_report.MAX_REPORT_AGE_MS
        if is_young:
            factor = weight * math.exp((load.at_ms - now_ms) / _FADE_MS)
            share = load.room_share(stats.instance.slots)
            youngest_ms = max(youngest_ms, load.at_ms)
        elif failure_rate > _NOTED_FAILURE_RATE:
            factor, share = weight, 0.0
        else:
            continue
        total += factor
        share_sum += factor * (share - _FAILURE_ROOM * failure_rate)
        wait_sum += factor * load.wait_ms * is_young
    if total <= 0.0:
        return ZoneRoom(None, 0.0, math.inf)
    return ZoneRoom(share_sum / total, wait_sum / total, now_ms - youngest_ms)
