"""The retry tokens that one running call holds."""


class RetryLedger:
    """Retry tokens of one context, lent to nested calls and spent on retries.

    Tokens are moved, spent or lost, but never created: those in all open ledgers of
    a tree, plus those in transit, never exceed the number that the tree started with.

    >>> ledger = RetryLedger(5)
    >>> lent = ledger.lend()
    >>> lent, ledger.remaining
    (3, 2)
    >>> ledger.reclaim(lent, returned=1)
    >>> ledger.remaining
    3
    """

    __slots__ = ("closed", "remaining")

    def __init__(self, tokens: int) -> None:
        self.remaining = max(0, tokens)
        self.closed = False

    def lend(self) -> int:
        """Remove half of the tokens, rounded up, for a nested call; return the number.

        The other half remains for concurrent nested calls.
        """
        lent = (self.remaining + 1) // 2
        self.remaining -= lent
        return lent

    def reclaim(self, lent: int, returned: int) -> None:
        """Add the tokens that a nested call did not spend, unless the ledger is closed.

        ``returned`` is capped at ``lent``, because an answer must not create tokens.
        """
        if not self.closed:
            self.remaining += max(0, min(lent, returned))

    def forfeit(self, lent: int) -> None:
        """Leave all ``lent`` tokens deducted, because the answer was lost.

        The receiver may have spent any of them.
        """

    def spend(self) -> bool:
        """Spend a token on another send; return whether one was left."""
        if self.remaining <= 0:
            return False
        self.remaining -= 1
        return True

    def close(self) -> int:
        """Close the ledger and return the remaining tokens.

        These tokens then belong to the caller of the running call: nested calls
        that end later can neither spend them nor add to them.
        """
        returned = self.remaining
        self.remaining = 0
        self.closed = True
        return returned
