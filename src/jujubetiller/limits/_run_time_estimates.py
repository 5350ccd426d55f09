"""Low estimates of the run time of calls, by request kind."""

_MAX_KINDS = 256
_MAX_AGE_MS = 1_000.0


class RunTimeEstimates:
    """Estimates run times by kind as the smoothed run time minus its deviation.

    The estimate is deliberately low, so that an entry is refused because of it only
    when the entry could hardly finish in time. Kinds beyond ``max_kinds`` share the
    estimate of ``""``.
    """

    def __init__(self, max_kinds: int = _MAX_KINDS) -> None:
        self.max_kinds = max_kinds
        # Smoothed run time, smoothed deviation, and when these count as unknown.
        self.by_kind: dict[str, list[float]] = {"": [0.0, 0.0, 0.0]}

    def record(self, kind: str, run_ms: float, now_ms: float) -> None:
        """Record the run time of a call that succeeded."""
        values = self.by_kind.get(kind)
        if values is None:
            if len(self.by_kind) >= self.max_kinds:
                kind = ""
            values = self.by_kind.setdefault(kind, [0.0, 0.0, 0.0])
        if values[2] == 0.0:
            values[0] = run_ms
            values[1] = run_ms / 2
        else:
            difference = run_ms - values[0]
            values[0] += 0.1 * difference
            values[1] += 0.1 * (abs(difference) - values[1])
        values[2] = now_ms + _MAX_AGE_MS

    def low_estimate_ms(self, kind: str, now_ms: float) -> float:
        """Return a low estimate of the run time; 0 when it is unknown.

        An estimate without samples for a second counts as unknown: refusals because of
        it also prevent the samples that would correct it, and must not last forever.
        """
        values = self.by_kind.get(kind) or self.by_kind[""]
        if now_ms > values[2]:
            return 0.0
        return max(0.0, values[0] - values[1])
