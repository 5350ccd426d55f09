"""Sets up logging for the process."""

from typing import IO

from twisted import logger

from jujubetiller import clock, settings
from jujubetiller.logs import (
    _json_lines_handler,
    _message_rate_limiter,
    _twisted_observer,
)


def start_logging(
    log_settings: settings.LogSettings, time_source: clock.Clock, stream: IO[str]
) -> _json_lines_handler.JsonLinesHandler:
    """Send the logs of the whole process to ``stream`` and return the handler."""
    rate_limiter = _message_rate_limiter.MessageRateLimiter(
        time_source, log_settings.repeats_per_second, log_settings.message_kinds
    )
    handler = _json_lines_handler.JsonLinesHandler(
        stream, rate_limiter, log_settings.level
    )
    handler.push_application()
    logger.globalLogBeginner.beginLoggingTo(
        [_twisted_observer.TwistedObserver()],
        redirectStandardIO=False,
        discardBuffer=True,
    )
    return handler
