"""The log handler that writes JSON lines."""

import datetime
import json
from typing import Any

import logbook

from jujubetiller.logs import _line_output, _message_rate_limiter


class JsonLinesHandler(logbook.Handler):  # type: ignore[misc]
    """Writes each log record as one JSON object on a line.

    The fields are ``time`` (UTC), ``level``, ``channel``, ``message``, the fields
    that the caller passed as ``extra``, ``error`` with a traceback if there is one,
    ``suppressed`` with the number of messages of the same kind that were
    suppressed since the last one that was written, and ``dropped`` with the number of
    all lines that the output has dropped since then.
    """

    def __init__(
        self,
        output: _line_output.LineOutput,
        rate_limiter: _message_rate_limiter.MessageRateLimiter,
        level: str,
    ) -> None:
        super().__init__(level=logbook.lookup_level(level.upper()), bubble=False)
        self.output = output
        self.rate_limiter = rate_limiter
        self.dropped = 0
        """Lines dropped since the last one that was written."""

        self.dropped_total = 0

    def emit(self, record: Any) -> None:
        """Write ``record`` unless the rate limit suppresses it."""
        suppressed = self.rate_limiter.admit(f"{record.channel} {record.msg}")
        if suppressed is None:
            return
        now = datetime.datetime.now(datetime.UTC)
        document: dict[str, Any] = {
            "time": now.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "channel": record.channel,
            "message": record.message,
            **record.extra,
        }
        if record.exc_info:
            document["error"] = record.formatted_exception
        if suppressed:
            document["suppressed"] = suppressed
        if self.dropped:
            document["dropped"] = self.dropped
        if self.output.write_line(json.dumps(document, default=str)):
            self.dropped = 0
        else:
            self.dropped += 1
            self.dropped_total += 1
