"""Moving averages of the run times of calls."""

import attrs

from jujubetiller.limits import _kind_baselines, _run_window

_CLIPPED_RATIO = 3.0
"""Bound on one call against the present average, as a few take many times as long."""

_SAMPLE_WEIGHT = 0.05
"""Weight of a new sample in the moving averages."""

_MAX_RUN_RATIO = 4.0
"""Bound on the run time of one call against the average, which sets window lengths."""

_FASTER_RATIO = 0.9
"""Below this the target is faster than its baselines, as after a cold start."""


@attrs.define
class RunAverages:
    """The run time of calls, also relative to the baselines of their kinds."""

    baselines: _kind_baselines.KindBaselines = attrs.Factory(
        _kind_baselines.KindBaselines
    )
    run_ms: float = 0.0
    smoothed_ratio: float = 1.0
    """Relative run time; faster calls count as 1."""

    def add(self, kind: str, run_ms: float, is_low: bool) -> float:
        """Add a call that succeeded, and return its bounded relative run time.

        ``is_low`` says that few calls were in progress, so that it ran undisturbed.
        """
        ratio = self.baselines.record(kind, run_ms, is_low)
        ratio = min(ratio, _CLIPPED_RATIO * self.smoothed_ratio)
        self.smoothed_ratio += _SAMPLE_WEIGHT * (max(1.0, ratio) - self.smoothed_ratio)
        run_ms = min(run_ms, _MAX_RUN_RATIO * self.run_ms + 1.0)
        self.run_ms += _SAMPLE_WEIGHT * (run_ms - self.run_ms)
        return ratio

    def correct_baselines(self, window: _run_window.RunWindow) -> float:
        """Return the relative run time of a window.

        Baselines that are too high are lowered to it, so that it is 1.
        """
        ratio = window.ratio()
        if ratio < _FASTER_RATIO and window.samples >= _run_window.MIN_SAMPLES:
            self.baselines.scale(ratio)
            return 1.0
        return ratio
