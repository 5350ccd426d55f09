"""The rate limit that a target names in its responses."""

from jujubetiller import clock

OMISSIONS_TO_END = 3
"""Responses without a limit, one after the other, after which the limit has ended. A
single one may be older than the limit or come from a faulty target."""


class RateLimit:
    """Holds the limit of one lifetime of the target.

    The limit holds until responses to later requests no longer name it, however long
    the target is silent.
    """

    def __init__(self, time_source: clock.Clock) -> None:
        self.clock = time_source
        self.per_s: float | None = None
        """Requests a second that the target takes; None if it has no limit."""

        self.named_at_ms = 0.0
        self.omissions = 0
        self.has_response = False
        """Whether any response of this lifetime was recorded."""

    def adopt(self, per_s: float) -> bool:
        """Take over a limit that another node knows; return whether it is in force.

        It holds until the target's first response, and only if there was none before.
        """
        if self.has_response:
            return False
        self.per_s = per_s
        return True

    def record_named(self, per_s: float) -> bool:
        """Record a response that names a limit; return whether the limit changed."""
        changed = per_s != self.per_s
        self.has_response = True
        self.per_s = per_s
        self.named_at_ms = self.clock.now_ms()
        self.omissions = 0
        return changed

    def record_omitted(self, sent_at_ms: float) -> bool:
        """Record a response without a limit; return whether the limit has ended.

        ``sent_at_ms`` is when its request was sent to the target.
        """
        was_adopted = not self.has_response
        self.has_response = True
        if self.per_s is None or sent_at_ms <= self.named_at_ms:
            return False
        self.omissions += 1
        if self.omissions < OMISSIONS_TO_END and not was_adopted:
            return False
        self.per_s = None
        self.omissions = 0
        return True

    def age_ms(self) -> float:
        """Return the time since a response last named the limit."""
        return self.clock.now_ms() - self.named_at_ms

    def reset(self) -> None:
        """Forget the limit, as for a new lifetime of the target."""
        self.per_s = None
        self.omissions = 0
        self.has_response = False
