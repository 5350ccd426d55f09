"""A limit learned from throughput against concurrency."""

import math
from collections.abc import Callable

import logbook

from jujubetiller.limits import (
    _kind_baselines,
    _latency_sample,
    _limit_policy,
    _run_window,
)

_LOG = logbook.Logger("jujubetiller.limits")

START_SHARE = 0.5
"""A target that has just started takes fewer calls well."""

ELEVATED_RATIO = 1.25
"""Relative run time from which a lower limit is tried."""

_ELEVATED_MS = 800.0
"""How long run times must be higher before a trial: targets turn slower for 600 ms."""

_TRIAL_SHARE = 0.75
"""The lower limit of a trial. A difference of a tenth would take more samples than
a small target delivers in a second."""

_KNEE_GAIN = 0.35
"""The limit is lowered if throughput gains less than this share of what the higher
limit has more: a slower machine gains all of it, a knee nothing."""

_CLEAR_GAIN = 0.6
"""From this share on, one comparison ends the trial."""

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

_CLIPPED_RATIO = 3.0
"""Bound on one call against the present average: 3% take seven times as long."""

_WINDOW_RUNS = 3.0
_MIN_WINDOW_MS = 50.0
_MAX_WINDOW_MS = 400.0
_LEAST_WINDOW_RUNS = 1.5
"""Windows are longer than 400 ms if calls are: only those that start and end inside
count."""

_GROWTH_MS = 400.0
_FEWEST_ENDED = 2
"""Until run times rise for the first time, a reached limit also grows after this time
if this many calls ended: long calls give samples after seconds only, and a limit that
is too low costs throughput until then."""

_RECHECK_WINDOWS = 25.0
"""The pause between trials is at least this many windows, so that trials, whose lower
limit lasts up to 6 windows, cost long calls no more than short ones."""

_FASTER_RATIO = 0.9
"""Below this the target is faster than its baselines, as after a cold start."""

