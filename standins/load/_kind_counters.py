"""Counters of the requests of one kind."""

import collections
from typing import Any

import attrs
import ddsketch

QUANTILES = (0.5, 0.9, 0.99, 0.999)


def _describe(sketch: Any) -> dict[str, float]:
    if not sketch.count:
        return {"count": 0}
    described = {
        f"p{quantile * 100:g}": round(sketch.get_quantile_value(quantile), 3)
        for quantile in QUANTILES
    }
    return {"count": int(sketch.count), "mean": round(sketch.avg, 3), **described}


def _make_sketch() -> Any:
    return ddsketch.DDSketch(0.01)


@attrs.define
class KindCounters:
    """Counts requests by outcome and code, with latencies and a timeline."""

    outcomes: collections.Counter[str] = attrs.field(factory=collections.Counter)
    """Requests by outcome; ``good`` means complete, correct and within the deadline."""

    attempt_outcomes: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    codes: collections.Counter[str] = attrs.field(factory=collections.Counter)
    faults: collections.Counter[str] = attrs.field(factory=collections.Counter)
    good_ms: Any = attrs.field(factory=_make_sketch)
    refused_ms: Any = attrs.field(factory=_make_sketch)
    records: list[str] = attrs.field(factory=list)
    timeline: dict[int, collections.Counter[str]] = attrs.field(factory=dict)

    def count_end(self, end: str, took_ms: float, arrival_bin: int) -> None:
        """Count a request's outcome, in the timeline by its arrival."""
        self.outcomes[end] += 1
        self.timeline.setdefault(arrival_bin, collections.Counter())[end] += 1
        if end == "good":
            self.good_ms.add(took_ms)
        elif end == "not-run":
            self.refused_ms.add(took_ms)

    def summary(self) -> dict[str, Any]:
        """Return all counters as JSON values."""
        return {
            "requests": sum(self.outcomes.values()),
            "outcomes": dict(self.outcomes),
            "attempts": sum(self.attempt_outcomes.values()),
            "attempt_outcomes": dict(self.attempt_outcomes),
            "codes": dict(self.codes),
            "faults": dict(self.faults),
            "good_ms": _describe(self.good_ms),
            "refused_ms": _describe(self.refused_ms),
            "records": self.records,
            "timeline": {
                str(number): dict(counts)
                for number, counts in sorted(self.timeline.items())
            },
        }
