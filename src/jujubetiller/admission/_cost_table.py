"""The costs that answers report, by request kind."""

from jujubetiller import clock

MAX_KINDS = 1_024

MAX_SERVICES = 16
"""Services in the costs of one kind; the smallest costs beyond this are left out."""

MAX_AGE_MS = 60_000.0
"""Costs that were not reported for this long count as unknown."""

REPORT_WEIGHT = 0.25

Costs = dict[str, float]


class CostTable:
    """Averages the slot-milliseconds by service that instances report for each kind."""

    def __init__(self, time_source: clock.Clock) -> None:
        self.clock = time_source
        self.by_kind: dict[str, Costs] = {}
        self.reported_at_ms: dict[str, float] = {}
        self.evicted = 0

    def record(self, kind: str, costs: tuple[tuple[str, float], ...]) -> None:
        """Record reported costs; an empty report changes nothing."""
        if not costs:
            return
        reported = dict(costs)
        known = self.find(kind)
        if known is None:
            self.by_kind.pop(kind, None)
            if len(self.by_kind) >= MAX_KINDS:
                self.evicted += 1
                oldest = next(iter(self.by_kind))
                del self.by_kind[oldest]
                del self.reported_at_ms[oldest]
            self.by_kind[kind] = reported
        else:
            for service in known.keys() | reported.keys():
                old = known.get(service, 0.0)
                known[service] = old + REPORT_WEIGHT * (
                    reported.get(service, 0.0) - old
                )
            if len(known) > MAX_SERVICES:
                del known[min(known, key=lambda service: known[service])]
        self.reported_at_ms[kind] = self.clock.now_ms()

    def find(self, kind: str) -> Costs | None:
        """Return the costs of a kind, or None if they are unknown or too old."""
        costs = self.by_kind.get(kind)
        if costs is None:
            return None
        if self.clock.now_ms() - self.reported_at_ms[kind] > MAX_AGE_MS:
            return None
        return costs
