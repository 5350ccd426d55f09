"""How long calls of a kind run at least."""

_MAX_KINDS = 256
_DECAY_AFTER_MS = 1_000.0


class RunTimeEstimates:
    """Smoothed run time less its deviation, by kind, in a bounded table.

    The estimate is deliberately low: an entry is refused on it only when it could
    hardly finish in time. Kinds beyond the bound share the estimate of ``""``.
    """

    def __init__(self, max_kinds: int = _MAX_KINDS) -> None:
        self.max_kinds = max_kinds
        self.by_kind: dict[str, list[float]] = {"": [0.0, 0.0, 0.0]}

    def record(self, kind: str, run_ms: float, now_ms: float) -> None:
        """Learn the run time of a call that succeeded."""
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
        values[2] = now_ms + _DECAY_AFTER_MS

    def low_estimate_ms(self, kind: str, now_ms: float) -> float:
        """Return a low estimate of the run time; 0 when nothing is known.

        A value without samples for a second counts as unknown, because a refusal
        that prevents samples must not go on for good.
        """
        values = self.by_kind.get(kind) or self.by_kind[""]
        if now_ms > values[2]:
            return 0.0
        return max(0.0, values[0] - values[1])
