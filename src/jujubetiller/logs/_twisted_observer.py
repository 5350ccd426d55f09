"""Forwards Twisted's own log events."""

from typing import Any

import logbook
import zope.interface
from twisted import logger

_LEVELS = {
    logger.LogLevel.warn: logbook.WARNING,
    logger.LogLevel.error: logbook.ERROR,
    logger.LogLevel.critical: logbook.CRITICAL,
}


@zope.interface.implementer(logger.ILogObserver)
class TwistedObserver:
    """Forwards Twisted's warnings and errors to logbook.

    Without it, the traceback of an unhandled error would be written to standard
    error as plain text between the JSON lines.
    """

    def __init__(self) -> None:
        self.logger = logbook.Logger("twisted")

    def __call__(self, event: Any) -> None:
        """Log ``event`` if it is at least a warning."""
        level = _LEVELS.get(event.get("log_level"))
        if level is None:
            return
        # The rate limiter counts messages by their format string, so the text of the
        # event goes into a separate field.
        self.logger.log(
            level,
            event.get("log_format") or "event without a format",
            extra={"detail": logger.eventAsText(event, includeTimestamp=False)},
        )
