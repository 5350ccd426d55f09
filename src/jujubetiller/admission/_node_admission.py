"""The part of one node in admission by cost."""

import math
import random

import attrs
import logbook

from jujubetiller import calls, clock, limits
from jujubetiller.admission import (
    _cost_estimator,
    _cost_table,
    _entry_admission,
    _load_reports,
    _target_load,
)

_LOG = logbook.Logger("jujubetiller.admission")

LOG_INTERVAL_MS = 1_000.0

ANSWERS_PER_COST_REPORT = 8
"""Unchanged costs go with one of this many answers of their kind."""

CHANGED_SHARE = 0.2
"""Costs that change by more than this share go with more answers at once."""

ANSWERS_AFTER_CHANGE = 64
"""Answers that report a change: about one to each node of a deployment."""

COMPUTE_INTERVAL_MS = 500.0

KEPT_UNKNOWN_MS = 5_000.0
"""Costs that have become unknown are reported for this long: an estimate at the bound
of its error is known and unknown in turn."""

MAX_USEFUL_WAIT_MS = 400.0
"""The queue is kept to what the target works off in this time, by evicting the least
important calls: callers of later ones would mostly have given up."""

MIN_QUEUE_LENGTH = 4

MAX_AGE_BELOW_MS = 400.0
"""Reports about services below are handed up until this age. It is shorter than the age
at the entry, because each hop starts it anew."""


@attrs.define
class _Reported:
    """What answers report about one kind."""

    costs: tuple[tuple[str, float], ...] = ()
    reported_costs: tuple[tuple[str, float], ...] = ()
    computed_at_ms: float = -math.inf
    known_at_ms: float = -math.inf
    answers: int = 0
    answers_after_change: int = 0


