"""Run times of calls at low concurrency, by request kind."""

import attrs

MAX_KINDS = 256

_FIRST_SAMPLES = 8
"""The first calls of a kind set its baseline at any concurrency."""

_SAMPLE_WEIGHT = 0.03
_CLIPPED_RATIO = 3.0


@attrs.define
class _Baseline:
    run_ms: float
    samples: int = 1


class KindBaselines:
    """Keeps the average run time of each kind while few calls run.

    Kinds beyond ``MAX_KINDS`` share the baseline of ``""``.
    """

    def __init__(self) -> None:
        self.by_kind: dict[str, _Baseline] = {}
        self.over_bound = 0
        """Samples of kinds beyond the bound."""

    def record(self, kind: str, run_ms: float, is_low: bool) -> float:
        """Add a call and return its run time relative to the baseline.

        ``is_low`` tells whether few calls ran at once.
        """
        baseline = self.by_kind.get(kind)
        if baseline is None:
            if len(self.by_kind) >= MAX_KINDS:
                kind = ""
                self.over_bound += 1
            baseline = self.by_kind.get(kind)
        if baseline is None:
            self.by_kind[kind] = _Baseline(max(run_ms, 0.1))
            return 1.0
        ratio = run_ms / baseline.run_ms
        is_first = baseline.samples < _FIRST_SAMPLES
        if is_low or is_first:
            baseline.samples += 1
            weight = 1.0 / baseline.samples if is_first else _SAMPLE_WEIGHT
            clipped = min(ratio, _CLIPPED_RATIO) - 1.0
            baseline.run_ms = max(0.1, baseline.run_ms * (1.0 + weight * clipped))
        return ratio

    def scale(self, factor: float) -> None:
        """Multiply all baselines, after the target's speed has changed."""
        for baseline in self.by_kind.values():
            baseline.run_ms = max(0.1, baseline.run_ms * factor)
