"""A limit learned from throughput against concurrency."""

import math
import statistics

from jujubetiller.limits import (
    _latency_sample,
    _limit_change_log,
    _limit_policy,
    _limit_trial,
    _run_averages,
    _run_window,
)

START_SHARE = 0.5
"""A target that has just started takes fewer calls well."""

ELEVATED_RATIO = 1.25
"""Relative run time from which a lower limit is tried."""

_ELEVATED_MS = 800.0
"""How long run times must be higher before a trial: short slow-downs need none."""

_TRIAL_SHARE = 0.75
"""The lower limit of a trial. A difference of a tenth would take more samples than
a small target delivers in a second."""

_MIN_GAIN = 0.35
"""The limit is lowered if throughput gains less than this share of what the higher
limit has more: a slower machine gains all of it, a saturated target gains nothing."""

_CLEAR_GAIN = 0.6
"""From this share on, one comparison ends the trial."""

_TRIAL_PAIRS = 2
"""Comparisons after which a trial ends, whatever they show."""

_CEILING_SHARE = 0.92
_CEILING_MS = 1_500.0
"""How long the limit stays below a value that showed no gain, so that a target that
recovers gets more calls after about 2 s."""

_RECHECK_MS = 10_000.0
"""Pause between trials while run times stay at an accepted higher value."""

_GROWTH = 1.25
_FIRST_GROWTH = 1.5
"""Growth in each window until run times rise for the first time."""

_BUSY_SHARE = 0.85

_LOW_SHARE = 0.5
"""Share of the slots up to which calls in progress count as few."""

_GROWTH_MS = 400.0
_MIN_ENDED = 2
"""Until run times rise for the first time, a reached limit also grows after this time
if this many calls ended: long calls give samples after seconds only, and a limit that
is too low costs throughput until then."""

_RECHECK_WINDOWS = 25.0
"""The pause between trials is at least this many windows, so that trials, whose lower
limit lasts up to 6 windows, cost long calls no more than short ones."""


