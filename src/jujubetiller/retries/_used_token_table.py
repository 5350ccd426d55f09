"""The ids of the client retry tokens that a node has accepted."""

from jujubetiller import clock, settings


class UsedTokenTable:
    """A bounded table of used token ids, kept until they expire.

    When the table is full, the oldest id is evicted; ``evicted`` counts these. A
    token whose id was evicted could be used at this node a second time, so a
    growing count means that the setting ``used_tokens`` is too small.
    """

    def __init__(
        self, unix_clock: clock.Clock, retry_settings: settings.RetrySettings
    ) -> None:
        self.unix_clock = unix_clock
        self.capacity = retry_settings.used_tokens
        self.expires_at_ms: dict[str, float] = {}
        self.evicted = 0

    def use(self, token_id: str, expires_at_ms: float) -> bool:
        """Record the use of an id; return whether it is the first at this node."""
        if token_id in self.expires_at_ms:
            return False
        self._drop_expired()
        if len(self.expires_at_ms) >= self.capacity:
            del self.expires_at_ms[next(iter(self.expires_at_ms))]
            self.evicted += 1
        self.expires_at_ms[token_id] = expires_at_ms
        return True

    def _drop_expired(self) -> None:
        now_ms = self.unix_clock.now_ms()
        # Ids are in the order of use, so an expired id behind one that expires
        # later stays a little longer, which is harmless.
        while self.expires_at_ms:
            oldest = next(iter(self.expires_at_ms))
            if self.expires_at_ms[oldest] > now_ms:
                return
            del self.expires_at_ms[oldest]
