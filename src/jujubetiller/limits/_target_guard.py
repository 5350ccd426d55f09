"""The guard of a target."""

import collections

import attrs

from jujubetiller import clock, codes, settings
from jujubetiller.limits import (
    _admission_queue,
    _guard_entry,
    _guard_observer,
    _latency_sample,
    _limit_policy,
    _queue_order,
    _rank,
    _rate_limit,
    _rate_limiter,
    _rate_meter,
    _refusal_level,
    _run_time_estimates,
)

_State = _guard_entry.EntryState
_Code = codes.ResultCode

_RUN_WEIGHT = 0.05

RATE_TIME_CONSTANT_MS = 1_000.0

# Codes of refusals that show that this guard lacks room. Calls that the target itself
# shed, or that came too late for any instance, do not show that.
SHED_CODES = frozenset((_Code.QUEUE_FULL, _Code.QUEUE_EVICTED, _Code.QUEUE_DEADLINE))


class TargetGuard:
    """Limits the calls that run at the target to ``limit`` and queues further ones.

    ``limit``, ``in_flight``, ``queue_length`` and ``refusals`` (a counter by
    result code) may be read at any time.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        policy: _limit_policy.LimitPolicy,
        order: _queue_order.QueueOrder,
        limit_settings: settings.LimitSettings,
    ) -> None:
        self.clock = time_source
        self.policy = policy
        self.settings = limit_settings
        self.slots = limit_settings.slots
        self.limit = min(self.slots, policy.current_limit())
        self.in_flight = 0
        self.draining = False
        self.queue = _admission_queue.AdmissionQueue(order, limit_settings.queue_length)
        self.refusals: collections.Counter[codes.ResultCode] = collections.Counter()
        self.estimates = _run_time_estimates.RunTimeEstimates()
        self.refusal_level = _refusal_level.RefusalLevel()
        self.sample = _latency_sample.LatencySample()
        self.queue_nonempty_since_ms = 0.0
        self.mean_run_ms = 0.0
        """Moving average of the run time of calls of all kinds."""

        self.observer = _guard_observer.GuardObserver()
        self.is_starting = False
        self.rate_limit = _rate_limit.RateLimit(time_source)
        self.offers = _rate_meter.RateMeter(time_source, RATE_TIME_CONSTANT_MS)
        """Entries submitted to the guard."""

        self.starts = _rate_meter.RateMeter(time_source, RATE_TIME_CONSTANT_MS)
        """Entries started, each of them a request to the target."""

        self.rate_limiter = _rate_limiter.RateLimiter(
            time_source, self.rate_limit, self.offers
        )

    @property
    def queue_length(self) -> int:
        """Return the number of waiting entries."""
        return self.queue.length

    @property
    def reported_limit(self) -> int:
        """Return ``limit`` without a lower one that the policy only tries."""
        return min(self.slots, self.policy.reported_limit())

    def submit(self, entry: _guard_entry.GuardEntry) -> None:
        """Start, queue or refuse ``entry``."""
        now_ms = self.clock.now_ms()
        entry.enqueued_at_ms = now_ms
        self.offers.record()
        self.observer.offered(entry)
        if self.draining:
            self._refuse(entry, _Code.DRAINING, now_ms)
            return
        if now_ms >= entry.deadline.at_ms:
            self._refuse(entry, _Code.DEADLINE_SPENT, now_ms)
            return
        if not self._may_start(entry):
            self._refuse(entry, _Code.RATE_LIMITED, now_ms)
            return
        self.refusal_level.advance(now_ms)
        self.refusal_level.record_offer(entry.rank)
        if self.in_flight < self.limit and not self.queue.length:
            self._start(entry, now_ms)
            return
        self._enqueue(entry, now_ms)
        if not self.is_starting:
            self._start_waiting(now_ms)

    def finished(self, entry: _guard_entry.GuardEntry, succeeded: bool) -> None:
        """Release the slot of ``entry`` and start the next one.

        ``succeeded`` is False when the target shed the call, timed out or closed
        the connection. Repeated use for the same entry has no effect.
        """
        if entry.state is not _State.RUNNING:
            return
        now_ms = self.clock.now_ms()
        run_ms = now_ms - entry.started_at_ms
        entry.state = _State.ENDED
        sample = self.sample
        sample.at_ms = now_ms
        sample.run_ms = max(0.0, run_ms - entry.nested_ms)
        sample.kind = entry.kind
        sample.in_flight = self.in_flight
        sample.succeeded = succeeded
        self.in_flight -= 1
        if succeeded:
            self.estimates.record(entry.kind, run_ms, now_ms)
            self.mean_run_ms += _RUN_WEIGHT * (run_ms - self.mean_run_ms)
        self.policy.record(sample)
        self.observer.ended(entry, succeeded)
        self.limit = min(self.slots, self.policy.current_limit())
        if self.queue.length and not self.is_starting:
            self._start_waiting(now_ms)

    def abandoned(self, entry: _guard_entry.GuardEntry) -> None:
        """Release the slot of an entry that its caller cancelled while it ran.

        Its run time says nothing about the target, so the policy gets no sample.
        """
        if entry.state is not _State.RUNNING:
            return
        entry.state = _State.ENDED
        self.in_flight -= 1
        self.observer.ended(entry, None)
        if self.queue.length and not self.is_starting:
            self._start_waiting(self.clock.now_ms())

    def cancel(self, entry: _guard_entry.GuardEntry) -> bool:
        """Remove a waiting entry; return whether it was removed and so never starts.

        Neither ``start`` nor ``refuse`` is called for a removed entry.
        """
        if entry.state is not _State.QUEUED:
            return False
        self.queue.remove(entry)
        entry.drop_callbacks()
        entry.wait_ms = self.clock.now_ms() - entry.enqueued_at_ms
        return True

    def expire(self) -> None:
        """Refuse expired entries; to be called every few milliseconds."""
        now_ms = self.clock.now_ms()
        self.refusal_level.advance(now_ms)
        for entry in self.queue.pop_expired(now_ms):
            self._refuse(entry, _Code.QUEUE_DEADLINE, now_ms)

    def next_expiry_ms(self) -> float | None:
        """Return the time of the clock at which the next entry expires."""
        return self.queue.next_expiry_ms()

    def set_slots(self, slots: int) -> None:
        """Change the number of calls that the target can run at once."""
        self.slots = slots
        self.policy.set_highest(slots)
        self.limit = min(slots, self.policy.current_limit())
        if not self.is_starting:
            self._start_waiting(self.clock.now_ms())

    def set_policy(self, policy: _limit_policy.LimitPolicy) -> None:
        """Use ``policy`` and its number of slots from now on.

        Running entries continue even above the new limit; none starts until enough
        of them have ended.
        """
        self.policy = policy
        self.set_slots(policy.highest)

    def set_order(self, order: _queue_order.QueueOrder) -> None:
        """Start and evict waiting entries in ``order`` from now on."""
        self.queue.set_order(order)

    def set_queue_bounds(self, queue_length: int, queue_wait_ms: int) -> None:
        """Change the bounds of the queue for entries submitted from now on."""
        self.queue.capacity = queue_length
        self.settings = attrs.evolve(
            self.settings, queue_length=queue_length, queue_wait_ms=queue_wait_ms
        )

    def drain(self) -> None:
        """Refuse new entries from now on; waiting and running ones continue."""
        self.draining = True

    def pressure_level(self) -> int | None:
        """Return the rank above which entry nodes refuse calls, if any."""
        self.refusal_level.advance(self.clock.now_ms())
        return self.refusal_level.level

    def describe_rates(self) -> dict[str, float]:
        """Return the rates of offered and started entries, for logs."""
        return {
            "offered_per_s": round(self.offers.per_s(), 1),
            "started_per_s": round(self.starts.per_s(), 1),
        }

    def is_congested(self, now_ms: float) -> bool:
        """Return whether the queue has held entries for ``congestion_interval_ms``."""
        return (
            self.queue.length > 0
            and now_ms - self.queue_nonempty_since_ms
            > self.settings.congestion_interval_ms
        )

    def _enqueue(self, entry: _guard_entry.GuardEntry, now_ms: float) -> None:
        if not self.queue.length:
            self.queue_nonempty_since_ms = now_ms
        longest_wait_ms = self.settings.queue_wait_ms
        level = self.refusal_level.level
        # A refused nested call would waste the work of the request that waits for it.
        fits = level is None or entry.rank <= level or entry.is_nested
        if not fits and self.is_congested(now_ms):
            longest_wait_ms = min(longest_wait_ms, self.settings.congested_wait_ms)
        entry.expires_at_ms = min(
            now_ms + longest_wait_ms,
            entry.deadline.at_ms - self.estimates.low_estimate_ms(entry.kind, now_ms),
        )
        if entry.expires_at_ms <= now_ms:
            self._refuse(entry, _Code.QUEUE_DEADLINE, now_ms)
            return
        evicted = self.queue.push(entry)
        if evicted is entry:
            self._refuse(entry, _Code.QUEUE_FULL, now_ms)
        elif evicted is not None:
            self._refuse(evicted, _Code.QUEUE_EVICTED, now_ms)

    def _start_waiting(self, now_ms: float) -> None:
        # A callback may submit or finish entries; this loop then starts the next ones
        # instead of a nested one, so that the depth of the stack stays bounded.
        self.is_starting = True
        try:
            while self.in_flight < self.limit:
                entry = self.queue.pop(self.is_congested(now_ms))
                if entry is None:
                    break
                low_estimate_ms = self.estimates.low_estimate_ms(entry.kind, now_ms)
                if (
                    now_ms >= entry.expires_at_ms
                    or now_ms + low_estimate_ms > entry.deadline.at_ms
                ):
                    self._refuse(entry, _Code.QUEUE_DEADLINE, now_ms)
                elif not self._may_start(entry):
                    self._refuse(entry, _Code.RATE_LIMITED, now_ms)
                else:
                    self._start(entry, now_ms)
        finally:
            self.is_starting = False

    def _may_start(self, entry: _guard_entry.GuardEntry) -> bool:
        """Return whether the target's rate limit lets the entry start now.

        A caller at the target of another service waits for a call below it in the
        tree, so such calls count as most important.
        """
        priority_class = 0 if entry.depth else entry.rank // _rank.RANKS_PER_CLASS
        return self.rate_limiter.may_start(priority_class)

    def _start(self, entry: _guard_entry.GuardEntry, now_ms: float) -> None:
        entry.state = _State.RUNNING
        entry.started_at_ms = now_ms
        entry.wait_ms = now_ms - entry.enqueued_at_ms
        self.in_flight += 1
        self.starts.record()
        self.rate_limiter.record_start()
        self.refusal_level.record_start()
        self.observer.started(entry)
        entry.call_start()

    def _refuse(
        self, entry: _guard_entry.GuardEntry, code: codes.ResultCode, now_ms: float
    ) -> None:
        entry.state = _State.ENDED
        entry.wait_ms = now_ms - entry.enqueued_at_ms
        self.refusals[code] += 1
        if code in SHED_CODES:
            self.refusal_level.record_refusal(entry.rank)
        entry.call_refuse(code)