LOG_STEP = 0.2
LOG_INTERVAL_MS = 1_000.0


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
        self.baselines = _kind_baselines.KindBaselines()
        self.run_ms = 0.0
        self.smoothed_ratio = 1.0
        self.accepted_ratio = 1.0
        """Relative run time that a lower limit does not improve."""

        self.ceiling = float(highest)
        self.ceiling_until_ms = 0.0
        self.recheck_at_ms = 0.0
        self.elevated_since_ms = math.inf
        """When run times became higher while the limit was reached."""

        self.high = 0.0
        self.low = 0.0
        """The two limits of a trial; 0 if there is none."""

        self.trial: list[float] = []
        """Relative run times of the trial: high, low, high, low."""

        self.window = _run_window.RunWindow(0.0, _MIN_WINDOW_MS)
        self.trials = 0
        self.lowered = 0
        self.logged_limit = self.limit
        self.logged_at_ms = 0.0
        self.handlers: dict[bool, Callable[[_run_window.RunWindow, float], None]] = {
            False: self._end_steady_window,
            True: self._end_trial_window,
        }

    def current_limit(self) -> int:
        """Return the limit, from ``lowest`` to ``highest``."""
        return int(self.limit)

    def reported_limit(self) -> int:
        """Return the limit, during a trial its higher value.

        A trial needs the calls that the higher limit takes. If callers were told the
        lower one, they would send fewer, and calls would leave the zone.
        """
        return int(self.high if self.trial else self.limit)

    def set_highest(self, highest: int) -> None:
        """Change the number of slots, which the limit never exceeds."""
        super().set_highest(highest)
        self.ceiling = min(self.ceiling, float(highest))
        if not self.has_samples:
            self.limit = self.logged_limit = self._start_limit()
            self.ceiling = float(highest)
        elif self.high > highest:
            self._end_trial(min(self.low, float(highest)))
        self.limit = min(self.limit, float(highest))

    def record(self, sample: _latency_sample.LatencySample) -> None:
        """Adjust the limit by one sample."""
        now_ms, run_ms = sample.at_ms, sample.run_ms
        if not self.has_samples:
            self.has_samples = True
            self.run_ms = run_ms
            self._start_window(now_ms - run_ms)
        ratio = 1.0
        if sample.succeeded:
            is_low = sample.in_flight <= max(2.0, _LOW_SHARE * self.highest)
            ratio = self.baselines.record(sample.kind, run_ms, is_low)
            ratio = min(ratio, _CLIPPED_RATIO * self.smoothed_ratio)
            self.smoothed_ratio += 0.05 * (max(1.0, ratio) - self.smoothed_ratio)
            self.run_ms += 0.05 * (min(run_ms, 4.0 * self.run_ms + 1.0) - self.run_ms)
        window = self.window
        window.add_ended(sample.in_flight)
        if now_ms - run_ms >= window.started_at_ms:
            window.add(ratio, sample.in_flight, sample.succeeded)
        if window.is_over(now_ms):
            self._start_window(now_ms)
            if window.is_meaningful():
                self.handlers[bool(self.trial)](window, now_ms)
            elif self.trial:
                self._end_trial(self.high)
        elif self.trial and window.lacks_calls(now_ms, _BUSY_SHARE * int(self.limit)):
            self._end_trial(self.high)
            self._start_window(now_ms)
        elif not self.trials and self._may_grow_early(window, now_ms):
            self._grow(self.smoothed_ratio, window, now_ms)
            self._start_window(now_ms)

    def _start_limit(self) -> float:
        return float(max(self.lowest, int(START_SHARE * self.highest)))

    def _start_window(self, now_ms: float) -> None:
        longest_ms = max(_MAX_WINDOW_MS, _LEAST_WINDOW_RUNS * self.run_ms)
        length_ms = max(_MIN_WINDOW_MS, min(longest_ms, _WINDOW_RUNS * self.run_ms))
        self.window = _run_window.RunWindow(now_ms, length_ms)

    def _may_grow_early(self, window: _run_window.RunWindow, now_ms: float) -> bool:
        """Return whether the limit is reached and nothing speaks against more."""
        return (
            self.limit < self.highest
            and now_ms - window.started_at_ms >= _GROWTH_MS
            and window.ended >= _FEWEST_ENDED
            and window.ended_in_flight() >= _BUSY_SHARE * int(self.limit)
            and self.smoothed_ratio <= ELEVATED_RATIO * self.accepted_ratio
        )

    def _is_busy(self, window: _run_window.RunWindow) -> bool:
        """Return whether the limit was reached during most of the window."""
        return window.in_flight() >= _BUSY_SHARE * int(self.limit)

    def _end_steady_window(self, window: _run_window.RunWindow, now_ms: float) -> None:
        ratio = window.ratio()
        if ratio < _FASTER_RATIO and window.samples >= _run_window.MIN_SAMPLES:
            self.baselines.scale(ratio)
            ratio = 1.0
        if ratio < self.accepted_ratio:
            self.accepted_ratio = max(1.0, (self.accepted_ratio + ratio) / 2.0)
        if not self._is_busy(window):
            return
        is_elevated = ratio > ELEVATED_RATIO * self.accepted_ratio or (
            ratio > ELEVATED_RATIO and now_ms >= self.recheck_at_ms
        )
        if not is_elevated:
            self.elevated_since_ms = math.inf
            self._grow(ratio, window, now_ms)
            return
        self.elevated_since_ms = min(self.elevated_since_ms, window.started_at_ms)
        if now_ms - self.elevated_since_ms >= _ELEVATED_MS:
            self._begin_trial(ratio)

    def _grow(self, ratio: float, window: _run_window.RunWindow, now_ms: float) -> None:
        highest = float(self.highest)
        if now_ms < self.ceiling_until_ms:
            highest = min(highest, self.ceiling)
        if self.limit < highest:
            growth = _GROWTH if self.trials else _FIRST_GROWTH
            self.limit = min(highest, max(self.limit + 1.0, self.limit * growth))
            self._log("grows", now_ms, ratio, ratio, window)

    def _begin_trial(self, ratio: float) -> None:
        """Compare with a lower limit, if there is one."""
        high = float(int(self.limit))
        low = max(float(self.lowest), min(high - 1.0, float(int(high * _TRIAL_SHARE))))
        if low >= high:
            return
        self.trials += 1
        self.high, self.low = high, low
        self.trial = [ratio]
        self.limit = low

    def _end_trial(self, limit: float) -> None:
        self.trial = []
        self.elevated_since_ms = math.inf
        self.high = self.low = 0.0
        self.limit = max(float(self.lowest), min(float(self.highest), limit))

    def _end_trial_window(self, window: _run_window.RunWindow, now_ms: float) -> None:
        if not self._is_busy(window):
            # Too few calls for the limit: the comparison shows nothing.
            self._end_trial(self.high)
            return
        trial = self.trial
        trial.append(window.ratio())
        is_low = len(trial) % 2 == 0
        self.limit = self.high if is_low else self.low
        if not is_low:
            if trial[-1] <= ELEVATED_RATIO * self.accepted_ratio:
                # The slow-down has ended during the trial.
                self._end_trial(self.high)
            return
        gains = [self._gain(*pair) for pair in (trial[:2], trial[-2:])]
        if gains[1] > _CLEAR_GAIN:
            self._accept(now_ms, window)
        elif len(trial) >= 4:
            if sum(gains) / 2.0 < _KNEE_GAIN:
                self._lower(now_ms, window)
            else:
                self._accept(now_ms, window)

    def _gain(self, high_ratio: float, low_ratio: float) -> float:
        """Return what throughput gains by the higher limit, 1 for as much as it."""
        more = self.high / self.low
        return (more * low_ratio / high_ratio - 1.0) / (more - 1.0)

    def _accept(self, now_ms: float, window: _run_window.RunWindow) -> None:
        """Keep the limit: fewer calls at once would only be fewer."""
        high_ratio, low_ratio = self.trial[-2:]
        self.accepted_ratio = max(1.0, high_ratio)
        self.recheck_at_ms = now_ms + max(
            _RECHECK_MS, _RECHECK_WINDOWS * window.length_ms
        )
        self._end_trial(self.high)
        self._log("keeps", now_ms, high_ratio, low_ratio, window)

    def _lower(self, now_ms: float, window: _run_window.RunWindow) -> None:
        """Lower the limit to where throughput is as high as with the present one."""
        high_ratio = (self.trial[0] + self.trial[2]) / 2.0
        low_ratio = (self.trial[1] + self.trial[3]) / 2.0
        same = self.high * low_ratio / high_ratio
        self.ceiling = max(self.low, self.high * _CEILING_SHARE)
        self.ceiling_until_ms = now_ms + _CEILING_MS
        self.lowered += 1
        self._end_trial(max(self.low, min(same, self.ceiling)))
        self._log("lowered", now_ms, high_ratio, low_ratio, window)

    def _log(
        self,
        change: str,
        now_ms: float,
        high_ratio: float,
        low_ratio: float,
        window: _run_window.RunWindow,
    ) -> None:
        """Log a change beyond a step, with what it is based on."""
        step = abs(self.limit - self.logged_limit)
        if step < LOG_STEP * self.logged_limit or (
            now_ms - self.logged_at_ms < LOG_INTERVAL_MS
        ):
            return
        _LOG.info(
            "limit of the target changed",
            extra={
                "change": change,
                "limit": int(self.limit),
                "before": int(self.logged_limit),
                "slots": self.highest,
                "ratio": round(high_ratio, 2),
                "ratio_at_lower_limit": round(low_ratio, 2),
                "accepted_ratio": round(self.accepted_ratio, 2),
                "samples": window.samples,
                "age_ms": round(now_ms - window.started_at_ms, 1),
            },
        )
        self.logged_limit = self.limit
        self.logged_at_ms = now_ms

    def read_values(self) -> dict[str, float]:
        """Return the learned values for metrics."""
        return {
            "limit": self.current_limit(),
            "slots": self.highest,
            "relative_run_time": self.smoothed_ratio,
            "accepted_run_time": self.accepted_ratio,
            "trials": self.trials,
            "lowered": self.lowered,
            "kinds_over_bound": self.baselines.over_bound,
        }
