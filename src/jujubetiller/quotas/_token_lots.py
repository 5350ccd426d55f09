"""Tokens that expire."""

import attrs

MAX_LOTS = 64
"""More lots than arrive within the life of a token; further tokens are dropped."""


@attrs.frozen
class Token:
    """One token that was taken for a request."""

    team: str
    expires_ms: float


class TokenLots:
    """Amounts of tokens in the order in which they expire, on the boot clock."""

    __slots__ = ("expired", "lots")

    def __init__(self) -> None:
        self.lots: list[tuple[float, float]] = []
        """Time of expiry and amount."""

        self.expired = 0.0

    def add(self, amount: float, expires_ms: float) -> None:
        """Add ``amount`` tokens that expire at ``expires_ms``."""
        self.lots.append((expires_ms, amount))
        self.lots.sort()
        if len(self.lots) > MAX_LOTS:
            self.expired += self.lots.pop(0)[1]

    def total(self, now_ms: float) -> float:
        """Return the tokens that have not expired."""
        while self.lots and self.lots[0][0] <= now_ms:
            self.expired += self.lots.pop(0)[1]
        return sum(amount for _, amount in self.lots)

    def take(self, amount: float, now_ms: float) -> tuple[float, float]:
        """Remove up to ``amount``; return how many, and when the first one expires."""
        self.total(now_ms)
        taken, expires_ms = 0.0, now_ms
        while self.lots and taken < amount:
            lot_expires_ms, there = self.lots.pop(0)
            if not taken:
                expires_ms = lot_expires_ms
            part = min(there, amount - taken)
            taken += part
            if part < there:
                self.lots.insert(0, (lot_expires_ms, there - part))
        return taken, expires_ms

    def clear(self) -> None:
        """Drop all tokens."""
        self.expired += sum(amount for _, amount in self.lots)
        self.lots.clear()
