"""The recent demand for a team's tokens."""

import math

import attrs

DEMAND_MS = 2_000.0
"""Time over which the demand for a team's tokens is averaged."""


@attrs.define
class DecayingDemand:
    """An amount that decays exponentially, by a factor of e in each ``DEMAND_MS``.

    Under a constant demand, it is the demand within ``DEMAND_MS``.

    >>> demand = DecayingDemand()
    >>> demand.add(4.0, now_ms=0.0)
    >>> round(demand.read(now_ms=DEMAND_MS), 3)
    1.472
    """

    amount: float = 0.0
    at_ms: float = 0.0
    """When ``amount`` was valid, on the boot clock."""

    def add(self, amount: float, now_ms: float) -> None:
        """Add tokens that are asked for now."""
        self.amount = self.read(now_ms) + amount
        self.at_ms = now_ms

    def read(self, now_ms: float) -> float:
        """Return the tokens asked for within ``DEMAND_MS``."""
        return self.amount * math.exp((self.at_ms - now_ms) / DEMAND_MS)

    def per_ms(self, now_ms: float) -> float:
        """Return the tokens asked for in each millisecond."""
        return self.read(now_ms) / DEMAND_MS
