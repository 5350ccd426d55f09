"""Estimates how many nested calls the requests at one target make."""

import math
import random

from jujubetiller import clock
from jujubetiller.admission import (
    _call_event,
    _cost_table,
    _fit_sample,
    _nested_calls,
    _rate_fit,
    _request_kind,
    _weighted_call,
)

TIME_CONSTANT_MS = 15_000.0
"""Time constant with which observations lose weight."""

KEPT_EVENTS_PER_S = 25.0
"""Calls beyond this rate are sampled at random, so that the kept ones span more than
two time constants."""

MAX_KINDS = 64
"""Kinds of requests, and kinds of nested calls; others are not estimated."""

UPDATE_INTERVAL_MS = 1_000.0
"""Interval in which the rates of each kind of calls are fitted, one kind at a time."""

MIN_EXPOSURE_MS = 1e-3

MIN_CALLS = 1e-3
"""Kinds of nested calls below this decayed number are forgotten."""

MIN_ENDED_REQUESTS = 12.0
"""Below this decayed number of ended requests, a kind's costs count as unknown."""

MAX_RELATIVE_ERROR = 0.35
"""A kind counts as not distinguished from others if the standard error of its cost,
relative to its cost or to the mean cost of requests at the target, is larger."""

MIN_ERRORS = 2.0
"""Calls per request that are fewer than this many standard errors count as none:
otherwise kinds without calls are refused for those of kinds that run beside them."""

NEGLIGIBLE_CALLS = 0.25
"""Calls per request up to which their costs need not be known."""

RUN_WEIGHT = 0.1
"""Weight of a new sample in the moving average of run times."""

FAILURE_WEIGHT = 0.02
"""Weight of a new sample in the moving average of failures."""

MAX_FAILURE_SHARE = 0.15
"""While more requests fail, nothing is learned: requests that fail at their first call
seem to be cheap, and more of them would be admitted."""

MAX_PAUSE_MS = 30_000.0
"""Learning pauses for this long at most, as some kinds fail for other reasons."""