class NodeAdmission(limits.GuardObserver):
    """Learns costs and loads at the node's target, and decides about requests.

    It observes ``guard``, which must be unused, and replaces its queue by a fair one
    that it bounds. ``service`` is the one of the node's target.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        random_source: random.Random,
        guard: limits.TargetGuard,
        service: str,
    ) -> None:
        self.clock = time_source
        self.guard = guard
        self.service = service
        self.costs = _cost_table.CostTable(time_source)
        self.reports = _load_reports.LoadReports(time_source)
        self.reports_below = _load_reports.LoadReports(time_source, MAX_AGE_BELOW_MS)
        """Reports of answers to calls of the own target. Only these are handed up:
        reports about other services would pass from node to node without end."""

        self.entry = _entry_admission.EntryAdmission(
            time_source, random_source, self.costs, self.reports
        )
        self.estimator = _cost_estimator.CostEstimator(time_source, random_source)
        self.load = _target_load.TargetLoad(time_source)
        self.reported: dict[str, _Reported] = {}
        self.logged_at_ms = time_source.now_ms()
        guard.queue = limits.FairAdmissionQueue(guard.queue.capacity)
        guard.observer = self

    def offered(self, entry: limits.GuardEntry) -> None:
        """Count the slot time that a submitted entry needs."""
        run_ms = self.estimator.mean_run_ms(entry.kind) or self.guard.mean_run_ms
        self.load.record_offer(run_ms)
        if self.load.is_due():
            self.close_window()

    def started(self, entry: limits.GuardEntry) -> None:
        """Count an entry that starts at the target."""
        self.estimator.record_start(entry.kind)

    def ended(self, entry: limits.GuardEntry, succeeded: bool | None) -> None:
        """Count an entry that ends; ``succeeded`` is None if its caller cancelled."""
        run_ms = self.clock.now_ms() - entry.started_at_ms
        is_success = bool(succeeded) and not entry.has_failed
        self.estimator.record_end(entry.kind, run_ms, is_success)
        if succeeded is not None:
            self.load.record_end(not entry.was_shed)
        if self.load.is_due():
            self.close_window()

    def close_window(self) -> None:
        """Compute the load factor, and bound the queue by the time that it takes."""
        guard = self.guard
        # Entry nodes would refuse requests because of a lower limit on trial.
        limit = guard.reported_limit
        # Calls that a rate limit refuses take no slot time.
        is_rate_limited = guard.rate_limit.per_s is not None
        self.load.close_window(
            limit,
            guard.queue_length,
            guard.mean_run_ms,
            guard.rate_limiter.admitted_share() if is_rate_limited else math.inf,
        )
        if guard.mean_run_ms > 0.0:
            useful = int(MAX_USEFUL_WAIT_MS * limit / guard.mean_run_ms)
            guard.queue.capacity = min(
                guard.settings.queue_length, max(useful, MIN_QUEUE_LENGTH)
            )
        self.log_overload()

    def log_overload(self) -> None:
        """Write, once a second, that the target is offered more than it takes."""
        now_ms = self.clock.now_ms()
        if self.load.factor >= 1.0 or now_ms - self.logged_at_ms < LOG_INTERVAL_MS:
            return
        self.logged_at_ms = now_ms
        _LOG.info(
            "target is offered more than it takes",
            extra={
                "load": round(self.load.load, 3),
                "factor": round(self.load.factor, 3),
                "shed_share": round(self.load.shed_share, 3),
                "limit": self.guard.limit,
                "queue_length": self.guard.queue_length,
                "run_ms": round(self.guard.mean_run_ms, 1),
                "rate_limit_per_s": self.guard.rate_limit.per_s,
            },
        )

    def record_answer(
        self, kind: str, answer: calls.CallAnswer, is_nested: bool
    ) -> None:
        """Record what the answer to a call of ``kind`` reports.

        ``is_nested`` says that the own target sent the call.
        """
        self.costs.record(kind, answer.costs)
        for service, factor in answer.loads:
            self.reports.record(service, factor)
            if is_nested:
                self.reports_below.record(service, factor)

    def add_to_answer(self, kind: str, answer: calls.CallAnswer) -> None:
        """Report loads, and now and then the costs of ``kind``, with an answer."""
        if self.load.is_due():
            self.close_window()
        loads = self.reports_below.read()
        own = self.load.read()
        if own is not None:
            loads[self.service] = own
        else:
            loads.pop(self.service, None)
        answer.loads = tuple(loads.items())
        answer.costs = self.choose_costs(kind)

    def choose_costs(self, kind: str) -> tuple[tuple[str, float], ...]:
        """Return the costs that the next answer to a call of ``kind`` reports."""
        found = self._find_reported(kind)
        if self.clock.now_ms() - found.computed_at_ms >= COMPUTE_INTERVAL_MS:
            self._refresh(kind, found)
        return found.costs if self._is_sent_now(found) else ()

    def _find_reported(self, kind: str) -> _Reported:
        """Return what is reported about a kind; a new kind may replace the oldest."""
        found = self.reported.get(kind)
        if found is None:
            if len(self.reported) >= _cost_estimator.MAX_KINDS:
                self.reported.pop(next(iter(self.reported)))
            found = self.reported[kind] = _Reported()
        return found

    def _refresh(self, kind: str, found: _Reported) -> None:
        """Estimate the costs of a kind again, and log a change."""
        found.computed_at_ms = self.clock.now_ms()
        costs = self.estimator.estimate(self.service, kind, self.costs)
        if costs is not None:
            found.known_at_ms = found.computed_at_ms
            found.costs = tuple((name, round(ms, 2)) for name, ms in costs.items())
        elif found.computed_at_ms - found.known_at_ms > KEPT_UNKNOWN_MS:
            found.costs = ()
        if has_changed(found.reported_costs, found.costs):
            _LOG.info(
                "costs of a kind changed",
                extra={
                    "kind": kind,
                    "costs_ms": dict(found.costs),
                    "before_ms": dict(found.reported_costs),
                },
            )
            found.reported_costs = found.costs
            found.answers_after_change = ANSWERS_AFTER_CHANGE

    def _is_sent_now(self, found: _Reported) -> bool:
        """Count an answer, and return whether the costs go with it."""
        found.answers += 1
        if found.answers_after_change:
            found.answers_after_change -= 1
            return True
        return found.answers % ANSWERS_PER_COST_REPORT == 0

    def read_counters(self) -> dict[str, float]:
        """Return the numbers of refusals and of what bounds left out, for metrics."""
        return {
            "refused": self.entry.refused,
            "offers_over_bound": self.entry.over_bound,
            "kinds_over_bound": self.estimator.over_bound,
            "costs_evicted": self.costs.evicted,
            "loads_evicted": self.reports.evicted,
        }

    def read_gauges(self) -> dict[str, float]:
        """Return the load and the admitted fractions, for metrics."""
        fractions = {
            f"admitted_{service}": fraction
            for service, fraction in self.entry.fractions.items()
        }
        return {
            "target_load": self.load.load,
            "target_load_factor": self.load.factor,
            "target_shed_share": self.load.shed_share,
            **fractions,
        }


def has_changed(
    old: tuple[tuple[str, float], ...], new: tuple[tuple[str, float], ...]
) -> bool:
    """Return whether a cost differs by more than ``CHANGED_SHARE``."""
    before, after = dict(old), dict(new)
    return any(
        abs(before.get(name, 0.0) - after.get(name, 0.0))
        > CHANGED_SHARE * max(before.get(name, 0.0), after.get(name, 0.0))
        for name in before.keys() | after.keys()
    )
