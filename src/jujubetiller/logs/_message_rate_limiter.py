"""The rate limit for repeated log messages."""

import attrs

from jujubetiller import clock

WINDOW_MS = 1_000.0


@attrs.define
class _Window:
    """The counts of one kind of message since the start of a time window."""

    started_ms: float
    written: int = 0
    suppressed: int = 0


class MessageRateLimiter:
    """Limits each kind of message to ``highest`` per second.

    Without the limit, a fault that repeats would flood the log. A kind is the
    format string of the message, before its arguments are filled in. At most
    ``kinds`` kinds are counted separately; the others share one count.

    >>> manual_clock = clock.ManualClock()
    >>> rate_limiter = MessageRateLimiter(manual_clock, highest=1, kinds=10)
    >>> [rate_limiter.admit("lost {}") for _ in range(3)]
    [0, None, None]
    >>> manual_clock.advance(1_000)
    >>> rate_limiter.admit("lost {}")
    2
    """

    def __init__(self, time_source: clock.Clock, highest: int, kinds: int) -> None:
        self.time_source = time_source
        self.highest = highest
        self.kinds = kinds
        self.windows: dict[str, _Window] = {}
        self.shared = _Window(time_source.now_ms())
        self.suppressed_total = 0

    def admit(self, kind: str) -> int | None:
        """Return None to suppress a message.

        Otherwise the result is the number of messages of this kind that were
        suppressed since the last one that was written.
        """
        now_ms = self.time_source.now_ms()
        window = self.windows.get(kind)
        if window is None:
            window = self._add(kind, now_ms)
        if now_ms - window.started_ms >= WINDOW_MS:
            window.started_ms = now_ms
            window.written = 0
        if window.written >= self.highest:
            window.suppressed += 1
            self.suppressed_total += 1
            return None
        window.written += 1
        suppressed, window.suppressed = window.suppressed, 0
        return suppressed

    def _add(self, kind: str, now_ms: float) -> _Window:
        if len(self.windows) >= self.kinds:
            self.windows = {
                name: window
                for name, window in self.windows.items()
                if window.suppressed or now_ms - window.started_ms < WINDOW_MS
            }
        if len(self.windows) >= self.kinds:
            return self.shared
        window = self.windows[kind] = _Window(now_ms)
        return window