class CostEstimator:
    """Attributes nested calls to the kinds of requests that run at the target.

    A call is taken to come from each running kind in proportion to the number of its
    running requests times its estimated rate of such calls. The rates are fitted by
    maximum likelihood over the recent calls. Calls that the target repeats are
    counted, because they load the services below; attempts that nodes repeat are not.
    """

    def __init__(self, time_source: clock.Clock, random_source: random.Random) -> None:
        self.clock = time_source
        self.random = random_source
        self.kinds: dict[str, _request_kind.RequestKind] = {}
        self.calls: dict[str, _nested_calls.NestedCalls] = {}
        self.advanced_at_ms = time_source.now_ms()
        self.updated_at_ms = self.advanced_at_ms
        self.over_bound = 0
        self.failure_share = 0.0
        self.healthy_at_ms = self.advanced_at_ms

    def record_start(self, kind: str) -> None:
        """Count a request that starts at the target."""
        self.advance()
        found = self.kinds.get(kind)
        if found is None:
            if len(self.kinds) >= MAX_KINDS:
                self.over_bound += 1
                return
            found = self.kinds[kind] = _request_kind.RequestKind()
        found.running += 1

    def record_end(self, kind: str, run_ms: float, succeeded: bool) -> None:
        """Count the end of a request that started before.

        ``succeeded`` is False if it was cancelled or failed.
        """
        self.advance()
        found = self.kinds.get(kind)
        if found is None or not found.running:
            return
        found.running -= 1
        self.failure_share += FAILURE_WEIGHT * ((not succeeded) - self.failure_share)
        if self.failure_share <= MAX_FAILURE_SHARE:
            self.healthy_at_ms = self.advanced_at_ms
        if succeeded:
            weight = RUN_WEIGHT if found.mean_run_ms else 1.0
            found.mean_run_ms += weight * (run_ms - found.mean_run_ms)
        if not self.is_paused():
            found.ends += 1.0

    def is_paused(self) -> bool:
        """Return whether nothing is learned at present."""
        if self.failure_share <= MAX_FAILURE_SHARE:
            return False
        return self.advanced_at_ms - self.healthy_at_ms <= MAX_PAUSE_MS

    def record_call(self, kind: str) -> None:
        """Count a call that the target sends."""
        self.advance()
        if self.is_paused():
            return
        found = self.calls.get(kind)
        if found is None:
            if len(self.calls) >= MAX_KINDS:
                self.over_bound += 1
                return
            found = self.calls[kind] = _nested_calls.NestedCalls()
        found.count += 1.0
        rate_per_s = found.count * 1_000.0 / TIME_CONSTANT_MS
        if self.random.random() * rate_per_s < KEPT_EVENTS_PER_S:
            running = {name: one.running for name, one in self.kinds.items()}
            running = {name: number for name, number in running.items() if number}
            if running:
                found.events.append(_call_event.CallEvent(self.advanced_at_ms, running))

    def mean_run_ms(self, kind: str) -> float:
        """Return the recent mean run time of a kind, 0 if it is unknown."""
        found = self.kinds.get(kind)
        return found.mean_run_ms if found is not None else 0.0

    def calls_per_request(self, kind: str) -> dict[str, float]:
        """Return the estimated nested calls of one request, by their kind."""
        self.update_if_due()
        one = self.kinds.get(kind)
        slot_ms = one.slot_ms if one is not None else 0.0
        return {
            call: found.per_ms.get(kind, 0.0) * slot_ms
            for call, found in self.calls.items()
        }

    def estimate(
        self, service: str, kind: str, below: _cost_table.CostTable
    ) -> dict[str, float] | None:
        """Return the slot-milliseconds that one request takes, by service.

        ``service`` is the target's own one, ``below`` the costs of the nested calls.
        None if the estimate is not reliable, or the costs of its calls are unknown.
        """
        found = self.kinds.get(kind)
        if found is None or found.ends < MIN_ENDED_REQUESTS:
            return None
        costs = {service: found.slot_ms}
        error_ms = 0.0
        for call, number in self.calls_per_request(kind).items():
            error = self.calls[call].errors.get(kind, math.inf) * found.slot_ms
            reported = below.find(call)
            if reported is None:
                if max(number, error) > NEGLIGIBLE_CALLS:
                    return None
                continue
            error_ms += error * sum(reported.values())
            if number <= MIN_ERRORS * error:
                continue
            for name, cost_ms in reported.items():
                costs[name] = costs.get(name, 0.0) + number * cost_ms
        usual_ms = max(sum(costs.values()), self._mean_cost_ms(below))
        if not error_ms <= MAX_RELATIVE_ERROR * usual_ms:
            return None
        largest = sorted(costs, key=lambda name: -costs[name])
        return {name: costs[name] for name in largest[: _cost_table.MAX_SERVICES]}

    def _mean_cost_ms(self, below: _cost_table.CostTable) -> float:
        """Return the mean slot time, at all services, of a request at the target."""
        ends = sum(kind.ends for kind in self.kinds.values())
        cost_ms = sum(kind.exposure_ms for kind in self.kinds.values())
        for call, found in self.calls.items():
            cost_ms += found.count * sum((below.find(call) or {}).values())
        return cost_ms / ends if ends else 0.0

    def advance(self) -> None:
        """Add the running time since the last event, and let the sums decay."""
        now_ms = self.clock.now_ms()
        elapsed_ms = now_ms - self.advanced_at_ms
        if elapsed_ms <= 0.0:
            return
        self.advanced_at_ms = now_ms
        if self.is_paused():
            return
        decay = math.exp(-elapsed_ms / TIME_CONSTANT_MS)
        for kind in self.kinds.values():
            kind.exposure_ms = kind.exposure_ms * decay + kind.running * elapsed_ms
            kind.ends *= decay
        for found in self.calls.values():
            found.count *= decay

    def update_if_due(self) -> None:
        """Fit the rates of one kind of calls again, if the last time is long ago."""
        self.advance()
        interval_ms = UPDATE_INTERVAL_MS / max(len(self.calls), 1)
        if self.advanced_at_ms - self.updated_at_ms < interval_ms:
            return
        self.updated_at_ms = self.advanced_at_ms
        self._forget_unused()
        if not self.calls:
            return
        kind = next(iter(self.calls))
        # The others follow in turn.
        found = self.calls[kind] = self.calls.pop(kind)
        self._fit(found)

    def _forget_unused(self) -> None:
        for name in [n for n, kind in self.kinds.items() if not kind.running]:
            if self.kinds[name].exposure_ms < MIN_EXPOSURE_MS:
                del self.kinds[name]
        for name in [n for n, found in self.calls.items() if found.count < MIN_CALLS]:
            del self.calls[name]

    def _fit(self, found: _nested_calls.NestedCalls) -> None:
        exposures = {
            name: kind.exposure_ms
            for name, kind in self.kinds.items()
            if kind.exposure_ms > MIN_EXPOSURE_MS
        }
        if not exposures or not found.events:
            return
        fitted, names = _fit_sample.pool_kinds(exposures)
        events = [
            _weighted_call.WeightedCall(
                math.exp((event.at_ms - self.advanced_at_ms) / TIME_CONSTANT_MS),
                _fit_sample.count_running(event.running, names),
            )
            for event in _fit_sample.thin_out(found.events, len(fitted))
        ]
        start = found.count / sum(exposures.values())
        fit = _rate_fit.refine_rates(
            {name: found.per_ms.get(name, start) for name in fitted},
            fitted,
            events,
            found.count,
        )
        found.per_ms, found.errors = fit.rates, fit.errors
        found.errors.pop(_fit_sample.OTHER_KINDS, None)
