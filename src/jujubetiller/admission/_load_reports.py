"""The load factors that answers report, by service."""

import math

from jujubetiller import clock

MAX_AGE_MS = 1_000.0

REPORT_WEIGHT = 0.1
"""Minimum weight of one report: each comes from one of the instances of its service."""

TIME_CONSTANT_MS = 100.0
"""Reports that come less often than this weigh more: older ones describe another
load."""

MAX_SERVICES = 48
"""Frames carry at most 64 services."""


class LoadReports:
    """Averages the factors by which callers should change what they offer."""

    def __init__(
        self, time_source: clock.Clock, max_age_ms: float = MAX_AGE_MS
    ) -> None:
        self.clock = time_source
        self.max_age_ms = max_age_ms
        self.factors: dict[str, float] = {}
        self.reported_at_ms: dict[str, float] = {}
        self.evicted = 0

    def record(self, service: str, factor: float) -> None:
        """Record a report about one instance of ``service``."""
        known = self.find(service)
        if known is None:
            if len(self.factors) >= MAX_SERVICES and service not in self.factors:
                self.evicted += 1
                self.remove(next(iter(self.factors)))
            self.factors[service] = factor
        else:
            age_ms = self.clock.now_ms() - self.reported_at_ms[service]
            weight = max(REPORT_WEIGHT, 1.0 - math.exp(-age_ms / TIME_CONSTANT_MS))
            self.factors[service] = known + weight * (factor - known)
        self.reported_at_ms[service] = self.clock.now_ms()

    def find(self, service: str) -> float | None:
        """Return the factor of ``service``, or None without a recent report."""
        factor = self.factors.get(service)
        if factor is None:
            return None
        if self.clock.now_ms() - self.reported_at_ms[service] > self.max_age_ms:
            self.remove(service)
            return None
        return factor

    def read(self) -> dict[str, float]:
        """Return the factors with a recent report."""
        found = {service: self.find(service) for service in tuple(self.factors)}
        return {service: value for service, value in found.items() if value is not None}

    def remove(self, service: str) -> None:
        """Forget the reports about ``service``."""
        del self.factors[service]
        del self.reported_at_ms[service]
