"""How long calls of each kind take on the whole."""

_SAMPLE_WEIGHT = 0.05

_MOST_KINDS = 1_024


class KindTimes:
    """Moving averages of the time of calls, by kind, in a bounded table."""

    def __init__(self) -> None:
        self.by_kind: dict[str, float] = {}

    def record(self, kind: str, took_ms: float) -> float:
        """Take in a call and return its time relative to others of its kind."""
        known_ms = self.by_kind.get(kind)
        if known_ms is None:
            if len(self.by_kind) < _MOST_KINDS:
                self.by_kind[kind] = max(took_ms, 1.0)
            return 1.0
        ratio = took_ms / known_ms
        # A long wait somewhere must not change what is usual at once.
        usual_ms = known_ms + _SAMPLE_WEIGHT * (min(took_ms, 4 * known_ms) - known_ms)
        self.by_kind[kind] = max(usual_ms, 1.0)
        return ratio
