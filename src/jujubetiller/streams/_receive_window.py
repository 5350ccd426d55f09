"""Flow control at the receiver of a body."""


class ReceiveWindow:
    """Counts the body bytes of one call that the sender may still send.

    Credit is granted in portions of half a window, so that the sender does not run
    out of credit only because the round trip is long.
    """

    __slots__ = ("granted_bytes", "pending_credit_bytes", "window_bytes")

    def __init__(self, window_bytes: int) -> None:
        self.window_bytes = window_bytes
        self.granted_bytes = window_bytes
        self.pending_credit_bytes = 0

    def consume(self, count: int) -> bool:
        """Count ``count`` received bytes; False if they exceed the granted credit."""
        self.granted_bytes -= count
        self.pending_credit_bytes += count
        return self.granted_bytes >= 0

    def grant(self) -> int:
        """Return the credit in bytes to send now; 0 if none is due."""
        if self.pending_credit_bytes * 2 < self.window_bytes:
            return 0
        amount, self.pending_credit_bytes = self.pending_credit_bytes, 0
        self.granted_bytes += amount
        return amount
