"""Average times of calls by kind."""

_SAMPLE_WEIGHT = 0.05

_MAX_KINDS = 1_024


class KindTimes:
    """Moving averages of the time of calls for a bounded number of kinds."""

    def __init__(self) -> None:
        self.by_kind: dict[str, float] = {}

    def record(self, kind: str, took_ms: float) -> float:
        """Add a call and return its time divided by the average of its kind."""
        average_ms = self.by_kind.get(kind)
        if average_ms is None:
            if len(self.by_kind) < _MAX_KINDS:
                self.by_kind[kind] = max(took_ms, 1.0)
            return 1.0
        ratio = took_ms / average_ms
        # The bound keeps a single slow call from changing the average much.
        updated_ms = average_ms + _SAMPLE_WEIGHT * (
            min(took_ms, 4 * average_ms) - average_ms
        )
        self.by_kind[kind] = max(updated_ms, 1.0)
        return ratio
