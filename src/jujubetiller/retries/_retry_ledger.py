"""The retry tokens that one running call holds."""


class RetryLedger:
    """Retry tokens of one context, lent to nested calls and spent on retries.

    Tokens are only ever moved or destroyed: the tokens in all open ledgers of a
    tree, plus those on the way, never exceed the number that the tree started
    with.

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
        """Take half of the tokens, rounded up, out of the ledger for a nested call.

        Half remains, so that concurrent nested calls find some too.
        """
        lent = (self.remaining + 1) // 2
        self.remaining -= lent
        return lent

    def reclaim(self, lent: int, returned: int) -> None:
        """Take back the tokens that a nested call did not spend.

        ``returned`` is cut to ``lent``, because an answer must not create tokens.
        """
        if not self.closed:
            self.remaining += max(0, min(lent, returned))

    def forfeit(self, lent: int) -> None:
        """Count all ``lent`` tokens as spent, because their answer was lost.

        The receiver may have spent any of them.
        """

    def spend(self) -> bool:
        """Pay for one more send; return whether a token was left."""
        if self.remaining <= 0:
            return False
        self.remaining -= 1
        return True

    def close(self) -> int:
        """Close the ledger and return the remaining tokens.

        What a closed ledger returned belongs to the caller: nested calls that
        still end later must neither spend it nor add to it.
        """
        returned = self.remaining
        self.remaining = 0
        self.closed = True
        return returned
