"""The log lines about a learned limit."""

import logbook

from jujubetiller.limits import _run_window

_LOG = logbook.Logger("jujubetiller.limits")

LOG_STEP = 0.2
LOG_INTERVAL_MS = 1_000.0


class LimitChangeLog:
    """Logs changes beyond a step, at most one in an interval."""

    def __init__(self, limit: float) -> None:
        self.limit = limit
        """The limit that was logged last, or the first one."""

        self.logged_at_ms = 0.0

    def record(
        self,
        change: str,
        limit: float,
        highest: int,
        ratios: tuple[float, float],
        accepted_ratio: float,
        window: _run_window.RunWindow,
        now_ms: float,
    ) -> None:
        """Log the limit if it moved by a step, with what the change is based on.

        ``ratios`` are the relative run times at the higher and at the lower limit.
        """
        step = abs(limit - self.limit)
        if step < LOG_STEP * self.limit or (
            now_ms - self.logged_at_ms < LOG_INTERVAL_MS
        ):
            return
        high_ratio, low_ratio = ratios
        _LOG.info(
            "limit of the target changed",
            extra={
                "change": change,
                "limit": int(limit),
                "before": int(self.limit),
                "slots": highest,
                "ratio": round(high_ratio, 2),
                "ratio_at_lower_limit": round(low_ratio, 2),
                "accepted_ratio": round(accepted_ratio, 2),
                "samples": window.samples,
                "age_ms": round(now_ms - window.started_at_ms, 1),
            },
        )
        self.limit = limit
        self.logged_at_ms = now_ms