class LearnedLimitPolicy(_limit_policy.LimitPolicy):
    """Lowers the limit only where that costs no throughput.

    When run times rise above the baselines of their kinds while the limit is reached,
    the limit alternates between its value and a lower one for a few run times. If the
    throughput of the higher value is not greater, the limit is beyond the knee and is
    lowered. If it is greater, the machine or the calls that the target makes have
    become slower, and the run time is accepted. So time in nested calls needs no
    special treatment: fewer calls at once lower the throughput when it dominates.
    """

    def __init__(self, lowest: int, highest: int) -> None:
        super().__init__(lowest, highest)
        self.limit = self._start_limit()
        self.has_samples = False
        self.averages = _run_averages.RunAverages()
        self.accepted_ratio = 1.0
        """Relative run time that a lower limit does not improve."""

        self.ceiling = float(highest)
        self.ceiling_until_ms = 0.0
        self.recheck_at_ms = 0.0
        self.elevated_since_ms = math.inf
        """When run times became higher while the limit was reached."""

        self.trial: _limit_trial.LimitTrial | None = None
        self.window = _run_window.start_window(0.0, 0.0)
        self.trials = 0
        self.lowered = 0
        self.log = _limit_change_log.LimitChangeLog(self.limit)

    def current_limit(self) -> int:
        """Return the limit, from ``lowest`` to ``highest``."""
        return int(self.limit)

    def reported_limit(self) -> int:
        """Return the limit, during a trial its higher value.

        A trial needs the calls that the higher limit takes. If callers were told the
        lower one, they would send fewer, and calls would leave the zone.
        """
        return int(self.limit if self.trial is None else self.trial.high)

    def set_highest(self, highest: int) -> None:
        """Change the number of slots, which the limit never exceeds."""
        super().set_highest(highest)
        self.ceiling = min(self.ceiling, float(highest))
        if not self.has_samples:
            self.limit = self.log.limit = self._start_limit()
            self.ceiling = float(highest)
        elif self.trial is not None and self.trial.high > highest:
            self._end_trial(min(self.trial.low, float(highest)))
        self.limit = min(self.limit, float(highest))

    def record(self, sample: _latency_sample.LatencySample) -> None:
        """Adjust the limit by one sample."""
        now_ms, run_ms = sample.at_ms, sample.run_ms
        if not self.has_samples:
            self.has_samples = True
            self.averages.run_ms = run_ms
            self.window = _run_window.start_window(now_ms - run_ms, run_ms)
        ratio = 1.0
        if sample.succeeded:
            is_low = sample.in_flight <= max(2.0, _LOW_SHARE * self.highest)
            ratio = self.averages.add(sample.kind, run_ms, is_low)
        self.window.add_ended(sample.in_flight)
        if now_ms - run_ms >= self.window.started_at_ms:
            self.window.add(ratio, sample.in_flight, sample.succeeded)
        self._advance_window(now_ms)

    def _advance_window(self, now_ms: float) -> None:
        """End the window, and change the limit, if it is time to."""
        window, trial = self.window, self.trial
        if window.is_over(now_ms):
            self.window = _run_window.start_window(now_ms, self.averages.run_ms)
            if trial is None:
                if window.is_meaningful():
                    self._end_steady_window(window, now_ms)
            elif window.is_meaningful():
                self._end_trial_window(trial, window, now_ms)
            else:
                self._end_trial(trial.high)
        elif trial is not None and window.lacks_calls(now_ms, self._busy_in_flight()):
            self._end_trial(trial.high)
            self.window = _run_window.start_window(now_ms, self.averages.run_ms)
        elif not self.trials and self._may_raise_early(window, now_ms):
            self._raise_limit(self.averages.smoothed_ratio, window, now_ms)
            self.window = _run_window.start_window(now_ms, self.averages.run_ms)

    def _start_limit(self) -> float:
        return float(max(self.lowest, int(START_SHARE * self.highest)))

    def _busy_in_flight(self) -> float:
        """Return the calls in progress from which the limit counts as reached."""
        return _BUSY_SHARE * int(self.limit)

    def _may_raise_early(self, window: _run_window.RunWindow, now_ms: float) -> bool:
        """Return whether the limit is reached and nothing speaks against more."""
        return (
            self.limit < self.highest
            and now_ms - window.started_at_ms >= _GROWTH_MS
            and window.ended >= _MIN_ENDED
            and window.ended_in_flight() >= self._busy_in_flight()
            and self.averages.smoothed_ratio <= ELEVATED_RATIO * self.accepted_ratio
        )

    def _end_steady_window(self, window: _run_window.RunWindow, now_ms: float) -> None:
        ratio = self.averages.correct_baselines(window)
        if ratio < self.accepted_ratio:
            self.accepted_ratio = max(1.0, (self.accepted_ratio + ratio) / 2.0)
        if window.in_flight() < self._busy_in_flight():
            return
        is_elevated = ratio > ELEVATED_RATIO * self.accepted_ratio or (
            ratio > ELEVATED_RATIO and now_ms >= self.recheck_at_ms
        )
        if not is_elevated:
            self.elevated_since_ms = math.inf
            self._raise_limit(ratio, window, now_ms)
            return
        self.elevated_since_ms = min(self.elevated_since_ms, window.started_at_ms)
        if now_ms - self.elevated_since_ms >= _ELEVATED_MS:
            self._begin_trial(ratio)

    def _raise_limit(
        self, ratio: float, window: _run_window.RunWindow, now_ms: float
    ) -> None:
        highest = float(self.highest)
        if now_ms < self.ceiling_until_ms:
            highest = min(highest, self.ceiling)
        if self.limit < highest:
            growth = _GROWTH if self.trials else _FIRST_GROWTH
            self.limit = min(highest, max(self.limit + 1.0, self.limit * growth))
            self._log("raised", (ratio, ratio), window, now_ms)

    def _begin_trial(self, ratio: float) -> None:
        """Compare with a lower limit, if there is one."""
        high = float(int(self.limit))
        low = max(float(self.lowest), min(high - 1.0, float(int(high * _TRIAL_SHARE))))
        if low >= high:
            return
        self.trials += 1
        self.trial = _limit_trial.LimitTrial(high, low, [ratio])
        self.limit = low

    def _end_trial(self, limit: float) -> None:
        self.trial = None
        self.elevated_since_ms = math.inf
        self.limit = max(float(self.lowest), min(float(self.highest), limit))

    def _end_trial_window(
        self,
        trial: _limit_trial.LimitTrial,
        window: _run_window.RunWindow,
        now_ms: float,
    ) -> None:
        if window.in_flight() < self._busy_in_flight():
            # Too few calls for the limit: the comparison shows nothing.
            self._end_trial(trial.high)
            return
        trial.add(window.ratio())
        if trial.is_low_next():
            self.limit = trial.low
            if trial.high_ratios[-1] <= ELEVATED_RATIO * self.accepted_ratio:
                # The slow-down has ended during the trial.
                self._end_trial(trial.high)
            return
        self.limit = trial.high
        if trial.latest_gain() > _CLEAR_GAIN:
            self._accept(trial, window, now_ms)
        elif len(trial.low_ratios) >= _TRIAL_PAIRS:
            if trial.mean_gain() < _MIN_GAIN:
                self._lower(trial, window, now_ms)
            else:
                self._accept(trial, window, now_ms)

    def _accept(
        self,
        trial: _limit_trial.LimitTrial,
        window: _run_window.RunWindow,
        now_ms: float,
    ) -> None:
        """Keep the limit, because a lower one costs throughput."""
        ratios = trial.high_ratios[-1], trial.low_ratios[-1]
        self.accepted_ratio = max(1.0, ratios[0])
        self.recheck_at_ms = now_ms + max(
            _RECHECK_MS, _RECHECK_WINDOWS * window.length_ms
        )
        self._end_trial(trial.high)
        self._log("kept", ratios, window, now_ms)

    def _lower(
        self,
        trial: _limit_trial.LimitTrial,
        window: _run_window.RunWindow,
        now_ms: float,
    ) -> None:
        """Lower the limit to where throughput is as high as with the present one."""
        high_ratio = statistics.fmean(trial.high_ratios)
        low_ratio = statistics.fmean(trial.low_ratios)
        same = trial.high * low_ratio / high_ratio
        self.ceiling = max(trial.low, trial.high * _CEILING_SHARE)
        self.ceiling_until_ms = now_ms + _CEILING_MS
        self.lowered += 1
        self._end_trial(max(trial.low, min(same, self.ceiling)))
        self._log("lowered", (high_ratio, low_ratio), window, now_ms)

    def _log(
        self,
        change: str,
        ratios: tuple[float, float],
        window: _run_window.RunWindow,
        now_ms: float,
    ) -> None:
        self.log.record(
            change,
            self.limit,
            self.highest,
            ratios,
            self.accepted_ratio,
            window,
            now_ms,
        )

    def read_values(self) -> dict[str, float]:
        """Return the learned values for metrics."""
        return {
            "limit": self.current_limit(),
            "slots": self.highest,
            "relative_run_time": self.averages.smoothed_ratio,
            "accepted_run_time": self.accepted_ratio,
            "trials": self.trials,
            "lowered": self.lowered,
            "kinds_over_bound": self.averages.baselines.over_bound,
        }
